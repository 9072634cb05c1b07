//! The account of one team on one instance: its level, its recent admissions, and the last known spending of
//! each peer.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::precedence::{Demand, RequestClass, admits};
use crate::directory::{Limit, TeamTag};

/// Largest debt, in seconds of the rate. After admissions that an instance learns of late, callers have to
/// wait, but only for seconds.
const MAX_DEBT_SECONDS: f64 = 3.0;
/// Ticks within the failure timeout of a peer.
const TICKS_PER_FAILURE_TIMEOUT: usize = 4;
/// Fraction of the reserve that remains after each tick once no peer is unresponsive.
const RESERVE_DECAY: f64 = 0.8;
/// Fraction of the burst that a team may be admitted at once where an instance does not know what was
/// admitted before. All instances may have started at the same moment, just after the team used the full
/// burst.
const RESET_BURST_FRACTION: f64 = 0.25;
/// Largest debt, in seconds of the reachable instances' share of the rate, that the start of a network
/// partition leaves. Until the failure timeout passes each side also admits the other side's share, which the
/// tolerance covers. Repaying it in full would make the smaller side refuse every request for seconds.
const MAX_PARTITION_DEBT_SECONDS: f64 = 1.5;
/// Upper bound of the delays that a refused caller is given.
const MAX_WAIT: Duration = Duration::from_secs(10);
/// Time for which a change of an account is reported repeatedly, since updates are lost.
const REPORT_REPEAT_TIME: Duration = Duration::from_secs(2);
/// Fraction of a limit below which a team's use is not reported, while the level is over half of the burst.
/// All instances together may leave this much unreported, which is well below the tolerance that every
/// deployment needs.
const UNREPORTED_FRACTION: f64 = 0.1;

/// Units that an instance has admitted for a team since its start, as it reports them to its peers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamSpending {
    /// The team.
    pub team: TeamTag,
    /// Units admitted in total, less refunds.
    pub total: i64,
    /// Units admitted in the last seconds, for an instance that receives this team's spending from the sender
    /// for the first time.
    pub recent: u64,
    /// Level of the sender's account, for an instance that starts without knowing what was admitted before.
    pub level: i64,
}

/// A request is not admitted, because its team is at its limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitExceeded {
    /// Time until the level suffices for the request, and for the margin that it leaves to more urgent requests.
    pub wait: Duration,
    /// Time that the rate needs for all recently refused requests. Callers whose retries are spread over this
    /// time retry as fast as they can be served, and not all at once.
    pub backlog: Duration,
}

/// A peer that was not observed for the failure timeout.
#[derive(Debug, Clone, Copy)]
pub(super) struct UnresponsivePeer<P> {
    pub(super) id: P,
    /// Time since the peer was last observed or, once that is accounted for, since the last tick.
    pub(super) elapsed: Duration,
    /// Whether this tick is the first that finds the peer unresponsive.
    pub(super) newly_unresponsive: bool,
}

/// Sum over the last [`SlidingSum::SECONDS`] seconds.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct SlidingSum {
    slots: [f64; Self::SECONDS as usize],
    /// Second of the newest slot.
    second: u64,
}

impl SlidingSum {
    pub(super) const SECONDS: u64 = 4;

    fn advance(&mut self, now: Duration) {
        let second = now.as_secs();
        for passed in (self.second + 1..=second).take(Self::SECONDS as usize) {
            self.slots[(passed % Self::SECONDS) as usize] = 0.0;
        }
        // If more seconds have passed than there are slots, `take` has cleared each slot once.
        self.second = self.second.max(second);
    }

    pub(super) fn add(&mut self, now: Duration, units: f64) {
        self.advance(now);
        self.slots[(self.second % Self::SECONDS) as usize] += units;
    }

    pub(super) fn sum(&mut self, now: Duration) -> f64 {
        self.advance(now);
        self.slots.iter().sum::<f64>().max(0.0)
    }
}

