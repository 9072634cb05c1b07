//! The audit trail: one JSON line per change, on standard output and in memory for operators.
//!
//! Instances have no disks. The platform collects standard output. If a process is killed, the output that
//! the platform has not read is lost, and so are the last [`RETAINED_LINES`] lines in memory. A line is
//! written synchronously on the thread of the change, before the effects that follow the line are performed.
//! A line is therefore never lost in a buffer after others have seen such an effect.

use std::collections::VecDeque;
use std::io::Write;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

use serde::Serialize;
use teaselshunt_core::{Audit, InstanceId, PromptPart, Source};

/// Lines kept in memory.
const RETAINED_LINES: usize = 10_000;

/// A line of the audit trail.
#[derive(Debug, Serialize)]
struct AuditLine<'a> {
    /// Milliseconds since the Unix epoch.
    at: u64,
    /// Number of the line, rising by one with each line of this process.
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
struct RetainedLines {
    next_sequence: u64,
    lines: VecDeque<(u64, String)>,
}

/// Writes and keeps the audit trail.
#[derive(Debug)]
pub(crate) struct AuditTrail {
    instance: String,
    retained: Mutex<RetainedLines>,
}

impl AuditTrail {
    pub(crate) fn new(instance: &str) -> Self {
        Self { instance: instance.to_owned(), retained: Mutex::default() }
    }

    /// Writes the line of a change; `name` returns the name of an instance.
    pub(crate) fn write(&self, audit: &Audit, name: impl Fn(InstanceId) -> String) {
        let source = |source: &Source| match source {
            Source::Platform => "platform".to_owned(),
            Source::Peer(peer) => format!("peer {}", name(*peer)),
        };
        let mut retained = self.lock();
        let sequence = retained.next_sequence;
        let mut line = AuditLine {
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
            Audit::Cooldown { endpoint, delay } => {
                line.change = "endpoint";
                line.subject = Some(endpoint.clone());
                line.state = Some("cooldown");
                line.cause = Some(format!("it wants no requests for {:.1} s", delay.as_secs_f64()));
            }
            Audit::Quarantined { request } => {
                line.change = "quarantine";
                line.subject = Some(request.to_string());
                line.cause = Some("endpoints crashed under this request".to_owned());
            }
            Audit::PromptParts { parts, quarantined } => {
                line.change = "prompt part";
                line.subject = Some(PromptPart::join(parts));
                line.state = Some(if *quarantined { "quarantined" } else { "released" });
            }
            Audit::Orphan { attempt, endpoint } => {
                line.change = "orphan";
                line.subject = Some(endpoint.clone());
                line.cause = Some(format!("{attempt} belongs to an instance that has ended"));
            }
            Audit::Stopping => line.change = "stopping",
        }
        let text = serde_json::to_string(&line).expect("an audit line is JSON");
        // An error is ignored: standard output may be closed, and the line is kept in memory as well.
        let _ = writeln!(std::io::stdout().lock(), "{text}");
        retained.next_sequence += 1;
        retained.lines.push_back((sequence, text));
        if retained.lines.len() > RETAINED_LINES {
            retained.lines.pop_front();
        }
    }

    /// Lines in memory from the sequence number `from` on.
    pub(crate) fn lines(&self, from: u64) -> String {
        let retained = self.lock();
        let mut text = String::new();
        for (_, line) in retained.lines.iter().filter(|(sequence, _)| *sequence >= from) {
            text.push_str(line);
            text.push('\n');
        }
        text
    }

    fn lock(&self) -> MutexGuard<'_, RetainedLines> {
        self.retained.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Milliseconds since the Unix epoch.
pub(crate) fn now_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}
