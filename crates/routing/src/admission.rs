//! Admission to a service that does not have capacity for all requests.
//!
//! While a service is contended, instances report to one another how much each class of requests asks for and
//! gets. From the sums each instance computes the same division of the capacity ([`divide`]): by priority, and
//! within a priority by weighted max-min fairness between teams. It admits a request with the probability that
//! its class gets. No instance needs to know how many instances there are, or which of them a caller uses.
//!
//! The load that this answers: a burst in which urgent requests, or those of small teams, would be refused as
//! often as all others.
//!
//! Invariants:
//! - a service that is not contended refuses nothing here;
//! - what is known of a peer expires with its report, so that an instance without reachable peers divides by
//!   its own demand.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::{Duration, Instant};

use crate::Priority;
use crate::windows::{Counters, PeerReports, Window};

/// Window of the demand of a class: several requests of most classes, and shorter than a burst.
const WINDOW: Duration = Duration::from_secs(1);
/// Time for which a request without capacity marks a service as contended. While a shortage lasts, further
/// requests meet it well within this time.
const SHORTAGE_TTL: Duration = Duration::from_millis(500);
/// Time for which a peer's report of a shortage counts.
const REPORTED_SHORTAGE_TTL: Duration = Duration::from_millis(400);
/// Interval at which the division is computed anew.
const DIVISION_INTERVAL: Duration = Duration::from_millis(100);
/// Classes in one report of a service; the largest ones where there are more.
const CLASSES_MAX: usize = 24;
/// Services in one report.
const SERVICES_MAX: usize = 8;
/// Units of a class above which a report is that of a broken sender.
const UNITS_MAX: u32 = 100_000_000;
/// Part of the capacity that is kept for less urgent classes, so that they are not starved.
const LESS_URGENT_FRACTION: f64 = 0.05;
/// Capacity that is assumed of engines, as a multiple of what they admitted lately. The surplus finds capacity
/// that has become free; requests beyond it wait and are refused as before.
const CAPACITY_SURPLUS: f64 = 1.1;

/// Requests of one priority and team.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Class {
    /// Their priority.
    pub priority: Priority,
    /// Tag of the team; 0 for callers without a team.
    pub team: u32,
}

/// What a class asked for and got in a window, in units: calls at plain services, tokens at engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Load {
    /// Units of the requests that arrived.
    pub offered: u32,
    /// The part that got capacity.
    pub admitted: u32,
}

impl Counters for Load {
    fn add(&mut self, other: Self) {
        self.offered = self.offered.saturating_add(other.offered);
        self.admitted = self.admitted.saturating_add(other.admitted);
    }
}

/// What one instance reports of a contended service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceLoad {
    /// Tag of the service.
    pub service: u32,
    /// Whether the sender itself met a shortage lately.
    pub shortage: bool,
    /// Load by class.
    pub classes: Vec<(Class, Load)>,
}

/// Demand of a class in a division of capacity.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Demand {
    /// The class.
    pub class: Class,
    /// Share of the class within its priority, relative to others.
    pub weight: f64,
    /// Units that the class asks for.
    pub offered: f64,
}

/// Largest amount and weight in a division; sums and products of such numbers are finite.
const AMOUNT_MAX: f64 = 1e18;

/// The number within bounds; the lower one if it is not a number.
fn bounded(number: f64, min: f64) -> f64 {
    if number.is_nan() { min } else { number.clamp(min, AMOUNT_MAX) }
}

