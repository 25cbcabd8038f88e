//! What every worker of the daemon holds on to.

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

/// Half of the calls to one peer that may wait for an answer, so that
/// heartbeats always find room.
const MAX_CLAIM_QUERIES: usize = 16;

/// Phases of a daemon's life.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum DaemonPhase {
    /// No usable configuration, or an older one than is known to exist: takes
    /// no work.
    Starting,
    /// Takes work.
    Serving,
    /// Finishes what is in flight and takes nothing new.
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
    /// Questions to holders of keys that may be open at once.
    pub(super) claim_queries: Semaphore,
    /// Offset after the last applied declaration record.
    pub(super) applied: watch::Sender<LogOffset>,
    pub(super) admission_changed: Notify,
    /// Runs and calls in flight, waited for at shutdown.
    pub(super) in_flight: TaskTracker,
    /// Cancelled once draining has taken too long: what is still in flight
    /// tells its caller the verdict and ends.
    pub(super) drain_expired: CancellationToken,
    pub(super) metrics: MetricSet,
    pub(super) platform: PlatformClient,
    /// Told when a peer has applied more than this host.
    pub(super) peer_ahead: Notify,
    peers: OnceLock<PeerHandle>,
    /// Oldest offset that the stream of declarations still keeps.
    log_horizon: AtomicU64,
    /// When a checkpoint was last seen in the log.
    checkpoint_read_at: Mutex<Option<Instant>>,
    run_numbers: AtomicU64,
    /// Held while an order to a target is under way.
    order_lock: tokio::sync::Mutex<()>,
    /// What is applied here against what is known to exist.
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

    /// Hands over the means to call peers, once they stand.
    pub(super) fn set_peers(&self, peers: PeerHandle) {
        // Called once, at the start; a second handle would be dropped.
        let _ = self.peers.set(peers);
    }

    /// The means to call peers; `None` only while the daemon starts.
    pub(super) fn peers(&self) -> Option<&PeerHandle> {
        self.peers.get()
    }

    /// A number that no other run of this incarnation has.
    pub(super) fn next_run_number(&self) -> u64 {
        self.run_numbers.fetch_add(1, Ordering::Relaxed)
    }

    /// Notes a decision about a request for `explain`.
    pub(super) fn record_event(&self, request: &RequestId, event: JournalEvent) {
        self.record_event_about(JournalSubject::Request(request.clone()), event);
    }

    /// Notes a decision about any subject for `explain`.
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

    /// Judged afresh at each call: a host falls behind by time alone.
    pub(super) fn phase(&self) -> DaemonPhase {
        match self.readiness.readiness(Instant::now()) {
            _ if self.is_draining() => DaemonPhase::Draining,
            Readiness::Ready => DaemonPhase::Serving,
            Readiness::NotReady(_) => DaemonPhase::Starting,
        }
    }

    /// Marks an order to a target as under way until the mark is dropped.
    pub(super) async fn lock_orders(&self) -> tokio::sync::MutexGuard<'_, ()> {
        self.order_lock.lock().await
    }

    /// Whether the balancer should send callers here: the configuration is
    /// usable and, if there are organisations, somebody divides the zone's
    /// capacity.
    pub(super) fn is_ready(&self) -> bool {
        if self.phase() != DaemonPhase::Serving {
            return false;
        }
        let is_divided = self.tables.shares.lock().shares.lease().is_some();
        let state = self.tables.admission.lock();
        is_divided || state.table.organisations().next().is_none()
    }

    /// Whether nothing new is taken any more.
    pub(super) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// Whether all hosts known are heard.
    pub(super) fn all_peers_live(&self) -> bool {
        let membership = self.tables.membership.lock();
        let mut members = membership.members().peekable();
        members.peek().is_some() && members.all(|member| member.phase == MemberPhase::Live)
    }

    /// Notes the oldest offset that the log of declarations keeps.
    pub(super) fn set_log_horizon(&self, first_offset: LogOffset) {
        self.log_horizon.store(first_offset, Ordering::Relaxed);
    }

    /// The oldest offset that the log of declarations was last seen to keep.
    pub(super) fn log_horizon(&self) -> LogOffset {
        self.log_horizon.load(Ordering::Relaxed)
    }

    /// Notes that a good checkpoint was just read from the log.
    pub(super) fn record_checkpoint_read(&self) {
        *self.checkpoint_read_at.lock() = Some(Instant::now());
    }

    /// Time since a good checkpoint was read from the log.
    pub(super) fn checkpoint_age(&self) -> Option<Duration> {
        let seen = *self.checkpoint_read_at.lock();
        seen.map(|seen| seen.elapsed())
    }

    /// Begins to drain; there is no way back.
    pub(super) fn begin_draining(&self) {
        self.draining.store(true, Ordering::Release);
    }

    /// The declared address of a target.
    pub(super) fn target_address(&self, target: &TargetId) -> Option<SocketAddr> {
        let declarations = self.tables.declarations.read();
        declarations.target(target).map(|spec| spec.address)
    }
}
