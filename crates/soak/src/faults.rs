//! The faults of a run, drawn from its seed. Each fault lasts for a while, and faults overlap.

mod pauses;

use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use teaselshunt_standin::{SiteBody, SiteCut, SiteFault, SiteFraming, StoreMode};
use tokio::task::JoinHandle;

use crate::proxy::Impairment;
use crate::site::{InstanceSlot, Site};

/// Longest duration of a graceful shutdown, with some slack.
const SHUTDOWN_TIME: Duration = Duration::from_secs(9);

/// Time after its start in which a signal may still end a process, which does not handle signals from its first moment.
const START_TIME: Duration = Duration::from_secs(2);

/// Time for which the entry of a crashed endpoint stays listed, where that matters.
const ENTRY_LIFETIME: Duration = Duration::from_millis(500);

/// The end of a fault. The plan prints the names of the variants.
#[derive(Debug, Clone, Copy)]
enum Undo {
    Restart(usize),
    Continue(usize),
    Store,
    StoreWay(usize),
    Way(usize),
    Fault(usize),
    Pace(usize),
    Cut(usize),
}

pub(crate) struct Plan {
    rng: StdRng,
    /// Draws the rates that endpoints advertise. It is separate from `rng`, so that the rates do not change the other
    /// faults of a seed.
    rates: StdRng,
    /// The same for what endpoints state of their end and of cooldowns.
    statements: StdRng,
    /// The same for overloads and for the paces of plain endpoints.
    loads: StdRng,
    /// The same for how endpoints frame and cut their bodies.
    bodies: StdRng,
    /// The same for links between instances and endpoints.
    cuts: StdRng,
    /// The same for connections to the store that go dead, and for kills of most instances.
    stores: StdRng,
    /// The same for pauses of endpoints and for responses without an end.
    silences: StdRng,
    start: Instant,
    log: Vec<String>,
    /// Ends of the current faults, with their times.
    undo: Vec<(Instant, Undo)>,
    /// Pauses of endpoints that have begun or will begin.
    pauses: Vec<JoinHandle<()>>,
    /// When the last graceful shutdown began.
    stopped: Instant,
}

impl Plan {
    pub(crate) fn new(rng: StdRng) -> Self {
        let rates = StdRng::seed_from_u64(rng.clone().random());
        let statements = StdRng::seed_from_u64(rates.clone().random());
        let loads = StdRng::seed_from_u64(statements.clone().random());
        let bodies = StdRng::seed_from_u64(loads.clone().random());
        let cuts = StdRng::seed_from_u64(bodies.clone().random());
        let stores = StdRng::seed_from_u64(cuts.clone().random());
        let silences = StdRng::seed_from_u64(stores.clone().random());
        let (log, undo, pauses, start) = (Vec::new(), Vec::new(), Vec::new(), Instant::now());
        let stopped = start;
        Self {
            rng,
            rates,
            statements,
            loads,
            bodies,
            cuts,
            stores,
            silences,
            start,
            log,
            undo,
            pauses,
            stopped,
        }
    }

    pub(crate) fn count(&self) -> usize {
        self.log.len()
    }

    pub(crate) fn last_fault(&self) -> &str {
        self.log.last().map_or("", |line| line.trim())
    }

    pub(crate) fn text(&self) -> String {
        self.log.join("\n")
    }

    /// Waits for a short random time, ends the faults whose time is over, and starts a new fault.
    pub(crate) async fn step(&mut self, site: &Site) {
        let pause = self.rng.random_range(50..400);
        tokio::time::sleep(Duration::from_millis(pause)).await;
        self.undo_due(site, Instant::now());
        self.replace_crashed(site).await;
        self.change_rate(site);
        self.change_retry_delay(site);
        self.change_load(site);
        self.cut_instances(site);
        self.kill_store_connections(site);
        self.kill_most_instances(site);
        self.pause_now_and_then(site);
        self.send_without_end(site);
        match self.rng.random_range(0..12) {
            0 => self.kill_instance(site),
            1 => self.terminate_instance(site),
            2 => self.freeze_instance(site),
            3 => self.reload_instance(site),
            4 => self.disturb_store(site),
            5 => self.impair_store_link(site),
            6 | 7 => self.impair_endpoint_link(site),
            8 | 9 => self.set_endpoint_fault(site),
            10 => self.replace_endpoint(site).await,
            _ => self.publish_configuration(site),
        }
    }

