//! A copy of what was last read from the platform's log, which is relayed to other hosts.

mod dropping;

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::entry::kept_records::KeptRecords;
use crate::entry::log_continuity::LogContinuity;
use crate::entry::suspect_targets::SuspectTargets;
use crate::entry::target_starts::{RecordTime, StartVerdict, TargetStarts};
use crate::fleet::{TargetEntry, TargetHeartbeat};
use crate::forward::ServingTables;
use crate::ids::{HeartbeatNumber, LogEra, LogPosition, TargetId};
use crate::peer::{FollowReply, FollowRequest, TargetChange};
use crate::platform::configuration_record::parse_configuration;
use crate::platform::log_calls::{KeyedRead, LogError};
use crate::platform::target_record::parse_target;

/// Applies records of the log and keeps them for hosts that do not read it.
///
/// Without the copy, a host that starts while the log is down or unreachable would have no
/// configuration and no targets, and would refuse its callers until the log is back. If
/// every host read for itself, the calls to the log would grow with the number of hosts.
#[derive(Debug)]
pub struct LogCopy {
    tables: Arc<ServingTables>,
    state: Mutex<LogState>,
    /// Notified of each new configuration and of changes of targets.
    pub(super) updates: Notify,
}

#[derive(Debug, Default)]
struct LogState {
    configuration: Option<Bytes>,
    /// Latest era of the log that is known; `None` before the first read.
    era: Option<LogEra>,
    targets: KeptRecords,
    starts: TargetStarts,
    continuity: LogContinuity,
    suspects: SuspectTargets,
    /// Whether this host reads the log of targets itself, and its last read succeeded.
    reads_targets: bool,
    /// When each topic was last read successfully, by any host.
    targets_read: Option<Instant>,
    configuration_read: Option<Instant>,
    /// Number of the change of targets up to which followers were notified.
    notified_to: u64,
}

impl LogCopy {
    /// Creates an empty copy that applies records to `tables`.
    pub fn new(tables: Arc<ServingTables>) -> Self {
        Self {
            tables,
            state: Mutex::default(),
            updates: Notify::new(),
        }
    }

    /// Counts a call to the log service and records when the topic was last read.
    pub(super) fn record_call(
        &self,
        topic: LogTopic,
        elapsed: Duration,
        responded: bool,
        now: Instant,
    ) {
        self.tables
            .metrics
            .store_called(topic.name(), elapsed, responded);
        if !responded {
            return;
        }
        let mut state = self.state.lock();
        match topic {
            LogTopic::Configuration => state.configuration_read = Some(now),
            LogTopic::Targets => state.targets_read = Some(now),
            LogTopic::PoisonRequests | LogTopic::Hosts => {}
        }
    }

    /// Records the era of a read and returns the read, unless a later era is known: a
    /// response from before a restore says nothing about the present log.
    ///
    /// # Errors
    ///
    /// Fails with `Outdated` if a later era is known.
    pub fn check_era(&self, read: KeyedRead, topic: LogTopic) -> Result<KeyedRead, LogError> {
        let era = read.next.era;
        match self.observe_era(era, topic.name()) {
            known if known > era => Err(LogError::Outdated { era, known }),
            _ => Ok(read),
        }
    }

    /// Records an era of the log that `source` has stated; returns the latest known one.
    pub(super) fn observe_era(&self, era: LogEra, source: &str) -> LogEra {
        let mut state = self.state.lock();
        if let Some(known) = state.era
            && known >= era
        {
            return known;
        }
        let before = state.era.replace(era);
        drop(state);
        self.tables.metrics.log_era(era);
        if let Some(before) = before {
            log::warn!(
                era = era, before = before, source:% = source;
                "log restored from an older copy"
            );
            self.tables.poison.lock().observe_log_restore();
            self.tables.poison_updates.notify_waiters();
        }
        era
    }

    /// Records that another host relayed a log that it had read `age` ago.
    pub(super) fn record_relayed(&self, age: Duration, now: Instant) {
        let Some(read) = now.checked_sub(age) else {
            return;
        };
        let mut state = self.state.lock();
        state.configuration_read = state.configuration_read.max(Some(read));
        state.targets_read = state.targets_read.max(Some(read));
    }

    /// Returns the time since all topics were last read successfully, by any host.
    pub(super) fn age(&self, now: Instant) -> Duration {
        let state = self.state.lock();
        let read = state.configuration_read.zip(state.targets_read);
        read.map_or(Duration::MAX, |(configuration, targets)| {
            now.saturating_duration_since(configuration.min(targets))
        })
    }

