//! Codec of the messages between instances: one message per QUIC stream, in postcard.

use teaselshunt_core::Message;

/// Largest message in bytes; a configuration of a megabyte and its envelope fit.
pub const MAX_MESSAGE_BYTES: usize = 4 << 20;

/// Bytes from a peer that do not decode to a message.
#[derive(Debug, thiserror::Error)]
#[error("not a message of this protocol: {0}")]
pub struct DecodeError(#[from] postcard::Error);

/// Encodes a message.
///
/// # Panics
/// Never: every message can be encoded.
pub fn encode(message: &Message) -> Vec<u8> {
    postcard::to_stdvec(message).expect("every message can be encoded")
}

/// Decodes a message.
///
/// # Errors
/// The bytes are not a message.
pub fn decode(bytes: &[u8]) -> Result<Message, DecodeError> {
    Ok(postcard::from_bytes(bytes)?)
}
