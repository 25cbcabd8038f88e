//! State shared by all workers of the daemon.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};

use std::time::{Duration, Instant, SystemTime};

use parking_lot::Mutex;
use tokio::sync::{Notify, Semaphore, watch};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::readiness::ReadinessGate;
use super::tables::SharedTables;
use crate::ids::{HostId, IncarnationId, LogOffset, RequestId, TargetId, ZoneId};
use crate::journal::{JournalEntry, JournalEvent, JournalSubject};
use crate::membership::MemberPhase;
use crate::metrics::MetricSet;
use crate::options::DaemonOptions;
use crate::peer::PeerHandle;
use crate::platform::append_queue::AppendQueue;
use crate::platform::client::PlatformClient;
use crate::replay::Readiness;
use crate::target::client::TargetClient;

/// Maximum number of open claim queries: half of the calls that may be pending to one
/// peer, which leaves room for heartbeats.
const MAX_CLAIM_QUERIES: usize = 16;

/// Phases of a daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum DaemonPhase {
    /// Accepts no work: it has no usable configuration, or one that is older than the
    /// newest known.
    Starting,
    /// Accepts work.
    Serving,
    /// Finishes the requests in flight and accepts no new ones.
    Draining,
}

/// Settings, tables and clients, shared by all workers.
pub(super) struct DaemonCore {
    pub(super) options: DaemonOptions,
    pub(super) incarnation: IncarnationId,
    pub(super) tables: Arc<SharedTables>,
    pub(super) targets: TargetClient,
    pub(super) declaration_appends: AppendQueue,
    pub(super) claim_appends: AppendQueue,
    /// Limits the open queries to holders of keys.
    pub(super) claim_queries: Semaphore,
    /// Offset after the last applied declaration record.
    pub(super) applied: watch::Sender<LogOffset>,
    pub(super) admission_changed: Notify,
    /// Runs and calls in flight, which a shutdown waits for.
    pub(super) in_flight: TaskTracker,
    /// Cancelled when the drain timeout has expired. Requests still in flight then report
    /// their verdict to the caller and end.
    pub(super) drain_expired: CancellationToken,
    pub(super) metrics: MetricSet,
    pub(super) platform: PlatformClient,
    /// Notified when a peer has applied more records than this host.
    pub(super) peer_ahead: Notify,
    peers: OnceLock<PeerHandle>,
    /// Oldest offset that the declaration stream still keeps.
    log_horizon: AtomicU64,
    /// When a valid checkpoint was last read from the log.
    checkpoint_read_at: Mutex<Option<Instant>>,
    run_numbers: AtomicU64,
    /// Locked while an order to a target is open.
    order_lock: tokio::sync::Mutex<()>,
    /// Compares what is applied here with what is known to exist.
    pub(super) readiness: ReadinessGate,
    draining: AtomicBool,
}

impl DaemonCore {
    pub(super) fn new(
        incarnation: IncarnationId,
        tables: Arc<SharedTables>,
        targets: TargetClient,
        platform: PlatformClient,
        declaration_appends: AppendQueue,
        claim_appends: AppendQueue,
        options: DaemonOptions,
    ) -> Arc<Self> {
        Arc::new(Self {
            options,
            incarnation,
            tables,
            targets,
            declaration_appends,
            claim_appends,
            claim_queries: Semaphore::new(MAX_CLAIM_QUERIES),
            applied: watch::Sender::new(0),
            admission_changed: Notify::new(),
            in_flight: TaskTracker::new(),
            drain_expired: CancellationToken::new(),
            metrics: MetricSet::default(),
            platform,
            peer_ahead: Notify::new(),
            peers: OnceLock::new(),
            log_horizon: AtomicU64::new(0),
            checkpoint_read_at: Mutex::new(None),
            run_numbers: AtomicU64::new(0),
            order_lock: tokio::sync::Mutex::new(()),
            readiness: ReadinessGate::new(),
            draining: AtomicBool::new(false),
        })
    }