    /// Returns whether the reply to a request would hold any update.
    pub(super) fn has_updates(&self, request: FollowRequest) -> bool {
        request.configuration_version < self.configuration_version()
            || request.from < self.state.lock().targets.next_change()
    }

    /// Returns what the requesting host lacks. `is_known_start` is true if its position
    /// refers to the current incarnation of this host; otherwise the reply lists all
    /// targets.
    pub fn reply(&self, request: FollowRequest, is_known_start: bool, now: Instant) -> FollowReply {
        let version = self.configuration_version();
        let state = self.state.lock();
        let changes = match is_known_start {
            true => state.targets.changes_since(request.from),
            false => None,
        };
        let configuration = state.configuration.clone();
        FollowReply {
            configuration: configuration.filter(|_| request.configuration_version < version),
            whole: changes.is_none(),
            targets: changes.unwrap_or_else(|| state.targets.all()),
            next: state.targets.next_change(),
            read_to: state.targets.read_to(),
            log: state.continuity.followed(now),
            ..FollowReply::default()
        }
    }

    /// Applies a configuration if it is newer than the current one.
    ///
    /// An older version can reappear after the log lost its history, or in a read that lags
    /// behind; it must not be served again.
    pub(super) fn apply_configuration(&self, value: &[u8], source: &str) {
        let parsed = match parse_configuration(value) {
            Ok(parsed) => parsed,
            Err(error) => {
                let topic = LogTopic::Configuration.name();
                self.tables.metrics.unreadable_record(topic);
                log::error!(error:% = error, source:% = source; "configuration cannot be read");
                return;
            }
        };
        let known = self.configuration_version();
        if parsed.version <= known {
            return;
        }
        let routes = parsed.routes.values().map(Vec::len).sum::<usize>();
        log::info!(
            version = parsed.version, before = known, routes = routes, source:% = source;
            "configuration in force"
        );
        self.state.lock().configuration = Some(Bytes::copy_from_slice(value));
        self.tables.configuration.store(Some(Arc::new(parsed)));
        self.updates.notify_waiters();
    }

    /// Returns the version in effect; 0 if there is none.
    pub(super) fn configuration_version(&self) -> u64 {
        let configuration = self.tables.configuration.load();
        configuration.as_ref().map_or(0, |known| known.version)
    }

    /// Applies a target's record that another host relayed.
    pub(super) fn observe_relayed(&self, change: &TargetChange, value: &[u8], now: Instant) {
        let TargetChange { id, position, .. } = change;
        let mut state = self.state.lock();
        if change.reinstated && state.targets.is_newer(id, *position) {
            state.starts.reinstate(id);
        }
        drop(state);
        let time = RecordTime {
            written_after: None,
            read: now,
        };
        self.observe_target(id, *position, value, time);
    }

    /// Applies a target's record in the list of the newest records.
    ///
    /// If the target left before a restore of the log, the record may come from the older
    /// copy. Hosts that follow others do not know the last heartbeat of each target, so
    /// that only the next one shows that the target has returned.
    pub(super) fn observe_listed(
        &self,
        id: &str,
        position: LogPosition,
        value: &[u8],
        time: RecordTime,
    ) {
        let mut state = self.state.lock();
        if state.targets.is_newer(id, position)
            && state.targets.had_left_before(id, position)
            && let Ok(heartbeat) = parse_target(id, value)
        {
            let first_return = heartbeat.number.saturating_add(1);
            state.starts.remove(id, first_return);
        }
        drop(state);
        self.observe_target(id, position, value, time);
    }

    /// Applies a target's record, unless a later one is known.
    pub fn observe_target(&self, id: &str, position: LogPosition, value: &[u8], time: RecordTime) {
        if !self.state.lock().targets.is_newer(id, position) {
            return;
        }
        let heartbeat = match parse_target(id, value) {
            Ok(heartbeat) => heartbeat,
            Err(error) => return self.drop_unreadable(id, position, &error),
        };
        // Only one lock is held at a time: the thread that replies to peers takes both as
        // well.
        let verdict = self.state.lock().starts.observe(id, &heartbeat, time);
        let TargetHeartbeat { entry, number } = heartbeat;
        match &verdict {
            StartVerdict::Current => {}
            StartVerdict::Reinstated(None) => {
                log::info!(target_id:% = entry.id, number = number; "heartbeats numbered anew");
            }
            StartVerdict::Outdated => {
                self.tables.metrics.late_heartbeat();
                log::info!(
                    target_id:% = entry.id, number = number, draining = entry.draining,
                    offset = position.offset, era = position.era;
                    "late heartbeat"
                );
                return;
            }
            StartVerdict::Replaces(before) | StartVerdict::Reinstated(Some(before)) => {
                self.forget_start(before);
                log::info!(before:% = before, target_id:% = entry.id; "target started again");
            }
            StartVerdict::Ended => {
                log::info!(
                    target_id:% = entry.id, offset = position.offset, era = position.era;
                    "record of an ended start"
                );
                return;
            }
        }
        let changed = self.tables.fleet.lock().observe_entry(entry.clone());
        let value = Bytes::copy_from_slice(value);
        let mut state = self.state.lock();
        state.targets.observe(&id.into(), position, value, changed);
        if matches!(verdict, StartVerdict::Reinstated(_)) {
            state.targets.mark_reinstated(id);
        }
        state.suspects.forget(id);
        drop(state);
        if changed {
            log_target(&entry, position);
        }
    }

