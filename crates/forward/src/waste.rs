//! Prefilled prompts whose result no response used, by cause.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use crate::node::Node;
use crate::trace::Trace;

/// Why the result of a prefill was not used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum WasteCause {
    /// The caller disconnected.
    CallerGone,
    /// The engine that was to decode has gone, and no other had capacity.
    NoCapacity,
    /// The decode engine could not take over the KV cache.
    HandleLost,
    /// The decode engine broke off, or another one has its address.
    EngineLost,
    /// The decode engine answered with an error.
    EngineError,
    /// The prefill engine lost its response, and the prompt was prefilled a second time.
    SecondAttempt,
    /// The stream broke and was resumed elsewhere, where the prompt was prefilled again.
    Resumed,
    /// The request was refused after the prefill for another reason.
    Refused,
}

impl WasteCause {
    pub(crate) const fn text(self) -> &'static str {
        match self {
            Self::CallerGone => "caller_gone",
            Self::NoCapacity => "no_capacity",
            Self::HandleLost => "handle_lost",
            Self::EngineLost => "engine_lost",
            Self::EngineError => "engine_error",
            Self::SecondAttempt => "second_attempt",
            Self::Resumed => "resumed",
            Self::Refused => "refused",
        }
    }
}

/// Causes of the waste of one request, for its log line.
#[derive(Debug, Clone, Default)]
pub(crate) struct WasteLog {
    text: Rc<RefCell<String>>,
}

impl WasteLog {
    fn record(&self, cause: WasteCause) {
        let mut text = self.text.borrow_mut();
        if !text.is_empty() {
            text.push(' ');
        }
        text.push_str(cause.text());
    }

    /// The causes in order, separated by spaces.
    pub(crate) fn text(&self) -> String {
        self.text.borrow().clone()
    }
}

/// A prefilled prompt. Unless it is used or its cause is known, its caller has disconnected.
#[derive(Debug)]
pub(crate) struct PrefilledPrompt {
    tokens: u64,
    cause: Cell<Option<WasteCause>>,
    log: WasteLog,
}

impl PrefilledPrompt {
    pub(crate) fn new(trace: &Trace, tokens: u64) -> Self {
        Self { tokens, cause: Cell::new(Some(WasteCause::CallerGone)), log: trace.waste.clone() }
    }

    /// Records that a response uses the prompt.
    pub(crate) fn mark_used(&self) {
        self.cause.set(None);
    }

    /// Records why the prompt will not be used.
    pub(crate) fn mark_wasted(&self, cause: WasteCause) {
        self.cause.set(Some(cause));
    }

    /// Counts the prompt if it was not used, in the metric and in the request's line.
    pub(crate) fn end(&self, node: &Node) {
        if let Some(cause) = self.cause.take() {
            node.metrics.wasted_prefill.with_label_values(&[cause.text()]).inc_by(self.tokens);
            self.log.record(cause);
        }
    }
}

/// Counts a prompt whose waste is seen at once, in the metric and in the request's line.
pub(crate) fn count(node: &Node, trace: &Trace, cause: WasteCause, tokens: u64) {
    node.metrics.wasted_prefill.with_label_values(&[cause.text()]).inc_by(tokens);
    trace.waste.record(cause);
}
