//! Accepts callers' connections.

use std::convert::Infallible;
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::{Duration, Instant};

use http::Request;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};

use super::connection_phase::ConnectionPhase;
use super::connection_tasks::{ConnectionTasks, StopSignals};
use super::exchange::{handle_request, refuse_request};
use super::idle_timer::IdleTimer;
use super::progress::RequestProgress;
use super::socket;
use super::tables::ServingTables;
use crate::platform::names;

/// Pause after a failed accept, for instance while file descriptors are used up.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Time for the refusal of a request whose connection makes way for another one.
const REPLACED_TIME: Duration = Duration::from_millis(500);

/// A running listener.
#[derive(Debug)]
pub struct ServingHandle {
    /// Address that the listener is bound to.
    pub address: SocketAddr,
    connections: ConnectionTasks,
}

impl ServingHandle {
    /// Stops accepting connections, closes those without a request, and returns when the
    /// responses of the others are sent, at most at `end`.
    pub async fn shutdown(self, end: Instant) {
        self.connections.shutdown(end).await;
    }
}

/// Serves callers on `address`.
///
/// # Errors
///
/// If the address cannot be used.
pub fn serve(tables: Arc<ServingTables>, address: SocketAddr) -> io::Result<ServingHandle> {
    let listener = socket::bind(address)?;
    let address = listener.local_addr()?;
    let connections = ConnectionTasks::default();
    connections.spawn(accept_all(tables, listener, connections.clone()));
    Ok(ServingHandle {
        address,
        connections,
    })
}

async fn accept_all(
    tables: Arc<ServingTables>,
    listener: TcpListener,
    connections: ConnectionTasks,
) {
    let stop = connections.stop.clone();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.shutdown.cancelled() => return,
        };
        match accepted {
            Ok((stream, _)) => match admit(&tables, &stream) {
                Some(admission) => match tables.open_connection(Instant::now()) {
                    Some(connection) => {
                        let phase = ConnectionPhase::new(connection);
                        let tables = tables.clone();
                        let served =
                            serve_connection(tables, stream, admission, phase, stop.clone());
                        connections.spawn(served);
                    }
                    None => tables.metrics.connection_refused(),
                },
                // Closed before a request is read, so that the caller comes back elsewhere.
                None => tables.count_closed_unread(),
            },
            Err(error) => {
                log::warn!(error:% = error; "cannot accept a caller connection");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// What becomes of the requests of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ConnectionAdmission {
    Served,
    /// The request is refused, and the connection closed after it.
    Refused,
}

/// Decides about a new connection; `None` closes it.
///
/// A connection that an overloaded host accepts late may hold a whole request that its caller
/// sent long before. It is refused, since a closed connection would leave its caller without
/// an answer.
fn admit(tables: &ServingTables, stream: &TcpStream) -> Option<ConnectionAdmission> {
    if tables.admits_connection() {
        return Some(ConnectionAdmission::Served);
    }
    let mut first = [MaybeUninit::uninit()];
    // An error is that nothing has arrived, or that the connection has failed.
    let has_arrived = SockRef::from(stream)
        .peek(&mut first)
        .is_ok_and(|read| read > 0);
    has_arrived.then_some(ConnectionAdmission::Refused)
}

async fn serve_connection(
    tables: Arc<ServingTables>,
    stream: TcpStream,
    admission: ConnectionAdmission,
    phase: ConnectionPhase,
    stop: StopSignals,
) {
    if let Err(error) = socket::prepare(&stream) {
        log::debug!("cannot configure caller connection: {error}");
        return;
    }
    let service = service_fn(|request: Request<Incoming>| {
        let (tables, phase) = (tables.clone(), phase.clone());
        let arrived = Instant::now();
        let id = request.headers().get(names::ATTEMPT_ID);
        let id = id.and_then(|id| id.to_str().ok()).unwrap_or_default();
        let progress = Arc::new(RequestProgress::new(id, arrived));
        phase.observe_head(&progress, arrived);
        async move {
            let mut response = match admission {
                ConnectionAdmission::Served => {
                    handle_request(tables.clone(), request, &phase, progress, arrived).await
                }
                ConnectionAdmission::Refused => {
                    refuse_request(tables.clone(), request, &phase, progress, arrived).await
                }
            };
            if tables.is_draining() || admission == ConnectionAdmission::Refused {
                // The caller opens its next connection to a host that keeps running.
                phase.close_after(&mut response);
            }
            Ok::<_, Infallible>(phase.follow(response))
        }
    });
    let timer = IdleTimer::open(tables.clone());
    let connection = hyper::server::conn::http1::Builder::new()
        .header_read_timeout(timer.first_limit)
        .timer(timer)
        .max_buf_size(tables.read_buffer_bytes())
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let finished = async {
        tokio::select! {
            // A request that has arrived is read before the connection is found idle.
            biased;
            served = connection.as_mut() => served,
            () = stop.shutdown.cancelled() => {
                // After its last response hyper would close it with the body unread.
                if !phase.is_closing() {
                    connection.as_mut().graceful_shutdown();
                }
                connection.await
            }
        }
    };
    let replaced = async {
        phase.replaced().await;
        if phase.has_request() {
            // Its refusal is sent first.
            tokio::time::sleep(REPLACED_TIME).await;
        }
    };
    let served = tokio::select! {
        biased;
        served = finished => served,
        () = replaced => {
            tables.metrics.connection_replaced();
            return;
        }
        () = stop.cut.cancelled() => {
            phase.record_cut(&tables, Instant::now());
            return;
        }
    };
    if let Err(error) = served {
        phase.record_failure(&tables, &error);
    }
}