    /// Ends all faults.
    pub(crate) async fn heal(&mut self, site: &Site) {
        self.undo_due(site, Instant::now() + Duration::from_mins(1));
        self.end_pauses();
        site.overload.send_replace(Instant::now());
        // When an endpoint leaves, the last one takes its index, so a fault may have been ended at the wrong endpoint.
        for endpoint in &site.parts().endpoints {
            endpoint.impair(Impairment::None);
            endpoint.set_fault(SiteFault::None);
            endpoint.server.advertise_limit(None);
            endpoint.server.set_retry_after(None);
            endpoint.server.set_pace(1.0);
        }
        for endpoint in &site.parts().ended {
            site.unlist(endpoint);
        }
        self.replace_crashed(site).await;
        // Waits until every graceful shutdown is complete.
        while self.stopped.elapsed() < SHUTDOWN_TIME {
            self.restart_ended(site);
            self.replace_lapsed(site).await;
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        self.restart_ended(site);
        // An instance that started from a peer's snapshot knows the peer's links to endpoints, and not its own.
        site.list_again();
    }

    fn log(&mut self, what: &str) {
        self.log.push(format!("  {:7.3} s  {what}", self.start.elapsed().as_secs_f64()));
    }

    fn schedule_undo(&mut self, from: u64, to: u64, undo: Undo) {
        let time = Duration::from_millis(self.rng.random_range(from..to));
        self.undo.push((Instant::now() + time, undo));
    }

    fn undo_due(&mut self, site: &Site, until: Instant) {
        let (due, pending): (Vec<_>, Vec<_>) = self.undo.drain(..).partition(|(at, _)| *at <= until);
        self.undo = pending;
        for (_, undo) in due {
            match undo {
                Undo::Restart(index) => site.restart(index),
                Undo::Continue(index) => {
                    let mut parts = site.parts();
                    parts.instances[index].undisturbed_since = Instant::now();
                    parts.instances[index].running_since = Instant::now();
                    parts.instances[index].interrupted = Instant::now();
                    if let Some(process) = &mut parts.instances[index].process {
                        // The process may have ended meanwhile.
                        let _ = process.signal("-CONT");
                    }
                }
                Undo::Store => {
                    site.set_store_mode(StoreMode::Up);
                    site.parts().instances.iter_mut().for_each(|s| s.undisturbed_since = Instant::now());
                }
                Undo::StoreWay(index) => {
                    let mut parts = site.parts();
                    parts.instances[index].store_link.set(Impairment::None);
                    parts.instances[index].undisturbed_since = Instant::now();
                }
                Undo::Way(index) => {
                    if let Some(endpoint) = site.parts().endpoints.get(index) {
                        endpoint.impair(Impairment::None);
                    }
                }
                Undo::Fault(index) => {
                    if let Some(endpoint) = site.parts().endpoints.get(index) {
                        endpoint.set_fault(SiteFault::None);
                    }
                }
                Undo::Cut(index) => site.cut(index, Impairment::None),
                Undo::Pace(index) => {
                    if let Some(endpoint) = site.parts().endpoints.get(index) {
                        endpoint.server.set_pace(1.0);
                    }
                }
            }
            self.log(&format!("over: {undo:?}"));
        }
        self.restart_ended(site);
    }

    /// Restarts instances whose graceful shutdown is complete, as their platform does.
    fn restart_ended(&mut self, site: &Site) {
        let scheduled: Vec<usize> = self
            .undo
            .iter()
            .filter_map(|(_, u)| if let Undo::Restart(i) = u { Some(*i) } else { None })
            .collect();
        let ended: Vec<(usize, bool)> = {
            let mut parts = site.parts();
            let slots = parts.instances.iter_mut().enumerate();
            let failed = |s: &InstanceSlot, success: bool| !success && s.running_since.elapsed() > START_TIME;
            slots
                .filter_map(|(i, s)| {
                    let success = s.process.as_mut()?.exit_success()?;
                    Some((i, failed(s, success)))
                })
                .collect()
        };
        for (index, failed) in ended.into_iter().filter(|(i, _)| !scheduled.contains(i)) {
            if failed {
                site.parts().failed.get_or_insert(index);
            }
            self.log(&format!("instance {index} has ended and is started again"));
            site.restart(index);
        }
    }

    fn random_instance(&mut self, site: &Site) -> usize {
        let count = site.parts().instances.len();
        self.rng.random_range(0..count)
    }

    fn kill_instance(&mut self, site: &Site) {
        let index = self.random_instance(site);
        self.kill_at(site, index);
    }

    fn kill_at(&mut self, site: &Site, index: usize) {
        if self.undo.iter().any(|(_, u)| matches!(u, Undo::Restart(i) if *i == index)) {
            return;
        }
        self.log(&format!("kill instance {index}"));
        let mut parts = site.parts();
        parts.instances[index].interrupted = Instant::now();
        if let Some(process) = &mut parts.instances[index].process {
            process.kill();
        }
        drop(parts);
        self.schedule_undo(200, 1500, Undo::Restart(index));
    }

    fn terminate_instance(&mut self, site: &Site) {
        let index = self.random_instance(site);
        self.log(&format!("SIGTERM to instance {index}"));
        let mut parts = site.parts();
        let slot = &mut parts.instances[index];
        if slot.terminated.is_none_or(|(incarnation, _)| incarnation != slot.incarnation) {
            slot.terminated = Some((slot.incarnation, Instant::now()));
        }
        drop(parts);
        signal(site, index, "-TERM");
        self.stopped = Instant::now();
    }

    fn freeze_instance(&mut self, site: &Site) {
        let index = self.random_instance(site);
        self.log(&format!("freeze instance {index}"));
        site.parts().instances[index].interrupted = Instant::now();
        signal(site, index, "-STOP");
        self.schedule_undo(100, 3000, Undo::Continue(index));
    }

    fn reload_instance(&mut self, site: &Site) {
        let index = self.random_instance(site);
        self.log(&format!("SIGHUP to instance {index}"));
        signal(site, index, "-HUP");
    }

    fn disturb_store(&mut self, site: &Site) {
        site.parts().instances.iter_mut().for_each(|s| s.undisturbed_since = Instant::now());
        if self.rng.random_bool(0.3) {
            self.log("the store forgets its history");
            return site.compact_history();
        }
        let modes = [StoreMode::Busy, StoreMode::Silent, StoreMode::Closing];
        let mode = modes[self.rng.random_range(0..modes.len())];
        self.log(&format!("the store: {mode:?}"));
        site.set_store_mode(mode);
        self.schedule_undo(300, 4000, Undo::Store);
    }

    fn random_impairment(&mut self) -> Impairment {
        let delay = Duration::from_millis(self.rng.random_range(5..300));
        let impairments =
            [Impairment::Delay(delay), Impairment::Reset, Impairment::OneWay, Impairment::Silent];
        impairments[self.rng.random_range(0..impairments.len())]
    }

    fn impair_store_link(&mut self, site: &Site) {
        let (index, impairment) = (self.random_instance(site), self.random_impairment());
        self.log(&format!("way of instance {index} to the store: {impairment:?}"));
        let mut parts = site.parts();
        parts.instances[index].store_link.set(impairment);
        parts.instances[index].undisturbed_since = Instant::now();
        drop(parts);
        self.schedule_undo(200, 4000, Undo::StoreWay(index));
    }

    fn random_endpoint(&mut self, site: &Site) -> usize {
        let count = site.parts().endpoints.len();
        self.rng.random_range(0..count)
    }

    fn impair_endpoint_link(&mut self, site: &Site) {
        let (index, impairment) = (self.random_endpoint(site), self.random_impairment());
        self.log(&format!("way to endpoint {index}: {impairment:?}"));
        site.parts().endpoints[index].impair(impairment);
        self.schedule_undo(200, 3000, Undo::Way(index));
    }

    fn set_endpoint_fault(&mut self, site: &Site) {
        let faults = [
            SiteFault::Refuse,
            SiteFault::Hang,
            SiteFault::Lose,
            SiteFault::Extra,
            SiteFault::Fail,
            SiteFault::Cut(self.rng.random_range(0..15)),
            SiteFault::Body(draw_body(&mut self.bodies)),
        ];
        let (index, fault) = (self.random_endpoint(site), faults[self.rng.random_range(0..faults.len())]);
        self.log(&format!("endpoint {index}: {fault:?}"));
        site.parts().endpoints[index].set_fault(fault);
        self.schedule_undo(200, 3000, Undo::Fault(index));
    }

    /// Removes the entries of endpoints that a request has crashed, and starts another endpoint for each.
    pub(crate) async fn replace_crashed(&mut self, site: &Site) {
        loop {
            let index = site.parts().endpoints.iter().position(|e| e.server.has_crashed());
            let Some(index) = index else { return };
            self.log(&format!("endpoint {index} has crashed"));
            self.replace_at(site, index, false).await;
        }
    }

    /// The same, after the time for which the entry of a crashed endpoint stays listed. Instances check in this time
    /// whether an endpoint that lost a request has crashed; they can't tell once its entry is gone.
    pub(crate) async fn replace_lapsed(&mut self, site: &Site) {
        if site.parts().endpoints.iter().any(|e| e.server.has_crashed()) {
            tokio::time::sleep(ENTRY_LIFETIME).await;
            self.replace_crashed(site).await;
        }
    }

    /// An endpoint leaves, announced as draining or not, and another endpoint of its stage takes its place.
    async fn replace_endpoint(&mut self, site: &Site) {
        let index = self.random_endpoint(site);
        let announced = self.rng.random_bool(0.6);
        self.replace_at(site, index, announced).await;
    }

    /// Draws how an endpoint that leaves states it itself: not at all, as well as its entry, or while its entry stays
    /// ready.
    fn draw_statement(&mut self) -> (bool, bool) {
        let states = self.statements.random_bool(0.6);
        (states, states && self.statements.random_bool(0.5))
    }

    async fn replace_at(&mut self, site: &Site, index: usize, announced: bool) {
        let (states, stays_ready) = if announced { self.draw_statement() } else { (false, false) };
        let stage = {
            let mut parts = site.parts();
            let mut leaving = parts.endpoints.swap_remove(index);
            leaving.left = (!stays_ready).then(Instant::now);
            leaving.server.announce_leaving(states);
            leaving.impair(Impairment::None);
            leaving.set_fault(SiteFault::None);
            if stays_ready {
                // The store has not taken the endpoint's report yet.
            } else if announced {
                site.list(&leaving, "draining");
            } else {
                site.unlist(&leaving);
            }
            let stage = leaving.server.stage();
            parts.ended.push(leaving);
            stage
        };
        self.log(&format!(
            "endpoint {index} leaves {}",
            match (announced, states, stays_ready) {
                (false, ..) => "without a word",
                (true, false, _) => "with a word",
                (true, true, false) => "with a word, also in its responses",
                (true, true, true) => "with a word in its responses only",
            }
        ));
        if let Err(error) = site.add_endpoint(stage).await {
            self.log(&format!("no new endpoint: {error}"));
        }
    }

    /// Now and then an endpoint advertises another rate, a text that is not a rate, or no rate any more.
    fn change_rate(&mut self, site: &Site) {
        const RATES: [Option<&str>; 6] = [Some("3.5"), Some("0"), Some("40"), Some("4,0"), Some("NaN"), None];
        if !self.rates.random_bool(0.1) {
            return;
        }
        let rate = RATES[self.rates.random_range(0..RATES.len())];
        let index = self.rates.random_range(0..site.parts().endpoints.len());
        self.log(&format!("endpoint {index} names {rate:?}"));
        site.parts().endpoints[index].server.advertise_limit(rate);
    }

    /// Now and then an endpoint begins or ceases to state a retry delay in its refusals.
    fn change_retry_delay(&mut self, site: &Site) {
        const DELAYS: [Option<&str>; 5] = [Some("1.5"), Some("3"), Some("0.2"), Some("soon"), None];
        if !self.statements.random_bool(0.2) {
            return;
        }
        let delay = DELAYS[self.statements.random_range(0..DELAYS.len())];
        let index = self.statements.random_range(0..site.parts().endpoints.len());
        self.log(&format!("endpoint {index} states retry delay {delay:?}"));
        site.parts().endpoints[index].server.set_retry_after(delay);
    }

    /// Now and then callers send more than the endpoints serve, and a plain endpoint becomes slow or fast at once.
    fn change_load(&mut self, site: &Site) {
        if self.loads.random_bool(0.1) {
            let time = Duration::from_millis(self.loads.random_range(1_000..3_000));
            self.log(&format!("overload for {time:?}"));
            site.overload.send_replace(Instant::now() + time);
        }
        if self.loads.random_bool(0.1) {
            self.change_pace(site);
        }
    }

    /// Now and then some instances, most or all are cut off from all endpoints.
    fn cut_instances(&mut self, site: &Site) {
        if !self.cuts.random_bool(0.06) {
            return;
        }
        let count = site.parts().instances.len();
        let cut = self.cuts.random_range(1..=count);
        let time = Duration::from_millis(self.cuts.random_range(500..6_000));
        self.cut_some(site, cut, time);
    }

    /// Cuts so many instances off from all endpoints in one way; returns them.
    pub(crate) fn cut_some(&mut self, site: &Site, count: usize, time: Duration) -> Vec<usize> {
        const CUTS: [Impairment; 3] = [Impairment::Reset, Impairment::OneWay, Impairment::Silent];
        let instances = rand::seq::index::sample(&mut self.cuts, site.parts().instances.len(), count);
        let cut = CUTS[self.cuts.random_range(0..CUTS.len())];
        for instance in instances.iter() {
            self.log(&format!("instance {instance} is cut off from endpoints for {time:?}: {cut:?}"));
            site.cut(instance, cut);
            self.undo.push((Instant::now() + time, Undo::Cut(instance)));
        }
        instances.into_vec()
    }

    /// Now and then the open connections of an instance to the store go dead, or those of all instances.
    fn kill_store_connections(&mut self, site: &Site) {
        if !self.stores.random_bool(0.08) {
            return;
        }
        let all = self.stores.random_bool(0.3);
        let parts = site.parts();
        let chosen = self.stores.random_range(0..parts.instances.len());
        for (index, slot) in parts.instances.iter().enumerate().filter(|(index, _)| all || *index == chosen) {
            slot.store_link.kill_open_connections();
            self.log(&format!("open connections of instance {index} to the store go dead"));
        }
    }

    /// Now and then most instances are killed at once.
    fn kill_most_instances(&mut self, site: &Site) {
        if !self.stores.random_bool(0.015) {
            return;
        }
        let count = site.parts().instances.len();
        for index in 0..count {
            if self.stores.random_bool(0.7) {
                self.kill_at(site, index);
            }
        }
    }

    fn change_pace(&mut self, site: &Site) {
        let pace = if self.loads.random_bool(0.5) { 4.0 } else { 0.5 };
        let time = Duration::from_millis(self.loads.random_range(1_000..5_000));
        let parts = site.parts();
        let plain: Vec<_> =
            parts.endpoints.iter().enumerate().filter(|(_, e)| e.server.stage().is_none()).collect();
        let (index, endpoint) = plain[self.loads.random_range(0..plain.len())];
        endpoint.server.set_pace(pace);
        drop(parts);
        self.log(&format!("endpoint {index} works at pace {pace}"));
        self.undo.push((Instant::now() + time, Undo::Pace(index)));
    }

    /// One fault in the middle of an overload: an endpoint becomes slow or fast, or an instance ends or freezes. Or none.
    pub(crate) fn disturb_overload(&mut self, site: &Site) {
        match self.loads.random_range(0..4) {
            0 => self.change_pace(site),
            1 => self.kill_instance(site),
            2 => self.freeze_instance(site),
            _ => {}
        }
    }

    fn publish_configuration(&mut self, site: &Site) {
        site.parts().version += 1;
        self.log(&format!("configuration {}", site.parts().version));
        site.publish();
    }
}

fn signal(site: &Site, index: usize, name: &str) {
    let mut parts = site.parts();
    parts.instances[index].undisturbed_since = Instant::now();
    if let Some(process) = &mut parts.instances[index].process {
        // The process may have ended by itself just now.
        let _ = process.signal(name);
    }
}

/// Draws how an endpoint frames its bodies, and where it cuts them short. It never marks a body that is cut as complete:
/// no caller could tell that from a complete one.
fn draw_body(rng: &mut StdRng) -> SiteBody {
    let framings = [SiteFraming::Length, SiteFraming::Chunked, SiteFraming::Close, SiteFraming::Close];
    let cut = if rng.random_bool(0.5) { SiteCut::Close } else { SiteCut::Reset };
    SiteBody {
        framing: framings[rng.random_range(0..framings.len())],
        cut: rng.random_bool(0.6).then(|| (rng.random_range(0..400), cut)),
        old_version: false,
    }
}
