//! What goes wrong, drawn from the seed. Faults last for a while each, and overlap.

use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use teaselshunt_standin::{SiteFault, StoreMode};

use crate::proxy::Harm;
use crate::site::{Site, key};

/// Longest time that a planned stop takes, with some slack.
const GRACE: Duration = Duration::from_secs(9);

/// An end of something that was begun.
#[derive(Debug, Clone, Copy)]
enum Undo {
    Restart(usize),
    Continue(usize),
    Store,
    StoreWay(usize),
    Way(usize),
    Fault(usize),
}

pub(crate) struct Plan {
    rng: StdRng,
    /// Draws the rates that endpoints name; of its own, so that each seed has the other faults that it always had.
    rates: StdRng,
    begun: Instant,
    lines: Vec<String>,
    undo: Vec<(Instant, Undo)>,
    /// When the last planned stop began.
    stopped: Instant,
}

impl Plan {
    pub(crate) fn new(rng: StdRng) -> Self {
        let rates = StdRng::seed_from_u64(rng.clone().random());
        Self {
            rng,
            rates,
            begun: Instant::now(),
            lines: Vec::new(),
            undo: Vec::new(),
            stopped: Instant::now(),
        }
    }

    pub(crate) fn count(&self) -> usize {
        self.lines.len()
    }

    pub(crate) fn text(&self) -> String {
        self.lines.join("\n")
    }

    /// Waits a little, ends what is over, and does something new.
    pub(crate) async fn step(&mut self, site: &Site) {
        let pause = self.rng.random_range(50..400);
        tokio::time::sleep(Duration::from_millis(pause)).await;
        self.undo_until(site, Instant::now());
        self.bury(site).await;
        self.name_rates(site);
        match self.rng.random_range(0..12) {
            0 => self.kill(site),
            1 => self.terminate(site),
            2 => self.freeze(site),
            3 => self.reload(site),
            4 => self.store(site),
            5 => self.store_way(site),
            6 | 7 => self.way(site),
            8 | 9 => self.endpoint(site),
            10 => self.replace(site).await,
            _ => self.configure(site),
        }
    }