/// What a peer has reported of its spending for one team.
#[derive(Debug, Clone, Copy, Default)]
struct PeerSpending {
    /// The last total reported in the peer's current incarnation, if any.
    last_total: Option<i64>,
    /// Whether the peer has been unresponsive since its last report.
    was_unresponsive: bool,
}

/// A team's token bucket on one instance.
#[derive(Debug)]
pub(super) struct Account<P> {
    limit: Limit,
    /// Units that may be admitted now; negative after more was admitted than the limit allows.
    level: f64,
    /// When the level was last refilled.
    refilled_at: Duration,
    /// Units admitted by this instance since its start, less refunds.
    total: i64,
    admitted: SlidingSum,
    refused: SlidingSum,
    demand: Demand,
    /// When this instance last admitted or refunded units.
    changed_at: Duration,
    /// Levels at the last ticks, the oldest first.
    recent_levels: [f64; TICKS_PER_FAILURE_TIMEOUT],
    /// Units that unresponsive peers may admit. There is one sum for all of them, since callers are spread
    /// unevenly among them.
    reserve: f64,
    peers: HashMap<P, PeerSpending>,
}

impl<P: Copy + Eq + Hash> Account<P> {
    /// Creates a full account.
    pub(super) fn new(now: Duration, limit: Limit) -> Self {
        Self {
            limit,
            level: limit.burst,
            refilled_at: now,
            total: 0,
            admitted: SlidingSum::default(),
            refused: SlidingSum::default(),
            demand: Demand::default(),
            changed_at: Duration::ZERO,
            recent_levels: [0.0; TICKS_PER_FAILURE_TIMEOUT],
            reserve: 0.0,
            peers: HashMap::new(),
        }
    }

    pub(super) const fn level(&self) -> f64 {
        self.level
    }

    pub(super) const fn total(&self) -> i64 {
        self.total
    }

    /// Restarts the account without knowledge of what peers have admitted.
    pub(super) fn reset(&mut self) {
        self.level = self.level.min(self.limit.burst * RESET_BURST_FRACTION);
        self.peers.clear();
    }

    /// Changes the limit. A raised burst can be used at once.
    pub(super) fn change_limit(&mut self, limit: Limit) {
        self.level += (limit.burst - self.limit.burst).max(0.0);
        self.limit = limit;
    }

    /// Counts a request and returns the units that it leaves to more urgent requests. `share` is the reachable
    /// instances' share of the limit, `reachable` their number.
    pub(super) fn request_margin(
        &mut self,
        now: Duration,
        class: RequestClass,
        cost: f64,
        share: f64,
        reachable: f64,
    ) -> f64 {
        self.demand.record(now, class, cost);
        self.demand.margin(now, class, cost, reachable, self.limit.burst * share)
    }

    /// Admits a request if the level suffices; to be called after a refill. `share` is the reachable
    /// instances' share of the limit, `reachable` their number. `margin` is what the request leaves to more
    /// urgent ones; if the level does not cover it, the random number `draw` decides.
    pub(super) fn admit(
        &mut self,
        now: Duration,
        cost: f64,
        share: f64,
        reachable: f64,
        margin: f64,
        draw: f64,
    ) -> Result<(), LimitExceeded> {
        // A request larger than the burst is admitted when the level is full. The debt that follows keeps the
        // average at the rate.
        let required = cost.min(self.limit.burst * share);
        let surplus = self.level - required;
        if !admits(surplus, margin, draw) {
            self.refused.add(now, cost);
            let rate = (self.limit.rate * share).max(f64::MIN_POSITIVE);
            let refused = self.refused.sum(now) * reachable;
            let (wait, backlog) = ((margin - surplus) / rate, refused / rate);
            return Err(LimitExceeded { wait: bounded_wait(wait), backlog: bounded_wait(backlog) });
        }
        self.charge(cost);
        self.total += cost as i64;
        self.admitted.add(now, cost);
        self.changed_at = now;
        Ok(())
    }

    /// Refunds a request that certainly has not run; to be called after a refill.
    pub(super) fn refund(&mut self, now: Duration, cost: f64) {
        self.level += cost;
        self.total -= cost as i64;
        self.admitted.add(now, -cost);
        self.changed_at = now;
    }

