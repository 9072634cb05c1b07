//! Accepts connections for all listeners.

use std::time::Duration;

use slog::warn;
use tokio::net::{TcpListener, TcpStream};

use crate::node::Node;

/// Pause after a connection could not be accepted. The usual cause is a lack of file descriptors, which
/// closed connections release.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// Waits for the next connection.
pub(crate) async fn accept(node: &Node, listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(error) => {
                warn!(node.log, "accept"; "error" => %error);
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}
