//! The verdict on a response.

use http::header::{CONTENT_TYPE, HeaderMap};
use http::{Method, StatusCode};

use crate::bounds::BodyBounds;
use crate::events::{EventScanner, Scan};
use crate::framing::Framing;
use crate::json::{JsonScanner, JsonState};

/// How reading a body ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyEnd {
    /// As its framing marks it, or with the end of the connection.
    Ended,
    /// The connection failed, or the bytes do not follow the framing.
    Failed,
}

/// Whether a response is complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Completeness {
    /// Everything that its sender wanted to send has arrived.
    Complete,
    /// The connection ended, and nothing shows whether the response had.
    Unknown,
    /// Something is missing.
    Truncated(Truncation),
}

impl Completeness {
    /// Name for logs and metrics.
    pub const fn text(self) -> &'static str {
        match self {
            Self::Complete => "complete",
            Self::Unknown => "unknown",
            Self::Truncated(Truncation::Connection) => "connection",
            Self::Truncated(Truncation::Length) => "length",
            Self::Truncated(Truncation::Event) => "event",
            Self::Truncated(Truncation::Json) => "json",
            Self::Truncated(Truncation::TooLong) => "too_long",
            Self::Truncated(Truncation::TooManyEvents) => "too_many_events",
        }
    }
}

/// What shows that a response is truncated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Truncation {
    /// The connection failed, or the bytes do not follow the framing.
    Connection,
    /// The body is shorter than its length.
    Length,
    /// The stream ends inside an event.
    Event,
    /// The JSON document ends inside an object or array.
    Json,
    /// The body, or an event, has more bytes than it may have. Nothing more is read of it.
    TooLong,
    /// The stream has more events than it may have. Nothing more is read of it.
    TooManyEvents,
}

/// What a body consists of, as far as that shows where it may end.
#[derive(Debug, Clone)]
enum Content {
    Opaque,
    Events(EventScanner),
    Json(JsonScanner),
}

impl Content {
    fn of(framing: Framing, headers: &HeaderMap) -> Self {
        let value = headers.get(CONTENT_TYPE).and_then(|value| value.to_str().ok()).unwrap_or_default();
        let media_type = value.split(';').next().unwrap_or_default().trim().to_ascii_lowercase();
        if media_type == "text/event-stream" {
            Self::Events(EventScanner::default())
        } else if framing.marks_end() {
            Self::Opaque
        } else if media_type == "application/json" || media_type.ends_with("+json") {
            Self::Json(JsonScanner::default())
        } else {
            Self::Opaque
        }
    }
}

/// Follows the body of one response.
#[derive(Debug, Clone)]
pub struct BodyMonitor {
    framing: Framing,
    /// Bytes that have arrived.
    received: u64,
    /// Events that have ended.
    events: u64,
    content: Content,
    bounds: BodyBounds,
}

impl BodyMonitor {
    /// Begins with the head of the response to a request with this method.
    pub fn new(method: &Method, status: StatusCode, headers: &HeaderMap) -> Self {
        let framing = Framing::of(method, status, headers);
        let content = Content::of(framing, headers);
        Self { framing, received: 0, events: 0, content, bounds: BodyBounds::NONE }
    }

    /// Sets what the body may consist of.
    pub fn set_bounds(&mut self, bounds: BodyBounds) {
        self.bounds = bounds;
    }

    /// How the end of the body is marked.
    pub fn framing(&self) -> Framing {
        self.framing
    }

    /// Takes the body for a stream of events, whatever the response says of its type. Must precede the first
    /// bytes.
    pub fn expect_events(&mut self) {
        debug_assert_eq!(self.received, 0, "the type of a body is known before its bytes");
        self.content = Content::Events(EventScanner::default());
    }

    /// Reads the next bytes of the body. The result is empty for a body that is not a stream of events.
    pub fn push(&mut self, data: &[u8]) -> Scan {
        self.received += data.len() as u64;
        match &mut self.content {
            Content::Opaque => Scan::default(),
            Content::Events(events) => {
                let scan = events.push(data);
                self.events += u64::from(scan.events);
                scan
            }
            Content::Json(json) => {
                json.push(data);
                Scan::default()
            }
        }
    }

    /// What shows that the body is beyond a bound. A length shows it before the first byte.
    pub fn excess(&self) -> Option<Truncation> {
        let stated = if let Framing::Length(length) = self.framing { length } else { 0 };
        let longest = if let Content::Events(events) = &self.content { events.longest() } else { 0 };
        if self.received.max(stated) > self.bounds.bytes || longest > self.bounds.event_bytes {
            Some(Truncation::TooLong)
        } else if self.events > self.bounds.events {
            Some(Truncation::TooManyEvents)
        } else {
            None
        }
    }

    /// Decides whether the response is complete.
    pub fn completeness(&self, end: BodyEnd) -> Completeness {
        if let Some(excess) = self.excess() {
            return Completeness::Truncated(excess);
        }
        if end == BodyEnd::Failed {
            return Completeness::Truncated(Truncation::Connection);
        }
        if matches!(self.framing, Framing::Length(length) if self.received < length) {
            return Completeness::Truncated(Truncation::Length);
        }
        match &self.content {
            Content::Events(events) if events.is_inside() => Completeness::Truncated(Truncation::Event),
            _ if self.framing.marks_end() => Completeness::Complete,
            Content::Json(json) => match json.state() {
                JsonState::Closed => Completeness::Complete,
                JsonState::Open => Completeness::Truncated(Truncation::Json),
                JsonState::Empty | JsonState::Other => Completeness::Unknown,
            },
            Content::Opaque | Content::Events(_) => Completeness::Unknown,
        }
    }
}
