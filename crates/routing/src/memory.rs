//! Memory for bodies in transit: requests that endpoints have not read yet, and responses that callers have
//! not read yet.
//!
//! Either side may read slowly or not at all, so the memory that bodies take has no bound of its own. When
//! too much is held, new requests are refused first: they have not run, and their callers may go to another
//! instance. Responses have the rest to themselves, since a response that can't be held is lost work.
//!
//! Responses that are received to their end before they are passed on may be large, or have no end. The large ones have
//! only a part of the memory, so that there is always room for requests and for small responses.

/// Fraction of the memory up to which requests are taken.
const REQUEST_FRACTION: f64 = 0.75;
/// Fraction of the memory for all large responses together. One that needs more can't be held at all.
const LARGE_FRACTION: f64 = 0.5;
/// Fraction of the memory above which a response is large.
const SMALL_FRACTION: f64 = 1.0 / 32.0;

/// What bytes are held for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyKind {
    /// The body of a request that has not ended.
    Request,
    /// A response that its caller has not read.
    Response,
}

/// The memory for bodies is used up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the memory for unread request and response bodies is used up")]
pub struct MemoryFull;

/// Bytes that are held, and how many may be.
#[derive(Debug, Clone, Copy)]
pub struct BodyMemory {
    limit: u64,
    held: u64,
    /// Bytes of large responses among those that are held.
    large: u64,
}

impl BodyMemory {
    /// Empty memory in which at most `limit` bytes may be held.
    pub const fn new(limit: u64) -> Self {
        Self { limit, held: 0, large: 0 }
    }

    /// Bytes of the largest response that can be received to its end before it is passed on.
    pub fn largest_response(&self) -> u64 {
        (self.limit as f64 * LARGE_FRACTION) as u64
    }

    /// Reserves memory for so many further bytes of a response that is received to its end, and of which `own` bytes are
    /// held.
    ///
    /// # Errors
    /// There is not enough; nothing was reserved.
    pub fn reserve_whole(&mut self, bytes: u64, own: u64) -> Result<(), MemoryFull> {
        let large = self.large - self.counted_as_large(own) + self.counted_as_large(own + bytes);
        if large > self.large.max(self.largest_response()) {
            return Err(MemoryFull);
        }
        self.reserve(bytes, BodyKind::Response)?;
        self.large = large;
        Ok(())
    }

    /// Releases a response that was received to its end.
    pub fn release_whole(&mut self, own: u64) {
        self.large -= self.counted_as_large(own);
        self.release(own);
    }

    fn counted_as_large(&self, bytes: u64) -> u64 {
        if bytes as f64 > self.limit as f64 * SMALL_FRACTION { bytes } else { 0 }
    }

    /// Reserves memory for so many bytes.
    ///
    /// # Errors
    /// There is not enough; nothing was reserved.
    pub fn reserve(&mut self, bytes: u64, kind: BodyKind) -> Result<(), MemoryFull> {
        let limit = match kind {
            BodyKind::Request => (self.limit as f64 * REQUEST_FRACTION) as u64,
            BodyKind::Response => self.limit,
        };
        let sum = self.held.saturating_add(bytes);
        if sum > limit {
            return Err(MemoryFull);
        }
        self.held = sum;
        Ok(())
    }

    /// Releases so many reserved bytes.
    pub const fn release(&mut self, bytes: u64) {
        self.held = self.held.saturating_sub(bytes);
    }

    /// Bytes that are held.
    pub const fn held(&self) -> u64 {
        self.held
    }
}
