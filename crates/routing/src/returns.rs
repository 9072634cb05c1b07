//! When callers that are refused for lack of capacity are asked to return, and which of them go first then.
//!
//! A caller returns once, mostly to another instance. If each instance chose the delays by itself, callers
//! would return together in some moments and find the capacity used up, and leave it unused in others. Each
//! instance therefore keeps a schedule of the units (calls or tokens) that it promised for each quarter of a
//! second, and reports it while it is not empty. A promise is made for the first time at which the part of
//! the capacity that is reserved for returns is not promised yet, by any instance.
//!
//! A promise belongs to no caller: a request that is recognized as a return takes units that are due. More
//! requests may return than were promised anything, since a refusal without a promise names a time too. Each
//! instance therefore counts the units that returns ask for, and where they exceed what is due, a return takes
//! a promise with the probability that makes up for that.
//!
//! Bounds:
//! - Instances that promise at the same moment do not know of each other. Of what is free in a quarter second,
//!   an instance promises an equal share among the known instances until its reports have arrived
//!   ([`SETTLE_TIME`]). Where the share is smaller than a request, it is the probability of a promise, and is
//!   used up whether or not the promise is made. The sum of all instances therefore stays within the reserve
//!   on average, and beyond it by the spread of the draws: with requests of `u` units and a reserve of `c`
//!   units in a quarter second, by about `sqrt(c * u)`. Each further [`SETTLE_TIME`] in which reports are lost
//!   adds at most the lost instances' shares of what seems free.
//! - Instances that do not know of each other's redemptions yet may admit more returns than were promised. Each
//!   takes at most 1.25 times its share of what is due, and two requests, until its reports have arrived.
//! - A promise that nobody takes is dropped a second after the end of its quarter second. Only the order of
//!   requests depends on promises: no capacity is idle because of one.
//! - What is known of a peer expires with its report.

use std::collections::{BTreeMap, HashMap};
use std::hash::Hash;
use std::ops::RangeInclusive;
use std::time::{Duration, Instant};

use rand::Rng;

use crate::windows::{Counters, PeerReports};

/// Length of the steps of a schedule.
const QUARTER: Duration = Duration::from_millis(250);
/// Quarter seconds after its own in which a promise is valid.
const VALID_AFTER: u64 = 4;
/// Quarter seconds before its own in which a promise is valid.
const VALID_BEFORE: u64 = 1;
/// Quarter seconds in one report. They cover the valid promises too, and one more quarter second, so that
/// peers learn what was redeemed before they drop the rest.
const QUARTERS_MAX: usize = 32;
/// Quarter seconds before the present one in a report.
const REPORTED_BEHIND: u64 = VALID_AFTER + 1;
/// Quarter seconds after the present one in a report.
const REPORTED_AHEAD: u64 = QUARTERS_MAX as u64 - 1 - REPORTED_BEHIND;
/// Quarter seconds in the sums over instances: one more at each end, since instances' quarters do not begin at
/// the same time.
const SPAN: usize = QUARTERS_MAX + 2;
/// Quarter seconds before the present one in the sums.
const BEHIND: u64 = REPORTED_BEHIND + 1;
/// Longest delay that is stated.
pub const RETURN_DELAY_MAX: Duration = QUARTER.saturating_mul(REPORTED_AHEAD as u32);
/// Shortest delay that is stated: a caller that returns at once meets the same shortage.
pub const RETURN_DELAY_MIN: Duration = Duration::from_millis(150);
/// Fraction of a caller's remaining time that it waits at most before it returns. Callers wait for a third;
/// the rest covers the way of the response and of the next request.
const PATIENCE_FRACTION: f64 = 0.32;
/// Part of the longest delay from which delays without a promise are drawn.
const UNPROMISED_FRACTION_MIN: f64 = 0.75;
/// Part of the capacity that is promised to returns.
const RESERVED_FRACTION: f64 = 0.25;
/// Time in which all instances have each other's reports: a constant, and a part for each known instance. The
/// gossip interval is 25 ms plus 1 ms for each; reports to other failure domains carry the schedule in two of
/// five cases.
const SETTLE_TIME: (Duration, Duration) = (Duration::from_millis(750), Duration::from_millis(1));
/// Factor by which the units of returns may exceed those that are due before returns are drawn, and an
/// instance's part its share. The counts of a second vary by about as much.
const SURPLUS: f64 = 1.25;
/// Requests that an instance may admit beyond its share of what is due: with hundreds of instances the share is
/// smaller than a request.
const SHARE_REQUESTS: f64 = 2.0;
/// Time for which the sums of the peers' schedules are kept.
const SUMS_TTL: Duration = Duration::from_millis(20);
/// Services in one report.
const SERVICES_MAX: usize = 8;
/// Units in a quarter second above which a report is that of a broken sender.
const UNITS_MAX: u32 = 10_000_000;
/// Largest capacity that is taken into account, in units per second.
const CAPACITY_MAX: f64 = 1e12;

