//! Logs: JSON lines on standard error. The audit trail is separate, on standard output.

use slog::{Drain, Logger, o};

/// Creates the logger of an instance.
pub(crate) fn start(instance: &str) -> Logger {
    let lines = slog_json::Json::new(std::io::stderr()).set_newlines(true).add_default_keys().build().fuse();
    // If the queue is full, lines are dropped and counted; traffic never waits for the log.
    let queue = slog_async::Async::new(lines).chan_size(4096).build().fuse();
    Logger::root(queue, o!("instance" => instance.to_owned()))
}
