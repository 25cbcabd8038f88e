//! Connects to targets, and records whether that worked.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use tokio::net::TcpStream;

use super::socket;
use super::tables::ServingTables;
use crate::ids::TargetId;
use crate::reachability::ReachabilityChange;

impl ServingTables {
    /// Connects to a target within `limit`.
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
            Ok(_) => self.record_connected(Instant::now()),
            Err(error) => self.record_unconnected(target, error, Instant::now()),
        }
        connected
    }

    fn record_connected(&self, now: Instant) {
        self.metrics.target_connected("established");
        let change = self.reachability.lock().observe_connected(now);
        self.log_reachability(change);
    }

    fn record_unconnected(&self, target: &TargetId, error: &io::Error, now: Instant) {
        let cause = failure_name(error.kind());
        self.metrics.target_connected(cause);
        log::info!(target_id:% = target, cause:% = cause; "no connection to target");
        let known = self.fleet.lock().targets().count();
        let change = self.reachability.lock().observe_failed(target, known, now);
        self.log_reachability(change);
    }

    fn log_reachability(&self, change: Option<ReachabilityChange>) {
        match change {
            None => {}
            Some(ReachabilityChange::Isolated { targets }) => {
                self.metrics.reachability_changed("isolated");
                log::warn!(targets = targets; "no target accepts connections");
            }
            Some(ReachabilityChange::Restored { after }) => {
                self.metrics.reachability_changed("restored");
                log::info!(after_ms = after.as_millis() as u64; "targets accept connections again");
            }
        }
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