/// Largest number of instances that a reserve is divided among.
const INSTANCES_MAX: usize = 10_000;

/// Units of one quarter second.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ReturnUnits {
    /// Promised for this quarter second.
    pub promised: u32,
    /// The part of them that returns have taken.
    pub redeemed: u32,
    /// What returns asked for in this quarter second, while something was due.
    pub asked: u32,
}

impl Counters for ReturnUnits {
    fn add(&mut self, other: Self) {
        self.promised = self.promised.saturating_add(other.promised);
        self.redeemed = self.redeemed.saturating_add(other.redeemed);
        self.asked = self.asked.saturating_add(other.asked);
    }
}

impl ReturnUnits {
    const fn is_plausible(self) -> bool {
        self.promised <= UNITS_MAX && self.redeemed <= UNITS_MAX && self.asked <= UNITS_MAX
    }
}

/// What one instance reports of its schedule for a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReturnReport {
    /// Tag of the service.
    pub service: u32,
    /// Time since the sender's present quarter second began.
    pub age: Duration,
    /// Units by quarter second; 0 is the sender's present one.
    pub quarters: Vec<(i8, ReturnUnits)>,
}

/// A refused caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RefusedCaller {
    /// Units of its request.
    pub units: u32,
    /// Shortest delay after which its return is recognized as one; `None` if it never is, or if the caller is
    /// not expected to return. Such a caller is promised nothing.
    pub earliest: Option<Duration>,
    /// Rest of the time that it has.
    pub remaining: Duration,
}

/// When a refused caller is asked to return, and why then.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReturnTime {
    /// Delay to state; spread already.
    pub delay: Duration,
    /// Whether capacity is promised.
    pub promised: bool,
    /// Units that were promised before, up to that time.
    pub before: u64,
}

#[derive(Debug)]
struct Schedule<P> {
    own: BTreeMap<u64, ReturnUnits>,
    /// Units of this instance's shares that were used in the present and in the previous [`SETTLE_TIME`], by
    /// quarter second.
    used: BTreeMap<u64, [f64; 2]>,
    /// Units that returns took here in the present and in the previous [`SETTLE_TIME`].
    taken: [u64; 2],
    /// When the present [`SETTLE_TIME`] began.
    settled: Option<Instant>,
    peers: PeerReports<P, Vec<(u64, ReturnUnits)>>,
    /// Sums of the peers' reports from a quarter second on, and when they were computed.
    peer_sums: Option<(Instant, u64, [ReturnUnits; SPAN])>,
    /// Promises for quarter seconds before this one were dropped.
    dropped: u64,
}

impl<P> Default for Schedule<P> {
    fn default() -> Self {
        Self {
            own: BTreeMap::new(),
            used: BTreeMap::new(),
            taken: [0; 2],
            settled: None,
            peers: PeerReports::default(),
            peer_sums: None,
            dropped: 0,
        }
    }
}

impl<P: Copy + Eq + Hash> Schedule<P> {
    /// Units of all instances by quarter second, from `first` on.
    fn sums(&mut self, now: Instant, first: u64) -> [ReturnUnits; SPAN] {
        let place = |quarter: u64| usize::try_from(quarter.checked_sub(first)?).ok().filter(|&p| p < SPAN);
        let recent = |at: Instant| now.saturating_duration_since(at) < SUMS_TTL;
        let kept = self.peer_sums.filter(|&(at, from, _)| from == first && recent(at));
        let mut sums = kept.map_or_else(
            || {
                let mut sums = [ReturnUnits::default(); SPAN];
                for &(quarter, units) in self.peers.valid(now).flat_map(|(_, quarters)| quarters) {
                    if let Some(place) = place(quarter) {
                        sums[place].add(units);
                    }
                }
                self.peer_sums = Some((now, first, sums));
                sums
            },
            |(_, _, sums)| sums,
        );
        for (&quarter, &units) in &self.own {
            if let Some(place) = place(quarter) {
                sums[place].add(units);
            }
        }
        sums
    }

