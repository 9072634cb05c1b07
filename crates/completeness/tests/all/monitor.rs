//! Tests of the verdict.

use http::header::{CONTENT_LENGTH, CONTENT_TYPE, HeaderMap, HeaderValue, TRANSFER_ENCODING};
use http::{Method, StatusCode};
use teaselshunt_completeness::{BodyBounds, BodyEnd, BodyMonitor, Completeness, Truncation};

#[derive(Debug, Clone, Copy)]
enum Frame {
    Length(usize),
    Chunked,
    Close,
}

fn verdict(frame: Frame, media_type: &'static str, body: &str, end: BodyEnd) -> Completeness {
    let mut headers = HeaderMap::new();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(media_type));
    match frame {
        Frame::Length(length) => {
            headers.insert(CONTENT_LENGTH, HeaderValue::from(length));
        }
        Frame::Chunked => {
            headers.insert(TRANSFER_ENCODING, HeaderValue::from_static("chunked"));
        }
        Frame::Close => {}
    }
    let mut monitor = BodyMonitor::new(&Method::POST, StatusCode::OK, &headers);
    // One byte a read: the split must not matter.
    for byte in body.as_bytes() {
        monitor.push(&[*byte]);
    }
    monitor.completeness(end)
}

const EVENTS: &str = "text/event-stream; charset=utf-8";
const JSON: &str = "application/json";

/// Guards against a response that is passed on as complete although its connection failed.
#[test]
fn a_failed_connection_truncates_every_response() {
    for frame in [Frame::Length(9), Frame::Chunked, Frame::Close] {
        for (media_type, body) in
            [(EVENTS, "data: a\n\n"), (JSON, "{\"a\": 1} "), ("text/plain", "some text")]
        {
            let cut = Completeness::Truncated(Truncation::Connection);
            assert_eq!(verdict(frame, media_type, body, BodyEnd::Failed), cut, "{frame:?} {media_type}");
        }
    }
}

/// Guards against a stream that was cut inside an event and counts as complete, whatever its framing.
#[test]
fn a_stream_that_ends_inside_an_event_is_truncated() {
    let body = "data: a\n\nda";
    for frame in [Frame::Length(body.len()), Frame::Chunked, Frame::Close] {
        let cut = Completeness::Truncated(Truncation::Event);
        assert_eq!(verdict(frame, EVENTS, body, BodyEnd::Ended), cut, "{frame:?}");
    }
}

/// Guards against an end of the connection that counts as the end of the response.
#[test]
fn the_end_of_a_connection_does_not_complete_a_response() {
    for (media_type, body) in
        [(EVENTS, "data: a\n\n"), (EVENTS, ""), ("text/plain", "some text"), (JSON, "12")]
    {
        let ended = verdict(Frame::Close, media_type, body, BodyEnd::Ended);
        assert_eq!(ended, Completeness::Unknown, "{media_type} {body:?}");
        for frame in [Frame::Length(body.len()), Frame::Chunked] {
            let ended = verdict(frame, media_type, body, BodyEnd::Ended);
            assert_eq!(ended, Completeness::Complete, "{frame:?} {media_type} {body:?}");
        }
    }
}

/// Guards against a body that is shorter than its length and counts as complete, should the HTTP library not
/// report that.
#[test]
fn a_body_shorter_than_its_length_is_truncated() {
    let ended = verdict(Frame::Length(10), "text/plain", "some text", BodyEnd::Ended);
    assert_eq!(ended, Completeness::Truncated(Truncation::Length));
}

/// Guards against a JSON document that was cut with its connection and counts as complete, and against one that
/// was not and counts as unknown.
#[test]
fn a_json_document_shows_its_end() {
    let document = r#" {"a": "}]\"\\", "b": [1, {"c": null}], "d": "{["} "#;
    let closed = document.trim_end().len();
    for cut in 0..=document.len() {
        let expected = match &document[..cut] {
            text if text.trim().is_empty() => Completeness::Unknown,
            text if text.len() < closed => Completeness::Truncated(Truncation::Json),
            _ => Completeness::Complete,
        };
        let ended = verdict(Frame::Close, JSON, &document[..cut], BodyEnd::Ended);
        assert_eq!(ended, expected, "{:?}", &document[..cut]);
    }
    let documents = "{\"a\": 1}\n{\"b\": 2}";
    assert_eq!(verdict(Frame::Close, JSON, documents, BodyEnd::Ended), Completeness::Unknown);
    assert_eq!(verdict(Frame::Chunked, JSON, "{\"a\": ", BodyEnd::Ended), Completeness::Complete);
}

/// Reads a body that is split into reads of `size` bytes, and returns after how many of them it was beyond a bound.
fn bytes_until_excess(
    content_type: &'static str,
    body: &[u8],
    bounds: BodyBounds,
    size: usize,
) -> Option<(usize, Truncation)> {
    let headers = HeaderMap::from_iter([(CONTENT_TYPE, HeaderValue::from_static(content_type))]);
    let mut monitor = BodyMonitor::new(&Method::POST, StatusCode::OK, &headers);
    monitor.set_bounds(bounds);
    let mut read = 0;
    for piece in body.chunks(size) {
        monitor.push(piece);
        read += piece.len();
        if let Some(excess) = monitor.excess() {
            let truncated = Completeness::Truncated(excess);
            assert_eq!(monitor.completeness(BodyEnd::Ended), truncated);
            assert_eq!(monitor.completeness(BodyEnd::Failed), truncated);
            return Some((read, excess));
        }
    }
    None
}

/// Guards against bounds that depend on how a body is split into reads, and against a body that is read on beyond one.
#[test]
fn a_body_is_truncated_at_its_bound() {
    const BOUNDS: BodyBounds = BodyBounds { bytes: 100, event_bytes: 30, events: 3 };
    const EVENT: &str = "data: a\n\n";
    let cases = [
        ("text/plain", ".".repeat(100), None),
        ("text/plain", ".".repeat(101), Some((101, Truncation::TooLong))),
        (EVENTS, EVENT.repeat(3), None),
        (EVENTS, EVENT.repeat(4), Some((36, Truncation::TooManyEvents))),
        (EVENTS, format!("data: {}\n\n", ".".repeat(22)), None),
        (EVENTS, format!("data: {}\n\n", ".".repeat(23)), Some((31, Truncation::TooLong))),
        (EVENTS, format!("data: {}", ".".repeat(80)), Some((31, Truncation::TooLong))),
        (EVENTS, ": sign of life\n".repeat(3), Some((31, Truncation::TooLong))),
        (EVENTS, format!("{EVENT}: sign of life\n{EVENT}: sign of life\n{EVENT}"), None),
    ];
    for (content_type, body, expected) in cases {
        assert_eq!(bytes_until_excess(content_type, body.as_bytes(), BOUNDS, 1), expected, "{body:?}");
        let whole = bytes_until_excess(content_type, body.as_bytes(), BOUNDS, body.len());
        assert_eq!(whole.map(|(_, excess)| excess), expected.map(|(_, excess)| excess), "{body:?}");
    }
}

/// Guards against a body that is read up to its bound although its length is stated beyond it.
#[test]
fn a_length_beyond_a_bound_shows_before_the_body() {
    for (length, expected) in [(100, None), (101, Some(Truncation::TooLong))] {
        let headers = HeaderMap::from_iter([(CONTENT_LENGTH, HeaderValue::from(length))]);
        let mut monitor = BodyMonitor::new(&Method::POST, StatusCode::OK, &headers);
        monitor.set_bounds(BodyBounds::bytes(100));
        assert_eq!(monitor.excess(), expected);
    }
}
