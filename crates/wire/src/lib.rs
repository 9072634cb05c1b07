//! Protocols on the wire: the published protocols of the engines and of the platform, and the messages
//! between peers.
//!
//! The types of [`engine`] and [`platform`] mirror docs/ENGINE.md and docs/PLATFORM.md field by field. Peers
//! exchange one [`Message`](teaselshunt_core::Message) per QUIC stream, encoded by [`peer`].

pub mod engine;
pub mod peer;
pub mod platform;
pub mod status;
