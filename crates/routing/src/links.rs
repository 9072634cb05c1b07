//! Whether this instance reaches the endpoints directly, by what its own connections show.
//!
//! An endpoint that does not answer may have ended, be silent for a moment, or be well and only cut off from this
//! instance. What tells them apart is a check: the endpoint is asked directly and, if it does not answer, through a
//! peer. Only an endpoint that answers through a peer and not directly counts as lost to this instance. Whatever
//! arrives over a direct connection that was opened later ends that at once.
//!
//! Invariants:
//! - a link is lost only while nothing has arrived over a connection that was opened after the loss;
//! - an endpoint is unreachable only after [`FAILED_CHECKS`] checks in a row that no path answered, and is still asked
//!   directly as long as any other link works, so that one that is silent for a moment stays in use;
//! - a check is in progress until it is answered or its patience ends, and is not repeated meanwhile; patience is no shorter
//!   than what the last answer took and grows with each check that was not answered, so that no check goes on asking for
//!   an answer sooner than the endpoint can give it;
//! - checks are begun within a [`CheckBudget`], so that they do not become the load that keeps endpoints from answering; one
//!   that a peer's tunnel waits for is begun at once, and counted: there are no more of them than tunnels that peers ask for;
//! - nothing that a check did not find counts against an endpoint that was heard since the check began;
//! - a link that requests use counts as working only if it has answered since another one was found not to, or else is
//!   checked; links that are only used for peers are not, since checks for peers would cause checks without end;
//! - what is not used any more is forgotten, unless nothing is reached at all, so that the number of links is bounded by
//!   the endpoints in use.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::Rng;

use crate::check_budget::CheckBudget;
use crate::link::{CHECK_PAUSE_MIN, CheckTimes, Link, State};

/// Time without a byte from any endpoint, while a request waits, after which the link of that request is checked.
const SILENCE: Duration = Duration::from_millis(400);
/// The same for a link that is silent while others are not: prompts of other requests may be before one.
const LINK_SILENCE: Duration = Duration::from_millis(1500);
/// Longest time between two checks of a link that nothing reaches.
const CHECK_PAUSE_MAX: Duration = Duration::from_secs(1);
/// Time between two checks whether a lost link is back, while all links are lost.
const RETURN_PAUSE: Duration = Duration::from_millis(500);
/// The same while some links work: the others are probably back as well.
const RETURN_PAUSE_PARTIAL: Duration = Duration::from_millis(50);
/// Checks that reached nothing before an endpoint counts as unreachable.
const FAILED_CHECKS: u32 = 2;
/// Lost links, with nothing heard directly, from which all links count as lost.
const LOST_QUORUM: usize = 2;
/// Unreachable endpoints of a service, with nothing heard directly, from which its requests are refused although others of
/// its endpoints were not tried.
const UNREACHABLE_QUORUM: u32 = 3;
/// Time between two requests that try one of those.
const TRIAL_PAUSE: Duration = Duration::from_millis(250);
/// Time after which a link that is not used is forgotten.
const RETENTION: Duration = Duration::from_secs(10);
/// Age up to which a failure of a link says something about the others.
const FAILURE_AGE: Duration = Duration::from_secs(3);
/// Checks that start at a time.
const CHECKS_MAX: usize = 4;
/// Checks in progress at a time.
const CHECKS_IN_PROGRESS_MAX: usize = 32;

/// How requests reach an endpoint now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Path {
    /// Over a connection of this instance's own.
    Direct,
    /// Through a peer.
    Tunnel,
    /// Not at all: nothing reaches any endpoint.
    None,
}

/// What a check of a link has found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CheckResult {
    /// The endpoint answered directly.
    Direct,
    /// The endpoint answered through a peer only.
    Tunnel,
    /// The endpoint did not answer, and a peer that reaches others could not reach it either, or there was no peer to ask.
    Neither,
}

/// What a request that nothing reaches an endpoint for can wait for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Probe {
    /// A check that is to be made now.
    Begun,
    /// A check that another one has begun.
    InProgress,
    /// None: a check has just failed, or others come first.
    Later,
}

/// A change of what is known about a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkChange {
    /// Only peers reach the endpoint.
    Lost,
    /// Nothing reaches the endpoint.
    Unreachable,
    /// The endpoint is reached directly again.
    Restored,
}

