//! What was last read from the platform's log, kept to pass on.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::collections::FastMap;
use crate::forward::ServingTables;
use crate::ids::TargetId;
use crate::peer::{FollowAnswer, FollowQuestion};
use crate::platform::configuration_record::parse_configuration;
use crate::platform::target_record::parse_target;

/// Changes of targets that are kept for hosts that follow. A host asks twice a
/// second; 100 targets that all change layers make 200 changes in a few.
const KEPT_CHANGES: usize = 2048;

/// Puts records in force and keeps them for hosts that do not read the log.
///
/// A host that starts while the store is down, or is cut off from it, would
/// have no configuration and no targets until the store is back; its callers
/// would be refused for as long. And with every host reading for itself, the
/// calls to the log would grow with the hosts.
#[derive(Debug)]
pub struct LogCopy {
    tables: Arc<ServingTables>,
    kept: Mutex<KeptRecords>,
    /// Told of each new configuration.
    pub(super) news: Notify,
}

#[derive(Debug, Default)]
struct KeptRecords {
    configuration: Option<Bytes>,
    targets: FastMap<TargetId, Bytes>,
    changes: VecDeque<(TargetId, Option<Bytes>)>,
    /// Number of the first change that is kept.
    first_change: u64,
    /// When each topic was last read without trouble.
    targets_read: Option<Instant>,
    configuration_read: Option<Instant>,
}

impl KeptRecords {
    fn push_change(&mut self, id: TargetId, value: Option<Bytes>) {
        self.changes.push_back((id, value));
        if self.changes.len() > KEPT_CHANGES {
            self.changes.pop_front();
            self.first_change += 1;
        }
    }

    fn next_change(&self) -> u64 {
        self.first_change + self.changes.len() as u64
    }
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

    /// Whether the log was read without trouble within `age`.
    pub(super) fn is_fresh(&self, age: Duration, now: Instant) -> bool {
        let kept = self.kept.lock();
        let mut reads = [kept.configuration_read, kept.targets_read].into_iter();
        reads.all(|read| read.is_some_and(|at| now < at + age))
    }

    /// Whether an answer to a question would hold anything that is news.
    pub(super) fn has_news(&self, question: FollowQuestion) -> bool {
        question.configuration_version < self.configuration_version()
    }

    /// What the asking host does not have yet.
    pub(super) fn answer(&self, question: FollowQuestion, known: bool) -> FollowAnswer {
        let version = self.configuration_version();
        let kept = self.kept.lock();
        let next = kept.next_change();
        let since = question.from.checked_sub(kept.first_change);
        let since = since.filter(|_| known && question.from <= next);
        let targets = match since {
            Some(since) => {
                let skipped = usize::try_from(since).unwrap_or(usize::MAX);
                kept.changes.iter().skip(skipped).cloned().collect()
            }
            None => {
                let all = kept.targets.iter();
                all.map(|(id, value)| (id.clone(), Some(value.clone())))
                    .collect()
            }
        };
        let configuration = kept.configuration.clone();
        FollowAnswer {
            configuration: configuration.filter(|_| question.configuration_version < version),
            whole: since.is_none(),
            targets,
            next,
            ..FollowAnswer::default()
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

    /// Takes in a target's record.
    pub(super) fn observe_target(&self, id: &str, value: &[u8]) {
        let entry = match parse_target(id, value) {
            Ok(entry) => entry,
            Err(error) => {
                log::error!(target_id:% = id, error:% = error; "entry cannot be read");
                return;
            }
        };
        let (draining, layers, address) = (entry.draining, entry.layers, entry.address);
        let id = entry.id.clone();
        if !self.tables.fleet.lock().observe_entry(entry) {
            return;
        }
        let value = Bytes::copy_from_slice(value);
        let mut kept = self.kept.lock();
        kept.targets.insert(id.clone(), value.clone());
        kept.push_change(id.clone(), Some(value));
        drop(kept);
        let layers = layers.map_or("none".to_owned(), |layers| {
            format!("{}-{}", layers.from, layers.to)
        });
        log::info!(
            target_id:% = id, address:% = address, draining = draining, layers:% = layers;
            "target"
        );
    }

    /// A target is gone.
    pub(super) fn remove_target(&self, id: &str, reason: &str) {
        let removed = self.tables.fleet.lock().remove(id);
        let Some(removed) = removed else { return };
        let mut kept = self.kept.lock();
        kept.targets.remove(id);
        kept.push_change(removed.entry.id, None);
        drop(kept);
        self.tables.forget_target(id);
        log::info!(target_id:% = id, reason:% = reason; "target gone");
    }

    /// Whether any target is known.
    pub(super) fn has_targets(&self) -> bool {
        !self.kept.lock().targets.is_empty()
    }

    /// Ids of the targets known.
    pub(super) fn target_ids(&self) -> Vec<TargetId> {
        self.kept.lock().targets.keys().cloned().collect()
    }
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
