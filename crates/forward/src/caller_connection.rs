//! One connection of a caller, from its accept to its end.
//!
//! How long a connection is kept follows the configuration in force, so that callers may rely on what it says, whenever they
//! connected. The library's own time limits are fixed for a connection and are not used. Its limit of a head is fixed as well, so
//! that the library is set up again before the first request after that limit has changed, when it has nothing left to write.
//! Before an idle connection ends, the library hands back what it has read, which may be the begin of a request.

use std::future::poll_fn;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use hyper::server::conn::http1::{self, Parts};
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use slog::{debug, info};
use tokio::net::TcpStream;
use tokio::time::{Sleep, sleep_until};

use crate::body::CallerConnection;
use crate::caller_activity::{Activity, CallerActivity, TrackedBody};
use crate::caller_limits::CallerLimits;
use crate::caller_stream::CallerStream;
use crate::node::Node;
use crate::phase::{self, Phase};
use crate::requests;

/// Time in which a caller must send its request if it connects, or has begun to send, while the instance closes idle connections.
const LATE_REQUEST_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest time until an idle connection notices a lower limit.
const LIMITS_CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// Serves a connection until it ends.
pub(crate) async fn run(node: Rc<Node>, limits: Rc<CallerLimits>, stream: TcpStream) {
    // Sends events of a stream without delay; a failure only costs latency.
    let _ = stream.set_nodelay(true);
    node.connections.set(node.connections.get() + 1);
    let end = serve(&node, limits, stream).await;
    node.connections.set(node.connections.get() - 1);
    match end {
        End::Closed(Ok(())) => {}
        End::Closed(Err(error)) => debug!(node.log, "caller connection failed"; "error" => %error),
        End::Unread => info!(node.log, "caller connection closed"; "cause" => "response not read in time"),
        End::Incomplete => debug!(node.log, "caller connection closed"; "cause" => "request head incomplete"),
    }
}

/// How a connection ended.
enum End {
    /// By one of its sides.
    Closed(hyper::Result<()>),
    /// The caller did not read a response in time.
    Unread,
    /// The caller did not send the head of a request in time.
    Incomplete,
}

async fn serve(node: &Rc<Node>, limits: Rc<CallerLimits>, stream: TcpStream) -> End {
    let caller = Rc::new(CallerConnection::default());
    let activity = Rc::new(CallerActivity::new(Arc::clone(&node.clock)));
    let service = service_fn(|request| {
        activity.begin_request();
        let (served, activity) =
            (requests::serve(Rc::clone(node), request, Rc::clone(&caller)), Rc::clone(&activity));
        async move { served.await.map(|response| response.map(|body| TrackedBody::new(body, activity))) }
    });
    let stream = CallerStream::new(stream, Rc::clone(&caller), Rc::clone(&activity), Rc::clone(&limits));
    let set_up = |(stream, service): (CallerStream, _)| {
        let bytes = stream.head_bytes().saturating_mul(2);
        let mut library = http1::Builder::new();
        library.header_read_timeout(None).max_buf_size(bytes).serve_connection(TokioIo::new(stream), service)
    };
    let mut connection = set_up((stream, service));
    let mut closing = pin!(phase::reached(node.phase.subscribe(), Phase::Closing));
    let mut times = Times::new(Rc::clone(node), limits, Rc::clone(&activity));
    loop {
        tokio::select! {
            // Bytes that have arrived are read before the connection is closed.
            biased;
            result = Pin::new(&mut connection) => return End::Closed(result),
            () = activity.renewal() => connection = set_up(renewed(connection.into_parts())),
            () = caller.overdue() => return End::Unread,
            () = &mut closing, if times.closing.is_none() => times.close(),
            expired = times.expired() => match expired {
                // The connection is polled again, and reads what the kernel has.
                _ if !activity.ask_kernel(true) => {}
                Activity::Receiving(_) => return End::Incomplete,
                Activity::Idle(_) => {
                    // The library would drop what it has read of the next request together with the one before.
                    connection = set_up(renewed(connection.into_parts()));
                    if activity.is_idle() {
                        times.ended = true;
                        Pin::new(&mut connection).graceful_shutdown();
                    }
                }
                Activity::Serving => {
                    times.ended = true;
                    Pin::new(&mut connection).graceful_shutdown();
                }
            }
        }
    }
}

/// The stream and the service of an idle connection whose library is set up again.
fn renewed<S>(parts: Parts<TokioIo<CallerStream>, S>) -> (CallerStream, S) {
    let mut stream = parts.io.into_inner();
    stream.renew(parts.read_buf);
    (stream, parts.service)
}

/// The times after which a connection ends.
struct Times {
    node: Rc<Node>,
    limits: Rc<CallerLimits>,
    activity: Rc<CallerActivity>,
    /// Since when the instance closes idle connections.
    closing: Option<Instant>,
    /// Whether the caller connected since then. It gets one response, which announces that the connection closes.
    late: bool,
    /// Whether the library closes the connection as soon as it is idle.
    ended: bool,
    /// Ends no later than the first of these times, and may end earlier.
    timer: Pin<Box<Sleep>>,
}

impl Times {
    fn new(node: Rc<Node>, limits: Rc<CallerLimits>, activity: Rc<CallerActivity>) -> Self {
        let now = node.now();
        let late = node.phase() >= Phase::Closing;
        let timer = Box::pin(sleep_until(now.into()));
        Self { node, limits, activity, closing: late.then_some(now), late, ended: false, timer }
    }

    /// Records that the instance closes idle connections from now on.
    fn close(&mut self) {
        self.closing = Some(self.node.now());
    }

    /// Waits until a time is over, and returns what the connection is doing then.
    ///
    /// Must be polled after each poll of the connection, which may begin another time.
    async fn expired(&mut self) -> Activity {
        poll_fn(|context| self.poll(context)).await
    }

    fn poll(&mut self, context: &mut Context<'_>) -> Poll<Activity> {
        loop {
            let (now, activity) = (self.node.now(), self.activity.current());
            let Some(left) = self.left(now, activity) else {
                self.activity.ask_kernel(false);
                return Poll::Pending;
            };
            if left.is_zero() {
                return Poll::Ready(activity);
            }
            self.activity.ask_kernel(false);
            let wake = (now + left.min(LIMITS_CHECK_INTERVAL)).into();
            if self.timer.is_elapsed() || self.timer.deadline() > wake {
                self.timer.as_mut().reset(wake);
            }
            ready!(self.timer.as_mut().poll(context));
        }
    }

    /// Time that the connection has left for what it is doing. A request in progress has its own deadline.
    fn left(&self, now: Instant, activity: Activity) -> Option<Duration> {
        let until = |since, limit: Duration| limit.saturating_sub(now.duration_since(since));
        match (activity, self.closing) {
            (Activity::Receiving(since), closing) => {
                let left = until(since, self.limits.head_timeout());
                Some(closing.map_or(left, |closing| left.min(until(closing, LATE_REQUEST_TIMEOUT))))
            }
            (Activity::Idle(_) | Activity::Serving, _) if self.ended => None,
            (Activity::Idle(since), None) => Some(until(since, self.limits.idle())),
            (Activity::Idle(_), Some(closing)) if self.late => Some(until(closing, LATE_REQUEST_TIMEOUT)),
            (Activity::Idle(_) | Activity::Serving, Some(_)) => Some(Duration::ZERO),
            (Activity::Serving, None) => None,
        }
    }
}