/// Links to the endpoints that are in use.
#[derive(Debug, Default)]
pub struct Links {
    known: BTreeMap<SocketAddr, Link>,
    /// When the last byte arrived directly from any endpoint.
    heard: Option<Instant>,
    /// When a link last failed.
    failed: Option<Instant>,
    /// When an endpoint was last found to be lost or unreachable.
    not_reached: Option<Instant>,
    /// Since when all links count as lost.
    cut_since: Option<Instant>,
    /// When the next check of a lost link may start.
    next_return: Option<Instant>,
    /// Whether any peer takes tunnels.
    has_peers: bool,
    /// When the next request may try an endpoint although nothing was reached.
    next_trial: Option<Instant>,
    budget: CheckBudget,
}

impl Links {
    /// How a request reaches the endpoint at this address.
    pub fn path(&mut self, now: Instant, endpoint: SocketAddr) -> Path {
        let (cut, isolated) = (self.cut_since, self.is_isolated(now));
        let link = self.known.entry(endpoint).or_default();
        (link.used, link.requested) = (Some(now), Some(now));
        link.join_cut(cut);
        match link.state {
            State::Unreachable if isolated => Path::None,
            State::Lost => Path::Tunnel,
            // A tunnel that cannot be opened is a failure of which nothing was sent.
            State::Unreachable if cut.is_some() => Path::Tunnel,
            State::Direct | State::Unreachable => Path::Direct,
        }
    }

    /// Whether the link to an endpoint is lost.
    pub fn is_lost(&self, endpoint: SocketAddr) -> bool {
        match self.known.get(&endpoint).map(|link| link.state) {
            Some(State::Lost) => true,
            Some(State::Unreachable) => false,
            Some(State::Direct) | None => self.is_cut_off(),
        }
    }

    /// Records that a request was sent over a direct connection.
    pub fn record_send(&mut self, now: Instant, endpoint: SocketAddr) {
        let cut = self.cut_since;
        let link = self.known.entry(endpoint).or_default();
        link.used = Some(now);
        link.waiting.get_or_insert(now);
        link.join_cut(cut);
    }

    /// Records that bytes arrived over a direct connection that was opened at `opened`. Returns whether the link is
    /// restored by that. A connection that is older than the loss may live on while new ones fail.
    pub fn record_bytes(&mut self, now: Instant, endpoint: SocketAddr, opened: Instant) -> bool {
        self.heard = Some(now);
        let cut = self.cut_since;
        let link = self.known.entry(endpoint).or_default();
        link.waiting = None;
        link.heard = Some(now);
        link.join_cut(cut);
        if link.lost.is_some_and(|lost| opened < lost) {
            return false;
        }
        link.failures = 0;
        link.failed_checks = 0;
        link.unanswered = 0;
        link.lost = None;
        let restored = link.state != State::Direct;
        link.state = State::Direct;
        if restored && self.cut_since.take().is_some() {
            // The others are checked one after the other, and used through peers until then.
            self.next_return = Some(now);
        }
        restored
    }

    /// Records that a direct connection could not be opened, or broke before its response began.
    pub fn record_failure(&mut self, now: Instant, endpoint: SocketAddr) {
        self.failed = Some(now);
        let cut = self.cut_since;
        let link = self.known.entry(endpoint).or_default();
        link.used.get_or_insert(now);
        link.join_cut(cut);
        link.failures += 1;
        link.failed = Some(now);
    }

    /// Whether a peer may be asked now for a way to an endpoint that cannot be reached directly.
    pub fn may_ask_peer(&self, now: Instant, endpoint: SocketAddr) -> bool {
        self.known.get(&endpoint).is_none_or(|link| link.failed_checks == 0 || link.may_check(now))
    }

    /// Records the result of a check, or of an attempt to connect that counts as one.
    pub fn record_check(
        &mut self,
        now: Instant,
        endpoint: SocketAddr,
        result: CheckResult,
    ) -> Option<LinkChange> {
        match result {
            CheckResult::Direct => self.record_bytes(now, endpoint, now).then_some(LinkChange::Restored),
            CheckResult::Tunnel => self.record_tunnel(now, endpoint),
            CheckResult::Neither => self.record_failed_check(now, endpoint),
        }
    }

    /// Records the result of a check that began at `began`. Bytes that have arrived since are newer.
    pub fn record_check_since(
        &mut self,
        began: Instant,
        now: Instant,
        endpoint: SocketAddr,
        result: CheckResult,
    ) -> Option<LinkChange> {
        let heard = self.known.get(&endpoint).and_then(|link| link.heard);
        let is_outdated = result != CheckResult::Direct && heard.is_some_and(|heard| heard >= began);
        if is_outdated { None } else { self.record_check(now, endpoint, result) }
    }

