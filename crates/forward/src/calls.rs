//! Small calls to endpoints and to the platform, and responses that are read to their end.
//!
//! An endpoint may send a response a second time, late, where the response to the next request is expected. Endpoints echo the
//! id of a request, but not of a call: reservations, releases, reports and orders have no id to echo. In its place:
//!
//! - A response that has an id belongs to an earlier request on its connection. It fails the call and ends the connection.
//! - A response whose content is not that of its call's kind ends the idle connections to its address: what follows on its
//!   own may be shifted as well.
//! - Nothing that a call brings is a promise to a caller. A second refusal of a reservation passes an engine over, and a
//!   second grant names a reservation that the engine then refuses to use, in a response that has the request's id.
//!
//! The response to a request counts only with the request's id (`Node::check_response`).

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HOST, HeaderValue};
use hyper::http::response::Parts;
use hyper::{Request, StatusCode};
use slog::{debug, warn};
use teaselshunt_completeness::{BodyBounds, Completeness};
use teaselshunt_routing::EndpointKey;

use crate::bounds::{CALL_BYTES_MAX, LIST_BYTES_MAX};
use crate::buffering::{BufferedBytes, CollectError};
use crate::connection_pool::{Connection, ExchangeFailure, SendCondition};
use crate::node::Node;
use crate::protocol::Call;
use crate::reach::Destination;
use crate::response_reader::{Piece, ReadFailure, ResponseEnd, ResponseReader};
use crate::statements;

/// Longest time for a small call to an engine: many round trips.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_millis(200);

/// Releases a resource at an engine, in the background. If the call fails, the engine's own time limit
/// releases it.
///
/// What the response states about its endpoint is not applied: the call names no incarnation, so that a later
/// one at the same address may respond.
pub(crate) fn release_in_background(node: &Rc<Node>, address: SocketAddr, call: Call) {
    let node = Rc::clone(node);
    tokio::task::spawn_local(async move {
        let until = node.now() + CALL_TIMEOUT;
        if let Err(failure) = node.call(address, call, until).await {
            debug!(node.log, "cannot release a resource at an endpoint"; "address" => %address, "failure" => failure.text());
        }
    });
}

/// The request of a small call to a server at an address.
fn request(address: SocketAddr, call: Call) -> Result<Request<Full<Bytes>>, ExchangeFailure> {
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method;
    *request.uri_mut() = call.path.parse().map_err(|_| ExchangeFailure::Unsent)?;
    *request.headers_mut() = call.headers;
    let host = HeaderValue::from_str(&address.to_string()).expect("an address is a header value");
    request.headers_mut().insert(HOST, host);
    if !call.body.is_empty() {
        request.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    }
    Ok(request)
}

/// A body that was received to its end.
#[derive(Debug)]
pub(crate) struct BufferedBody {
    pub(crate) bytes: Bytes,
    /// Buffer memory of the body.
    pub(crate) memory: BufferedBytes,
    pub(crate) end: ResponseEnd,
}

impl Node {
    /// Makes a small call to an endpoint, reads the complete response, and applies what the endpoint states
    /// about itself.
    pub(crate) async fn call_endpoint(
        &self,
        key: EndpointKey,
        address: SocketAddr,
        call: Call,
        until: Instant,
    ) -> Result<(StatusCode, Bytes), ExchangeFailure> {
        self.call_endpoint_if(key, address, call, until, || true).await
    }

    /// The same for a call that is only sent if it still may be once there is a connection.
    pub(crate) async fn call_endpoint_if(
        &self,
        key: EndpointKey,
        address: SocketAddr,
        call: Call,
        until: Instant,
        may_send: impl Fn() -> bool,
    ) -> Result<(StatusCode, Bytes), ExchangeFailure> {
        let (destination, request) = (self.destination(address), request(address, call)?);
        let condition = SendCondition { may_send, ends_with_link: false };
        let (head, mut body) = self.pool.exchange_if(&destination, request, until, condition).await?;
        self.check_call(&head)?;
        body.set_bounds(BodyBounds::bytes(CALL_BYTES_MAX));
        let body = self.read(body, until).await?;
        self.observe_life(key);
        statements::observe(self, key, &self.protocol.read_response(head.status, &head.headers));
        Ok((head.status, body))
    }

    /// The same for a call that endpoints must get from this instance itself, and not through a peer.
    pub(crate) async fn call_endpoint_directly(
        &self,
        key: EndpointKey,
        address: SocketAddr,
        call: Call,
        until: Instant,
    ) -> Result<(StatusCode, Bytes), ExchangeFailure> {
        let destination = Destination { address, endpoint: None };
        let (head, body) = self.exchange_call(&destination, call, until, CALL_BYTES_MAX).await?;
        statements::observe(self, key, &self.protocol.read_response(head.status, &head.headers));
        Ok((head.status, body))
    }

    /// Makes a small call and reads the complete response.
    pub(crate) async fn call(
        &self,
        address: SocketAddr,
        call: Call,
        until: Instant,
    ) -> Result<(StatusCode, Bytes), ExchangeFailure> {
        let destination = self.destination(address);
        let (head, body) = self.exchange_call(&destination, call, until, CALL_BYTES_MAX).await?;
        Ok((head.status, body))
    }

    /// The same for a call of a peer whose response may be long.
    pub(crate) async fn call_for_list(
        &self,
        address: SocketAddr,
        call: Call,
        until: Instant,
    ) -> Result<(StatusCode, Bytes), ExchangeFailure> {
        let destination = self.destination(address);
        let (head, body) = self.exchange_call(&destination, call, until, LIST_BYTES_MAX).await?;
        Ok((head.status, body))
    }