    /// Removes the target under whose id another writer left an unreadable record.
    ///
    /// Only the first such record of an id is logged: a writer that continues would flood
    /// the program's log.
    fn drop_unreadable(&self, id: &str, position: LogPosition, error: &str) {
        let topic = LogTopic::Targets.name();
        self.tables.metrics.unreadable_record(topic);
        let first = !self.state.lock().targets.has_left(id);
        // The target's next heartbeat restores it, which may have been written before.
        self.remove(id, position, 0, "entry cannot be read");
        if first {
            log::warn!(
                target_id:% = id, offset = position.offset, era = position.era, error:% = error;
                "entry cannot be read"
            );
        }
    }

    /// Removes a target whose entry is gone according to the record at `position`. A later
    /// heartbeat restores it.
    pub fn remove_target(&self, id: &str, position: LogPosition, reason: &str) {
        let first_return = self.state.lock().starts.first_return(id);
        self.remove(id, position, first_return, reason);
    }

    /// Removes a target that another host has removed.
    pub(super) fn remove_relayed(&self, change: &TargetChange) {
        let reason = "gone at another host";
        self.remove(&change.id, change.position, change.first_return, reason);
    }

    /// Removes a target that can return by a heartbeat from `first_return` on.
    fn remove(&self, id: &str, position: LogPosition, first_return: HeartbeatNumber, reason: &str) {
        let mut state = self.state.lock();
        if !state.targets.remove(id, position, first_return) {
            return;
        }
        state.suspects.forget(id);
        let start = state.starts.remove(id, first_return);
        let start = start.unwrap_or_else(|| id.into());
        drop(state);
        self.tables.fleet.lock().remove(&start);
        self.tables.forget_target(&start);
        log::info!(
            target_id:% = start, reason:% = reason, offset = position.offset,
            era = position.era;
            "target gone"
        );
    }

    /// Removes a start of a target that has ended; the requests that ran there are moved at
    /// once.
    fn forget_start(&self, start: &TargetId) {
        self.tables.fleet.lock().remove(start);
        self.tables.forget_start(start);
        self.tables.notify_lost(start);
    }

    /// Returns whether any target is known.
    pub(super) fn has_targets(&self) -> bool {
        !self.state.lock().targets.is_empty()
    }

    /// Records that the log of targets is covered up to `read_to`.
    pub(super) fn advance(&self, read_to: LogPosition) {
        let mut state = self.state.lock();
        state.targets.advance(read_to);
        drop(state);
        self.notify_updates();
    }

    /// Notifies followers of changes that they have not been notified of.
    fn notify_updates(&self) {
        let mut state = self.state.lock();
        let next = state.targets.next_change();
        let has_updates = std::mem::replace(&mut state.notified_to, next) < next;
        drop(state);
        if has_updates {
            self.updates.notify_waiters();
        }
    }
}

/// Logs the changed entry of a target.
fn log_target(entry: &TargetEntry, position: LogPosition) {
    let layers = entry.layers.map_or("none".to_owned(), |layers| {
        format!("{}-{}", layers.from, layers.to)
    });
    log::info!(
        target_id:% = entry.id, address:% = entry.address, draining = entry.draining,
        layers:% = layers, offset = position.offset, era = position.era;
        "target"
    );
}

/// The part of the log that a call reads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogTopic {
    /// The operators' configuration.
    Configuration,
    /// The targets' heartbeats.
    Targets,
    /// The hosts' evidence on poison requests.
    PoisonRequests,
    /// The registered entry hosts.
    Hosts,
}

impl LogTopic {
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::Configuration => "configuration",
            Self::Targets => "targets",
            Self::PoisonRequests => "poison",
            Self::Hosts => "hosts",
        }
    }
}
