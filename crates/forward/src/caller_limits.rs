//! Limits of callers' connections by the configuration in force.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use teaselshunt_routing::{IdleLimit, Limits};

use crate::node::Node;

/// Limits before a configuration is known.
const DEFAULT_IDLE: Duration = Duration::from_secs(15);
const DEFAULT_HEAD_TIMEOUT: Duration = Duration::from_secs(3);
/// Largest request head in bytes before a configuration is known; also the least that the library allows.
const DEFAULT_HEAD_BYTES: usize = 16 * 1024;
/// Added to the configured idle time, so that a caller that uses nearly all of it finds its connection open.
const IDLE_SLACK: Duration = Duration::from_secs(1);

/// The limits in force for all connections of callers.
#[derive(Debug)]
pub(crate) struct CallerLimits {
    node: Rc<Node>,
    /// `None` before a configuration is known.
    idle: Cell<Option<IdleLimit>>,
}

impl CallerLimits {
    pub(crate) fn new(node: Rc<Node>) -> Self {
        Self { node, idle: Cell::new(None) }
    }

    /// Longest time without a request.
    pub(crate) fn idle(&self) -> Duration {
        let held = self.configured().map_or(DEFAULT_IDLE, |limits| {
            let mut idle = self.idle.get().unwrap_or(IdleLimit::new(limits.idle));
            let held = idle.update(self.node.now(), limits.idle, self.node.settings.apply_bound);
            self.idle.set(Some(idle));
            held
        });
        held.saturating_add(IDLE_SLACK)
    }

    /// Longest time in which the head of a request may arrive.
    pub(crate) fn head_timeout(&self) -> Duration {
        self.configured().map_or(DEFAULT_HEAD_TIMEOUT, |limits| limits.arrival)
    }

    /// Largest head of a request, in bytes.
    pub(crate) fn head_bytes(&self) -> usize {
        self.configured().map_or(DEFAULT_HEAD_BYTES, |limits| limits.head.max(DEFAULT_HEAD_BYTES))
    }

    fn configured(&self) -> Option<Limits> {
        self.node.state.borrow().routes.as_ref().map(|routes| routes.limits)
    }
}
