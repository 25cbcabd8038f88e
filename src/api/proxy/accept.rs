//! Accepting connections, up to the bound on their number.

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

/// Connections beyond the bound that are told so at the same time.
const OVERFLOW_CONNECTIONS: usize = 32;
/// Pause after an error that concerns the listener and not one connection.
const ERROR_PAUSE: Duration = Duration::from_millis(100);

/// Binds the listener.
pub(super) fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let listener = std::net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    TcpListener::from_std(listener)
}

/// Accepts until told to stop, then waits for the requests in flight.
pub(super) async fn run(listener: TcpListener, context: ProxyContext, stop: CancellationToken) {
    let graceful = GracefulShutdown::new();
    let places = Arc::new(Semaphore::new(context.bounds.connections));
    let overflow = Arc::new(Semaphore::new(OVERFLOW_CONNECTIONS));
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        let socket = match accepted {
            Ok((socket, _)) => socket,
            Err(error) if concerns_one_connection(&error) => continue,
            Err(error) => {
                // Out of file descriptors, accepting fails at once and again:
                // without the pause this loop would take a whole processor.
                log::warn!("accept failed: {error}");
                tokio::time::sleep(ERROR_PAUSE).await;
                continue;
            }
        };
        if let Err(error) = tune(&socket, &context) {
            log::debug!("a connection was lost before it was served: {error}");
            continue;
        }
        if let Ok(place) = Arc::clone(&places).try_acquire_owned() {
            let served = connection::serve(socket, context.clone(), graceful.watcher());
            tokio::spawn(async move {
                served.await;
                drop(place);
            });
        } else if let Ok(place) = Arc::clone(&overflow).try_acquire_owned() {
            tokio::spawn(async move {
                connection::refuse(socket).await;
                drop(place);
            });
        }
    }
    drop(listener);
    graceful.shutdown().await;
}

fn concerns_one_connection(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::ConnectionRefused
            | io::ErrorKind::ConnectionAborted
            | io::ErrorKind::ConnectionReset
    )
}

/// Sets the socket's options.
///
/// Without `TCP_NODELAY` a token would wait for the acknowledgement of the one
/// before, which the caller's system may hold back for 40 ms. Without the user
/// timeout a caller that stopped reading, or whose host vanished, would hold
/// its connection and its run for as long as the system retransmits.
fn tune(socket: &TcpStream, context: &ProxyContext) -> io::Result<()> {
    socket.set_nodelay(true)?;
    SockRef::from(socket).set_tcp_user_timeout(Some(context.bounds.stall_timeout))
}
