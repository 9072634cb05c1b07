//! The requests in progress, and the one place through which each of them passes.
//!
//! [`InProgress::answer`] does not trust that the work of a request ends. At the request's deadline, and shortly before
//! the process exits, it drops the work and answers itself; a panic of the work is an answer as well. Dropping the
//! work ends the request's driver, whose session makes the core release what the request holds.
//!
//! What is answered is true: "not run" only if [`Progress`] shows that no endpoint can have begun the request, and
//! nothing is sent afterwards.

use std::collections::HashMap;
use std::panic::AssertUnwindSafe;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures_util::FutureExt;
use poem::Response;
use prometheus::IntCounter;
use slog::{Logger, error};
use teaselshunt_core::{ErrorKind, Refusal};
use tokio::sync::watch;
use tokio::time::Instant;

use super::answer::RefusalResponse;
use super::progress::Progress;

#[cfg(test)]
mod tests;

/// `Retry-After` delay of a request that was not sent by its deadline, or by the end of the process.
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// Time that the core has to answer before the deadline: its refusals count, and say when to return.
const ANSWER_MARGIN: Duration = Duration::from_millis(100);
/// Fraction of a short deadline that is kept for the answer instead.
const ANSWER_MARGIN_SHARE: u32 = 10;
/// A request that is in progress for this long after its deadline is a fault of the instance.
const OVERDUE_AFTER: Duration = Duration::from_secs(1);
/// Time between two looks for such requests.
const WATCH_INTERVAL: Duration = Duration::from_millis(250);

/// All requests in progress of the process.
#[derive(Debug, Clone)]
pub(crate) struct InProgress(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    log: Logger,
    /// Requests that were in progress some time after their deadline.
    overdue: IntCounter,
    table: Mutex<Table>,
    /// Whether the process is about to exit.
    ends: watch::Sender<bool>,
    /// Number of requests in progress.
    count: watch::Sender<usize>,
}

#[derive(Debug, Default)]
struct Table {
    next: u64,
    entries: HashMap<u64, Entry>,
}

#[derive(Debug)]
struct Entry {
    deadline: Instant,
    progress: Arc<Progress>,
    is_logged: bool,
}

/// A request in progress. Dropped at the end of its response.
#[derive(Debug)]
pub(crate) struct Passage {
    shared: Arc<Shared>,
    number: u64,
    pub(crate) progress: Arc<Progress>,
    pub(crate) deadline: Instant,
    /// Time between the answer that the core is to give and the deadline.
    margin: Duration,
}

impl InProgress {
    pub(crate) fn new(log: Logger, overdue: IntCounter) -> Self {
        let (ends, count) = (watch::Sender::new(false), watch::Sender::new(0));
        Self(Arc::new(Shared { log, overdue, table: Mutex::default(), ends, count }))
    }

    /// Answers a request that arrives now, at the latest after `allowed`.
    pub(crate) async fn answer<F>(&self, allowed: Duration, work: impl FnOnce(Passage) -> F) -> Response
    where
        F: Future<Output = Result<Response, RefusalResponse>>,
    {
        let passage = self.begin(allowed);
        let (ended, progress) = (passage.ended(), Arc::clone(&passage.progress));
        let work = AssertUnwindSafe(async move { work(passage).await }).catch_unwind();
        let refusal = tokio::select! {
            biased;
            result = work => match result {
                Ok(Ok(response)) => return response,
                Ok(Err(refusal)) => return refusal.into_response(),
                Err(_) => {
                    self.0.log_panic("answer", &progress);
                    Refusal::new(ErrorKind::Internal)
                }
            },
            refusal = ended => refusal,
        };
        RefusalResponse::of(refusal, progress.request()).into_response()
    }

    fn begin(&self, allowed: Duration) -> Passage {
        let deadline = Instant::now() + allowed;
        let progress = Arc::new(Progress::default());
        let mut table = self.0.lock();
        let number = table.next;
        table.next += 1;
        let entry = Entry { deadline, progress: Arc::clone(&progress), is_logged: false };
        table.entries.insert(number, entry);
        self.0.count.send_replace(table.entries.len());
        let margin = ANSWER_MARGIN.min(allowed / ANSWER_MARGIN_SHARE);
        Passage { shared: Arc::clone(&self.0), number, progress, deadline, margin }
    }

    /// Makes every request in progress end now, since the process is about to exit, and waits until each has its
    /// response.
    pub(crate) async fn end_all(&self) {
        self.0.ends.send_replace(true);
        let mut count = self.0.count.subscribe();
        let _ = count.wait_for(|count| *count == 0).await;
    }

    /// Waits until the process is about to exit.
    pub(crate) async fn process_ends(&self) {
        self.0.process_ends().await;
    }

    /// Logs and counts requests that outlive their deadline, once each.
    pub(crate) async fn watch(self) {
        loop {
            tokio::time::sleep(WATCH_INTERVAL).await;
            self.log_overdue(Instant::now());
        }
    }

    pub(crate) fn log_overdue(&self, now: Instant) {
        for entry in self.0.lock().entries.values_mut() {
            if !entry.is_logged && now > entry.deadline + OVERDUE_AFTER {
                entry.is_logged = true;
                self.0.overdue.inc();
                error!(self.0.log, "a request is in progress after its deadline";
                    "request" => id(&entry.progress), "waits" => entry.progress.waits_for());
            }
        }
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn process_ends(&self) {
        let mut ends = self.ends.subscribe();
        let _ = ends.wait_for(|ends| *ends).await;
    }

    fn log_panic(&self, part: &'static str, progress: &Progress) {
        error!(self.log, "the handling of a request panicked"; "request" => id(progress), "part" => part);
    }
}

impl Passage {
    /// Time that the core has to answer.
    pub(crate) fn core_deadline(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now()).saturating_sub(self.margin)
    }

    /// Waits until the request must have ended: its deadline has passed, or the process is about to exit. Returns
    /// the refusal for its caller.
    pub(crate) fn ended(&self) -> impl Future<Output = Refusal> + Send + use<> {
        let (shared, progress, deadline) =
            (Arc::clone(&self.shared), Arc::clone(&self.progress), self.deadline);
        async move {
            tokio::select! {
                () = tokio::time::sleep_until(deadline) => deadline_refusal(&progress),
                () = shared.process_ends() => end_refusal(&progress),
            }
        }
    }

    /// Starts the driver of the request. Its panic is logged, and ends the driver.
    pub(crate) fn spawn_driver(&self, driver: impl Future<Output = ()> + Send + 'static) {
        let (shared, progress) = (Arc::clone(&self.shared), Arc::clone(&self.progress));
        tokio::spawn(async move {
            if AssertUnwindSafe(driver).catch_unwind().await.is_err() {
                shared.log_panic("driver", &progress);
            }
        });
    }
}

impl Drop for Passage {
    fn drop(&mut self) {
        let mut table = self.shared.lock();
        table.entries.remove(&self.number);
        self.shared.count.send_replace(table.entries.len());
    }
}

fn deadline_refusal(progress: &Progress) -> Refusal {
    if progress.close() {
        Refusal::retryable(ErrorKind::Expired, RETRY_DELAY)
    } else {
        Refusal::new(ErrorKind::DeadlinePassed)
    }
}

fn end_refusal(progress: &Progress) -> Refusal {
    if progress.close() {
        Refusal::retryable(ErrorKind::Stopping, RETRY_DELAY)
    } else {
        Refusal::new(ErrorKind::OutcomeUnknown)
    }
}

fn id(progress: &Progress) -> String {
    progress.request().map_or_else(String::new, |request| request.to_string())
}
