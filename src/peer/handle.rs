//! The handle by which the rest of the daemon calls its peers.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};

use super::error::PeerError;
use super::handlers::ServedCalls;
use super::message::{
    ClaimOutcome, ClaimQuery, PeerHeartbeat, PeerReply, RecordsRequest, RelayedRange,
};
use super::settings::PeerSettings;
use super::traffic::PeerTraffic;
use super::view::{FollowReply, FollowRequest, HostView};
use super::worker::{self, PeerCommand, ReplySender};
use crate::permits::{PermitReply, PermitRequest};

/// Calls that may wait for the thread of the RPC library.
const COMMAND_CAPACITY: usize = 1024;
/// Name of that thread, as seen in a debugger.
const THREAD_NAME: &str = "peers";

/// Calls peers from any thread; clones share one set of connections.
#[derive(Debug, Clone)]
pub struct PeerHandle {
    local_address: SocketAddr,
    traffic: Arc<PeerTraffic>,
    commands: mpsc::Sender<PeerCommand>,
}

/// Listens for peers and starts the thread that serves and calls them.
///
/// # Errors
/// [`PeerError::Start`] if the address cannot be bound or no thread started.
pub fn spawn<H>(settings: PeerSettings, handlers: H) -> Result<PeerHandle, PeerError>
where
    H: Into<ServedCalls>,
{
    let listener = TcpListener::bind(settings.listen)?;
    spawn_on(listener, settings, handlers)
}

/// Like [`spawn`], over a listener that stands already: for handlers that
/// have to know their own address.
///
/// # Errors
/// [`PeerError::Start`] if the listener cannot be used or no thread started.
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
                log::error!("peer calls ended: {cause}");
            }
        })?;
    Ok(PeerHandle {
        local_address,
        traffic,
        commands,
    })
}

impl PeerHandle {
    /// The address that peers connect to.
    pub fn local_address(&self) -> SocketAddr {
        self.local_address
    }

    /// Counters of what the calls cost.
    pub fn traffic(&self) -> &PeerTraffic {
        &self.traffic
    }

    /// Sends a heartbeat and waits for the answer.
    ///
    /// The answer names the host that gave it. An address may have passed to
    /// another host, so whoever calls compares that name.
    ///
    /// # Errors
    /// No connection, no answer in time, or the call failed.
    pub async fn heartbeat(
        &self,
        address: SocketAddr,
        beat: PeerHeartbeat,
    ) -> Result<PeerReply, PeerError> {
        let beat = Box::new(beat);
        self.send_command(|reply| PeerCommand::Heartbeat {
            address,
            beat,
            reply,
        })
        .await
    }

    /// Asks a peer for records of a log stream.
    ///
    /// # Errors
    /// No connection, no answer in time, or the call failed.
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

    /// Asks the winner of a claim what became of its request, and waits up to
    /// `wait` for it to end. Running out of time leaves the connection as it is.
    ///
    /// # Errors
    /// No connection, no answer in time, or the call failed.
    pub async fn claim_outcome(
        &self,
        address: SocketAddr,
        query: ClaimQuery,
        wait: Duration,
    ) -> Result<ClaimOutcome, PeerError> {
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
    /// No connection, no answer in time, or the call failed.
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

    /// Asks an entry host for what it reads from the platform's log; waits up
    /// to `wait` for the answer.
    ///
    /// # Errors
    /// No connection, no answer in time, or the call failed.
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

    /// Asks an entry host for permits; waits up to `wait` for the answer.
    ///
    /// # Errors
    /// No connection, no answer in time, or the call failed.
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

    /// Closes all connections and waits until the thread has let go of them.
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
