//! Memory for bodies on their way: what callers have sent and endpoints have not read yet, and the other way round.
//!
//! Either side may read slowly or not at all, so that what is held is not bounded by what arrives. Where too much is held
//! new requests are refused first: they have not run, and their callers may go to another instance. Answers have the rest
//! to themselves, since an answer that cannot be held is work lost.

/// Part of the memory up to which requests are taken.
const REQUESTS: f64 = 0.75;

/// What bytes are held for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyKind {
    /// The body of a request that has not ended.
    Request,
    /// An answer that its caller has not read.
    Response,
}

/// There is no room for more.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("too much is held for callers and endpoints that have not read it")]
pub struct MemoryFull;

/// Bytes that are held, and how many may be.
#[derive(Debug, Clone, Copy)]
pub struct BodyMemory {
    limit: u64,
    held: u64,
}

impl BodyMemory {
    /// Nothing is held yet; at most `limit` bytes may be.
    pub const fn new(limit: u64) -> Self {
        Self { limit, held: 0 }
    }

    /// Takes room for so many bytes.
    ///
    /// # Errors
    /// There is not enough; nothing was taken.
    pub fn reserve(&mut self, bytes: u64, held: BodyKind) -> Result<(), MemoryFull> {
        let limit = match held {
            BodyKind::Request => (self.limit as f64 * REQUESTS) as u64,
            BodyKind::Response => self.limit,
        };
        let sum = self.held.saturating_add(bytes);
        if sum > limit {
            return Err(MemoryFull);
        }
        self.held = sum;
        Ok(())
    }

    /// So many bytes are held no longer.
    pub const fn release(&mut self, bytes: u64) {
        self.held = self.held.saturating_sub(bytes);
    }

    /// Bytes that are held.
    pub const fn held(&self) -> u64 {
        self.held
    }
}
