//! A run of a generation: the connections over which its tokens are read.
//!
//! A run that is resumed is still read over its earlier connection as well. The engine has the stream, whichever
//! connection it writes to, so that tokens of both are the same and count by their offsets.

use std::pin::Pin;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use reqwest::Response;
use teaselshunt_core::{AttemptId, StepFailure};
use teaselshunt_wire::engine::TokenEvent;
use tokio::time::Instant;

use super::sse::EventParser;

/// Bytes without a token for the caller after which a connection of a run has failed. An engine that resumes before the
/// requested offset may repeat some tokens.
const MAX_USELESS_BYTES: usize = 1 << 20;

/// What happens next to a run.
pub(super) enum RunEvent {
    /// The engine has begun to respond.
    Began,
    /// Tokens were read from the connection with this index.
    Tokens(usize, Vec<TokenEvent>),
    /// No token has come for the stall timeout.
    Stalled,
    /// The last connection has ended.
    Failed(StepFailure),
}

/// One run of a generation.
pub(super) struct Run {
    pub(super) attempt: AttemptId,
    /// Offset of the last progress report to the core, unless the run has stalled since.
    pub(super) reported: Option<u32>,
    /// Connections over which the stream is read, the latest first.
    sources: Vec<Source>,
    stall_timeout: Duration,
    stalls_at: Instant,
    /// Why the latest connection ended, while the earlier one is still read.
    ended: Option<StepFailure>,
}

impl Run {
    pub(super) fn new(
        attempt: AttemptId,
        stall_timeout: Duration,
        open: impl Future<Output = Result<Response, StepFailure>> + Send + 'static,
    ) -> Self {
        let sources = vec![Source::opening(open)];
        let stalls_at = Instant::now() + stall_timeout;
        Self { attempt, reported: None, sources, stall_timeout, stalls_at, ended: None }
    }

    /// Goes on as another attempt, over a new connection beside the latest one.
    pub(super) fn resume(
        &mut self,
        attempt: AttemptId,
        open: impl Future<Output = Result<Response, StepFailure>> + Send + 'static,
    ) {
        self.attempt = attempt;
        self.sources.truncate(1);
        self.sources.insert(0, Source::opening(open));
        self.ended = None;
        self.reported = None;
        self.has_progressed();
    }

    /// Records that the caller has got a token.
    pub(super) fn has_progressed(&mut self) {
        self.stalls_at = Instant::now() + self.stall_timeout;
        for source in &mut self.sources {
            source.useless = 0;
        }
    }

    /// Gives up a connection. Returns the failure of the run if it was the last one.
    pub(super) fn connection_failed(&mut self, index: usize, failure: StepFailure) -> Option<StepFailure> {
        self.sources.remove(index);
        if self.sources.is_empty() {
            return Some(failure);
        }
        if index == 0 {
            self.ended = Some(failure);
        }
        None
    }

    /// Waits for what happens next. Nothing is lost if the future is dropped.
    pub(super) async fn next(&mut self) -> RunEvent {
        loop {
            let Some((index, read)) = self.read().await else {
                // What was left in the earlier connection has arrived by now.
                if let Some(failure) = self.ended {
                    return RunEvent::Failed(failure);
                }
                self.stalls_at = Instant::now() + self.stall_timeout;
                // The next token ends the stall.
                self.reported = None;
                return RunEvent::Stalled;
            };
            let mut tokens = Vec::new();
            let parsed = match read {
                Ok(Read::Head) => return RunEvent::Began,
                Ok(Read::Bytes(bytes)) => self.sources[index].push(&bytes, &mut tokens),
                Err(failure) => Err(failure),
            };
            if let Err(failure) = parsed {
                match self.connection_failed(index, failure) {
                    Some(failure) => return RunEvent::Failed(failure),
                    None => continue,
                }
            }
            if !tokens.is_empty() {
                return RunEvent::Tokens(index, tokens);
            }
        }
    }

    /// Reads from any connection. `None` if the run has stalled.
    async fn read(&mut self) -> Option<(usize, Result<Read, StepFailure>)> {
        let mut reads: FuturesUnordered<_> = self
            .sources
            .iter_mut()
            .enumerate()
            .map(|(index, source)| async move { (index, source.read().await) })
            .collect();
        tokio::select! {
            biased;
            read = reads.next() => read,
            () = tokio::time::sleep_until(self.stalls_at) => None,
        }
    }
}

enum Read {
    /// The engine has begun to respond.
    Head,
    Bytes(Bytes),
}

/// A connection over which a run is read.
struct Source {
    state: SourceState,
    parser: EventParser,
    /// Bytes since the last token for the caller.
    useless: usize,
}

enum SourceState {
    Opening(Pin<Box<dyn Future<Output = Result<Response, StepFailure>> + Send>>),
    Open(Response),
}

impl Source {
    fn opening(open: impl Future<Output = Result<Response, StepFailure>> + Send + 'static) -> Self {
        Self { state: SourceState::Opening(Box::pin(open)), parser: EventParser::default(), useless: 0 }
    }

    /// Adds received bytes and appends the tokens that are complete to `tokens`.
    fn push(&mut self, bytes: &[u8], tokens: &mut Vec<TokenEvent>) -> Result<(), StepFailure> {
        self.useless += bytes.len();
        self.parser.push(bytes, tokens)?;
        if self.useless > MAX_USELESS_BYTES { Err(StepFailure::Broken) } else { Ok(()) }
    }

    /// The next bytes. A stream that ends before its last token is broken: a truncated response must not pass for a
    /// complete one.
    async fn read(&mut self) -> Result<Read, StepFailure> {
        match &mut self.state {
            SourceState::Opening(open) => {
                let response = open.await?;
                self.state = SourceState::Open(response);
                Ok(Read::Head)
            }
            SourceState::Open(response) => {
                let chunk = response.chunk().await.map_err(|_| StepFailure::Broken)?;
                chunk.map(Read::Bytes).ok_or(StepFailure::Broken)
            }
        }
    }
}
