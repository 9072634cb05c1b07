//! The retry budget for sending a request to another endpoint, kept without asking other instances.
//!
//! The deployment allows a service, over all instances and in any window, second attempts for a fraction of
//! its requests, and a fixed number of second attempts in addition. Each instance spends this fraction of its
//! own requests, and the sum over all instances is the same fraction of all requests. In addition each
//! instance has a small reserve, which lets an instance with little traffic make a second attempt at all.
//! Where instances are few, the reserve is fixed. Where they are many, it is an equal share of the fixed
//! number, so that all reserves together stay within that number in a failure that all instances meet at
//! once. Where the share is not a whole number, a random part of the instances rounds it up.
//!
//! Invariant: all instances together stay within the fraction and the fixed number in any window, whichever of
//! them start, end or cannot reach each other. The fraction needs no more than each instance's own count. The
//! reserves need three things:
//!
//! - An instance that starts does not know what its life before has spent, and nobody else does. It has no
//!   reserve until it has run for a window; what its life before spent is out of the window by then. Of the
//!   lives of one instance at most one has a reserve in any window. Only at the first start of the whole
//!   system was nothing spent before.
//! - An instance that is added starts in the same way, and the others count it before it has a reserve.
//! - The reserve is divided among the instances that there are, and not among those that can be reached: the
//!   caller of [`Budgets::share_among`] counts those behind a partition too.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use teaselshunt_teams::StartKind;

/// Size of the retry budget.
#[derive(Debug, Clone, Copy)]
pub struct BudgetTerms {
    /// Second attempts per request.
    pub ratio: f64,
    /// Second attempts that are allowed in addition, over all instances.
    pub slack: f64,
    /// Window over which both are counted.
    pub window: Duration,
}

/// Fraction of the ratio that is spent; the rest covers requests that are counted elsewhere or later.
const SPENT_FRACTION: f64 = 0.7;
/// Fraction of the fixed number that is divided among the instances that one instance knows; others may have
/// started since.
const DIVIDED_FRACTION: f64 = 0.9;
/// Fraction of the fixed number that an instance may have as reserve as long as it has observed no other
/// instance.
const RESERVE_FRACTION: f64 = 0.045;
/// Largest reserve.
const RESERVE_MAX: f64 = 2.5;

#[derive(Debug, Default)]
struct Account {
    requests: VecDeque<Instant>,
    second_attempts: VecDeque<Instant>,
}

/// Retry budgets of all services, as one instance keeps them.
#[derive(Debug)]
pub struct Budgets {
    terms: BudgetTerms,
    reserve: f64,
    /// Added to the reserve before it is rounded down, drawn once from 0 to 1.
    rounding: f64,
    /// From when on the reserve may be spent; `None` for always.
    reserve_from: Option<Instant>,
    accounts: HashMap<Arc<str>, Account>,
}

impl Budgets {
    /// Budgets of an instance that starts now, and has observed no other yet; `rounding` is random, from 0 to 1.
    pub fn new(now: Instant, terms: BudgetTerms, start: StartKind, rounding: f64) -> Self {
        let reserve = (terms.slack * RESERVE_FRACTION).clamp(1.0, RESERVE_MAX);
        let reserve_from = match start {
            StartKind::First => None,
            StartKind::Subsequent => Some(now + terms.window),
        };
        Self { terms, reserve, rounding, reserve_from, accounts: HashMap::new() }
    }

    /// Sets the number of instances, this one included and reachable or not, by which the reserve is divided.
    pub fn share_among(&mut self, instances: usize) {
        let share = self.terms.slack * DIVIDED_FRACTION / instances.max(1) as f64;
        self.reserve = if share < RESERVE_MAX { (share + self.rounding).floor() } else { RESERVE_MAX };
    }

    /// Second attempts that a service gets in a window without requests.
    pub fn reserve(&self, now: Instant) -> f64 {
        if self.reserve_from.is_some_and(|from| now < from) { 0.0 } else { self.reserve }
    }

    /// Counts a caller's request to a service.
    pub fn count_request(&mut self, now: Instant, service: &Arc<str>) {
        let account = self.accounts.entry(Arc::clone(service)).or_default();
        account.requests.push_back(now);
        trim(&mut account.requests, now, self.terms.window);
    }

    /// Takes one second attempt from the budget; returns `false` if none is left.
    pub fn take(&mut self, now: Instant, service: &Arc<str>) -> bool {
        let has_attempt = self.has_attempt(now, service);
        if has_attempt && let Some(account) = self.accounts.get_mut(service) {
            account.second_attempts.push_back(now);
        }
        has_attempt
    }

    /// Whether a second attempt is left in the budget.
    pub fn has_attempt(&mut self, now: Instant, service: &Arc<str>) -> bool {
        let (window, reserve) = (self.terms.window, self.reserve(now));
        let account = self.accounts.entry(Arc::clone(service)).or_default();
        trim(&mut account.requests, now, window);
        trim(&mut account.second_attempts, now, window);
        let allowed = account.requests.len() as f64 * self.terms.ratio * SPENT_FRACTION + reserve;
        account.second_attempts.len() as f64 + 1.0 <= allowed
    }
}

fn trim(times: &mut VecDeque<Instant>, now: Instant, window: Duration) {
    while times.front().is_some_and(|&at| now.duration_since(at) > window) {
        times.pop_front();
    }
}
