//! Serves a route on a loopback port inside this process.

use std::net::SocketAddr;

use poem::http::header;
use poem::listener::{Acceptor, Listener, TcpListener};
use poem::{IntoEndpoint, Response, Server};
use tokio::task::JoinHandle;

/// A running server; dropping it stops the server.
#[derive(Debug)]
pub(crate) struct ServerHandle {
    pub(crate) address: SocketAddr,
    task: JoinHandle<()>,
}

impl ServerHandle {
    /// Listens on `address`, port 0 for any, and serves until dropped.
    pub(crate) async fn start<E>(address: SocketAddr, route: E) -> std::io::Result<Self>
    where
        E: IntoEndpoint + Send + 'static,
        E::Endpoint: 'static,
    {
        let acceptor = TcpListener::bind(address).into_acceptor().await?;
        let address = acceptor.local_addr().first().and_then(|a| a.as_socket_addr().copied());
        let address =
            address.ok_or_else(|| std::io::Error::other("the TCP listener has no socket address"))?;
        let task = tokio::spawn(async move {
            // An accept error ends the stand-in, and the test that uses the stand-in fails.
            let _ = Server::new_with_acceptor(acceptor).run(route).await;
        });
        Ok(Self { address, task })
    }
}

impl Drop for ServerHandle {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// A response whose connection breaks in the middle: its `Content-Length` exceeds its body.
///
/// An error in a streamed body has no such effect: the HTTP library ends that body as if it were complete.
pub(crate) fn truncated_response() -> Response {
    Response::builder().header(header::CONTENT_LENGTH, "1000").body("{")
}