    /// Forgets used shares that all instances know of by now.
    fn settle(&mut self, now: Instant, instances: u32) {
        let settle_time = SETTLE_TIME.0 + SETTLE_TIME.1 * instances;
        let elapsed = now.saturating_duration_since(*self.settled.get_or_insert(now));
        if elapsed < settle_time {
            return;
        }
        self.settled = Some(now);
        let is_recent = elapsed < settle_time * 2;
        self.taken = [0, if is_recent { self.taken[0] } else { 0 }];
        self.used.retain(|_, [present, previous]| {
            *previous = if is_recent { *present } else { 0.0 };
            *present = 0.0;
            *previous > 0.0
        });
    }

    fn is_empty(&self) -> bool {
        self.own.is_empty() && self.used.is_empty() && self.peers.is_empty()
    }
}

/// What returns can be promised.
#[derive(Debug, Clone, Copy)]
struct Reserve {
    /// Units in each quarter second.
    reserved: f64,
    /// Instances that promise them.
    instances: f64,
}

impl Reserve {
    fn new(capacity: f64, instances: u32) -> Self {
        let capacity = if capacity.is_nan() { 0.0 } else { capacity.clamp(0.0, CAPACITY_MAX) };
        let reserved = capacity * RESERVED_FRACTION * QUARTER.as_secs_f64();
        Self { reserved, instances: f64::from(instances) }
    }
}

/// Units that are free in each quarter second, if `reserved` ones are in each. What exceeds one quarter second
/// uses the following ones.
fn free_units(sums: &[ReturnUnits; SPAN], reserved: f64) -> [f64; SPAN] {
    let mut carried = 0.0;
    sums.map(|units| {
        let used = f64::from(units.promised) + carried;
        carried = (used - reserved).max(0.0);
        (reserved - used).max(0.0)
    })
}

/// Schedules of returns by service, as one instance knows them. `P` names an instance.
#[derive(Debug)]
pub struct Returns<P> {
    /// When quarter seconds begin here.
    origin: Option<Instant>,
    /// Known instances, this one included.
    instances: u32,
    services: HashMap<u32, Schedule<P>>,
}

impl<P> Default for Returns<P> {
    fn default() -> Self {
        Self { origin: None, instances: 1, services: HashMap::new() }
    }
}

impl<P: Copy + Eq + Hash> Returns<P> {
    /// Sets the number of known instances, this one included.
    pub fn share_among(&mut self, instances: usize) {
        self.instances = instances.clamp(1, INSTANCES_MAX) as u32;
    }

    /// Number of the quarter second of a time. The first ones leave room for earlier ones that peers report.
    fn quarter(&mut self, at: Instant) -> u64 {
        let origin = *self.origin.get_or_insert(at);
        let elapsed = at.saturating_duration_since(origin).as_millis() / QUARTER.as_millis();
        u64::try_from(elapsed).unwrap_or(u64::MAX / 2) + 2 * BEHIND
    }

    /// Time since a quarter second began.
    fn phase(&self, at: Instant) -> Duration {
        let elapsed = self.origin.map_or(Duration::ZERO, |origin| at.saturating_duration_since(origin));
        Duration::from_nanos((elapsed.as_nanos() % QUARTER.as_nanos()) as u64)
    }

    /// Chooses the time at which a refused caller is to return, and promises capacity for that time if some is
    /// left. The service has a `capacity` of so many units per second. `None` if the caller has too little time
    /// for any return.
    pub fn promise(
        &mut self,
        now: Instant,
        service: u32,
        caller: RefusedCaller,
        capacity: f64,
        rng: &mut impl Rng,
    ) -> Option<ReturnTime> {
        let latest = caller.remaining.mul_f64(PATIENCE_FRACTION).min(RETURN_DELAY_MAX);
        if latest < RETURN_DELAY_MIN {
            return None;
        }
        let earliest = caller.earliest.map(|earliest| earliest.max(RETURN_DELAY_MIN));
        let (current, phase, instances) = (self.quarter(now), self.phase(now), self.instances);
        let schedule = self.services.entry(service).or_default();
        schedule.settle(now, instances);
        let sums = schedule.sums(now, current - BEHIND);
        let before = |quarter: u64| {
            let places = BEHIND as usize..=(quarter + BEHIND - current) as usize;
            sums[places].iter().map(|units| u64::from(units.promised)).sum()
        };
        let units = caller.units.clamp(1, UNITS_MAX);
        let quarter_of =
            |delay: Duration| current + ((phase + delay).as_millis() / QUARTER.as_millis()) as u64;
        let last = quarter_of(latest);
        let reserve = Reserve::new(capacity, instances);
        if let Some(earliest) = earliest.filter(|earliest| *earliest <= latest)
            && let Some(quarter) =
                schedule.reserve(now, current, units, quarter_of(earliest)..=last, reserve, rng)
        {
            let own = schedule.own.entry(quarter).or_default();
            own.promised = own.promised.saturating_add(units);
            let until = |quarter: u64| (QUARTER * (quarter - current) as u32).saturating_sub(phase);
            let begin = until(quarter).max(earliest);
            let length = until(quarter + 1).min(latest).saturating_sub(begin);
            let delay = begin + length.mul_f64(rng.random_range(0.0..1.0));
            return Some(ReturnTime { delay, promised: true, before: before(quarter) });
        }
        let delay = latest.mul_f64(rng.random_range(UNPROMISED_FRACTION_MIN..1.0)).max(RETURN_DELAY_MIN);
        Some(ReturnTime { delay, promised: false, before: before(last) })
    }

