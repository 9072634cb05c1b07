//! Reads the body of a response from an endpoint or the platform, and finds out how it ended.

use std::collections::VecDeque;
use std::fmt::{self, Display, Formatter};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use teaselshunt_completeness::{BodyBounds, BodyEnd, BodyMonitor, Completeness, Framing, Scan};

use crate::connection_pool::{Connection, ExchangeFailure, Via};

/// A body that is not read to its end, with its connection.
#[derive(Debug)]
pub(crate) struct ResponseReader {
    body: Incoming,
    connection: Connection,
    monitor: BodyMonitor,
    /// Bytes that were received while the first event was awaited.
    received: VecDeque<(Bytes, Scan)>,
    /// How the response ended, if that was received meanwhile.
    ended: Option<ResponseEnd>,
}

/// Bytes of a body, or its end.
#[derive(Debug)]
pub(crate) enum Piece {
    Data(Bytes, Scan),
    End(ResponseEnd),
}

/// How a response ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ResponseEnd {
    pub(crate) framing: Framing,
    pub(crate) completeness: Completeness,
}

/// Why a body could not be read to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReadFailure {
    /// The response is truncated.
    Truncated(ResponseEnd),
    /// It did not end in time.
    TimedOut,
    /// The instance has no memory for it.
    MemoryFull,
}

impl ReadFailure {
    /// How the response ended, if it did.
    pub(crate) fn end(self) -> Option<ResponseEnd> {
        match self {
            Self::Truncated(end) => Some(end),
            Self::TimedOut | Self::MemoryFull => None,
        }
    }
}

impl From<ReadFailure> for ExchangeFailure {
    fn from(failure: ReadFailure) -> Self {
        match failure {
            ReadFailure::Truncated(_) | ReadFailure::MemoryFull => Self::Broken,
            ReadFailure::TimedOut => Self::TimedOut,
        }
    }
}

impl ResponseEnd {
    /// # Errors
    /// The response is truncated.
    pub(crate) fn or_truncated(self) -> Result<(), ReadFailure> {
        match self.completeness {
            Completeness::Complete | Completeness::Unknown => Ok(()),
            Completeness::Truncated(_) => Err(ReadFailure::Truncated(self)),
        }
    }

    /// Whether the response is complete, and its framing marked its end.
    pub(crate) fn is_usual(self) -> bool {
        self.framing.marks_end() && self.completeness == Completeness::Complete
    }
}

/// Suffix of a step's outcome in logs; empty for the usual end.
impl Display for ResponseEnd {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        if self.is_usual() {
            return Ok(());
        }
        write!(f, "({},{})", self.framing.text(), self.completeness.text())
    }
}

impl ResponseReader {
    pub(crate) fn new(body: Incoming, connection: Connection, monitor: BodyMonitor) -> Self {
        Self { body, connection, monitor, received: VecDeque::new(), ended: None }
    }

    pub(crate) const fn via(&self) -> Via {
        self.connection.via()
    }

    pub(crate) fn framing(&self) -> Framing {
        self.monitor.framing()
    }

    /// Sets what the body may consist of. A body beyond a bound is truncated there.
    pub(crate) fn set_bounds(&mut self, bounds: BodyBounds) {
        self.monitor.set_bounds(bounds);
    }

    /// Takes the body for a stream of events, whatever the response says of its type.
    pub(crate) fn expect_events(&mut self) {
        if self.received.is_empty() && self.ended.is_none() {
            self.monitor.expect_events();
        }
    }

    /// Waits for the first event of a stream. What is received meanwhile is returned by [`next`](Self::next) again.
    ///
    /// # Errors
    /// The response ended truncated before it.
    pub(crate) async fn await_first_event(&mut self) -> Result<(), ResponseEnd> {
        self.expect_events();
        while self.received.iter().all(|(_, scan)| scan.events == 0) {
            match self.receive().await {
                Piece::Data(data, scan) => self.received.push_back((data, scan)),
                Piece::End(end) => {
                    self.ended = Some(end);
                    return end.or_truncated().map_err(|_| end);
                }
            }
        }
        Ok(())
    }

    /// Waits for the next bytes or the end.
    pub(crate) async fn next(&mut self) -> Piece {
        if let Some((data, scan)) = self.received.pop_front() {
            return Piece::Data(data, scan);
        }
        match self.ended {
            Some(end) => Piece::End(end),
            None => self.receive().await,
        }
    }

    async fn receive(&mut self) -> Piece {
        while self.monitor.excess().is_none() {
            let end = match self.body.frame().await {
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) => {
                        self.connection.record_bytes();
                        let scan = self.monitor.push(&data);
                        if self.monitor.excess().is_some() {
                            break;
                        }
                        return Piece::Data(data, scan);
                    }
                    // Trailers.
                    Err(_) => continue,
                },
                Some(Err(_)) => BodyEnd::Failed,
                None => BodyEnd::Ended,
            };
            return self.end(end);
        }
        self.end(BodyEnd::Failed)
    }

    fn end(&self, end: BodyEnd) -> Piece {
        let (framing, completeness) = (self.monitor.framing(), self.monitor.completeness(end));
        Piece::End(ResponseEnd { framing, completeness })
    }

    /// The connection, after the end of the body.
    pub(crate) fn into_connection(self) -> Connection {
        self.connection
    }
}
