//! When a stream looks for another engine because its own is silent.
//!
//! An engine that stops for a moment goes on where it was, and engines often stop together. Another engine is better only
//! if it responds while this one does not. [`SignsOfLife`] keeps when any engine of a service last sent something, and
//! [`Silence`] compares one stream with that:
//!
//! - a stream is silent for [`PATIENCE_GAPS`] gap goals before it looks for another engine;
//! - an engine of the service has sent something after this stream's next event was due, and lately, so that they are
//!   not silent together;
//! - one gap goal later this stream is still silent. Engines that go on together do not do so in the same moment.
//!
//! Where no engine has sent anything, one is asked whether it responds: an engine without work says nothing by itself.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Gap goals after which another engine is looked for. Callers leave after eight, so that a stream that has resumed by
/// then is still useful.
const PATIENCE_GAPS: u32 = 4;

/// Shortest gap goal that is told apart.
const GAP_MIN: Duration = Duration::from_millis(20);
/// Gap goals for which a sign of life shows that engines respond.
const FRESH_GAPS: u32 = 2;

/// What a stream does about its silence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SilenceStep {
    /// Waits for its engine.
    Wait,
    /// Waits, and some engine is to be asked whether it responds.
    Ask,
    /// Looks for another engine, and waits for its own meanwhile.
    Replace,
}

/// The time since the last event of one stream.
#[derive(Debug, Clone, Copy)]
pub struct Silence {
    gap: Duration,
    patience: Duration,
    last: Instant,
    /// When an engine responded first while this stream was silent, of those that have responded lately.
    alone: Option<Instant>,
    next_look: Instant,
}

impl Silence {
    /// The silence of a stream whose response begins now, on a route with this gap goal.
    pub fn of_stream(now: Instant, gap: Duration) -> Self {
        Self::new(now, gap, gap * PATIENCE_GAPS)
    }

    /// The silence of a request that is sent now and looks for another engine after `patience` without its first event.
    pub fn before_first_event(now: Instant, patience: Duration) -> Self {
        Self::new(now, patience / PATIENCE_GAPS, patience)
    }

    fn new(now: Instant, gap: Duration, patience: Duration) -> Self {
        let gap = gap.max(GAP_MIN);
        let next_look = now + patience.saturating_sub(gap);
        Self { gap, patience, last: now, alone: None, next_look }
    }

    /// Records that something of the stream has arrived.
    pub fn end(&mut self, now: Instant) {
        *self = Self::new(now, self.gap, self.patience);
    }

    /// When to look at the silence next.
    pub const fn next_look(&self) -> Instant {
        self.next_look
    }

    /// Looks at the silence. `heard` is when any engine of the service last sent something.
    pub fn look(&mut self, now: Instant, heard: Option<Instant>) -> SilenceStep {
        let is_fresh = |heard: Instant| {
            heard > self.last + self.gap && now.duration_since(heard) <= self.gap * FRESH_GAPS
        };
        let Some(heard) = heard.filter(|&heard| is_fresh(heard)) else {
            self.alone = None;
            self.next_look = now + self.gap;
            return SilenceStep::Ask;
        };
        let alone = *self.alone.get_or_insert(heard);
        let at = (alone + self.gap).max(self.last + self.patience);
        self.next_look = at;
        if now < at {
            return SilenceStep::Wait;
        }
        self.next_look = now + self.gap;
        SilenceStep::Replace
    }
}

/// When the engines of each service last sent anything, and which services are being asked.
#[derive(Debug, Default)]
pub struct SignsOfLife {
    services: HashMap<Arc<str>, Signs>,
}

#[derive(Debug, Default)]
struct Signs {
    heard: Option<Instant>,
    /// Until when an engine that was asked may respond.
    asked_until: Option<Instant>,
}

impl SignsOfLife {
    /// Records that a decode engine of a service has sent something.
    pub fn observe(&mut self, now: Instant, service: &Arc<str>) {
        if let Some(signs) = self.services.get_mut(service) {
            signs.heard = Some(now);
            return;
        }
        self.services.entry(Arc::clone(service)).or_default().heard = Some(now);
    }

    /// When a decode engine of a service last sent something.
    pub fn heard(&self, service: &str) -> Option<Instant> {
        self.services.get(service)?.heard
    }

    /// Whether an engine of a service may be asked now. One at a time is asked for all streams together.
    pub fn may_ask(&mut self, now: Instant, service: &Arc<str>, until: Instant) -> bool {
        let signs = self.services.entry(Arc::clone(service)).or_default();
        if signs.asked_until.is_some_and(|asked_until| now < asked_until) {
            return false;
        }
        signs.asked_until = Some(until);
        true
    }
}
