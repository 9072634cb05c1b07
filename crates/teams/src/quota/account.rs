//! The account of one team: its level, what was admitted lately, and what is known of peers' spending.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::directory::{Limit, TeamTag};

/// Deepest debt, in seconds of the rate. A caller pays for what an instance missed, but not for minutes of it.
const DEBT: f64 = 3.0;
/// Looks for silent peers in the time after which one counts as cut off.
const LOOKS: usize = 4;
/// Part of what was set aside for silent peers that is left at each look after the last one was heard again.
const RESERVE_LEFT: f64 = 0.8;
/// Part of its burst that a team may be admitted at once by instances that do not know what it was admitted before: all of
/// them may have started at the same moment, just after it got the whole.
const START_PART: f64 = 0.25;
/// Longest debt, in seconds of this side's part of the rate, that the beginning of a cut leaves behind. Until the silence is
/// noticed each side admits the part of the other as well, which the tolerance bears; paying it back would have the smaller
/// side refuse everybody for seconds.
const CUT_DEBT: f64 = 1.5;
/// Longest time after which a refused caller is asked to come back.
const WAIT_MAX: Duration = Duration::from_secs(10);
/// Time for which a change of an account is told again, since tellings are lost.
const RETELL: Duration = Duration::from_secs(2);
/// Part of a limit below which a team's use is not told, while the level is over half of the burst. It is what all
/// instances together may hide from one another: well under any tolerance that a deployment can do without.
const QUIET: f64 = 0.1;

/// What an instance has admitted of a team since its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamSpending {
    /// The team.
    pub team: TeamTag,
    /// Units in all, less what was given back.
    pub total: i64,
    /// Those of the last seconds, for whoever hears of this team from this instance for the first time.
    pub recent: u64,
    /// Level of its account, for whoever begins without knowing what was admitted before.
    pub level: i64,
}

/// Why a request is not admitted: the team is at its limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitExceeded {
    /// Time until the level is enough for the request.
    pub wait: Duration,
    /// Time that the rate needs for everything that was refused lately. Callers who are spread over it come back as fast as
    /// they can be served, and not all at once.
    pub backlog: Duration,
}

/// A peer that is silent now.
#[derive(Debug, Clone, Copy)]
pub(super) struct Silence<P> {
    pub(super) peer: P,
    /// Since it was last heard or, once that is accounted for, since the last look.
    pub(super) time: Duration,
    /// Whether this look is the first that finds it silent.
    pub(super) new: bool,
}

/// Sum over the last [`Recent::SECONDS`] seconds.
#[derive(Debug, Clone, Copy, Default)]
struct Recent {
    slots: [f64; Self::SECONDS as usize],
    /// Second of the newest slot.
    second: u64,
}

impl Recent {
    const SECONDS: u64 = 4;

    fn turn(&mut self, now: Duration) {
        let second = now.as_secs();
        for passed in (self.second + 1..=second).take(Self::SECONDS as usize) {
            self.slots[(passed % Self::SECONDS) as usize] = 0.0;
        }
        // More than all slots have passed: `take` cleared each of them once.
        self.second = self.second.max(second);
    }

    fn add(&mut self, now: Duration, units: f64) {
        self.turn(now);
        self.slots[(self.second % Self::SECONDS) as usize] += units;
    }

    fn sum(&mut self, now: Duration) -> f64 {
        self.turn(now);
        self.slots.iter().sum::<f64>().max(0.0)
    }
}

/// What is known of a peer's spending of one team.
#[derive(Debug, Clone, Copy, Default)]
struct Known {
    /// Its last total, if it told one in this life.
    total: Option<i64>,
    /// Whether it was silent since.
    away: bool,
}

/// The account of one team, as one instance keeps it.
#[derive(Debug)]
pub(super) struct Account<P> {
    limit: Limit,
    /// Units that may be admitted now; below zero after more were admitted than the limit allows.
    level: f64,
    /// When the level was last refilled.
    at: Duration,
    /// Admitted here since the start, less what was given back.
    total: i64,
    admitted: Recent,
    refused: Recent,
    /// When something was last admitted here, or given back.
    changed: Duration,
    /// Levels at the last looks, the oldest first.
    levels: [f64; LOOKS],
    /// Set aside for peers that are silent, all together: callers are spread unevenly among them.
    reserve: f64,
    known: HashMap<P, Known>,
}

impl<P: Copy + Eq + Hash> Account<P> {
    /// A full one.
    pub(super) fn new(now: Duration, limit: Limit) -> Self {
        Self {
            limit,
            level: limit.burst,
            at: now,
            total: 0,
            admitted: Recent::default(),
            refused: Recent::default(),
            changed: Duration::ZERO,
            levels: [0.0; LOOKS],
            reserve: 0.0,
            known: HashMap::new(),
        }
    }

    pub(super) const fn level(&self) -> f64 {
        self.level
    }

    pub(super) const fn total(&self) -> i64 {
        self.total
    }