/// Divides capacity among classes; returns the fraction of its demand that each gets, in the same order.
///
/// More urgent classes come first, but a small part of the capacity is kept for the others. Within a priority
/// the division is max-min fair by weight: nobody gets more than it asks for, and what is left goes to those
/// that ask for more.
pub fn divide(capacity: f64, demands: &[Demand]) -> Vec<f64> {
    let bounded_demand = |demand: &Demand| Demand {
        weight: bounded(demand.weight, f64::MIN_POSITIVE),
        offered: bounded(demand.offered, 0.0),
        ..*demand
    };
    let demands: &[Demand] = &demands.iter().map(bounded_demand).collect::<Vec<_>>();
    let mut fractions = vec![1.0; demands.len()];
    let mut order: Vec<usize> = (0..demands.len()).filter(|&i| demands[i].offered > 0.0).collect();
    order.sort_by_key(|&i| demands[i].class.priority);
    let mut left = bounded(capacity, 0.0);
    let mut rest: f64 = order.iter().map(|&i| demands[i].offered).sum();
    let levels = order.chunk_by(|&a, &b| demands[a].class.priority == demands[b].class.priority);
    for level in levels {
        let offered: f64 = level.iter().map(|&i| demands[i].offered).sum();
        rest -= offered;
        let kept = (left * LESS_URGENT_FRACTION).min(rest.max(0.0));
        let available = left - kept;
        if offered <= available {
            left -= offered;
            continue;
        }
        share_level(available, level, demands, &mut fractions);
        left = kept;
    }
    fractions
}

/// Weighted max-min division within one priority.
fn share_level(available: f64, level: &[usize], demands: &[Demand], fractions: &mut [f64]) {
    let mut order = level.to_vec();
    let ratio = |i: usize| demands[i].offered / demands[i].weight;
    order.sort_by(|&a, &b| ratio(a).total_cmp(&ratio(b)));
    // Weights of the rest of the order, summed from its end: a running difference would lose small weights.
    let mut weights: Vec<f64> = order.iter().map(|&i| demands[i].weight).collect();
    for place in (1..weights.len()).rev() {
        weights[place - 1] += weights[place];
    }
    let mut left = available;
    for (&i, weight) in order.iter().zip(weights) {
        let share = (left * (demands[i].weight / weight)).min(demands[i].offered);
        fractions[i] = (share / demands[i].offered).clamp(0.0, 1.0);
        left -= share;
    }
}

#[derive(Debug)]
struct ServiceState<P> {
    own: HashMap<Class, Window<Load>>,
    peers: PeerReports<P, (bool, Vec<(Class, Load)>)>,
    /// When this instance last met a shortage.
    shortage_at: Option<Instant>,
    /// When limits were last in force at all endpoints.
    limited_at: Option<Instant>,
    /// The division, and when it was computed.
    division: Option<(Instant, HashMap<Class, f64>)>,
    /// Units per second that were admitted, and when that was computed.
    admitted: Option<(Instant, f64)>,
}

impl<P> Default for ServiceState<P> {
    fn default() -> Self {
        Self {
            own: HashMap::new(),
            peers: PeerReports::default(),
            shortage_at: None,
            limited_at: None,
            division: None,
            admitted: None,
        }
    }
}

impl<P: Copy + Eq + Hash> ServiceState<P> {
    fn has_shortage(&self, now: Instant) -> bool {
        self.shortage_at.is_some_and(|at| now.saturating_duration_since(at) < SHORTAGE_TTL)
    }

    fn is_contended(&self, now: Instant) -> bool {
        self.has_shortage(now)
            || self.peers.valid(now).any(|(age, (shortage, _))| *shortage && age < REPORTED_SHORTAGE_TTL)
    }

    /// Whether limits are in force at all endpoints, so that a shortage may begin at any moment.
    fn is_limited(&self, now: Instant) -> bool {
        self.limited_at.is_some_and(|at| now.saturating_duration_since(at) < SHORTAGE_TTL)
    }

    /// Load by class, summed over this instance and the peers whose reports still count.
    fn totals(&mut self, now: Instant) -> HashMap<Class, Load> {
        let mut totals: HashMap<Class, Load> =
            self.own.iter_mut().map(|(&class, window)| (class, window.sum(now))).collect();
        for (_, (_, classes)) in self.peers.valid(now) {
            for &(class, load) in classes {
                totals.entry(class).or_default().add(load);
            }
        }
        totals
    }