    /// Makes a call whose response may be long, and reads the complete response. Its head must arrive until `until`.
    /// After that a response may take as long as bytes keep arriving, with gaps of at most `stall`.
    pub(crate) async fn call_with_progress(
        &self,
        address: SocketAddr,
        call: Call,
        until: Instant,
        stall: Duration,
    ) -> Result<(Parts, Bytes), ExchangeFailure> {
        let request = request(address, call)?;
        let (head, mut body) = self.pool.exchange(&self.destination(address), request, until).await?;
        body.set_bounds(BodyBounds::bytes(LIST_BYTES_MAX));
        let body = self.read_while_moving(body, stall).await?;
        Ok((head, body))
    }

    async fn exchange_call(
        &self,
        destination: &Destination,
        call: Call,
        until: Instant,
        max_bytes: u64,
    ) -> Result<(Parts, Bytes), ExchangeFailure> {
        let request = request(destination.address, call)?;
        let (head, mut body) = self.pool.exchange(destination, request, until).await?;
        self.check_call(&head)?;
        body.set_bounds(BodyBounds::bytes(max_bytes));
        let body = self.read(body, until).await?;
        Ok((head, body))
    }

    /// Makes a small call over this connection, and reads the complete response.
    pub(crate) async fn call_over(
        &self,
        connection: Connection,
        address: SocketAddr,
        call: Call,
        until: Instant,
    ) -> Result<(), ExchangeFailure> {
        let request = request(address, call)?;
        let (head, mut body) = self.pool.exchange_over(connection, request, until).await?;
        self.check_call(&head)?;
        body.set_bounds(BodyBounds::bytes(CALL_BYTES_MAX));
        self.read(body, until).await?;
        Ok(())
    }

    /// Accepts the response to a call only if it names no request. The connection of another ends when it is dropped.
    fn check_call(&self, head: &Parts) -> Result<(), ExchangeFailure> {
        let id = self.protocol.read_response(head.status, &head.headers).id;
        if id.is_empty() {
            return Ok(());
        }
        warn!(self.log, "response belongs to another request"; "expected" => "call", "id" => id);
        self.metrics.count_step("call", "foreign");
        Err(ExchangeFailure::Broken)
    }

    /// The endpoint that is listed at an address, or the platform or a peer.
    fn destination(&self, address: SocketAddr) -> Destination {
        let endpoint = self.state.borrow().endpoints.at_address(address).map(|e| Arc::clone(&e.id));
        Destination { address, endpoint }
    }

    /// Reads a body for a caller to its end, as far as there is buffer memory, and keeps the connection.
    pub(crate) async fn read_buffered(
        self: &Rc<Self>,
        mut body: ResponseReader,
        until: Instant,
    ) -> Result<BufferedBody, ReadFailure> {
        body.set_bounds(BodyBounds::bytes(self.state.borrow().memory.largest_response()));
        let mut memory = BufferedBytes::of_whole(self);
        match tokio::time::timeout_at(until.into(), memory.collect_response(&mut body)).await {
            Ok(Ok((bytes, end))) => {
                self.finish(body, end);
                end.or_truncated()?;
                Ok(BufferedBody { bytes, memory, end })
            }
            Ok(Err(CollectError::Body(infallible))) => match infallible {},
            Ok(Err(CollectError::Full(error, bytes))) => {
                warn!(self.log, "response abandoned, buffer memory is full"; "error" => %error, "bytes" => bytes);
                Err(ReadFailure::MemoryFull)
            }
            Err(_) => Err(ReadFailure::TimedOut),
        }
    }

    /// Reads a body to its end as long as bytes keep arriving, with gaps of at most `stall`, and keeps the connection.
    async fn read_while_moving(
        &self,
        mut body: ResponseReader,
        stall: Duration,
    ) -> Result<Bytes, ReadFailure> {
        let mut complete = BytesMut::new();
        loop {
            match tokio::time::timeout(stall, body.next()).await {
                Ok(Piece::Data(data, _)) => complete.extend_from_slice(&data),
                Ok(Piece::End(end)) => {
                    self.finish(body, end);
                    end.or_truncated()?;
                    return Ok(complete.freeze());
                }
                Err(_) => return Err(ReadFailure::TimedOut),
            }
        }
    }

    /// Reads a body to its end and keeps the connection. An unknown end is no failure: what is used of
    /// the body is parsed, and no parser accepts one that is cut short.
    pub(crate) async fn read(&self, mut body: ResponseReader, until: Instant) -> Result<Bytes, ReadFailure> {
        let read = async {
            let mut complete = BytesMut::new();
            loop {
                match body.next().await {
                    Piece::Data(data, _) => complete.extend_from_slice(&data),
                    Piece::End(end) => return (complete.freeze(), end),
                }
            }
        };
        match tokio::time::timeout_at(until.into(), read).await {
            Ok((complete, end)) => {
                self.finish(body, end);
                end.or_truncated()?;
                Ok(complete)
            }
            Err(_) => Err(ReadFailure::TimedOut),
        }
    }

    /// Counts how a response ended, and keeps the connection of a complete one.
    pub(crate) fn finish(&self, body: ResponseReader, end: ResponseEnd) {
        self.metrics.count_response_end(end);
        if end.completeness == Completeness::Complete {
            self.pool.put(body.into_connection());
        }
    }
}
