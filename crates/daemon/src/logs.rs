//! Logs: JSON lines on standard error. The audit trail is a stream of its own on standard output.

use slog::{Drain, Logger, o};

/// Starts the log of an instance.
pub(crate) fn start(instance: &str) -> Logger {
    let lines = slog_json::Json::new(std::io::stderr()).set_newlines(true).add_default_keys().build().fuse();
    // Lines over the queue's size are dropped and counted rather than holding traffic up.
    let queue = slog_async::Async::new(lines).chan_size(4096).build().fuse();
    Logger::root(queue, o!("instance" => instance.to_owned()))
}
