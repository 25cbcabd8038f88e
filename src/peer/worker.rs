//! The thread that runs the RPC library.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio::task::LocalSet;

use super::convert;
use super::error::PeerError;
use super::handlers::ServedCalls;
use super::link::TimeoutPolicy;
use super::link_table::LinkTable;
use super::message::{
    ClaimQuery, ClaimQueryReply, PeerHeartbeat, PeerReply, RecordsRequest, RelayedRange,
};
use super::server::accept_connections;
use super::settings::PeerSettings;
use super::traffic::PeerTraffic;
use super::view::{FollowReply, FollowRequest, HostView};
use crate::peer_capnp::peer;
use crate::permits::{PermitReply, PermitRequest};

/// Channel for the reply to a command.
pub(super) type ReplySender<T> = oneshot::Sender<Result<T, PeerError>>;

/// A command to the RPC thread, sent from any thread.
pub(super) enum PeerCommand {
    /// Sends a heartbeat.
    Heartbeat {
        address: SocketAddr,
        heartbeat: Box<PeerHeartbeat>,
        reply: ReplySender<PeerReply>,
    },
    /// Requests records.
    Records {
        address: SocketAddr,
        request: RecordsRequest,
        reply: ReplySender<RelayedRange>,
    },
    /// Queries the outcome of a claim.
    ClaimOutcome {
        address: SocketAddr,
        query: ClaimQuery,
        wait: Duration,
        reply: ReplySender<ClaimQueryReply>,
    },
    /// Exchanges views with an entry host.
    Exchange {
        address: SocketAddr,
        view: Box<HostView>,
        reply: ReplySender<HostView>,
    },
    /// Requests what an entry host has read from the platform's log.
    Follow {
        address: SocketAddr,
        request: FollowRequest,
        wait: Duration,
        reply: ReplySender<FollowReply>,
    },
    /// Requests permits from an entry host.
    Permit {
        address: SocketAddr,
        request: Box<PermitRequest>,
        wait: Duration,
        reply: ReplySender<PermitReply>,
    },
    /// Ends the thread.
    Shutdown { done: oneshot::Sender<()> },
}

/// Runs until a shutdown command arrives or every handle is dropped.
///
/// # Errors
/// Fails if the runtime cannot be built or the listening socket cannot be used.
pub(super) fn run(
    listener: std::net::TcpListener,
    settings: PeerSettings,
    handlers: ServedCalls,
    traffic: Arc<PeerTraffic>,
    commands: mpsc::Receiver<PeerCommand>,
) -> std::io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let local = LocalSet::new();
    let settings = Rc::new(settings);
    let done = local.block_on(&runtime, async move {
        let listener = TcpListener::from_std(listener)?;
        let table = LinkTable::new(Rc::clone(&settings), Arc::clone(&traffic));
        tokio::task::spawn_local(accept_connections(listener, settings, handlers, traffic));
        Ok::<_, std::io::Error>(take_commands(Rc::new(table), commands).await)
    })?;
    // Dropping the tasks closes the sockets. The shutdown is reported only after that.
    drop(local);
    drop(runtime);
    if let Some(done) = done {
        let _ = done.send(());
    }
    Ok(())
}

async fn take_commands(
    table: Rc<LinkTable>,
    mut commands: mpsc::Receiver<PeerCommand>,
) -> Option<oneshot::Sender<()>> {
    while let Some(command) = commands.recv().await {
        match command {
            PeerCommand::Shutdown { done } => return Some(done),
            call => {
                let table = Rc::clone(&table);
                // Each call runs in its own task, so that a hanging peer delays no call
                // to another one.
                tokio::task::spawn_local(async move { make_call(&table, call).await });
            }
        }
    }
    None
}