    /// Sets the handle for calls to peers, once their listener is open.
    pub(super) fn set_peers(&self, peers: PeerHandle) {
        // Called once at the start; a second handle would be dropped.
        let _ = self.peers.set(peers);
    }

    /// Returns the handle for calls to peers, which is `None` only while the daemon
    /// starts.
    pub(super) fn peers(&self) -> Option<&PeerHandle> {
        self.peers.get()
    }

    /// Returns a number that is unique among the runs of this incarnation.
    pub(super) fn next_run_number(&self) -> u64 {
        self.run_numbers.fetch_add(1, Ordering::Relaxed)
    }

    /// Records a decision about a request for `explain`.
    pub(super) fn record_event(&self, request: &RequestId, event: JournalEvent) {
        self.record_event_about(JournalSubject::Request(request.clone()), event);
    }

    /// Records a decision about any subject for `explain`.
    pub(super) fn record_event_about(&self, subject: JournalSubject, event: JournalEvent) {
        let entry = JournalEntry {
            at: SystemTime::now(),
            subject,
            event,
        };
        self.tables.journal.lock().record(entry);
    }

    pub(super) fn host(&self) -> &HostId {
        &self.options.host.name
    }

    pub(super) fn zone(&self) -> &ZoneId {
        &self.options.host.zone
    }

    /// Returns the current phase. It is evaluated on each call, because a host can fall
    /// behind merely by the passage of time.
    pub(super) fn phase(&self) -> DaemonPhase {
        match self.readiness.readiness(Instant::now()) {
            _ if self.is_draining() => DaemonPhase::Draining,
            Readiness::Ready => DaemonPhase::Serving,
            Readiness::NotReady(_) => DaemonPhase::Starting,
        }
    }

    /// Waits until no order to a target is open, and blocks others until the guard is
    /// dropped.
    pub(super) async fn lock_orders(&self) -> tokio::sync::MutexGuard<'_, ()> {
        self.order_lock.lock().await
    }

    /// Returns whether the load balancer should send callers to this host: the
    /// configuration is usable and, if any organisation is declared, some host divides
    /// the zone's capacity.
    pub(super) fn is_ready(&self) -> bool {
        if self.phase() != DaemonPhase::Serving {
            return false;
        }
        let is_divided = self.tables.shares.lock().shares.lease().is_some();
        let state = self.tables.admission.lock();
        is_divided || state.table.organisations().next().is_none()
    }

    /// Returns whether the daemon accepts no new work because it is shutting down.
    pub(super) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// Returns whether at least one other host is known and all known ones are live.
    pub(super) fn all_peers_live(&self) -> bool {
        let membership = self.tables.membership.lock();
        let mut members = membership.members().peekable();
        members.peek().is_some() && members.all(|member| member.phase == MemberPhase::Live)
    }

    /// Stores the oldest offset that the declaration stream still keeps.
    pub(super) fn set_log_horizon(&self, first_offset: LogOffset) {
        self.log_horizon.store(first_offset, Ordering::Relaxed);
    }

    /// Returns the oldest offset that the declaration stream kept when it was last read.
    pub(super) fn log_horizon(&self) -> LogOffset {
        self.log_horizon.load(Ordering::Relaxed)
    }

    /// Records that a valid checkpoint has been read from the log.
    pub(super) fn record_checkpoint_read(&self) {
        *self.checkpoint_read_at.lock() = Some(Instant::now());
    }

    /// Returns the time since a valid checkpoint was read from the log.
    pub(super) fn checkpoint_age(&self) -> Option<Duration> {
        let seen = *self.checkpoint_read_at.lock();
        seen.map(|seen| seen.elapsed())
    }

    /// Begins to drain, which cannot be undone.
    pub(super) fn begin_draining(&self) {
        self.draining.store(true, Ordering::Release);
    }

    /// Returns the declared address of a target.
    pub(super) fn target_address(&self, target: &TargetId) -> Option<SocketAddr> {
        let declarations = self.tables.declarations.read();
        declarations.target(target).map(|spec| spec.address)
    }
}
