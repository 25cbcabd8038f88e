//! Sockets that detect an unresponsive peer.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Longest time that sent bytes may stay unacknowledged. A peer that lost power or is
/// partitioned never replies, and the connection would hang until its request's deadline.
/// Link delays are a few milliseconds, and a lost packet is retransmitted within a
/// second.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(3);
/// Pause before the first keep-alive probe on an idle connection, and between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Length of the accept queue. If a burst overflows it, callers wait a second for the
/// retransmission.
const BACKLOG: u32 = 1024;

/// Connects within `limit`, and configures the connection as [`prepare`] does.
///
/// # Errors
///
/// If the connection is not established in time; nothing has been sent then.
pub async fn connect(address: SocketAddr, limit: Duration) -> io::Result<TcpStream> {
    let connected = tokio::time::timeout(limit, TcpStream::connect(address)).await;
    let stream = connected.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    prepare(&stream)?;
    Ok(stream)
}

/// Connects like [`connect`], from the address `source`.
///
/// # Errors
///
/// If the connection is not established in time; nothing has been sent then.
pub async fn connect_from(
    source: IpAddr,
    address: SocketAddr,
    limit: Duration,
) -> io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.bind(SocketAddr::new(source, 0))?;
    let connected = tokio::time::timeout(limit, socket.connect(address)).await;
    let stream = connected.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    prepare(&stream)?;
    Ok(stream)
}

/// Configures a connection to send small messages at once and to detect an unresponsive
/// peer.
///
/// # Errors
///
/// If the system refuses an option.
pub fn prepare(stream: &TcpStream) -> io::Result<()> {
    // Events are small: with Nagle's algorithm each would wait up to 40 ms for the
    // acknowledgement of the one before.
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&keepalive.with_retries(3))
}

/// Opens a listening socket whose accept queue holds a burst.
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
