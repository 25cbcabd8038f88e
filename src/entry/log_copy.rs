//! What was last read from the platform's log, kept to pass on.

mod dropping;

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::entry::doubted::DoubtedTargets;
use crate::entry::kept_records::KeptRecords;
use crate::entry::log_continuity::LogContinuity;
use crate::entry::target_starts::{StartVerdict, TargetStarts};
use crate::fleet::TargetEntry;
use crate::forward::ServingTables;
use crate::ids::{LogOffset, TargetId};
use crate::peer::{FollowReply, FollowRequest};
use crate::platform::configuration_record::parse_configuration;
use crate::platform::target_record::parse_target;

/// Puts records in force and keeps them for hosts that do not read the log.
///
/// A host that starts while the store is down, or is cut off from it, would
/// have no configuration and no targets until the store is back; its callers
/// would be refused for as long. And with every host reading for itself, the
/// calls to the log would grow with the hosts.
#[derive(Debug)]
pub struct LogCopy {
    tables: Arc<ServingTables>,
    kept: Mutex<CopiedLog>,
    /// Told of each new configuration, and of changes of targets.
    pub(super) news: Notify,
}

#[derive(Debug, Default)]
struct CopiedLog {
    configuration: Option<Bytes>,
    targets: KeptRecords,
    starts: TargetStarts,
    continuity: LogContinuity,
    doubted: DoubtedTargets,
    /// When each topic was last read without trouble, by whomever.
    targets_read: Option<Instant>,
    configuration_read: Option<Instant>,
    /// Number of the change of targets up to which others were told of news.
    told_to: u64,
}

impl LogCopy {
    /// An empty copy that puts what it is given in force in `tables`.
    pub fn new(tables: Arc<ServingTables>) -> Self {
        Self {
            tables,
            kept: Mutex::default(),
            news: Notify::new(),
        }
    }

    /// Counts a call to the log service, and notes whether the log is read.
    pub(super) fn note_call(&self, topic: LogTopic, took: Duration, answered: bool, now: Instant) {
        self.tables
            .metrics
            .store_called(topic.name(), took, answered);
        if !answered {
            return;
        }
        let mut kept = self.kept.lock();
        match topic {
            LogTopic::Configuration => kept.configuration_read = Some(now),
            LogTopic::Targets => kept.targets_read = Some(now),
        }
    }

    /// Notes that another host passed on what was read of the log so long ago.
    pub(super) fn note_relayed(&self, age: Duration, now: Instant) {
        let Some(read) = now.checked_sub(age) else {
            return;
        };
        let mut kept = self.kept.lock();
        kept.configuration_read = kept.configuration_read.max(Some(read));
        kept.targets_read = kept.targets_read.max(Some(read));
    }

    /// Time since all of the log was last read without trouble, by whomever.
    pub(super) fn age(&self, now: Instant) -> Duration {
        let kept = self.kept.lock();
        let read = kept.configuration_read.zip(kept.targets_read);
        read.map_or(Duration::MAX, |(configuration, targets)| {
            now.saturating_duration_since(configuration.min(targets))
        })
    }

    /// Whether an answer to a question would hold anything that is news.
    pub(super) fn has_news(&self, question: FollowRequest) -> bool {
        question.configuration_version < self.configuration_version()
            || question.from < self.kept.lock().targets.next_change()
    }

    /// What the asking host does not have yet.
    pub fn answer(&self, question: FollowRequest, known: bool, now: Instant) -> FollowReply {
        let version = self.configuration_version();
        let kept = self.kept.lock();
        let changes = match known {
            true => kept.targets.changes_since(question.from),
            false => None,
        };
        let configuration = kept.configuration.clone();
        FollowReply {
            configuration: configuration.filter(|_| question.configuration_version < version),
            whole: changes.is_none(),
            targets: changes.unwrap_or_else(|| kept.targets.all()),
            next: kept.targets.next_change(),
            read_to: kept.targets.read_to(),
            log: kept.continuity.followed(now),
            ..FollowReply::default()
        }
    }