    /// Forgets what a peer has reported: a new incarnation counts from zero.
    pub(super) fn forget_peer(&mut self, peer: P) {
        self.peers.remove(&peer);
    }

    /// Ends a tick: `share` is the reachable instances' share of the limit from now on.
    pub(super) fn record_level(&mut self, share: f64) {
        // Removes what the level was filled with for peers that are unresponsive now.
        self.level = self.level.min(self.limit.burst * share);
        self.recent_levels.rotate_left(1);
        self.recent_levels[TICKS_PER_FAILURE_TIMEOUT - 1] = self.level;
    }

    /// Returns what to report to peers, if the team is near its limit; to be called after a refill.
    /// `instances` is the number of all instances.
    pub(super) fn report(
        &mut self,
        now: Duration,
        team: TeamTag,
        share: f64,
        instances: f64,
    ) -> Option<TeamSpending> {
        if self.total == 0 || now.saturating_sub(self.changed_at) > REPORT_REPEAT_TIME {
            return None;
        }
        let recent = self.admitted.sum(now);
        let estimated_rate = recent * instances / SlidingSum::SECONDS as f64;
        let low_level = self.level < self.limit.burst * share / 2.0;
        let near_limit = low_level || estimated_rate >= self.limit.rate * UNREPORTED_FRACTION;
        let (total, level) = (self.total, self.level as i64);
        near_limit.then_some(TeamSpending { team, total, recent: recent as u64, level })
    }

    /// Refills the level for the time since the last refill; `share` is the reachable instances' share of the
    /// limit.
    pub(super) fn refill(&mut self, now: Duration, share: f64) {
        let elapsed = now.saturating_sub(self.refilled_at);
        self.refilled_at = self.refilled_at.max(now);
        let level = self.level + self.limit.rate * share * elapsed.as_secs_f64();
        self.level = level.min(self.limit.burst * share);
    }

    /// Reserves what unresponsive peers may admit, a share of `instance_share` for each of them; `share` is
    /// the reachable instances' share of the limit.
    pub(super) fn reserve_for(
        &mut self,
        unresponsive: &[UnresponsivePeer<P>],
        instance_share: f64,
        share: f64,
    ) {
        if unresponsive.is_empty() {
            // All peers are reachable again. Their next updates report everything that they admitted
            // meanwhile, so the reserve is not needed after those.
            self.reserve *= RESERVE_DECAY;
        }
        let floor = self.level.min(-MAX_PARTITION_DEBT_SECONDS * self.limit.rate * share);
        for peer in unresponsive {
            let refilled = self.limit.rate * peer.elapsed.as_secs_f64();
            let level_before = if peer.newly_unresponsive { self.recent_levels[0].max(0.0) } else { 0.0 };
            let units = (level_before + refilled) * instance_share;
            self.reserve += units;
            if peer.newly_unresponsive {
                self.peers.entry(peer.id).or_default().was_unresponsive = true;
                // Until the failure timeout passed, both sides of a partition used the full level and the
                // full rate.
                self.level -= units;
            }
        }
        self.level = self.level.max(floor);
    }

    fn charge(&mut self, units: f64) {
        self.level = (self.level - units).max(-MAX_DEBT_SECONDS * self.limit.rate);
    }

    /// Merges what a peer reports to have admitted.
    pub(super) fn merge(&mut self, peer: P, spending: TeamSpending, warming_up: bool) {
        let known = self.peers.entry(peer).or_default();
        let units = match known.last_total.replace(spending.total) {
            Some(previous) => (spending.total - previous) as f64,
            None if warming_up => return self.level = self.level.min(spending.level as f64),
            None => spending.recent as f64,
        };
        let from_reserve =
            if std::mem::take(&mut known.was_unresponsive) { self.reserve.min(units.max(0.0)) } else { 0.0 };
        self.reserve -= from_reserve;
        self.charge(units - from_reserve);
    }
}

fn bounded_wait(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds.clamp(0.0, MAX_WAIT.as_secs_f64()))
}
