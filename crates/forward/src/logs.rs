//! Logs: one JSON line for each decision, on standard output.
//!
//! Lines go through a bounded queue to a thread that writes them. If the queue is full, lines are dropped,
//! and the number of dropped lines is logged; traffic never waits for the reader of the logs. If the reader
//! ends, lines are lost and nothing else: a process that exited with its log reader would break its callers'
//! streams.

use slog::{Drain, Logger, o};

/// Lines that may wait; a busy instance writes this number in some seconds.
const QUEUE_LINES: usize = 1024;

/// Creates the logger of an instance.
pub(crate) fn start(instance: &str, domain: &str) -> Logger {
    let lines = slog_json::Json::new(std::io::stdout()).set_newlines(true).add_default_keys().build();
    let queue = slog_async::Async::new(lines.ignore_res())
        .chan_size(QUEUE_LINES)
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build()
        .ignore_res();
    Logger::root(queue, o!("instance" => instance.to_owned(), "domain" => domain.to_owned()))
}
