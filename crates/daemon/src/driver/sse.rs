//! Token events out of the bytes of a server-sent event stream.

use teaselshunt_core::StepFailure;
use teaselshunt_wire::engine::TokenEvent;

/// Longest line; a longer one is not a token.
const LINE_MAX: usize = 64 * 1024;

/// Collects bytes until events are whole.
#[derive(Debug, Default)]
pub(crate) struct Events {
    buffer: Vec<u8>,
}

impl Events {
    /// Takes bytes in and appends the events that are whole now.
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
        if self.buffer.len() > LINE_MAX { Err(StepFailure::Broken) } else { Ok(()) }
    }
}
