//! Whether a response was received completely.
//!
//! The end of a body is not always a sign that the body is complete: a response without a length and without
//! chunks ends with its connection, whether its sender was done or crashed. All readers of responses ask a
//! [`BodyMonitor`] and none decides by itself, so that a truncated response is never taken for a complete one.
//!
//! The verdict depends only on the framing, on the bytes in their order and on how the connection ended, never
//! on how the bytes were split into reads. A response is [`Completeness::Complete`] only if its framing marks
//! its end, or if a JSON document says where it ends. A stream that ends inside an event is truncated, whatever
//! its framing. What remains is [`Completeness::Unknown`]: whoever passes such a response on must not claim
//! more than was received.
//!
//! A faulty sender may never end its body. Readers that set [`BodyBounds`] are told by [`BodyMonitor::excess`] as soon
//! as a body is beyond one of them, and stop reading.
//!
//! This crate has no input or output.

mod bounds;
mod events;
mod framing;
mod json;
mod monitor;

pub use bounds::BodyBounds;
pub use events::{EventScanner, Scan};
pub use framing::Framing;
pub use monitor::{BodyEnd, BodyMonitor, Completeness, Truncation};
