//! Tests of how the framing of a response is read from its head.

use http::header::{CONTENT_LENGTH, HeaderMap, HeaderName, HeaderValue, TRANSFER_ENCODING};
use http::{Method, StatusCode};
use teaselshunt_completeness::Framing;

fn framing(method: &Method, status: u16, headers: &[(HeaderName, &'static str)]) -> Framing {
    let headers = headers.iter().map(|(name, value)| (name.clone(), HeaderValue::from_static(value)));
    let mut map = HeaderMap::new();
    headers.for_each(|(name, value)| {
        map.append(name, value);
    });
    Framing::of(method, StatusCode::from_u16(status).expect("a status"), &map)
}

/// Guards against a response whose end is taken for marked although only the connection ends it.
#[test]
fn only_a_length_or_chunks_mark_the_end_of_a_body() {
    let get = |headers: &[_]| framing(&Method::GET, 200, headers);
    assert_eq!(get(&[]), Framing::Close);
    assert_eq!(get(&[(CONTENT_LENGTH, "12")]), Framing::Length(12));
    assert_eq!(get(&[(CONTENT_LENGTH, "12, 12")]), Framing::Length(12));
    assert_eq!(get(&[(CONTENT_LENGTH, "twelve")]), Framing::Close);
    assert_eq!(get(&[(TRANSFER_ENCODING, "Chunked")]), Framing::Chunked);
    assert_eq!(get(&[(TRANSFER_ENCODING, "gzip, chunked")]), Framing::Chunked);
    assert_eq!(get(&[(TRANSFER_ENCODING, "gzip"), (TRANSFER_ENCODING, "chunked")]), Framing::Chunked);
    assert_eq!(get(&[(TRANSFER_ENCODING, "chunked, gzip")]), Framing::Close);
    assert_eq!(get(&[(TRANSFER_ENCODING, "identity"), (CONTENT_LENGTH, "12")]), Framing::Close);
    assert_eq!(get(&[(TRANSFER_ENCODING, "chunked"), (CONTENT_LENGTH, "12")]), Framing::Chunked);
}

/// Guards against a response without a body that counts as truncated because its length was not met.
#[test]
fn responses_without_a_body_are_complete_at_their_head() {
    let length = [(CONTENT_LENGTH, "12")];
    assert_eq!(framing(&Method::HEAD, 200, &length), Framing::Empty);
    assert_eq!(framing(&Method::GET, 204, &[]), Framing::Empty);
    assert_eq!(framing(&Method::GET, 304, &length), Framing::Empty);
    assert_eq!(framing(&Method::POST, 200, &length), Framing::Length(12));
}
