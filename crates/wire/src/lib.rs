//! What goes over wires: the engines' and the platform's published protocols, and the messages of peers.
//!
//! The types of [`engine`] and [`platform`] mirror docs/ENGINE.md and docs/PLATFORM.md field by field. Peers
//! exchange one [`Message`](teaselshunt_core::Message) per QUIC stream, encoded by [`peer`].

pub mod engine;
pub mod peer;
pub mod platform;
pub mod status;
