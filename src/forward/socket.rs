//! Sockets that notice a silent peer.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// How long sent bytes may stay without acknowledgement. A peer without power,
/// or behind a partition, never answers by itself; the connection would hang
/// until its request's deadline. Link delays are a few milliseconds, and one
/// lost packet is sent again within a second.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(3);
/// Pause before the first keep-alive probe on a quiet connection, and between
/// probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Connections that wait to be taken; a burst must not overflow the queue,
/// else callers wait a second for the next try.
const BACKLOG: u32 = 1024;

/// Connects within `limit`, with small messages sent at once.
///
/// # Errors
///
/// If no connection stands in time; nothing was sent then.
pub async fn connect(address: SocketAddr, limit: Duration) -> io::Result<TcpStream> {
    let connected = tokio::time::timeout(limit, TcpStream::connect(address)).await;
    let stream = connected.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    prepare(&stream)?;
    Ok(stream)
}

/// Sets a connection up for small messages and for noticing a silent peer.
///
/// # Errors
///
/// If the system refuses an option.
pub fn prepare(stream: &TcpStream) -> io::Result<()> {
    // Events are small: with Nagle's algorithm each would wait for the
    // acknowledgement of the one before, up to 40 ms.
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&keepalive.with_retries(3))
}

/// Opens a listening socket with room for a burst.
///
/// # Errors
///
/// If the address cannot be used.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