    /// A peer reached an endpoint that did not answer directly.
    fn record_tunnel(&mut self, now: Instant, endpoint: SocketAddr) -> Option<LinkChange> {
        let link = self.known.entry(endpoint).or_default();
        link.waiting = None;
        link.failures = 0;
        link.failed_checks = 0;
        let is_new = link.state != State::Lost;
        link.lose(now);
        self.not_reached = Some(now);
        self.find_cut(now);
        is_new.then_some(LinkChange::Lost)
    }

    /// Finds out whether all links count as lost: enough are, or one is and none works.
    fn find_cut(&mut self, now: Instant) {
        let silent = self.heard.is_none_or(|heard| now.duration_since(heard) >= SILENCE);
        let lost = self.lost_count();
        let none_works = self.known.values().all(|link| link.state != State::Direct);
        if self.cut_since.is_none() && (lost >= LOST_QUORUM && silent || lost > 0 && none_works) {
            self.cut_since = Some(now);
        }
    }

    fn record_failed_check(&mut self, now: Instant, endpoint: SocketAddr) -> Option<LinkChange> {
        let link = self.known.entry(endpoint).or_default();
        let doublings = link.failed_checks.min(8);
        link.next_check = Some(now + (CHECK_PAUSE_MIN * 2_u32.pow(doublings)).min(CHECK_PAUSE_MAX));
        link.failed_checks += 1;
        if link.failed_checks < FAILED_CHECKS || link.state == State::Unreachable {
            return None;
        }
        link.state = State::Unreachable;
        self.not_reached = Some(now);
        // The peers that were asked may have lost their own links.
        self.find_cut(now);
        Some(LinkChange::Unreachable)
    }

    /// Links to check now: those that may be lost, those that nothing reached, and now and then one that is lost.
    pub fn due_checks(&mut self, now: Instant, rng: &mut impl Rng) -> Vec<SocketAddr> {
        let age = |at: Option<Instant>| at.map(|at| now.duration_since(at));
        // While nothing is reached, requests are refused and use no link; what is known must not be found out again.
        let is_sound = |link: &Link| link.used.is_some() && link.state == State::Direct;
        let isolated = self.is_isolated(now) && !self.known.values().any(is_sound);
        let is_used = |link: &Link| age(link.used).is_some_and(|age| age < RETENTION);
        self.known.retain(|_, link| isolated || is_used(link) || link.is_checked(now));
        if self.known.is_empty() {
            self.cut_since = None;
        }
        let all_silent = age(self.heard).is_none_or(|age| age >= SILENCE);
        let is_doubtful = |link: &Link| match link.state {
            State::Unreachable => true,
            State::Lost => false,
            State::Direct => {
                let waited = age(link.waiting).unwrap_or_default();
                // One failure beside answers of other endpoints is usual: endpoints close idle connections.
                let is_usual =
                    link.failed.is_none_or(|failed| self.heard.is_some_and(|heard| heard > failed));
                let failed = link.failures > 1 || (link.failures == 1 && !is_usual);
                let is_requested = age(link.requested).is_some_and(|age| age < RETENTION);
                let is_unproven =
                    is_requested && all_silent && self.not_reached.is_some_and(|at| link.heard < Some(at));
                failed || is_unproven || waited >= LINK_SILENCE || (waited >= SILENCE && all_silent)
            }
        };
        let doubtful = self.known.iter().filter(|(_, link)| is_doubtful(link) && link.may_check(now));
        let doubtful = doubtful.map(|(&endpoint, link)| (link.next_check, rng.random::<u32>(), endpoint));
        let mut doubtful: Vec<_> = doubtful.collect();
        doubtful.sort_unstable_by_key(|(since, order, _)| (*since, *order));
        let mut due: Vec<SocketAddr> = doubtful.into_iter().map(|(.., endpoint)| endpoint).collect();
        due.truncate(CHECKS_MAX);
        due.extend(self.due_return(now, rng));
        due.retain(|&endpoint| self.begin_check(now, endpoint, rng));
        due
    }

    /// Begins a check that a request waits for, unless one was made lately. Returns whether one is in progress.
    pub fn begin_probe(&mut self, now: Instant, endpoint: SocketAddr, rng: &mut impl Rng) -> Probe {
        if self.is_checked(now, endpoint) {
            return Probe::InProgress;
        }
        let is_due = self.known.get(&endpoint).is_none_or(|link| link.may_check(now));
        if is_due && self.begin_check(now, endpoint, rng) { Probe::Begun } else { Probe::Later }
    }