    /// Puts a configuration in force, if it is newer than the one that is.
    ///
    /// After the log lost its history, or on a read that lags behind, an older
    /// version can show up again; it must not be served a second time.
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
        self.kept.lock().configuration = Some(Bytes::copy_from_slice(value));
        self.tables.configuration.store(Some(Arc::new(parsed)));
        self.news.notify_waiters();
    }

    /// Version in force; 0 while none is.
    pub(super) fn configuration_version(&self) -> u64 {
        let configuration = self.tables.configuration.load();
        configuration.as_ref().map_or(0, |known| known.version)
    }

    /// Takes in a target's record, unless something later is known of it.
    pub fn observe_target(&self, id: &str, offset: LogOffset, value: &[u8]) {
        if !self.kept.lock().targets.is_news(id, offset) {
            return;
        }
        let entry = match parse_target(id, value) {
            Ok(entry) => entry,
            Err(error) => return self.drop_unreadable(id, offset, &error),
        };
        // One lock at a time: the thread that answers peers takes both too.
        let verdict = self.kept.lock().starts.observe(id, &entry);
        match verdict {
            StartVerdict::Current => {}
            StartVerdict::Replaces(before) => {
                self.forget_start(&before);
                log::info!(before:% = before, target_id:% = entry.id; "target started again");
            }
            StartVerdict::Ended => {
                log::info!(target_id:% = entry.id, offset = offset; "record of an ended start");
                return;
            }
        }
        let changed = self.tables.fleet.lock().observe_entry(entry.clone());
        let value = Bytes::copy_from_slice(value);
        let mut kept = self.kept.lock();
        kept.targets.observe(&id.into(), offset, value, changed);
        kept.doubted.forget(id);
        drop(kept);
        if changed {
            note_target(&entry, offset);
        }
    }

    /// A record that another writer left under a target's id names no target.
    ///
    /// Told once for each id: a writer that goes on would fill the log lines.
    fn drop_unreadable(&self, id: &str, offset: LogOffset, error: &str) {
        let topic = LogTopic::Targets.name();
        self.tables.metrics.unreadable_record(topic);
        let first = !self.kept.lock().targets.has_left(id);
        self.remove_target(id, offset, "entry cannot be read");
        if first {
            log::warn!(target_id:% = id, offset = offset, error:% = error; "entry cannot be read");
        }
    }

    /// A target is gone, as the record at `offset` says.
    pub fn remove_target(&self, id: &str, offset: LogOffset, reason: &str) {
        let mut kept = self.kept.lock();
        if !kept.targets.remove(id, offset) {
            return;
        }
        kept.doubted.forget(id);
        let start = kept.starts.remove(id).unwrap_or_else(|| id.into());
        drop(kept);
        self.tables.fleet.lock().remove(&start);
        self.tables.forget_target(&start);
        log::info!(target_id:% = start, reason:% = reason, offset = offset; "target gone");
    }

    /// A start of a target has ended; what ran there is moved at once.
    fn forget_start(&self, start: &TargetId) {
        self.tables.fleet.lock().remove(start);
        self.tables.forget_target(start);
        self.tables.notify_lost(start);
    }

    /// Whether any target is known.
    pub(super) fn has_targets(&self) -> bool {
        !self.kept.lock().targets.is_empty()
    }

    /// The log of targets is covered up to `read_to`.
    pub(super) fn advance(&self, read_to: LogOffset) {
        let mut kept = self.kept.lock();
        kept.targets.advance(read_to);
        drop(kept);
        self.tell_news();
    }

    /// Tells hosts that follow of changes that they were not told of.
    fn tell_news(&self) {
        let mut kept = self.kept.lock();
        let next = kept.targets.next_change();
        let has_news = std::mem::replace(&mut kept.told_to, next) < next;
        drop(kept);
        if has_news {
            self.news.notify_waiters();
        }
    }
}

/// One line on what a target newly says of itself.
fn note_target(entry: &TargetEntry, offset: LogOffset) {
    let layers = entry.layers.map_or("none".to_owned(), |layers| {
        format!("{}-{}", layers.from, layers.to)
    });
    log::info!(
        target_id:% = entry.id, address:% = entry.address, draining = entry.draining,
        layers:% = layers, offset = offset;
        "target"
    );
}

/// Which part of the log a call was about.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LogTopic {
    /// The operators' configuration.
    Configuration,
    /// The targets' heartbeats.
    Targets,
}

impl LogTopic {
    fn name(self) -> &'static str {
        match self {
            Self::Configuration => "configuration",
            Self::Targets => "targets",
        }
    }
}
