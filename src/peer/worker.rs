//! The thread on which all of the RPC library runs.

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
    ClaimOutcome, ClaimQuery, PeerHeartbeat, PeerReply, RecordsRequest, RelayedRange,
};
use super::server::accept_connections;
use super::settings::PeerSettings;
use super::traffic::PeerTraffic;
use super::view::{FollowReply, FollowRequest, HostView};
use crate::peer_capnp::peer;
use crate::permits::{PermitReply, PermitRequest};

/// Where the answer to a command goes.
pub(super) type ReplySender<T> = oneshot::Sender<Result<T, PeerError>>;

/// A call to make, sent from any thread.
pub(super) enum PeerCommand {
    /// Send a heartbeat.
    Heartbeat {
        address: SocketAddr,
        beat: Box<PeerHeartbeat>,
        answer: ReplySender<PeerReply>,
    },
    /// Ask for records.
    Records {
        address: SocketAddr,
        question: RecordsRequest,
        answer: ReplySender<RelayedRange>,
    },
    /// Ask what became of a claim.
    ClaimOutcome {
        address: SocketAddr,
        question: ClaimQuery,
        wait: Duration,
        answer: ReplySender<ClaimOutcome>,
    },
    /// Exchange views with an entry host.
    Exchange {
        address: SocketAddr,
        view: Box<HostView>,
        answer: ReplySender<HostView>,
    },
    /// Ask an entry host for what it has read from the platform's log.
    Follow {
        address: SocketAddr,
        question: FollowRequest,
        wait: Duration,
        answer: ReplySender<FollowReply>,
    },
    /// Ask an entry host for permits.
    Permit {
        address: SocketAddr,
        question: Box<PermitRequest>,
        wait: Duration,
        answer: ReplySender<PermitReply>,
    },
    /// End the thread.
    Shutdown { done: oneshot::Sender<()> },
}

/// Runs until a shutdown is asked for or every handle is gone.
///
/// # Errors
/// What the system says about the runtime or the listening socket.
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
    // Dropping the tasks closes the sockets; only then is the end reported.
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
                // Each call is a task of its own: one peer that hangs delays
                // no call to another.
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
            beat,
            answer,
        } => {
            let send = |client: &peer::Client| send_heartbeat(client, &beat);
            call(table, address, TimeoutPolicy::CloseLink, send, answer).await;
        }
        PeerCommand::Records {
            address,
            question,
            answer,
        } => {
            let send = |client: &peer::Client| send_records(client, &question);
            call(table, address, TimeoutPolicy::CloseLink, send, answer).await;
        }
        PeerCommand::ClaimOutcome {
            address,
            question,
            wait,
            answer,
        } => {
            let send = |client: &peer::Client| send_question(client, &question);
            call(table, address, TimeoutPolicy::KeepLink(wait), send, answer).await;
        }
        PeerCommand::Exchange {
            address,
            view,
            answer,
        } => {
            let send = |client: &peer::Client| send_view(client, &view);
            call(table, address, TimeoutPolicy::CloseLink, send, answer).await;
        }
        PeerCommand::Follow {
            address,
            question,
            wait,
            answer,
        } => {
            let send = |client: &peer::Client| send_follow(client, question);
            call(table, address, TimeoutPolicy::KeepLink(wait), send, answer).await;
        }
        PeerCommand::Permit {
            address,
            question,
            wait,
            answer,
        } => {
            let send = |client: &peer::Client| send_permit(client, &question);
            call(table, address, TimeoutPolicy::KeepLink(wait), send, answer).await;
        }
        PeerCommand::Shutdown { .. } => {}
    }
}

/// Makes one call, counts it, and passes its answer on.
async fn call<F, R, T>(
    table: &LinkTable,
    address: SocketAddr,
    limit: TimeoutPolicy,
    send: F,
    answer: ReplySender<T>,
) where
    F: FnOnce(&peer::Client) -> R,
    R: Future<Output = capnp::Result<T>>,
{
    let called = table.link(address).call(limit, send).await;
    table.traffic().count_call(called.is_err());
    // The asker may have gone away; then nobody needs the answer.
    let _ = answer.send(called);
}

fn send_heartbeat(
    client: &peer::Client,
    beat: &PeerHeartbeat,
) -> impl Future<Output = capnp::Result<PeerReply>> + use<> {
    let mut request = client.heartbeat_request();
    convert::write_heartbeat(request.get().init_beat(), beat);
    let response = request.send().promise;
    async move { convert::read_reply(response.await?.get()?.get_reply()?) }
}

fn send_records(
    client: &peer::Client,
    question: &RecordsRequest,
) -> impl Future<Output = capnp::Result<RelayedRange>> + use<> {
    let mut request = client.records_request();
    request.get().set_stream(question.stream.as_str());
    request.get().set_from(question.from);
    request.get().set_limit(question.limit);
    let response = request.send().promise;
    async move { convert::read_range(response.await?.get()?.get_range()?) }
}

fn send_question(
    client: &peer::Client,
    question: &ClaimQuery,
) -> impl Future<Output = capnp::Result<ClaimOutcome>> + use<> {
    let mut request = client.claim_outcome_request();
    convert::write_question(request.get().init_call(), question);
    let response = request.send().promise;
    async move { convert::read_outcome(response.await?.get()?.get_reply()?) }
}

fn send_view(
    client: &peer::Client,
    view: &HostView,
) -> impl Future<Output = capnp::Result<HostView>> + use<> {
    let mut request = client.exchange_request();
    convert::write_view(request.get().init_view(), view);
    let response = request.send().promise;
    async move { convert::read_view(response.await?.get()?.get_view()?) }
}

fn send_follow(
    client: &peer::Client,
    question: FollowRequest,
) -> impl Future<Output = capnp::Result<FollowReply>> + use<> {
    let mut request = client.follow_request();
    convert::write_follow_question(request.get().init_question(), question);
    let response = request.send().promise;
    async move { convert::read_follow_answer(response.await?.get()?.get_answer()?) }
}

fn send_permit(
    client: &peer::Client,
    question: &PermitRequest,
) -> impl Future<Output = capnp::Result<PermitReply>> + use<> {
    let mut request = client.permit_request();
    convert::write_permit_question(request.get().init_question(), question);
    let response = request.send().promise;
    async move { convert::read_permit_answer(response.await?.get()?.get_answer()?) }
}
