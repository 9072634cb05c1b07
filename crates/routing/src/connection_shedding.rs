//! Decides which new connections of callers are closed unread while the processor is overloaded.
//!
//! A balancer may hand most new connections to one instance for some seconds. An instance that reads more requests than
//! its processor can handle makes all of them late together. A caller whose connection is closed unread loses nothing:
//! whatever its request is, it may send it to another instance at once.
//!
//! How overloaded the processor is shows in how late a periodic task runs. A pause of the process, or a processor that is
//! given out in slices, makes single runs late. Only a queue that never empties makes all of them late, so that the least
//! lateness of a [`WINDOW`] is judged, as `CoDel` (RFC 8289) does for packets.
//!
//! Invariants:
//! - connections are closed only after each run of a whole window was late, or after the last run was late and a connection
//!   itself has waited for [`WAIT_MAX`];
//! - of the connections that come, one in each [`KEPT_INTERVAL`] is read in any case, so that an instance that is ready can
//!   be reached;
//! - without an overload, the fraction that is kept grows back to one, in [`WINDOW`]s whose number is bounded.

use std::time::{Duration, Instant};

use rand::Rng;

/// Time between two runs of the task whose lateness is recorded.
pub const LATENESS_INTERVAL: Duration = Duration::from_millis(50);
/// Lateness of all runs from which the processor counts as overloaded. A request passes the queue about ten times, so that
/// it is handled 0.2 s later.
const LATENESS_MAX: Duration = Duration::from_millis(20);
/// Shortest time that is judged: longer than two slices of 100 ms, in which a share of a processor may be given out.
const WINDOW: Duration = Duration::from_millis(200);
/// Fewest runs that are judged.
const WINDOW_RUNS: u32 = 3;
/// Largest factor of the kept fraction after a window with an overload.
const DECREASE_MAX: f64 = 0.5;
/// Factor of the kept fraction after a window without one. Streams that have begun occupy the processor for a second or
/// two, so that a faster growth would bring the overload back.
const INCREASE: f64 = 1.2;
/// Smallest fraction that is kept.
const KEPT_MIN: f64 = 1.0 / 32.0;
/// Time in which at least one connection is read.
const KEPT_INTERVAL: Duration = Duration::from_millis(100);
/// Time that a new connection may wait in the queue until it is read; what is read then waits about ten times as long.
const WAIT_MAX: Duration = Duration::from_millis(100);

/// A change of whether connections are closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SheddingChange {
    /// Some new connections are closed from now on; the least lateness of the last window.
    Began(Duration),
    /// All connections are kept again.
    Ended,
}

/// Lateness of the runs since a time.
#[derive(Debug, Clone, Copy)]
struct Window {
    since: Instant,
    runs: u32,
    least: Duration,
}

/// Decides about the connections of one instance.
#[derive(Debug)]
pub struct ConnectionShedding {
    window: Option<Window>,
    /// Whether the last run was late.
    is_late: bool,
    /// Fraction of the connections that is kept.
    kept: f64,
    /// When a new connection was last kept, and when one was last read.
    last_kept: Option<Instant>,
    last_read: Option<Instant>,
}

impl Default for ConnectionShedding {
    fn default() -> Self {
        Self { window: None, is_late: false, kept: 1.0, last_kept: None, last_read: None }
    }
}

impl ConnectionShedding {
    /// Records how late the periodic task ran.
    pub fn record_run(&mut self, now: Instant, lateness: Duration) -> Option<SheddingChange> {
        let window = self.window.get_or_insert(Window { since: now, runs: 0, least: Duration::MAX });
        window.runs += 1;
        self.is_late = lateness >= LATENESS_MAX;
        window.least = window.least.min(lateness);
        let Window { since, runs, least } = *window;
        if runs < WINDOW_RUNS || now.duration_since(since) < WINDOW {
            return None;
        }
        self.window = None;
        let was_shedding = self.is_shedding();
        let factor = if least < LATENESS_MAX {
            INCREASE
        } else {
            LATENESS_MAX.div_duration_f64(least).min(DECREASE_MAX)
        };
        self.kept = (self.kept * factor).clamp(KEPT_MIN, 1.0);
        match (was_shedding, self.is_shedding()) {
            (false, true) => Some(SheddingChange::Began(least)),
            (true, false) => Some(SheddingChange::Ended),
            _ => None,
        }
    }

    /// Whether some connections are closed.
    pub fn is_shedding(&self) -> bool {
        self.kept < 1.0
    }

    /// Whether a new connection is kept.
    pub fn keeps_new(&mut self, now: Instant, rng: &mut impl Rng) -> bool {
        let keeps = is_due(now, self.last_kept) || rng.random::<f64>() < self.kept;
        if keeps {
            self.last_kept = Some(now);
        }
        keeps
    }

    /// Whether a connection that was kept, and has waited so long in the queue since, is read. One that is not is a sign of an
    /// overload, so that others are closed from then on.
    pub fn reads_waiting(&mut self, now: Instant, waited: Duration) -> bool {
        let reads = !self.is_late || waited < WAIT_MAX || is_due(now, self.last_read);
        if reads {
            self.last_read = Some(now);
        } else {
            self.kept = self.kept.min(DECREASE_MAX);
        }
        reads
    }

    /// Whether a connection stays open after a response. Callers would come back over it as fast as over new ones.
    pub fn keeps_open(&self, rng: &mut impl Rng) -> bool {
        rng.random::<f64>() < self.kept
    }
}

/// Whether a connection must be kept because the last one was long ago.
fn is_due(now: Instant, last: Option<Instant>) -> bool {
    last.is_none_or(|at| now.duration_since(at) >= KEPT_INTERVAL)
}