    /// Ends everything that is still wrong.
    pub(crate) async fn heal(&mut self, site: &Site) {
        self.undo_until(site, Instant::now() + Duration::from_mins(1));
        // Endpoints change places when one leaves, so that an end of harm may have met another one.
        for endpoint in &site.parts().endpoints {
            endpoint.proxy.set(Harm::None);
            endpoint.server.set_fault(SiteFault::None);
            endpoint.server.advertise_limit(None);
        }
        self.bury(site).await;
        // Instances that are stopping end first.
        while self.stopped.elapsed() < GRACE {
            self.revive(site);
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        self.revive(site);
    }

    fn note(&mut self, what: &str) {
        self.lines.push(format!("  {:7.3} s  {what}", self.begun.elapsed().as_secs_f64()));
    }

    fn later(&mut self, from: u64, to: u64, undo: Undo) {
        let time = Duration::from_millis(self.rng.random_range(from..to));
        self.undo.push((Instant::now() + time, undo));
    }

    fn undo_until(&mut self, site: &Site, until: Instant) {
        let (over, open): (Vec<_>, Vec<_>) = self.undo.drain(..).partition(|(at, _)| *at <= until);
        self.undo = open;
        for (_, undo) in over {
            match undo {
                Undo::Restart(index) => site.restart(index),
                Undo::Continue(index) => {
                    let mut parts = site.parts();
                    parts.instances[index].calm = Instant::now();
                    if let Some(process) = &mut parts.instances[index].process {
                        // It may have ended meanwhile.
                        let _ = process.signal("-CONT");
                    }
                }
                Undo::Store => {
                    site.store.set_mode(StoreMode::Up);
                    site.parts().instances.iter_mut().for_each(|s| s.calm = Instant::now());
                }
                Undo::StoreWay(index) => {
                    let mut parts = site.parts();
                    parts.instances[index].store.set(Harm::None);
                    parts.instances[index].calm = Instant::now();
                }
                Undo::Way(index) => {
                    if let Some(endpoint) = site.parts().endpoints.get(index) {
                        endpoint.proxy.set(Harm::None);
                    }
                }
                Undo::Fault(index) => {
                    if let Some(endpoint) = site.parts().endpoints.get(index) {
                        endpoint.server.set_fault(SiteFault::None);
                    }
                }
            }
            self.note(&format!("over: {undo:?}"));
        }
        self.revive(site);
    }

    /// Instances whose planned stop is complete are started again, as their platform does.
    fn revive(&mut self, site: &Site) {
        let waiting: Vec<usize> = self
            .undo
            .iter()
            .filter_map(|(_, u)| if let Undo::Restart(i) = u { Some(*i) } else { None })
            .collect();
        let ended: Vec<usize> = {
            let mut parts = site.parts();
            let slots = parts.instances.iter_mut().enumerate();
            slots.filter_map(|(i, s)| s.process.as_mut()?.exit_success().map(|_| i)).collect()
        };
        for index in ended.into_iter().filter(|i| !waiting.contains(i)) {
            self.note(&format!("instance {index} has ended and is started again"));
            site.restart(index);
        }
    }

    fn instance(&mut self, site: &Site) -> usize {
        let count = site.parts().instances.len();
        self.rng.random_range(0..count)
    }

    fn kill(&mut self, site: &Site) {
        let index = self.instance(site);
        if self.undo.iter().any(|(_, u)| matches!(u, Undo::Restart(i) if *i == index)) {
            return;
        }
        self.note(&format!("kill instance {index}"));
        if let Some(process) = &mut site.parts().instances[index].process {
            process.kill();
        }
        self.later(200, 1500, Undo::Restart(index));
    }

    fn terminate(&mut self, site: &Site) {
        let index = self.instance(site);
        self.note(&format!("SIGTERM to instance {index}"));
        signal(site, index, "-TERM");
        self.stopped = Instant::now();
    }

    fn freeze(&mut self, site: &Site) {
        let index = self.instance(site);
        self.note(&format!("freeze instance {index}"));
        signal(site, index, "-STOP");
        self.later(100, 3000, Undo::Continue(index));
    }

    fn reload(&mut self, site: &Site) {
        let index = self.instance(site);
        self.note(&format!("SIGHUP to instance {index}"));
        signal(site, index, "-HUP");
    }

    fn store(&mut self, site: &Site) {
        site.parts().instances.iter_mut().for_each(|s| s.calm = Instant::now());
        if self.rng.random_bool(0.3) {
            self.note("the store forgets its history");
            return site.store.compact_history();
        }
        let modes = [StoreMode::Busy, StoreMode::Silent, StoreMode::Closing];
        let mode = modes[self.rng.random_range(0..modes.len())];
        self.note(&format!("the store: {mode:?}"));
        site.store.set_mode(mode);
        self.later(300, 4000, Undo::Store);
    }

    fn harm(&mut self) -> Harm {
        let delay = Duration::from_millis(self.rng.random_range(5..300));
        let harms = [Harm::Delay(delay), Harm::Reset, Harm::OneWay, Harm::Silent];
        harms[self.rng.random_range(0..harms.len())]
    }

    fn store_way(&mut self, site: &Site) {
        let (index, harm) = (self.instance(site), self.harm());
        self.note(&format!("way of instance {index} to the store: {harm:?}"));
        let mut parts = site.parts();
        parts.instances[index].store.set(harm);
        parts.instances[index].calm = Instant::now();
        drop(parts);
        self.later(200, 4000, Undo::StoreWay(index));
    }

    fn some_endpoint(&mut self, site: &Site) -> usize {
        let count = site.parts().endpoints.len();
        self.rng.random_range(0..count)
    }

    fn way(&mut self, site: &Site) {
        let (index, harm) = (self.some_endpoint(site), self.harm());
        self.note(&format!("way to endpoint {index}: {harm:?}"));
        site.parts().endpoints[index].proxy.set(harm);
        self.later(200, 3000, Undo::Way(index));
    }

    fn endpoint(&mut self, site: &Site) {
        let faults = [
            SiteFault::Refuse,
            SiteFault::Hang,
            SiteFault::Lose,
            SiteFault::Extra,
            SiteFault::Fail,
            SiteFault::Cut(self.rng.random_range(0..15)),
            SiteFault::Unframed,
        ];
        let (index, fault) = (self.some_endpoint(site), faults[self.rng.random_range(0..faults.len())]);
        self.note(&format!("endpoint {index}: {fault:?}"));
        site.parts().endpoints[index].server.set_fault(fault);
        self.later(200, 3000, Undo::Fault(index));
    }

    /// Endpoints that a request has crashed lose their entries, and others take their places.
    pub(crate) async fn bury(&mut self, site: &Site) {
        loop {
            let index = site.parts().endpoints.iter().position(|e| e.server.has_crashed());
            let Some(index) = index else { return };
            self.note(&format!("endpoint {index} has crashed"));
            self.replace_at(site, index, false).await;
        }
    }

    /// An endpoint leaves, with or without a word, and another one of its stage takes its place.
    async fn replace(&mut self, site: &Site) {
        let index = self.some_endpoint(site);
        let word = self.rng.random_bool(0.6);
        self.replace_at(site, index, word).await;
    }

    async fn replace_at(&mut self, site: &Site, index: usize, word: bool) {
        let stage = {
            let mut parts = site.parts();
            let mut leaving = parts.endpoints.swap_remove(index);
            leaving.left = Some(Instant::now());
            leaving.proxy.set(Harm::None);
            leaving.server.set_fault(SiteFault::None);
            if word {
                let entry = leaving.server.entry(leaving.proxy.address, "draining");
                site.store.put(&key(&leaving.server), &entry);
            } else {
                site.store.remove(&key(&leaving.server));
            }
            let stage = leaving.server.stage();
            parts.ended.push(leaving);
            stage
        };
        self.note(&format!(
            "endpoint {index} leaves {}",
            if word { "with a word" } else { "without a word" }
        ));
        if let Err(error) = site.add(stage).await {
            self.note(&format!("no new endpoint: {error}"));
        }
    }

    /// Now and then an endpoint names another rate, something that is none, or none any more.
    fn name_rates(&mut self, site: &Site) {
        const RATES: [Option<&str>; 6] = [Some("3.5"), Some("0"), Some("40"), Some("4,0"), Some("NaN"), None];
        if !self.rates.random_bool(0.1) {
            return;
        }
        let rate = RATES[self.rates.random_range(0..RATES.len())];
        let index = self.rates.random_range(0..site.parts().endpoints.len());
        self.note(&format!("endpoint {index} names {rate:?}"));
        site.parts().endpoints[index].server.advertise_limit(rate);
    }

    fn configure(&mut self, site: &Site) {
        site.parts().version += 1;
        self.note(&format!("configuration {}", site.parts().version));
        site.publish();
    }
}

fn signal(site: &Site, index: usize, name: &str) {
    let mut parts = site.parts();
    parts.instances[index].calm = Instant::now();
    if let Some(process) = &mut parts.instances[index].process {
        // It may have ended by itself just now.
        let _ = process.signal(name);
    }
}
