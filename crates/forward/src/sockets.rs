//! Options of the connections to endpoints, to the platform, and between peers.
//!
//! A connection whose other end has vanished without a word carries no sign of it. Keep-alive probes and a limit on
//! unacknowledged bytes end it; where both are set, the limit decides when probes give up.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Time without a byte before the first probe, and between probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Longest time that bytes and probes may stay unacknowledged: some lost packets in a row.
const ACKNOWLEDGE_TIMEOUT: Duration = Duration::from_secs(3);

/// Opens a connection.
pub(crate) async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(address).await?;
    configure(&stream);
    Ok(stream)
}

/// Sets the options of a connection. One without an option still works: it is slower, or its end is noticed later.
pub(crate) fn configure(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new().with_time(PROBE_INTERVAL).with_interval(PROBE_INTERVAL);
    // Small writes are sent without delay.
    let _ = socket.set_tcp_nodelay(true);
    let _ = socket.set_tcp_keepalive(&probes);
    let _ = socket.set_tcp_user_timeout(Some(ACKNOWLEDGE_TIMEOUT));
}
