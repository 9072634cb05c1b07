//! When a connection whose caller does not read ends.

use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::Version;
use hyper::body::Body;

use super::{CallerConnection, PIECE_BYTES, ResponseBody};

/// Has a library take a response of some pieces to its end.
async fn take_response(connection: &Rc<CallerConnection>) {
    let bytes = Bytes::from(vec![b'x'; 3 * PIECE_BYTES]);
    let body = ResponseBody::buffered(bytes, None, true);
    let mut body = body.send_on(connection, Version::HTTP_11, Instant::now());
    while let Some(piece) = poll_fn(|context| Pin::new(&mut body).poll_frame(context)).await {
        piece.expect("the response is complete");
    }
}

async fn is_overdue(connection: &CallerConnection) -> bool {
    tokio::time::timeout(Duration::from_mins(1), connection.overdue()).await.is_ok()
}

/// Guards against a connection that is kept for as long as its caller likes, since the library has taken the end of the
/// response that the caller does not read.
#[tokio::test(start_paused = true)]
async fn a_response_that_the_kernel_has_not_taken_is_overdue() {
    let connection = Rc::new(CallerConnection::default());
    take_response(&connection).await;
    assert!(is_overdue(&connection).await);
    assert!(connection.must_reset());
}

/// Guards against an end of a connection whose response was written.
#[tokio::test(start_paused = true)]
async fn a_response_that_was_written_is_not_overdue() {
    let connection = Rc::new(CallerConnection::default());
    take_response(&connection).await;
    connection.clear_read_deadline();
    assert!(!is_overdue(&connection).await);
}
