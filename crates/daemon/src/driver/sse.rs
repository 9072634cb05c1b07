//! Parser of token events in a stream of server-sent events.

use teaselshunt_core::StepFailure;
use teaselshunt_wire::engine::TokenEvent;

/// Longest line. A stream with a longer line is broken.
const MAX_LINE_BYTES: usize = 64 * 1024;

/// Incremental parser, which buffers bytes until an event is complete.
#[derive(Debug, Default)]
pub(crate) struct EventParser {
    buffer: Vec<u8>,
}

impl EventParser {
    /// Adds received bytes and appends the events that are complete to `out`.
    pub(crate) fn push(&mut self, bytes: &[u8], out: &mut Vec<TokenEvent>) -> Result<(), StepFailure> {
        self.buffer.extend_from_slice(bytes);
        let mut start = 0;
        while let Some(length) = self.buffer[start..].iter().position(|&b| b == b'\n') {
            let line = &self.buffer[start..start + length];
            start += length + 1;
            let Some(data) = line.strip_prefix(b"data:") else {
                continue;
            };
            out.push(serde_json::from_slice(data).map_err(|_| StepFailure::Broken)?);
        }
        self.buffer.drain(..start);
        if self.buffer.len() > MAX_LINE_BYTES { Err(StepFailure::Broken) } else { Ok(()) }
    }
}