    /// Takes units that are due for a request that returns. Returns whether the request goes before others.
    pub fn redeem(&mut self, now: Instant, service: u32, units: u32, rng: &mut impl Rng) -> bool {
        if self.services.is_empty() {
            return false;
        }
        let (current, instances) = (self.quarter(now), self.instances);
        let Some(schedule) = self.services.get_mut(&service) else { return false };
        schedule.settle(now, instances);
        let units = units.clamp(1, UNITS_MAX);
        let first = current - BEHIND;
        let mut sums = schedule.sums(now, first);
        let due = (BEHIND - VALID_AFTER) as usize..=(BEHIND + VALID_BEFORE) as usize;
        // Instances' quarters differ in phase: a redemption may appear beside the quarter of its promise.
        let excess = |units: ReturnUnits| u64::from(units.redeemed.saturating_sub(units.promised));
        let beside = excess(sums[due.start() - 1]) + excess(sums[due.end() + 1]);
        let (mut promised, mut redeemed) = (0_u64, beside);
        for units in &sums[due.clone()] {
            promised += u64::from(units.promised);
            redeemed += u64::from(units.redeemed);
        }
        if promised == 0 {
            return false;
        }
        let own = schedule.own.entry(current).or_default();
        own.asked = own.asked.saturating_add(units);
        sums[BEHIND as usize].asked = sums[BEHIND as usize].asked.saturating_add(units);
        let left = promised.saturating_sub(redeemed);
        let taken: u64 = schedule.taken.iter().sum();
        let share = promised as f64 / f64::from(instances) * SURPLUS + f64::from(units) * SHARE_REQUESTS;
        if left < u64::from(units) || (taken + u64::from(units)) as f64 > share {
            return false;
        }
        let recent = &sums[*due.start()..=BEHIND as usize];
        let asked: u64 = recent.iter().map(|units| u64::from(units.asked)).sum();
        let fraction = promised as f64 * SURPLUS / (asked.max(1) as f64);
        if fraction < 1.0 && !rng.random_bool(fraction.clamp(0.0, 1.0)) {
            return false;
        }
        schedule.taken[0] += u64::from(units);
        let mut left = units;
        for place in due.clone() {
            let taken = sums[place].promised.saturating_sub(sums[place].redeemed).min(left);
            let taken = if place == *due.end() { left } else { taken };
            if taken > 0 {
                let own = schedule.own.entry(first + place as u64).or_default();
                own.redeemed = own.redeemed.saturating_add(taken);
                left -= taken;
            }
        }
        true
    }

    /// What is to be reported to peers now; nothing while nothing is promised.
    pub fn reports(&mut self, now: Instant) -> Vec<ReturnReport> {
        if self.services.is_empty() {
            return Vec::new();
        }
        let (current, age) = (self.quarter(now), self.phase(now));
        let range = current - REPORTED_BEHIND..=current + REPORTED_AHEAD;
        let mut reports: Vec<(u64, ReturnReport)> = Vec::new();
        for (&service, schedule) in &self.services {
            let quarters: Vec<(i8, ReturnUnits)> = schedule
                .own
                .range(range.clone())
                .filter(|(_, units)| **units != ReturnUnits::default())
                .map(|(&quarter, &units)| ((quarter as i64 - current as i64) as i8, units))
                .collect();
            if !quarters.is_empty() {
                let promised = quarters.iter().map(|(_, units)| u64::from(units.promised)).sum();
                reports.push((promised, ReturnReport { service, age, quarters }));
            }
        }
        reports.sort_by_key(|(promised, report)| (std::cmp::Reverse(*promised), report.service));
        reports.truncate(SERVICES_MAX);
        reports.into_iter().map(|(_, report)| report).collect()
    }