    fn divide(
        &mut self,
        now: Instant,
        rate: Option<f64>,
        weight: impl Fn(u32) -> f64,
    ) -> HashMap<Class, f64> {
        let totals = self.totals(now);
        let admitted: f64 = totals.values().map(|load| f64::from(load.admitted)).sum();
        let capacity = rate.map_or(admitted * CAPACITY_SURPLUS, |rate| rate * WINDOW.as_secs_f64());
        let demands: Vec<Demand> = totals
            .iter()
            .filter(|(_, load)| load.offered > 0)
            .map(|(&class, load)| Demand {
                class,
                weight: weight(class.team),
                offered: f64::from(load.offered),
            })
            .collect();
        if demands.len() < 2 {
            return HashMap::new();
        }
        let fractions = divide(capacity, &demands);
        demands.iter().zip(fractions).map(|(demand, fraction)| (demand.class, fraction)).collect()
    }
}

/// Load of the services, as one instance knows it. `P` names an instance.
#[derive(Debug)]
pub struct Admission<P> {
    services: HashMap<u32, ServiceState<P>>,
}

impl<P> Default for Admission<P> {
    fn default() -> Self {
        Self { services: HashMap::new() }
    }
}

impl<P: Copy + Eq + Hash> Admission<P> {
    fn window(&mut self, now: Instant, service: u32, class: Class) -> &mut Window<Load> {
        let state = self.services.entry(service).or_default();
        state.own.entry(class).or_insert_with(|| Window::new(now, WINDOW))
    }

    /// Counts a request that arrived.
    pub fn offer(&mut self, now: Instant, service: u32, class: Class, units: u32) {
        self.window(now, service, class).add(now, Load { offered: units, admitted: 0 });
    }

    /// Counts a request that got capacity.
    pub fn admit(&mut self, now: Instant, service: u32, class: Class, units: u32) {
        self.window(now, service, class).add(now, Load { offered: 0, admitted: units });
    }

    /// Records that limits are in force at all endpoints of a plain service. Instances exchange its load from then on, and
    /// classes have precedence by it: until a first refusal, urgent requests would compete with all others.
    pub fn observe_limits(&mut self, now: Instant, service: u32) {
        self.services.entry(service).or_default().limited_at = Some(now);
    }

    /// Records that a request to the service found no capacity.
    pub fn observe_shortage(&mut self, now: Instant, service: u32) {
        self.services.entry(service).or_default().shortage_at = Some(now);
    }

    /// Whether requests to the service lack capacity, here or at a peer.
    pub fn is_contended(&self, now: Instant, service: u32) -> bool {
        self.services.get(&service).is_some_and(|state| state.is_contended(now))
    }

    /// Units per second that requests to a contended service ask for, here and at peers; `None` if it is not
    /// contended.
    pub fn demand(&mut self, now: Instant, service: u32) -> Option<f64> {
        let state = self.services.get_mut(&service).filter(|state| state.is_contended(now))?;
        let offered: f64 = state.totals(now).values().map(|load| f64::from(load.offered)).sum();
        Some(offered / WINDOW.as_secs_f64())
    }

    /// The probability with which a request of a class is admitted now. `rate` is the capacity in units per
    /// second, if it is known; else it is taken from what was admitted lately. `weight` gives a team's weight.
    pub fn fraction(
        &mut self,
        now: Instant,
        service: u32,
        class: Class,
        rate: Option<f64>,
        weight: impl Fn(u32) -> f64,
    ) -> f64 {
        let Some(state) = self.services.get_mut(&service) else { return 1.0 };
        let contended = state.is_contended(now);
        if !contended && !state.is_limited(now) {
            state.division = None;
            return 1.0;
        }
        let recent = |at: Instant| now.saturating_duration_since(at) < DIVISION_INTERVAL;
        if !state.division.as_ref().is_some_and(|&(at, _)| recent(at)) {
            let fractions = state.divide(now, rate, weight);
            // A known capacity that the demand exceeds is a shortage, also if nothing is sent beyond it.
            if contended && rate.is_some() && fractions.values().any(|&fraction| fraction < 1.0) {
                state.shortage_at = Some(now);
            }
            state.division = Some((now, fractions));
        }
        if !contended {
            return 1.0;
        }
        let fractions = state.division.as_ref().map(|(_, fractions)| fractions);
        fractions.and_then(|fractions| fractions.get(&class)).copied().unwrap_or(1.0)
    }