async fn make_call(table: &LinkTable, command: PeerCommand) {
    match command {
        PeerCommand::Heartbeat {
            address,
            heartbeat,
            reply,
        } => {
            let send = |client: &peer::Client| send_heartbeat(client, &heartbeat);
            call(table, address, TimeoutPolicy::CloseLink, send, reply).await;
        }
        PeerCommand::Records {
            address,
            request,
            reply,
        } => {
            let send = |client: &peer::Client| send_records_request(client, &request);
            call(table, address, TimeoutPolicy::CloseLink, send, reply).await;
        }
        PeerCommand::ClaimOutcome {
            address,
            query,
            wait,
            reply,
        } => {
            let send = |client: &peer::Client| send_claim_query(client, &query);
            call(table, address, TimeoutPolicy::KeepLink(wait), send, reply).await;
        }
        PeerCommand::Exchange {
            address,
            view,
            reply,
        } => {
            let send = |client: &peer::Client| send_view(client, &view);
            call(table, address, TimeoutPolicy::CloseLink, send, reply).await;
        }
        PeerCommand::Follow {
            address,
            request,
            wait,
            reply,
        } => {
            let send = |client: &peer::Client| send_follow_request(client, request);
            call(table, address, TimeoutPolicy::KeepLink(wait), send, reply).await;
        }
        PeerCommand::Permit {
            address,
            request,
            wait,
            reply,
        } => {
            let send = |client: &peer::Client| send_permit_request(client, &request);
            call(table, address, TimeoutPolicy::KeepLink(wait), send, reply).await;
        }
        PeerCommand::Shutdown { .. } => {}
    }
}

/// Makes one call, counts it and forwards its reply.
async fn call<F, R, T>(
    table: &LinkTable,
    address: SocketAddr,
    policy: TimeoutPolicy,
    send: F,
    reply: ReplySender<T>,
) where
    F: FnOnce(&peer::Client) -> R,
    R: Future<Output = capnp::Result<T>>,
{
    let called = table.link(address).call(policy, send).await;
    table.traffic().count_call(called.is_err());
    // The caller may have dropped its receiver; the reply is not needed then.
    let _ = reply.send(called);
}

fn send_heartbeat(
    client: &peer::Client,
    heartbeat: &PeerHeartbeat,
) -> impl Future<Output = capnp::Result<PeerReply>> + use<> {
    let mut rpc_request = client.heartbeat_request();
    convert::write_heartbeat(rpc_request.get().init_beat(), heartbeat);
    let response = rpc_request.send().promise;
    async move { convert::read_reply(response.await?.get()?.get_reply()?) }
}

fn send_records_request(
    client: &peer::Client,
    request: &RecordsRequest,
) -> impl Future<Output = capnp::Result<RelayedRange>> + use<> {
    let mut rpc_request = client.records_request();
    rpc_request.get().set_stream(request.stream.as_str());
    rpc_request.get().set_from(request.from);
    rpc_request.get().set_limit(request.limit);
    let response = rpc_request.send().promise;
    async move { convert::read_range(response.await?.get()?.get_range()?) }
}

fn send_claim_query(
    client: &peer::Client,
    query: &ClaimQuery,
) -> impl Future<Output = capnp::Result<ClaimQueryReply>> + use<> {
    let mut rpc_request = client.claim_outcome_request();
    convert::write_claim_query(rpc_request.get().init_call(), query);
    let response = rpc_request.send().promise;
    async move { convert::read_claim_outcome(response.await?.get()?.get_reply()?) }
}

fn send_view(
    client: &peer::Client,
    view: &HostView,
) -> impl Future<Output = capnp::Result<HostView>> + use<> {
    let mut rpc_request = client.exchange_request();
    convert::write_view(rpc_request.get().init_view(), view);
    let response = rpc_request.send().promise;
    async move { convert::read_view(response.await?.get()?.get_view()?) }
}

fn send_follow_request(
    client: &peer::Client,
    request: FollowRequest,
) -> impl Future<Output = capnp::Result<FollowReply>> + use<> {
    let mut rpc_request = client.follow_request();
    convert::write_follow_request(rpc_request.get().init_question(), request);
    let response = rpc_request.send().promise;
    async move { convert::read_follow_reply(response.await?.get()?.get_answer()?) }
}

fn send_permit_request(
    client: &peer::Client,
    request: &PermitRequest,
) -> impl Future<Output = capnp::Result<PermitReply>> + use<> {
    let mut rpc_request = client.permit_request();
    convert::write_permit_request(rpc_request.get().init_question(), request);
    let response = rpc_request.send().promise;
    async move { convert::read_permit_reply(response.await?.get()?.get_answer()?) }
}
