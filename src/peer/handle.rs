//! Handle through which the rest of the daemon calls its peers.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};

use super::error::PeerError;
use super::handlers::ServedCalls;
use super::message::{
    ClaimQuery, ClaimQueryReply, PeerHeartbeat, PeerReply, RecordsRequest, RelayedRange,
};
use super::settings::PeerSettings;
use super::traffic::PeerTraffic;
use super::view::{FollowReply, FollowRequest, HostView};
use super::worker::{self, PeerCommand, ReplySender};
use crate::permits::{PermitReply, PermitRequest};

/// Capacity of the command channel to the RPC thread.
const COMMAND_CAPACITY: usize = 1024;
/// Name of the RPC thread.
const THREAD_NAME: &str = "peers";

/// Calls peers from any thread; clones share the connections.
#[derive(Debug, Clone)]
pub struct PeerHandle {
    local_address: SocketAddr,
    traffic: Arc<PeerTraffic>,
    commands: mpsc::Sender<PeerCommand>,
}

/// Listens for peers and starts the RPC thread.
///
/// # Errors
/// Returns [`PeerError::Start`] if the address cannot be bound or the thread cannot be
/// started.
pub fn spawn<H>(settings: PeerSettings, handlers: H) -> Result<PeerHandle, PeerError>
where
    H: Into<ServedCalls>,
{
    let listener = TcpListener::bind(settings.listen)?;
    spawn_on(listener, settings, handlers)
}

/// Starts the RPC thread as [`spawn`] does, with an existing listener, for handlers that
/// need its address.
///
/// # Errors
/// Returns [`PeerError::Start`] if the listener cannot be used or the thread cannot be
/// started.
pub fn spawn_on<H>(
    listener: TcpListener,
    settings: PeerSettings,
    handlers: H,
) -> Result<PeerHandle, PeerError>
where
    H: Into<ServedCalls>,
{
    let handlers = handlers.into();
    listener.set_nonblocking(true)?;
    let local_address = listener.local_addr()?;
    let traffic = Arc::new(PeerTraffic::default());
    let (commands, receiver) = mpsc::channel(COMMAND_CAPACITY);
    let counted = Arc::clone(&traffic);
    std::thread::Builder::new()
        .name(THREAD_NAME.to_owned())
        .spawn(move || {
            if let Err(cause) = worker::run(listener, settings, handlers, counted, receiver) {
                log::error!("peer RPC thread failed: {cause}");
            }
        })?;
    Ok(PeerHandle {
        local_address,
        traffic,
        commands,
    })
}

impl PeerHandle {
    /// Returns the address that peers connect to.
    pub fn local_address(&self) -> SocketAddr {
        self.local_address
    }

    /// Returns the traffic counters.
    pub fn traffic(&self) -> &PeerTraffic {
        &self.traffic
    }

    /// Sends a heartbeat and waits for the reply.
    ///
    /// The reply names the host that sent it. The address may have passed to another
    /// host, so the caller must compare the name.
    ///
    /// # Errors
    /// Fails without a connection, without a reply in time, or if the call fails.
    pub async fn heartbeat(
        &self,
        address: SocketAddr,
        heartbeat: PeerHeartbeat,
    ) -> Result<PeerReply, PeerError> {
        let heartbeat = Box::new(heartbeat);
        self.send_command(|reply| PeerCommand::Heartbeat {
            address,
            heartbeat,
            reply,
        })
        .await
    }

    /// Requests records of a log stream from a peer.
    ///
    /// # Errors
    /// Fails without a connection, without a reply in time, or if the call fails.
    pub async fn records(
        &self,
        address: SocketAddr,
        request: RecordsRequest,
    ) -> Result<RelayedRange, PeerError> {
        self.send_command(|reply| PeerCommand::Records {
            address,
            request,
            reply,
        })
        .await
    }

    /// Queries the winner of a claim for the outcome of its request, and waits up to
    /// `wait` for the request to end. A timeout does not close the connection.
    ///
    /// # Errors
    /// Fails without a connection, without a reply in time, or if the call fails.
    pub async fn claim_outcome(
        &self,
        address: SocketAddr,
        query: ClaimQuery,
        wait: Duration,
    ) -> Result<ClaimQueryReply, PeerError> {
        self.send_command(|reply| PeerCommand::ClaimOutcome {
            address,
            query,
            wait,
            reply,
        })
        .await
    }

    /// Exchanges views with an entry host.
    ///
    /// # Errors
    /// Fails without a connection, without a reply in time, or if the call fails.
    pub async fn exchange(
        &self,
        address: SocketAddr,
        view: HostView,
    ) -> Result<HostView, PeerError> {
        let view = Box::new(view);
        self.send_command(|reply| PeerCommand::Exchange {
            address,
            view,
            reply,
        })
        .await
    }

    /// Requests what an entry host reads from the platform's log; waits up to `wait` for
    /// the reply.
    ///
    /// # Errors
    /// Fails without a connection, without a reply in time, or if the call fails.
    pub async fn follow(
        &self,
        address: SocketAddr,
        request: FollowRequest,
        wait: Duration,
    ) -> Result<FollowReply, PeerError> {
        self.send_command(|reply| PeerCommand::Follow {
            address,
            request,
            wait,
            reply,
        })
        .await
    }

    /// Requests permits from an entry host; waits up to `wait` for the reply.
    ///
    /// # Errors
    /// Fails without a connection, without a reply in time, or if the call fails.
    pub async fn permit(
        &self,
        address: SocketAddr,
        request: PermitRequest,
        wait: Duration,
    ) -> Result<PermitReply, PeerError> {
        let request = Box::new(request);
        self.send_command(|reply| PeerCommand::Permit {
            address,
            request,
            wait,
            reply,
        })
        .await
    }

    /// Closes all connections and waits until the thread has released them.
    pub async fn shutdown(&self) {
        let (done, ended) = oneshot::channel();
        if self
            .commands
            .send(PeerCommand::Shutdown { done })
            .await
            .is_ok()
        {
            let _ = ended.await;
        }
    }

    async fn send_command<T, F>(&self, command: F) -> Result<T, PeerError>
    where
        F: FnOnce(ReplySender<T>) -> PeerCommand,
    {
        let (sender, reply) = oneshot::channel();
        self.commands
            .send(command(sender))
            .await
            .map_err(|_| PeerError::Closed)?;
        reply.await.unwrap_or(Err(PeerError::Closed))
    }
}
