//! Connects to targets over this host's own links, and keeps track of which links work.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::net::TcpStream;

use super::socket;
use super::tables::ServingTables;
use crate::ids::TargetId;
use crate::reachability::{ReachabilityChange, TargetWay};

/// Timeout of a probe: a hundred times the delay of a link.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// Interval at which probes are checked for being due.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

impl ServingTables {
    /// Returns how to send a request to a target. A host that knows no gateways has only
    /// its own links.
    pub(super) fn way(&self, target: &str) -> TargetWay {
        match self.gateway_peers.get() {
            None => TargetWay::Direct,
            Some(_) => self.reachability.lock().way(target),
        }
    }

    /// Returns whether no target accepts connections of this host.
    pub fn is_isolated(&self) -> bool {
        self.reachability.lock().is_isolated()
    }

    /// Connects to a target over this host's own link, within `limit`.
    ///
    /// # Errors
    ///
    /// If the connection is not established in time; nothing has been sent then.
    pub(super) async fn connect_target(
        &self,
        target: &TargetId,
        address: SocketAddr,
        limit: Duration,
    ) -> io::Result<TcpStream> {
        let connected = socket::connect(address, limit).await;
        match &connected {
            Ok(_) => self.record_connected(target, Instant::now()),
            Err(error) => self.record_unconnected(target, error, Instant::now()),
        }
        connected
    }

    fn record_connected(&self, target: &TargetId, now: Instant) {
        self.metrics.target_connected("established");
        let change = self.reachability.lock().observe_connected(target, now);
        self.apply_reachability(target, change);
    }

    fn record_unconnected(&self, target: &TargetId, error: &io::Error, now: Instant) {
        let cause = failure_name(error.kind());
        self.metrics.target_connected(cause);
        log::info!(target_id:% = target, cause:% = cause; "no connection to target");
        let known = self.fleet.lock().targets().count();
        let change = self.reachability.lock().observe_failed(target, known, now);
        self.apply_reachability(target, change);
    }

    fn apply_reachability(&self, target: &TargetId, change: Option<ReachabilityChange>) {
        match change {
            None => {}
            Some(ReachabilityChange::Isolated { targets }) => {
                self.metrics.reachability_changed("isolated");
                log::warn!(targets = targets; "no target accepts connections");
                self.fleet.lock().readmit_all();
            }
            Some(ReachabilityChange::Restored { after }) => {
                self.metrics.reachability_changed("restored");
                log::info!(after_ms = after.as_millis() as u64; "targets accept connections again");
            }
            Some(ReachabilityChange::Unblocked { after }) => {
                self.metrics.reachability_changed("unblocked");
                log::info!(
                    target_id:% = target, after_ms = after.as_millis() as u64;
                    "target accepts connections again"
                );
            }
        }
    }

    fn due_probes(&self, now: Instant) -> Vec<(TargetId, SocketAddr)> {
        if !self.reachability.lock().has_lost_links() {
            return Vec::new();
        }
        let known = {
            let fleet = self.fleet.lock();
            let ids = fleet.targets().map(|state| state.entry.id.clone());
            ids.collect::<Vec<_>>()
        };
        let due = self.reachability.lock().due_probes(known.iter(), now);
        let fleet = self.fleet.lock();
        let addresses = due.into_iter().filter_map(|id| {
            let address = fleet.get(&id)?.entry.address;
            Some((id, address))
        });
        addresses.collect()
    }
}

/// Probes targets over lost links, so that this host notices when they work again; runs
/// forever.
pub async fn probe_targets(tables: Arc<ServingTables>) {
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let due = tables.due_probes(Instant::now());
        let probes = due.iter().map(|(id, address)| {
            // The result is recorded, and the connection is closed unused.
            tables.connect_target(id, *address, PROBE_TIMEOUT)
        });
        futures::future::join_all(probes).await;
    }
}

/// Returns the name of a failure to connect, for metrics and logs.
fn failure_name(kind: io::ErrorKind) -> &'static str {
    match kind {
        io::ErrorKind::ConnectionRefused => "refused",
        io::ErrorKind::ConnectionReset => "reset",
        io::ErrorKind::TimedOut => "timeout",
        io::ErrorKind::HostUnreachable | io::ErrorKind::NetworkUnreachable => "unreachable",
        _ => "other",
    }
}