    /// Replaces what a peer reports; `lifetime` is the time for which the report counts. Returns how many parts
    /// of the report were dropped because they are implausible.
    pub fn merge(
        &mut self,
        now: Instant,
        from: P,
        lifetime: Duration,
        mut reports: Vec<ReturnReport>,
    ) -> usize {
        let total = reports.len();
        reports.truncate(SERVICES_MAX);
        reports.retain(|report| report.age < QUARTER && report.quarters.len() <= QUARTERS_MAX);
        let mut dropped = total - reports.len();
        for (service, schedule) in &mut self.services {
            if !reports.iter().any(|report| report.service == *service) {
                schedule.peers.replace(now, from, lifetime, None);
            }
        }
        let (current, phase) = (self.quarter(now), self.phase(now));
        for ReturnReport { service, age, quarters } in reports {
            // The sender's quarter counts for the quarter here that has its middle.
            let present = if phase + QUARTER / 2 < age {
                current - 1
            } else if phase + QUARTER / 2 >= age + QUARTER {
                current + 1
            } else {
                current
            };
            let count = quarters.len();
            let range = -(REPORTED_BEHIND as i8)..=REPORTED_AHEAD as i8;
            let known: Vec<(u64, ReturnUnits)> = quarters
                .into_iter()
                .filter(|(quarter, units)| range.contains(quarter) && units.is_plausible())
                .map(|(quarter, units)| (present.saturating_add_signed(quarter.into()), units))
                .collect();
            dropped += count - known.len();
            let known = (!known.is_empty()).then_some(known);
            self.services.entry(service).or_default().peers.replace(now, from, lifetime, known);
        }
        dropped
    }

    /// Removes what is outdated. Returns the units that were promised here and were not taken, by service.
    pub fn expire(&mut self, now: Instant) -> Vec<(u32, u32)> {
        if self.services.is_empty() {
            return Vec::new();
        }
        let current = self.quarter(now);
        let first = current - BEHIND;
        let mut dropped = Vec::new();
        for (&service, schedule) in &mut self.services {
            schedule.peers.expire(now);
            schedule.peer_sums = None;
            let sums = schedule.sums(now, first);
            let lapsed = schedule.dropped..current - VALID_AFTER;
            let lost = schedule.own.range(lapsed).map(|(&quarter, own)| {
                let sum = quarter.checked_sub(first).map_or(*own, |place| sums[place as usize]);
                let taken = f64::from(sum.redeemed) / f64::from(sum.promised.max(1));
                (f64::from(own.promised) * (1.0 - taken).max(0.0)) as u32
            });
            let lost = lost.fold(0, u32::saturating_add);
            if lost > 0 {
                dropped.push((service, lost));
            }
            schedule.dropped = current - VALID_AFTER;
            schedule.own.retain(|&quarter, _| quarter >= first);
            schedule.used.retain(|&quarter, _| quarter >= current);
        }
        self.services.retain(|_, schedule| !schedule.is_empty());
        dropped
    }
}

impl<P: Copy + Eq + Hash> Schedule<P> {
    /// Finds the first of these quarter seconds in which so many units of the reserve are free for this
    /// instance, and uses its share there.
    fn reserve(
        &mut self,
        now: Instant,
        current: u64,
        units: u32,
        quarters: RangeInclusive<u64>,
        reserve: Reserve,
        rng: &mut impl Rng,
    ) -> Option<u64> {
        let (Reserve { reserved, instances }, units) = (reserve, f64::from(units));
        if reserved * (SPAN as f64) < units {
            return None;
        }
        let first = current - BEHIND;
        let free = free_units(&self.sums(now, first), reserved);
        // A request that is larger than the reserve of a quarter second uses the following ones too.
        let length = (units / reserved).ceil() as usize + 1;
        for quarter in quarters {
            let place = (quarter - first) as usize;
            if free[place] <= 0.0 {
                continue;
            }
            let window = &free[place..SPAN.min(place + length)];
            if window.iter().sum::<f64>() < units {
                continue;
            }
            let shares: Vec<(u64, f64)> = (quarter..)
                .zip(window)
                .map(|(quarter, &free)| {
                    let used = self.used.get(&quarter).map_or(0.0, |[present, previous]| present + previous);
                    let share = (free + used).min(reserved) / instances;
                    (quarter, (share - used).clamp(0.0, free))
                })
                .collect();
            let available: f64 = shares.iter().map(|&(_, share)| share).sum();
            if available <= 0.0 {
                continue;
            }
            let mut left = units;
            for (quarter, share) in shares {
                let taken = share.min(left);
                left -= taken;
                if taken > 0.0 {
                    self.used.entry(quarter).or_default()[0] += taken;
                }
            }
            if available >= units || rng.random_bool((available / units).clamp(0.0, 1.0)) {
                return Some(quarter);
            }
        }
        None
    }
}
