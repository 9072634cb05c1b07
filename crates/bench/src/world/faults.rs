//! Faults and their repair.

use std::time::Duration;

use rand::Rng;
use teaselshunt_core::Event;
use teaselshunt_settings::{EndpointState, Role};

use super::network::Side;
use super::{SimEvent, World};

/// Length of a pause of an endpoint in milliseconds. Another engine is sought for a stream after two stalls.
const PAUSE_MS: std::ops::Range<u64> = 300..9_000;

/// A fault or a repair. Numbers of instances, endpoints and domains are taken modulo their count, so that
/// every number is valid.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// An instance is killed.
    Kill(usize),
    /// An instance that is not running is started again under its name.
    Start(usize),
    /// An instance begins a graceful shutdown. The instance stays down until [`Fault::Start`] or
    /// [`Fault::HealAll`].
    Stop(usize),
    /// An instance's process freezes.
    Freeze(usize),
    /// A frozen process resumes.
    Thaw(usize),
    /// Two sides are partitioned from each other.
    Cut(Side, Side),
    /// The partition of two sides ends.
    Mend(Side, Side),
    /// The platform stops answering.
    Outage,
    /// The platform answers again.
    OutageEnd,
    /// The platform's reads are answered by a replica that lags.
    Stale,
    /// The platform's reads are up to date again.
    StaleEnd,
    /// An endpoint stalls: it accepts steps and completes none.
    Stall(usize),
    /// The stall of an endpoint ends.
    StallEnd(usize),
    /// An endpoint is silent and goes on some seconds later: what it receives meanwhile waits, as in the buffers of
    /// a process that is stopped.
    Pause(usize),
    /// An endpoint refuses new work as busy.
    Refuse(usize),
    /// The endpoint accepts new work again.
    RefuseEnd(usize),
    /// The streams of a decode engine lose the connections to their instances, and the engine does not
    /// notice.
    Silence(usize),
    /// A caller submits one of two requests that crash every engine that starts to generate for them.
    Deadly(usize),
    /// An operator drains an endpoint by a patch of the configuration.
    Drain(usize),
    /// An operator ends the draining of an endpoint.
    Undrain(usize),
    /// An operator changes the shares of the sites. The first site gets this number of 100, and every other
    /// site gets the rest.
    Share(u32),
    /// All faults end, and every instance that is not running is started.
    HealAll,
}

impl World {
    fn node_index(&self, number: usize) -> usize {
        number % self.nodes.len()
    }

    fn known_side(&self, side: Side) -> Side {
        match side {
            Side::Domain(number) => Side::Domain(number % self.network.domain_count()),
            Side::Platform => Side::Platform,
        }
    }

    pub(super) fn apply_fault(&mut self, fault: Fault) {
        self.last_disturbance = self.now;
        let endpoints = self.engines.len();
        match fault {
            Fault::Kill(n) => self.kill(self.node_index(n)),
            Fault::Start(n) => self.start(self.node_index(n)),
            Fault::Stop(n) => self.stop(self.node_index(n)),
            Fault::Freeze(n) => self.freeze(self.node_index(n)),
            Fault::Thaw(n) => self.unfreeze(self.node_index(n)),
            Fault::Cut(a, b) => self.set_partitioned(a, b, true),
            Fault::Mend(a, b) => self.set_partitioned(a, b, false),
            Fault::Outage => self.platform.is_down = true,
            Fault::OutageEnd => self.platform.is_down = false,
            Fault::Stale => self.platform.is_stale = true,
            Fault::StaleEnd => self.platform.is_stale = false,
            Fault::Stall(n) => self.engines[n % endpoints].stalled = true,
            Fault::StallEnd(n) => self.end_stall(n % endpoints),
            Fault::Pause(n) => self.pause(n % endpoints),
            Fault::Refuse(n) => self.engines[n % endpoints].refusing = true,
            Fault::RefuseEnd(n) => self.engines[n % endpoints].refusing = false,
            Fault::Silence(n) => self.engines[n % endpoints].disconnect_streams(),
            Fault::Deadly(n) => self.schedule_crashing_request(n % 2),
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

    fn pause(&mut self, endpoint: usize) {
        self.begin_silence(endpoint);
        let length = Duration::from_millis(self.rng.random_range(PAUSE_MS));
        self.schedule_after(length, SimEvent::Fault(Fault::StallEnd(endpoint)));
    }

    fn set_partitioned(&mut self, a: Side, b: Side, partitioned: bool) {
        self.network.set_partitioned(self.known_side(a), self.known_side(b), partitioned);
        let lag = self.options.list_lag;
        self.schedule_after(lag, SimEvent::ListUpdate);
    }

    fn start(&mut self, node: usize) {
        if !self.nodes[node].is_running() {
            self.start_process(node);
            let lag = self.options.list_lag;
            self.schedule_after(lag, SimEvent::ListUpdate);
        }
    }

    fn stop(&mut self, node: usize) {
        if self.nodes[node].is_running() {
            self.nodes[node].leaving = true;
            let lag = self.options.list_lag;
            self.schedule_after(lag, SimEvent::ListUpdate);
            self.step(node, Event::Stop);
        }
    }

    /// Drains an endpoint or ends its draining. Only one endpoint drains at a time, so that most kinds of
    /// endpoints stay active. The last active one of a kind may be drained: its requests must then be refused
    /// at once.
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
        self.last_disturbance = self.now;
        self.network.heal();
        self.platform.is_down = false;
        self.platform.is_stale = false;
        for endpoint in 0..self.engines.len() {
            self.engines[endpoint].refusing = false;
            self.end_stall(endpoint);
        }
        for node in 0..self.nodes.len() {
            self.unfreeze(node);
            self.start(node);
        }
        self.schedule_after(self.options.list_lag, SimEvent::ListUpdate);
    }

    /// A random decode endpoint, for faults that need one.
    pub fn random_decode_endpoint(&mut self) -> usize {
        let endpoint = self.random_endpoint(Role::Decode);
        endpoint.unwrap_or_else(|| self.rng.random_range(0..self.engines.len()))
    }
}
