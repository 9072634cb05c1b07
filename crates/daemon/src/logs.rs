//! Logs: JSON lines on standard error. The audit trail is separate, on standard output.
//!
//! If the reader of the log ends, lines are lost and nothing else: an instance that exited with its log reader
//! would break its callers' streams.

use slog::{Drain, Logger, o};
use slog_async::AsyncGuard;

/// Creates the logger of an instance. Dropping the guard writes the lines in the queue.
pub(crate) fn start(instance: &str) -> (Logger, AsyncGuard) {
    let lines = slog_json::Json::new(std::io::stderr()).set_newlines(true).add_default_keys().build();
    // If the queue is full, lines are dropped and counted; traffic never waits for the log.
    let (queue, guard) = slog_async::Async::new(lines.ignore_res()).chan_size(4096).build_with_guard();
    (Logger::root(queue.ignore_res(), o!("instance" => instance.to_owned())), guard)
}
