//! The budget for sending a request to another endpoint, kept without asking other instances.
//!
//! The deployment allows a service, over all instances and in any window, a share of its requests and a fixed
//! number besides. Each instance spends its own requests' share, of which the sum over all instances is the
//! share of the whole, and a small reserve. The reserve lets an instance with little traffic retry at all. Where instances
//! are few it is fixed; where they are many it is an equal part of the fixed number, so that all reserves together stay within
//! that in a failure that all of them meet at once. A part of one repeat is a whole one for so many of them, drawn at random.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Terms of the budget.
#[derive(Debug, Clone, Copy)]
pub struct BudgetTerms {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats besides, over all instances.
    pub slack: f64,
    /// Window over which both are counted.
    pub window: Duration,
}

/// Part of the ratio that is spent; the rest covers requests that are counted elsewhere or later.
const SHARE: f64 = 0.7;
/// Part of the fixed number that is divided among the instances that are known to one; others may have started since.
const DIVIDED: f64 = 0.9;
/// Part of the fixed number that one instance may have as long as it has heard no other.
const RESERVE_SHARE: f64 = 0.045;
/// Largest reserve.
const RESERVE_MAX: f64 = 2.5;

#[derive(Debug, Default)]
struct Account {
    requests: VecDeque<Instant>,
    repeats: VecDeque<Instant>,
}

/// Budgets of all services, as one instance keeps them.
#[derive(Debug)]
pub struct Budgets {
    terms: BudgetTerms,
    reserve: f64,
    /// Where in a unit this instance rounds up, drawn once from 0 to 1.
    draw: f64,
    accounts: HashMap<Arc<str>, Account>,
}

impl Budgets {
    /// Budgets under the terms given, of an instance that has heard no other yet; `draw` is random, from 0 to 1.
    pub fn new(terms: BudgetTerms, draw: f64) -> Self {
        let reserve = (terms.slack * RESERVE_SHARE).clamp(1.0, RESERVE_MAX);
        Self { terms, reserve, draw, accounts: HashMap::new() }
    }

    /// So many instances are known, this one included.
    pub fn share_among(&mut self, instances: usize) {
        let part = self.terms.slack * DIVIDED / instances.max(1) as f64;
        self.reserve = if part < RESERVE_MAX { (part + self.draw).floor() } else { RESERVE_MAX };
    }

    /// Counts a caller's request to a service.
    pub fn count_request(&mut self, now: Instant, service: &Arc<str>) {
        let account = self.accounts.entry(Arc::clone(service)).or_default();
        account.requests.push_back(now);
        trim(&mut account.requests, now, self.terms.window);
    }

    /// Takes one repeat, or says that none is left.
    pub fn take(&mut self, now: Instant, service: &Arc<str>) -> bool {
        let window = self.terms.window;
        let account = self.accounts.entry(Arc::clone(service)).or_default();
        trim(&mut account.requests, now, window);
        trim(&mut account.repeats, now, window);
        let allowed = account.requests.len() as f64 * self.terms.ratio * SHARE + self.reserve;
        if account.repeats.len() as f64 + 1.0 > allowed {
            return false;
        }
        account.repeats.push_back(now);
        true
    }
}

fn trim(times: &mut VecDeque<Instant>, now: Instant, window: Duration) {
    while times.front().is_some_and(|&at| now.duration_since(at) > window) {
        times.pop_front();
    }
}
