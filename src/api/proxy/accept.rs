//! Accept loop with a bound on the number of connections.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper_util::server::graceful::GracefulShutdown;
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;

use super::{ProxyContext, connection};

/// Maximum number of connections beyond the bound that are refused with 429 at the same
/// time.
const MAX_REFUSED_CONNECTIONS: usize = 32;
/// Delay after an error of the listener, as opposed to an error of one connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Binds the listener.
pub(super) fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let listener = std::net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    TcpListener::from_std(listener)
}

/// Accepts connections until `stop` is cancelled, then waits for the requests in flight.
pub(super) async fn run(listener: TcpListener, context: ProxyContext, stop: CancellationToken) {
    let graceful = GracefulShutdown::new();
    let permits = Arc::new(Semaphore::new(context.bounds.connections));
    let overflow_permits = Arc::new(Semaphore::new(MAX_REFUSED_CONNECTIONS));
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        let socket = match accepted {
            Ok((socket, _)) => socket,
            Err(error) if is_connection_error(&error) => continue,
            Err(error) => {
                // When file descriptors run out, accepting fails immediately each time;
                // without a delay this loop would use a whole core.
                log::warn!("cannot accept a connection: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        if let Err(error) = set_options(&socket, &context) {
            log::debug!("cannot set the options of a caller's connection: {error}");
            continue;
        }
        if let Ok(permit) = Arc::clone(&permits).try_acquire_owned() {
            let served = connection::serve(socket, context.clone(), graceful.watcher());
            tokio::spawn(async move {
                served.await;
                drop(permit);
            });
        } else if let Ok(permit) = Arc::clone(&overflow_permits).try_acquire_owned() {
            tokio::spawn(async move {
                connection::refuse(socket).await;
                drop(permit);
            });
        }
    }
    drop(listener);
    graceful.shutdown().await;
}

fn is_connection_error(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::ConnectionRefused
            | io::ErrorKind::ConnectionAborted
            | io::ErrorKind::ConnectionReset
    )
}

/// Sets the socket options.
///
/// Without `TCP_NODELAY`, a token would wait for the acknowledgement of the previous one,
/// which the caller's system may delay by 40 ms. Without the user timeout, a caller that
/// stopped reading, or whose machine vanished, would hold its connection and its run for
/// as long as the system retransmits.
fn set_options(socket: &TcpStream, context: &ProxyContext) -> io::Result<()> {
    socket.set_nodelay(true)?;
    SockRef::from(socket).set_tcp_user_timeout(Some(context.bounds.stall_timeout))
}
