//! What breaks, and how it heals.

use rand::Rng;
use teaselshunt_core::Event;
use teaselshunt_settings::{EndpointState, Role};

use super::network::Side;
use super::{Happening, World};

/// Something that breaks or heals. Numbers are taken modulo what there is, so that any number is meaningful.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// An instance's process ends on the spot.
    Kill(usize),
    /// An ended process is started again under its name.
    Start(usize),
    /// An instance is told to stop, and is started again when it has.
    Stop(usize),
    /// An instance's process stands still.
    Freeze(usize),
    /// It goes on.
    Thaw(usize),
    /// Two sides cannot reach each other.
    Cut(Side, Side),
    /// They can again.
    Mend(Side, Side),
    /// The platform answers nothing.
    Outage,
    /// It answers again.
    OutageEnd,
    /// The platform's reads come from a replica that lags.
    Stale,
    /// They do not.
    StaleEnd,
    /// An endpoint makes no progress.
    Stall(usize),
    /// It goes on.
    StallEnd(usize),
    /// An endpoint refuses new work as busy.
    Refuse(usize),
    /// It does not.
    RefuseEnd(usize),
    /// The connections of a decode engine's streams are lost track of.
    Silence(usize),
    /// A caller sends one of two requests that crash every engine which begins to generate for them.
    Deadly(usize),
    /// An operator drains an endpoint by a patch.
    Drain(usize),
    /// An operator takes it back.
    Undrain(usize),
    /// An operator moves the sites' shares: the first site gets this share of 100.
    Share(u32),
    /// Everything heals.
    HealAll,
}

impl World {
    fn node_of(&self, number: usize) -> usize {
        number % self.nodes.len()
    }

    fn side_of(&self, side: Side) -> Side {
        match side {
            Side::Domain(number) => Side::Domain(number % self.network.count()),
            Side::Platform => Side::Platform,
        }
    }

    pub(super) fn break_or_heal(&mut self, fault: Fault) {
        self.disturbed = self.now;
        let endpoints = self.engines.len();
        match fault {
            Fault::Kill(n) => self.kill(self.node_of(n)),
            Fault::Start(n) => self.start(self.node_of(n)),
            Fault::Stop(n) => self.stop(self.node_of(n)),
            Fault::Freeze(n) => self.freeze(self.node_of(n)),
            Fault::Thaw(n) => self.thaw(self.node_of(n)),
            Fault::Cut(a, b) => self.cut(a, b, true),
            Fault::Mend(a, b) => self.cut(a, b, false),
            Fault::Outage => self.platform.down = true,
            Fault::OutageEnd => self.platform.down = false,
            Fault::Stale => self.platform.stale = true,
            Fault::StaleEnd => self.platform.stale = false,
            Fault::Stall(n) => self.engines[n % endpoints].stalled = true,
            Fault::StallEnd(n) => self.unstall(n % endpoints),
            Fault::Refuse(n) => self.engines[n % endpoints].refusing = true,
            Fault::RefuseEnd(n) => self.engines[n % endpoints].refusing = false,
            Fault::Silence(n) => self.engines[n % endpoints].silence(),
            Fault::Deadly(n) => self.ask_deadly(n % 2),
            Fault::Drain(n) => self.drain(n % endpoints, true),
            Fault::Undrain(n) => self.drain(n % endpoints, false),
            Fault::Share(share) => self.publish(|c| {
                let share = share.min(100);
                for (i, site) in c.sites.iter_mut().enumerate() {
                    site.share = if i == 0 { share } else { 100 - share };
                }
            }),
            Fault::HealAll => self.heal_all(),
        }
    }

    fn cut(&mut self, a: Side, b: Side, cut: bool) {
        self.network.set_cut(self.side_of(a), self.side_of(b), cut);
        let lag = self.options.list_lag;
        self.after(lag, Happening::Relist);
    }

    fn start(&mut self, node: usize) {
        if !self.nodes[node].alive() {
            self.boot(node);
            let lag = self.options.list_lag;
            self.after(lag, Happening::Relist);
        }
    }

    fn stop(&mut self, node: usize) {
        if self.nodes[node].alive() {
            self.nodes[node].leaving = true;
            let lag = self.options.list_lag;
            self.after(lag, Happening::Relist);
            self.step(node, Event::Stop);
        }
    }

    /// Drains one endpoint, never the last active one of its kind: what then remains to be served is the
    /// operators' choice, not the router's.
    fn drain(&mut self, endpoint: usize, drain: bool) {
        if drain && !self.draining.is_empty() {
            return;
        }
        if drain {
            self.draining.insert(endpoint, self.now);
        } else if self.draining.remove(&endpoint).is_none() {
            return;
        }
        let state = if drain { EndpointState::Draining } else { EndpointState::Active };
        self.publish(|c| c.endpoints[endpoint].state = state);
    }

    pub(super) fn heal_all(&mut self) {
        self.disturbed = self.now;
        self.network.heal();
        self.platform.down = false;
        self.platform.stale = false;
        for endpoint in 0..self.engines.len() {
            self.engines[endpoint].refusing = false;
            self.unstall(endpoint);
        }
        for node in 0..self.nodes.len() {
            self.thaw(node);
            self.start(node);
        }
        self.after(self.options.list_lag, Happening::Relist);
    }

    /// A random decode engine, for faults that need one.
    pub fn random_decode_endpoint(&mut self) -> usize {
        let found = self.random_endpoint(Role::Decode);
        found.unwrap_or_else(|| self.rng.random_range(0..self.engines.len()))
    }
}
