//! Framing of a response's body (RFC 9112, section 6.3).

use http::header::{CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};
use http::{Method, StatusCode};

/// How the end of a body is marked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// Responses of this kind have no body.
    Empty,
    /// By the number of bytes.
    Length(u64),
    /// By an empty chunk.
    Chunked,
    /// Only by the end of the connection.
    Close,
}

impl Framing {
    /// The framing of the response to a request with this method.
    pub fn of(method: &Method, status: StatusCode, headers: &HeaderMap) -> Self {
        if method == Method::HEAD || matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED) {
            return Self::Empty;
        }
        // The last of the transfer codings decides, and a length beside it does not count.
        if let Some(coding) = headers.get_all(TRANSFER_ENCODING).iter().next_back() {
            let last = coding.to_str().ok().and_then(|coding| coding.rsplit(',').next());
            let chunked = last.is_some_and(|last| last.trim().eq_ignore_ascii_case("chunked"));
            return if chunked { Self::Chunked } else { Self::Close };
        }
        // Several lengths are allowed only if they are equal; the HTTP library rejects others.
        let length = headers.get(CONTENT_LENGTH).and_then(|length| length.to_str().ok());
        let length = length.and_then(|length| length.split(',').next()?.trim().parse().ok());
        length.map_or(Self::Close, Self::Length)
    }

    /// Whether the connection shows where the body ends before it is closed.
    pub const fn marks_end(self) -> bool {
        !matches!(self, Self::Close)
    }

    /// Name for logs and metrics.
    pub const fn text(self) -> &'static str {
        match self {
            Self::Empty => "empty",
            Self::Length(_) => "length",
            Self::Chunked => "chunked",
            Self::Close => "close",
        }
    }
}
