//! The callers' listener: an OpenAI-compatible front, and plain services under `/services/`.
//!
//! Everything a caller can send is bounded here, before the core hears of it: connections, the size of a
//! body, the time to send it, and the requests in progress. See docs/API.md.

mod answer;
mod front;
mod headers;
mod openai;
mod services;

pub(crate) use front::{Front, serve};