    /// Units per second that instances admitted lately together; at most a tenth of a second old.
    pub fn admitted_rate(&mut self, now: Instant, service: u32) -> f64 {
        let Some(state) = self.services.get_mut(&service) else { return 0.0 };
        let recent = |at: Instant| now.saturating_duration_since(at) < DIVISION_INTERVAL;
        if let Some((_, rate)) = state.admitted.filter(|&(at, _)| recent(at)) {
            return rate;
        }
        let admitted: f64 = state.totals(now).values().map(|load| f64::from(load.admitted)).sum();
        let rate = admitted / WINDOW.as_secs_f64();
        state.admitted = Some((now, rate));
        rate
    }

    /// Whether a class goes before others: the latest division admits it wholly, and a less urgent one in part.
    pub fn has_precedence(&self, service: u32, class: Class) -> bool {
        let Some((_, fractions)) = self.services.get(&service).and_then(|state| state.division.as_ref())
        else {
            return false;
        };
        let held_back =
            fractions.iter().any(|(other, &fraction)| fraction < 1.0 && class.priority < other.priority);
        held_back && fractions.get(&class).is_none_or(|&fraction| fraction >= 1.0)
    }

    /// What is to be reported to peers now: the load of contended services.
    pub fn reports(&mut self, now: Instant) -> Vec<ServiceLoad> {
        let mut reports = Vec::new();
        for (&service, state) in &mut self.services {
            if !state.is_contended(now) && !state.is_limited(now) {
                continue;
            }
            let shortage = state.has_shortage(now);
            let mut classes: Vec<(Class, Load)> = state
                .own
                .iter_mut()
                .map(|(&class, window)| (class, window.sum(now)))
                .filter(|(_, load)| *load != Load::default())
                .collect();
            classes.sort_by_key(|&(class, load)| (std::cmp::Reverse(load.offered), class));
            classes.truncate(CLASSES_MAX);
            reports.push(ServiceLoad { service, shortage, classes });
        }
        reports.sort_by_key(|report| (std::cmp::Reverse(report.classes.len()), report.service));
        reports.truncate(SERVICES_MAX);
        reports
    }

    /// Replaces what a peer reports; `lifetime` is the time for which the report counts.
    pub fn merge(&mut self, now: Instant, from: P, lifetime: Duration, mut reports: Vec<ServiceLoad>) {
        reports.truncate(SERVICES_MAX);
        for (service, state) in &mut self.services {
            if !reports.iter().any(|report| report.service == *service) {
                state.peers.replace(now, from, lifetime, None);
            }
        }
        for mut report in reports {
            let plausible = |load: &Load| load.offered <= UNITS_MAX && load.admitted <= UNITS_MAX;
            report.classes.retain(|(_, load)| plausible(load));
            report.classes.truncate(CLASSES_MAX);
            let state = self.services.entry(report.service).or_default();
            state.peers.replace(now, from, lifetime, Some((report.shortage, report.classes)));
        }
    }

    /// Removes what is outdated.
    pub fn expire(&mut self, now: Instant) {
        for state in self.services.values_mut() {
            state.peers.expire(now);
            state.own.retain(|_, window| window.sum(now) != Load::default());
            // Nothing asks for a division any more, such as after the end of the limits of a plain service.
            let outdated = |at: Instant| now.saturating_duration_since(at) >= DIVISION_INTERVAL * 2;
            state.division.take_if(|(at, _)| outdated(*at));
        }
        self.services.retain(|_, state| !state.own.is_empty() || !state.peers.is_empty());
    }
}