    /// Begins a check that a peer's tunnel waits for. The peer has a request, or has taken the connection from its own part of
    /// the rate of checks, so that this one is begun at once.
    pub fn begin_peer_probe(&mut self, now: Instant, endpoint: SocketAddr) -> Probe {
        if self.is_checked(now, endpoint) {
            return Probe::InProgress;
        }
        let is_due = self.known.get(&endpoint).is_none_or(|link| link.may_check(now));
        if !is_due || self.checks_in_progress(now) >= CHECKS_IN_PROGRESS_MAX {
            return Probe::Later;
        }
        self.budget.take_for_tunnel(now, self.known.len());
        self.start_check(now, endpoint);
        Probe::Begun
    }

    /// Whether a check of this link is in progress.
    pub fn is_checked(&self, now: Instant, endpoint: SocketAddr) -> bool {
        self.known.get(&endpoint).is_some_and(|link| link.is_checked(now))
    }

    /// Whether bytes have arrived directly from this endpoint since.
    pub fn has_heard_since(&self, endpoint: SocketAddr, since: Instant) -> bool {
        self.known.get(&endpoint).and_then(|link| link.heard).is_some_and(|heard| heard >= since)
    }

    /// Begins a check unless one is in progress, or enough have begun lately. Returns whether it began.
    pub fn begin_check(&mut self, now: Instant, endpoint: SocketAddr, rng: &mut impl Rng) -> bool {
        let links = self.known.len();
        if self.known.get(&endpoint).is_some_and(|link| link.is_checked(now))
            || self.checks_in_progress(now) >= CHECKS_IN_PROGRESS_MAX
            || !self.budget.take(now, links, rng)
        {
            return false;
        }
        self.start_check(now, endpoint);
        true
    }

    fn start_check(&mut self, now: Instant, endpoint: SocketAddr) {
        let cut = self.cut_since;
        let link = self.known.entry(endpoint).or_default();
        link.join_cut(cut);
        link.begin_check(now);
    }

    /// Number of peers, at most `most`, that a check asks.
    pub fn take_peers(&mut self, most: usize) -> usize {
        self.budget.take_for_peers(most)
    }

    /// How long a check of this endpoint waits.
    pub fn check_times(&self, endpoint: SocketAddr) -> CheckTimes {
        self.known.get(&endpoint).map_or_else(|| Link::default().check_times(), Link::check_times)
    }

    /// Records the end of a check that took `time`, and whether it was answered.
    pub fn end_check(
        &mut self,
        now: Instant,
        endpoint: SocketAddr,
        time: Duration,
        answered: bool,
        rng: &mut impl Rng,
    ) {
        let Some(link) = self.known.get_mut(&endpoint) else { return };
        link.checked_until = None;
        if answered {
            link.answer_time = time;
            return;
        }
        let pause = (CHECK_PAUSE_MIN * 2_u32.pow(link.unanswered.min(8))).min(CHECK_PAUSE_MAX);
        link.unanswered += 1;
        link.next_check = link.next_check.max(Some(now + pause.mul_f64(rng.random_range(0.75..1.25))));
    }

    /// Number of checks in progress.
    pub fn checks_in_progress(&self, now: Instant) -> usize {
        self.known.values().filter(|link| link.is_checked(now)).count()
    }

    /// Sets the number of instances, this one included, that check links to the same endpoints.
    pub fn set_instances(&mut self, instances: usize) {
        self.budget.set_instances(instances);
    }

    /// A lost link to check for its return.
    fn due_return(&mut self, now: Instant, rng: &mut impl Rng) -> Option<SocketAddr> {
        if self.next_return.is_some_and(|at| now < at) {
            return None;
        }
        let lost = self.known.iter().filter(|(_, link)| link.state == State::Lost && link.may_check(now));
        let lost: Vec<SocketAddr> = lost.map(|(&endpoint, _)| endpoint).collect();
        if lost.is_empty() {
            return None;
        }
        let pause = if self.cut_since.is_some() { RETURN_PAUSE } else { RETURN_PAUSE_PARTIAL };
        // Instances that lost their links together must not all ask in the same moment.
        self.next_return = Some(now + pause.mul_f64(rng.random_range(0.75..1.25)));
        Some(lost[rng.random_range(0..lost.len())])
    }

    /// Forgets the link to an address that no endpoint has any more.
    pub fn forget(&mut self, endpoint: SocketAddr) {
        self.known.remove(&endpoint);
    }

