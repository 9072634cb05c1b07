//! Tests of the boundaries of events.

use quickcheck::quickcheck;
use teaselshunt_completeness::{EventScanner, Scan};

/// Reads a stream at once; returns the number of events and whether it ends inside one.
fn scan(stream: &[u8]) -> (u32, bool) {
    let mut scanner = EventScanner::default();
    let events = scanner.push(stream).events;
    (events, scanner.is_inside())
}

/// Guards against a complete stream that counts as truncated, or whose events are not counted, because of the
/// form of its lines.
#[test]
fn complete_streams_end_between_events() {
    let streams: [(&[u8], u32); 13] = [
        (b"", 0),
        (b"data: a\n\n", 1),
        (b"data: a\r\n\r\n", 1),
        (b"data: a\r\r", 1),
        (b"data: a\n\r\ndata: b\r\n\n", 2),
        (b"\xEF\xBB\xBFdata: a\n\n", 1),
        (b"\xEF\xBB\xBF", 0),
        (b"id: 1\n\nevent: b\n\n", 2),
        (b"data\n\n", 1),
        (b": comment\n\n: another\ndata: a\n\n", 1),
        (b"data: a\n\n: the end\n", 1),
        (b"data: a\n\n\n\n\ndata: b\n\n", 2),
        (b"data: a\n: inside\ndata: b\n\n", 1),
    ];
    for (stream, events) in streams {
        assert_eq!(scan(stream), (events, false), "{}", stream.escape_ascii());
    }
}

/// Guards against a stream that was cut in an event and counts as complete.
#[test]
fn a_stream_cut_inside_an_event_ends_inside() {
    for end in ["\n", "\r\n", "\r"] {
        let event = format!(": comment{end}id: 1{end}data: {{\"text\": \"a: b\"}}{end}{end}");
        let stream = format!("{event}{event}");
        let first_field = ": comment".len() + end.len();
        for cut in 0..stream.len() {
            let offset = cut % event.len();
            // A carriage return alone ends a line, so that only the line feed of the empty line may be missing.
            let complete = end == "\r\n" && offset == event.len() - 1;
            let outside =
                offset == 0 || complete || (first_field - (end.len() - 1)..=first_field).contains(&offset);
            assert_eq!(!scan(&stream.as_bytes()[..cut]).1, outside, "{:?}", &stream[..cut]);
        }
    }
    assert!(scan(b"\xEF\xBB").1, "inside the byte order mark");
    assert!(scan(b"\xEF\xBBdata: a\n").1, "a field that begins like the byte order mark");
}

/// Guards against comments, which keep idle connections open, that wait until the next event ends.
#[test]
fn a_comment_between_events_is_a_boundary() {
    let mut scanner = EventScanner::default();
    assert_eq!(scanner.push(b"data: a\n\n: wait\nda"), Scan { events: 1, boundary: Some(16) });
    assert_eq!(scanner.push(b"ta: b"), Scan { events: 0, boundary: None });
    assert_eq!(scanner.push(b"\r\n\r\nid"), Scan { events: 1, boundary: Some(4) });
}

quickcheck! {
    /// Guards against a verdict that depends on how the network splits a stream.
    fn the_split_of_a_stream_does_not_matter(stream: Vec<u8>, cuts: Vec<u8>) -> bool {
        // Only bytes with a meaning, so that events end often.
        let stream: Vec<u8> = stream.iter().map(|b| b"\n\r:ad\xEF\xBB\xBF"[usize::from(*b) % 8]).collect();
        let mut scanner = EventScanner::default();
        let (mut events, mut boundary, mut start) = (0, None, 0);
        let mut cuts = cuts.iter().map(|cut| usize::from(*cut) % 5).chain(std::iter::repeat(1));
        while start < stream.len() {
            let end = (start + cuts.next().unwrap_or(1)).min(stream.len());
            let scan = scanner.push(&stream[start..end]);
            events += scan.events;
            boundary = scan.boundary.map(|offset| start + offset).or(boundary);
            start = end;
        }
        let mut whole = EventScanner::default();
        let expected = whole.push(&stream);
        (events, boundary, scanner.is_inside()) == (expected.events, expected.boundary, whole.is_inside())
    }
}