    /// Nothing is known of what others have admitted.
    pub(super) fn begin_anew(&mut self) {
        self.level = self.level.min(self.limit.burst * START_PART);
        self.known.clear();
    }

    /// Another limit is in force. A raised burst can be used at once.
    pub(super) fn change_limit(&mut self, limit: Limit) {
        self.level += (limit.burst - self.limit.burst).max(0.0);
        self.limit = limit;
    }

    /// Admits a request after a refill, if the level is enough for it; so many instances are `heard`.
    pub(super) fn admit(
        &mut self,
        now: Duration,
        cost: f64,
        part: f64,
        heard: f64,
    ) -> Result<(), LimitExceeded> {
        // A request larger than the burst is admitted when the level is full; the debt keeps the rate.
        let need = cost.min(self.limit.burst * part);
        if self.level < need {
            self.refused.add(now, cost);
            let rate = (self.limit.rate * part).max(f64::MIN_POSITIVE);
            let refused = self.refused.sum(now) * heard;
            let (wait, backlog) = ((need - self.level) / rate, refused / rate);
            return Err(LimitExceeded { wait: bounded(wait), backlog: bounded(backlog) });
        }
        self.take(cost);
        self.total += cost as i64;
        self.admitted.add(now, cost);
        self.changed = now;
        Ok(())
    }

    /// Gives back what surely has not run, after a refill.
    pub(super) fn give_back(&mut self, now: Duration, cost: f64) {
        self.level += cost;
        self.total -= cost as i64;
        self.admitted.add(now, -cost);
        self.changed = now;
    }

    /// A new life of a peer counts from nothing.
    pub(super) fn forget(&mut self, peer: P) {
        self.known.remove(&peer);
    }

    /// Ends a look: `part` of the limit is this side's from now on.
    pub(super) fn note_level(&mut self, part: f64) {
        // Shrinks a level that was filled with the part of those who are silent now.
        self.level = self.level.min(self.limit.burst * part);
        self.levels.rotate_left(1);
        self.levels[LOOKS - 1] = self.level;
    }

    /// What others are to be told after a refill, if the team is near its limit; `everyone` is how many instances there are.
    pub(super) fn news(
        &mut self,
        now: Duration,
        team: TeamTag,
        part: f64,
        everyone: f64,
    ) -> Option<TeamSpending> {
        if self.total == 0 || now.saturating_sub(self.changed) > RETELL {
            return None;
        }
        let recent = self.admitted.sum(now);
        let use_of_all = recent * everyone / Recent::SECONDS as f64;
        let low = self.level < self.limit.burst * part / 2.0;
        let near = low || use_of_all >= self.limit.rate * QUIET;
        let (total, level) = (self.total, self.level as i64);
        near.then_some(TeamSpending { team, total, recent: recent as u64, level })
    }

    /// Refills for the time since the last time; `part` of the limit is this side's.
    pub(super) fn refill(&mut self, now: Duration, part: f64) {
        let time = now.saturating_sub(self.at);
        self.at = self.at.max(now);
        let level = self.level + self.limit.rate * part * time.as_secs_f64();
        self.level = level.min(self.limit.burst * part);
    }

    /// Sets aside what silent peers may admit, an equal part of the limit `each`; `part` is that of those who are heard.
    pub(super) fn set_aside(&mut self, silences: &[Silence<P>], each: f64, part: f64) {
        if silences.is_empty() {
            // Of those who were silent nobody tells more than the next tellings do.
            self.reserve *= RESERVE_LEFT;
        }
        let floor = self.level.min(-CUT_DEBT * self.limit.rate * part);
        for silence in silences {
            let refilled = self.limit.rate * silence.time.as_secs_f64();
            let before = if silence.new { self.levels[0].max(0.0) } else { 0.0 };
            let units = (before + refilled) * each;
            self.reserve += units;
            if silence.new {
                self.known.entry(silence.peer).or_default().away = true;
                // Both sides went on with the whole level, and with the whole rate, until the silence was noticed.
                self.level -= units;
            }
        }
        self.level = self.level.max(floor);
    }

    fn take(&mut self, units: f64) {
        self.level = (self.level - units).max(-DEBT * self.limit.rate);
    }

    /// A peer tells what it has admitted.
    pub(super) fn told(&mut self, peer: P, spending: TeamSpending, newcomer: bool) {
        let known = self.known.entry(peer).or_default();
        let more = match known.total.replace(spending.total) {
            Some(before) => (spending.total - before) as f64,
            None if newcomer => return self.level = self.level.min(spending.level as f64),
            None => spending.recent as f64,
        };
        let set_aside = if std::mem::take(&mut known.away) { self.reserve.min(more.max(0.0)) } else { 0.0 };
        self.reserve -= set_aside;
        self.take(more - set_aside);
    }
}

fn bounded(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds.clamp(0.0, WAIT_MAX.as_secs_f64()))
}
