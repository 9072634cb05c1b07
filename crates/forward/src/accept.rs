//! Accepting connections, whoever they are from.

use std::time::Duration;

use slog::warn;
use tokio::net::{TcpListener, TcpStream};

use crate::node::Node;

/// Pause after a connection could not be accepted; mostly want of descriptors, which end of connections give back.
const ACCEPT: Duration = Duration::from_millis(20);

/// Waits for the next connection.
pub(crate) async fn accept(node: &Node, listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(error) => {
                warn!(node.log, "accept"; "error" => %error);
                tokio::time::sleep(ACCEPT).await;
            }
        }
    }
}
