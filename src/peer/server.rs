//! Server side: accepts connections and serves the calls on them.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;

use capnp::capability::Rc as CapabilityRc;
use capnp::message::ReaderOptions;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::{RpcSystem, twoparty};
use futures::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Duration, Instant};
use tokio_util::compat::TokioAsyncReadCompatExt;

use super::convert;
use super::handlers::ServedCalls;
use super::message::RecordsRequest;
use super::settings::PeerSettings;
use super::stream::{CountedStream, ReadClock};
use super::traffic::PeerTraffic;
use crate::peer_capnp::peer;

/// Delay after a failed accept, usually caused by too many open files.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Bytes in one word of a message.
const WORD_BYTES: usize = 8;
/// Maximum nesting of a message; the schema has four levels.
const NESTING_LIMIT: i32 = 32;

/// Serves the calls on one connection.
struct PeerServer {
    handlers: ServedCalls,
    /// Maximum size of the records in a reply, in bytes.
    range_limit: usize,
}

impl peer::Server for PeerServer {
    async fn heartbeat(
        self: CapabilityRc<Self>,
        params: peer::HeartbeatParams,
        mut results: peer::HeartbeatResults,
    ) -> capnp::Result<()> {
        let heartbeat = convert::read_heartbeat(params.get()?.get_beat()?)?;
        let reply = (self.handlers.daemon()?.heartbeat)(heartbeat);
        convert::write_reply(results.get().init_reply(), &reply);
        Ok(())
    }

    async fn records(
        self: CapabilityRc<Self>,
        params: peer::RecordsParams,
        mut results: peer::RecordsResults,
    ) -> capnp::Result<()> {
        let params = params.get()?;
        let request = RecordsRequest {
            stream: params.get_stream()?.to_string()?,
            from: params.get_from(),
            limit: params.get_limit(),
        };
        let range = (self.handlers.daemon()?.records)(request);
        convert::write_range(results.get().init_range(), &range, self.range_limit);
        Ok(())
    }

    async fn claim_outcome(
        self: CapabilityRc<Self>,
        params: peer::ClaimOutcomeParams,
        mut results: peer::ClaimOutcomeResults,
    ) -> capnp::Result<()> {
        let query = convert::read_claim_query(params.get()?.get_call()?)?;
        let outcome = (self.handlers.daemon()?.claim_outcome)(query).await;
        convert::write_claim_outcome(results.get().init_reply(), &outcome);
        Ok(())
    }

    async fn exchange(
        self: CapabilityRc<Self>,
        params: peer::ExchangeParams,
        mut results: peer::ExchangeResults,
    ) -> capnp::Result<()> {
        let view = convert::read_view(params.get()?.get_view()?)?;
        let own = (self.handlers.entry()?.exchange)(view);
        convert::write_view(results.get().init_view(), &own);
        Ok(())
    }

    async fn follow(
        self: CapabilityRc<Self>,
        params: peer::FollowParams,
        mut results: peer::FollowResults,
    ) -> capnp::Result<()> {
        let request = convert::read_follow_request(params.get()?.get_question()?);
        let reply = (self.handlers.entry()?.follow)(request).await;
        convert::write_follow_reply(results.get().init_answer(), &reply);
        Ok(())
    }

    async fn permit(
        self: CapabilityRc<Self>,
        params: peer::PermitParams,
        mut results: peer::PermitResults,
    ) -> capnp::Result<()> {
        let request = convert::read_permit_request(params.get()?.get_question()?)?;
        let reply = (self.handlers.entry()?.permit)(request).await;
        convert::write_permit_reply(results.get().init_answer(), reply);
        Ok(())
    }
}

/// Returns the limits on messages from a peer. A longer message fails its connection
/// before memory is allocated for it.
pub(super) fn reader_options(settings: &PeerSettings) -> ReaderOptions {
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(settings.message_limit / WORD_BYTES));
    options.nesting_limit(NESTING_LIMIT);
    options
}

/// Accepts connections until the RPC thread ends.
pub(super) async fn accept_connections(
    listener: TcpListener,
    settings: Rc<PeerSettings>,
    handlers: ServedCalls,
    traffic: Arc<PeerTraffic>,
) {
    let open = Rc::new(Cell::new(0));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        if open.get() >= settings.connection_limit {
            traffic.count_refused_connection();
            continue;
        }
        let Ok(stream) = CountedStream::new(stream, Arc::clone(&traffic)) else {
            continue;
        };
        let serving = serve_connection(stream, Rc::clone(&settings), handlers.clone());
        let guard = OpenConnection::new(&open);
        tokio::task::spawn_local(async move {
            serving.await;
            drop(guard);
        });
    }
}

/// Counts a connection while it is open, even if its task panics.
struct OpenConnection {
    open: Rc<Cell<usize>>,
}

impl OpenConnection {
    fn new(open: &Rc<Cell<usize>>) -> Self {
        open.set(open.get() + 1);
        Self {
            open: Rc::clone(open),
        }
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.open.set(self.open.get() - 1);
    }
}

async fn serve_connection(
    stream: CountedStream,
    settings: Rc<PeerSettings>,
    handlers: ServedCalls,
) {
    let last_read = stream.read_clock();
    let server = PeerServer {
        handlers,
        range_limit: settings.message_limit / 2,
    };
    let client: peer::Client = capnp_rpc::new_client(server);
    let (reader, writer) = stream.compat().split();
    let network =
        twoparty::VatNetwork::new(reader, writer, Side::Server, reader_options(&settings));
    let system = RpcSystem::new(Box::new(network), Some(client.client));
    tokio::select! {
        ended = system => {
            if let Err(cause) = ended {
                log::debug!("connection of a peer failed: {cause}");
            }
        }
        () = wait_idle(&last_read, settings.idle_timeout) => {
            log::debug!("closing the idle connection of a peer");
        }
    }
}

/// Returns once nothing has been read for `idle_timeout`.
///
/// A peer that is cut off by the network never closes its connections. Without the
/// timeout, each of its restarts would leave one open, until the file descriptors run
/// out.
async fn wait_idle(last_read: &ReadClock, idle_timeout: Duration) {
    loop {
        let limit = last_read.get() + idle_timeout;
        if Instant::now() >= limit {
            return;
        }
        tokio::time::sleep_until(limit).await;
    }
}

/// Connects to a peer.
///
/// # Errors
/// Returns the error of the operating system.
pub(super) async fn connect(
    address: std::net::SocketAddr,
    traffic: Arc<PeerTraffic>,
) -> std::io::Result<CountedStream> {
    let stream = TcpStream::connect(address).await?;
    CountedStream::new(stream, traffic)
}
