//! What a response may consist of at most.

/// Bounds of a body. A faulty sender may send without an end, and a body beyond a bound is truncated there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BodyBounds {
    /// Bytes.
    pub bytes: u64,
    /// Bytes of one event of a stream, with the comments before it.
    pub event_bytes: u64,
    /// Events of a stream.
    pub events: u64,
}

impl BodyBounds {
    /// No bounds.
    pub const NONE: Self = Self { bytes: u64::MAX, event_bytes: u64::MAX, events: u64::MAX };

    /// At most this many bytes.
    pub const fn bytes(bytes: u64) -> Self {
        Self { bytes, ..Self::NONE }
    }
}
