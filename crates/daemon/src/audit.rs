//! The audit trail: one JSON line for each change, on standard output and in memory for operators.
//!
//! Instances have no disks. The platform collects standard output; whatever it has not read when a process is
//! killed is lost, and so is the memory, which keeps the last [`KEPT`] lines. Lines are written on the thread
//! that the change happened on, before its other effects leave, so no line of an effect that others saw can
//! be lost for want of a flush.

use std::collections::VecDeque;
use std::io::Write;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

use serde::Serialize;
use teaselshunt_core::{Audit, InstanceId, Source};

/// Lines kept in memory.
const KEPT: usize = 10_000;

/// One line.
#[derive(Debug, Serialize)]
struct Line<'a> {
    /// Milliseconds since the Unix epoch.
    at: u64,
    /// Grows by one with each line of this process.
    sequence: u64,
    instance: &'a str,
    change: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    version: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    subject: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    state: Option<&'static str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    source: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    cause: Option<String>,
}

#[derive(Debug, Default)]
struct Kept {
    next: u64,
    lines: VecDeque<(u64, String)>,
}

/// Writes and keeps the audit trail.
#[derive(Debug)]
pub(crate) struct Trail {
    instance: String,
    kept: Mutex<Kept>,
}

impl Trail {
    pub(crate) fn new(instance: &str) -> Self {
        Self { instance: instance.to_owned(), kept: Mutex::default() }
    }

    /// Writes a change; `name` resolves instances to names.
    pub(crate) fn write(&self, audit: &Audit, name: impl Fn(InstanceId) -> String) {
        let source = |source: &Source| match source {
            Source::Platform => "platform".to_owned(),
            Source::Peer(peer) => format!("peer {}", name(*peer)),
        };
        let mut kept = self.lock();
        let sequence = kept.next;
        let mut line = Line {
            at: now_ms(),
            sequence,
            instance: &self.instance,
            change: "",
            version: None,
            subject: None,
            state: None,
            source: None,
            cause: None,
        };
        match audit {
            Audit::Accepted { version, source: from } => {
                line.change = "configuration";
                line.state = Some("accepted");
                line.version = Some(*version);
                line.source = Some(source(from));
            }
            Audit::Refused { version, source: from, cause } => {
                line.change = "configuration";
                line.state = Some("refused");
                line.version = *version;
                line.source = Some(source(from));
                line.cause = Some(cause.clone());
            }
            Audit::List { revision, source: from } => {
                line.change = "instances";
                line.version = Some(*revision);
                line.source = Some(source(from));
            }
            Audit::Member { instance, health } => {
                line.change = "member";
                line.subject = Some(name(*instance));
                line.state = Some(health);
            }
            Audit::Endpoint { endpoint, reachable } => {
                line.change = "endpoint";
                line.subject = Some(endpoint.clone());
                line.state = Some(if *reachable { "reachable" } else { "unreachable" });
            }
            Audit::Quarantined { request } => {
                line.change = "quarantine";
                line.subject = Some(request.to_string());
                line.cause = Some("endpoints crashed under this request".to_owned());
            }
            Audit::Orphan { attempt, endpoint } => {
                line.change = "orphan";
                line.subject = Some(endpoint.clone());
                line.cause = Some(format!("{attempt} belongs to an instance that has ended"));
            }
            Audit::Stopping => line.change = "stopping",
        }
        let text = serde_json::to_string(&line).expect("an audit line is JSON");
        // Standard output may be closed; the line is still kept in memory.
        let _ = writeln!(std::io::stdout().lock(), "{text}");
        kept.next += 1;
        kept.lines.push_back((sequence, text));
        if kept.lines.len() > KEPT {
            kept.lines.pop_front();
        }
    }

    /// Kept lines from number `from` on.
    pub(crate) fn lines(&self, from: u64) -> String {
        let kept = self.lock();
        let mut text = String::new();
        for (_, line) in kept.lines.iter().filter(|(sequence, _)| *sequence >= from) {
            text.push_str(line);
            text.push('\n');
        }
        text
    }

    fn lock(&self) -> MutexGuard<'_, Kept> {
        self.kept.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Milliseconds since the Unix epoch.
pub(crate) fn now_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}