    /// Whether all links count as lost.
    pub fn is_cut_off(&self) -> bool {
        self.cut_since.is_some()
    }

    /// Whether a check of a link that does not answer asks peers too. An endpoint that they could not reach either is down,
    /// unless this instance's links fail.
    pub fn asks_peers(&self, now: Instant, endpoint: SocketAddr) -> bool {
        let is_down = self.known.get(&endpoint).is_some_and(|link| link.state == State::Unreachable);
        !is_down || self.is_in_doubt(now) || self.is_isolated(now)
    }

    /// Whether a request that needs one of these endpoints is to be refused at once, since nothing reaches any endpoint. Now
    /// and then one is not refused, as long as some of many endpoints were not tried.
    pub fn refuses(&mut self, now: Instant, endpoints: impl Iterator<Item = SocketAddr>) -> bool {
        if !self.is_isolated(now) {
            return false;
        }
        let (mut unreachable, mut untried) = (0, 0);
        for endpoint in endpoints {
            let is_unreachable = self.known.get(&endpoint).is_some_and(|link| link.state != State::Direct);
            *(if is_unreachable { &mut unreachable } else { &mut untried }) += 1;
        }
        if untried == 0 {
            return unreachable > 0;
        }
        if unreachable < UNREACHABLE_QUORUM || self.next_trial.is_none_or(|at| at <= now) {
            self.next_trial = Some(now + TRIAL_PAUSE);
            return false;
        }
        true
    }

    /// Whether nothing reaches any endpoint that is in use: none answers directly, and no peer reaches one or takes tunnels.
    pub fn is_isolated(&self, now: Instant) -> bool {
        let silent = self.heard.is_none_or(|heard| now.duration_since(heard) >= SILENCE);
        let is_reached = |link: &Link| match link.state {
            State::Direct if self.cut_since.is_none() => true,
            State::Direct | State::Lost => self.has_peers,
            State::Unreachable => false,
        };
        // What is only checked, for a peer or a request that waits, shows nothing yet.
        let mut used = self.known.values().filter(|link| link.used.is_some()).peekable();
        silent && used.peek().is_some() && !used.any(is_reached)
    }

    /// Sets whether any peer takes tunnels.
    pub fn set_has_peers(&mut self, has_peers: bool) {
        self.has_peers = has_peers;
    }

    /// Whether this instance's failures say nothing about endpoints: links failed or are silent, and no byte has arrived
    /// directly since.
    pub fn is_in_doubt(&self, now: Instant) -> bool {
        let unheard_since = |at: Instant| self.heard.is_none_or(|heard| heard <= at);
        let failed = self.failed.is_some_and(|at| now.duration_since(at) < FAILURE_AGE && unheard_since(at));
        let is_silent = |since: Instant| is_recent_silence(now, since) && unheard_since(since);
        let mut waiting = self.known.values().filter_map(|link| link.waiting);
        self.is_cut_off() || failed || waiting.any(is_silent)
    }

    /// Time since anything last arrived directly.
    pub fn unheard_time(&self, now: Instant) -> Option<Duration> {
        self.heard.map(|heard| now.saturating_duration_since(heard))
    }

    /// Whether any endpoint has ever sent something directly.
    pub fn has_heard(&self) -> bool {
        self.heard.is_some()
    }

    /// Whether anything has arrived directly within this time.
    pub fn has_heard_within(&self, now: Instant, time: Duration) -> bool {
        self.heard.is_some_and(|heard| now.duration_since(heard) < time)
    }

    /// Number of links that failed, or are silent while a request waits, since a byte last arrived over them.
    pub fn doubtful_count(&self, now: Instant) -> usize {
        let is_doubtful = |link: &&Link| {
            link.failures > 0 || link.waiting.is_some_and(|since| is_recent_silence(now, since))
        };
        self.known.values().filter(is_doubtful).count()
    }

    /// Number of lost links.
    pub fn lost_count(&self) -> usize {
        self.known.values().filter(|link| link.state == State::Lost).count()
    }

    /// Number of endpoints that nothing reaches.
    pub fn unreachable_count(&self) -> usize {
        self.known.values().filter(|link| link.state == State::Unreachable).count()
    }
}

/// Whether a request has waited long enough since then to mean something, and not so long that its caller may have left.
fn is_recent_silence(now: Instant, since: Instant) -> bool {
    (SILENCE..FAILURE_AGE).contains(&now.duration_since(since))
}
