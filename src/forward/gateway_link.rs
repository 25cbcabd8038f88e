//! Sends requests to targets through other hosts where this host's own links are lost.

use std::fmt;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use http::header::{HeaderMap, HeaderValue};
use http::{Request, Response};
use http_body_util::Full;
use tokio::task::JoinHandle;

use super::head_limit::{LinkBody, LinkSender, TargetBody};
use super::pending_reads::PendingReads;
use super::socket;
use super::tables::ServingTables;
use super::target_link::handshake;
use crate::gateway::{GatewayCandidate, GatewayResult, PROBE_HEADER, RESULT_HEADER, TARGET_HEADER};
use crate::ids::{HostId, TargetId};

/// Timeout of a connection to a gateway: a hundred times the delay of a link.
const GATEWAY_CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Timeout of a probe through a gateway, which connects to the target meanwhile.
const GATEWAY_PROBE_TIMEOUT: Duration = Duration::from_millis(400);
/// Largest number of gateways that are tried for one request.
const MAX_GATEWAYS: usize = 4;
/// Largest number of gateways that are asked whether they reach a target.
const MAX_WITNESSES: usize = 3;

/// Longest time for which a request waits for what other hosts say about a target. Link
/// delays are below a millisecond, and a host that has used up its CPU quota resumes
/// within 100 ms.
const WITNESS_WAIT: Duration = Duration::from_millis(100);
/// Longest time for asking other hosts about a target.
const MAX_ASKING_TIME: Duration = Duration::from_millis(900);

/// The other hosts as far as gateways are concerned.
pub struct GatewayPeers {
    /// Address from which this host connects to gateways, and by which they know it.
    pub source: IpAddr,
    /// Returns the live hosts that may serve as gateways.
    pub candidates: Arc<dyn Fn(Instant) -> Vec<GatewayCandidate> + Send + Sync>,
    /// Makes this host known to a host that does not know it.
    pub introduce: Arc<dyn Fn(&HostId) + Send + Sync>,
}

impl fmt::Debug for GatewayPeers {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut debug = formatter.debug_struct("GatewayPeers");
        debug.field("source", &self.source).finish_non_exhaustive()
    }
}

/// Counts a request on its gateway until it is dropped.
#[derive(Debug)]
pub(super) struct GatewayUse {
    tables: Arc<ServingTables>,
    pub(super) host: HostId,
}

impl Drop for GatewayUse {
    fn drop(&mut self) {
        self.tables.gateways.lock().observe_end(&self.host);
    }
}

/// A connection to a gateway, for one request.
#[derive(Debug)]
pub(super) struct GatewayLink {
    pub(super) sender: LinkSender,
    pub(super) gateway: GatewayUse,
}

/// When other hosts were last asked about a target, and what they said. The lock admits one
/// request at a time, which serves all that wait for it: all requests of a target break at
/// the same moment.
pub(super) type WitnessCell = Arc<tokio::sync::Mutex<Option<(Instant, PeerWitness)>>>;

/// Whether other hosts reach a target to which this one could not connect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PeerWitness {
    /// Another host reaches it.
    Reaches,
    /// Another host finds that no process listens there.
    FindsClosed,
    /// Another host does not reach it either.
    CannotReach,
    /// No other host could tell.
    Unknown,
}

impl ServingTables {
    /// Sets the hosts that may serve as gateways. Without them this host uses none.
    pub fn set_gateway_peers(&self, peers: GatewayPeers) {
        if self.gateway_peers.set(peers).is_err() {
            log::error!("gateway peers are already set");
        }
    }

    /// Connects to the best gateway that is not in `tried`, to which it is added.
    pub(super) async fn open_gateway(
        self: &Arc<Self>,
        tried: &mut Vec<HostId>,
    ) -> Option<GatewayLink> {
        let peers = self.gateway_peers.get()?;
        let candidates = (peers.candidates)(Instant::now());
        while tried.len() < MAX_GATEWAYS {
            let chosen = {
                let mut gateways = self.gateways.lock();
                gateways.retain(&candidates);
                gateways.choose(&candidates, &self.zone, tried, Instant::now(), rand::random)
            };
            let Some(chosen) = chosen else {
                break;
            };
            tried.push(chosen.host.clone());
            match connect(peers.source, chosen.address).await {
                Ok(sender) => {
                    self.gateways.lock().observe_start(&chosen.host);
                    let gateway = GatewayUse {
                        tables: self.clone(),
                        host: chosen.host,
                    };
                    return Some(GatewayLink { sender, gateway });
                }
                Err(error) => {
                    self.metrics.gateway_used("unconnected");
                    log::info!(gateway:% = chosen.host, error:% = error; "no connection to gateway");
                    let mut gateways = self.gateways.lock();
                    gateways.observe_failure(&chosen.host, Instant::now());
                }
            }
        }
        self.metrics.gateway_used("none_left");
        None
    }

    /// Records the result that a gateway stated instead of passing a request on.
    pub(super) fn observe_gateway_result(&self, gateway: &HostId, result: GatewayResult) {
        self.metrics.gateway_used(result.name());
        let now = Instant::now();
        self.gateways.lock().observe_result(gateway, result, now);
        if result == GatewayResult::UnknownHost
            && let Some(peers) = self.gateway_peers.get()
        {
            (peers.introduce)(gateway);
        }
    }

