//! Serving a route on a loopback port inside this process.

use std::net::SocketAddr;

use poem::http::header;
use poem::listener::{Acceptor, Listener, TcpListener};
use poem::{IntoEndpoint, Response, Server};
use tokio::task::JoinHandle;

/// A server that ends with its value.
#[derive(Debug)]
pub(crate) struct Running {
    pub(crate) address: SocketAddr,
    task: JoinHandle<()>,
}

impl Running {
    /// Listens on `address`, port 0 for any, and serves until dropped.
    pub(crate) async fn start<E>(address: SocketAddr, route: E) -> std::io::Result<Self>
    where
        E: IntoEndpoint + Send + 'static,
        E::Endpoint: 'static,
    {
        let acceptor = TcpListener::bind(address).into_acceptor().await?;
        let address = acceptor.local_addr().first().and_then(|a| a.as_socket_addr().copied());
        let address = address.ok_or_else(|| std::io::Error::other("a TCP listener has an address"))?;
        let task = tokio::spawn(async move {
            // An accept error ends a stand-in, and the test that uses it will say so.
            let _ = Server::new_with_acceptor(acceptor).run(route).await;
        });
        Ok(Self { address, task })
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// An answer whose connection breaks in the middle: it promises more bytes than it has.
///
/// An error of a streamed body would not do: the HTTP library ends such a body as if it were whole.
pub(crate) fn broken() -> Response {
    Response::builder().header(header::CONTENT_LENGTH, "1000").body("{")
}
