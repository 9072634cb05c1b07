//! The callers' listener: an OpenAI-compatible API, and plain services under `/services/`.
//!
//! All resources that callers can use are bounded here, before the core receives a request: connections, the
//! size of a body, the time to send it, and the requests in progress. See docs/API.md.

mod answer;
mod front;
mod headers;
mod in_progress;
mod openai;
mod progress;
mod services;

pub(crate) use front::{CallerApi, serve};
pub(crate) use in_progress::{InProgress, Passage};
pub(crate) use progress::Progress;