    /// Records that a gateway passed a target's response on.
    pub(super) fn observe_gateway_response(&self, gateway: &HostId) {
        self.metrics.gateway_used("passed_on");
        let now = Instant::now();
        self.gateways.lock().observe_proof(gateway, now);
    }

    /// Records that the connection to a gateway broke.
    pub(super) fn observe_gateway_break(&self, gateway: &HostId) {
        self.metrics.gateway_used("broken_connection");
        let now = Instant::now();
        self.gateways.lock().observe_failure(gateway, now);
    }

    /// Asks other hosts whether they reach a target to which this host could not connect,
    /// and waits for the answer for [`WITNESS_WAIT`]. If one does, the target counts as
    /// blocked for this host, and not as ejected.
    pub(super) async fn ask_peers(self: &Arc<Self>, target: &TargetId) -> PeerWitness {
        let asking = self.start_asking(target);
        match tokio::time::timeout(WITNESS_WAIT, asking).await {
            Ok(Ok(witness)) => witness,
            Ok(Err(error)) => {
                log::error!("asking other hosts about a target failed: {error}");
                PeerWitness::Unknown
            }
            Err(_) => PeerWitness::Unknown,
        }
    }

    /// Asks like [`Self::ask_peers`], in the background: the answer is applied when it comes.
    pub(super) fn start_asking(self: &Arc<Self>, target: &TargetId) -> JoinHandle<PeerWitness> {
        let (tables, target) = (self.clone(), target.clone());
        let since = Instant::now();
        tokio::spawn(async move { tables.ask_once(&target, since).await })
    }

    async fn ask_once(self: &Arc<Self>, target: &TargetId, since: Instant) -> PeerWitness {
        let cell = self.witness_cell(target);
        let mut last = cell.lock().await;
        match *last {
            Some((at, witness)) if at >= since => witness,
            _ => {
                let asking = self.ask_gateways(target);
                let asked = tokio::time::timeout(MAX_ASKING_TIME, asking).await;
                let witness = asked.unwrap_or(PeerWitness::Unknown);
                *last = Some((Instant::now(), witness));
                witness
            }
        }
    }

    async fn ask_gateways(self: &Arc<Self>, target: &TargetId) -> PeerWitness {
        let mut tried = Vec::new();
        while tried.len() < MAX_WITNESSES {
            let Some(link) = self.open_gateway(&mut tried).await else {
                return PeerWitness::Unknown;
            };
            let result = self.probe_gateway(link, target).await;
            return match result {
                Some(GatewayResult::Reachable) => {
                    self.block(target, tried.last());
                    PeerWitness::Reaches
                }
                Some(GatewayResult::Refused) => PeerWitness::FindsClosed,
                Some(GatewayResult::Unreachable) => PeerWitness::CannotReach,
                _ => continue,
            };
        }
        PeerWitness::Unknown
    }

    fn block(&self, target: &TargetId, witness: Option<&HostId>) {
        let now = Instant::now();
        let is_new = self.reachability.lock().observe_blocked(target, now);
        self.fleet.lock().readmit(target);
        if is_new {
            self.metrics.reachability_changed("blocked");
            let witness = witness.map_or("", |host| host);
            log::warn!(target_id:% = target, reached_by:% = witness; "only other hosts reach target");
        }
    }

    async fn probe_gateway(
        &self,
        mut link: GatewayLink,
        target: &TargetId,
    ) -> Option<GatewayResult> {
        let mut request = Request::new(LinkBody::Left(Full::default()));
        request
            .headers_mut()
            .insert(PROBE_HEADER, HeaderValue::from_static("1"));
        mark_target(request.headers_mut(), target);
        let exchange = link.sender.send_request(request);
        let result = match tokio::time::timeout(GATEWAY_PROBE_TIMEOUT, exchange).await {
            Ok(Ok(response)) => stated_result(&response),
            Ok(Err(_)) | Err(_) => None,
        };
        match result {
            Some(result) => self.observe_gateway_result(&link.gateway.host, result),
            None => self.observe_gateway_break(&link.gateway.host),
        }
        result
    }
}

/// Addresses a request that is sent through a gateway to a target.
pub(super) fn mark_target(headers: &mut HeaderMap, target: &TargetId) {
    if let Ok(target) = HeaderValue::from_str(target) {
        headers.insert(TARGET_HEADER, target);
    }
}

/// Returns the result that a gateway stated in a response that it created itself.
pub(super) fn stated_result(response: &Response<TargetBody>) -> Option<GatewayResult> {
    let name = response.headers().get(RESULT_HEADER)?.to_str().ok()?;
    GatewayResult::from_name(name)
}

async fn connect(source: IpAddr, address: SocketAddr) -> io::Result<LinkSender> {
    let stream = socket::connect_from(source, address, GATEWAY_CONNECT_TIMEOUT).await?;
    // A gateway is no target, so that nothing is counted.
    let reads = PendingReads::default();
    handshake(stream, &reads).await.map_err(io::Error::other)
}
