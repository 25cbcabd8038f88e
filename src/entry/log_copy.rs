//! What was last read from the platform's log, kept to pass on.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use parking_lot::Mutex;

use crate::collections::FastMap;
use crate::forward::ServingTables;
use crate::ids::TargetId;
use crate::peer::HostSnapshot;
use crate::platform::configuration_record::parse_configuration;
use crate::platform::target_record::parse_target;

/// Puts records in force and keeps them for hosts that cannot read the log.
///
/// A host that starts while the store is down, or is cut off from it, would
/// have no configuration and no targets until the store is back; its callers
/// would be refused for as long.
#[derive(Debug)]
pub(super) struct LogCopy {
    tables: Arc<ServingTables>,
    kept: Mutex<KeptRecords>,
}

#[derive(Debug, Default)]
struct KeptRecords {
    configuration: Option<Bytes>,
    targets: FastMap<TargetId, Bytes>,
}

impl LogCopy {
    pub(super) fn new(tables: Arc<ServingTables>) -> Self {
        Self {
            tables,
            kept: Mutex::default(),
        }
    }

    /// Counts a call to the log service.
    pub(super) fn note_call(&self, topic: &'static str, took: Duration, answered: bool) {
        self.tables.metrics.store_called(topic, took, answered);
    }

    /// What a peer is given.
    pub(super) fn snapshot(&self) -> HostSnapshot {
        let kept = self.kept.lock();
        let targets = kept.targets.iter();
        HostSnapshot {
            configuration: kept.configuration.clone(),
            targets: targets
                .map(|(id, value)| (id.clone(), value.clone()))
                .collect(),
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
                log::error!(target:% = id, error:% = error; "entry cannot be read");
                return;
            }
        };
        let (draining, layers, address) = (entry.draining, entry.layers, entry.address);
        let id = entry.id.clone();
        let changed = self.tables.fleet.lock().observe_entry(entry);
        let mut kept = self.kept.lock();
        kept.targets
            .insert(id.clone(), Bytes::copy_from_slice(value));
        drop(kept);
        if changed {
            let layers = layers.map_or("none".to_owned(), |layers| {
                format!("{}-{}", layers.from, layers.to)
            });
            log::info!(
                target:% = id, address:% = address, draining = draining, layers:% = layers;
                "target"
            );
        }
    }

    /// A target is gone.
    pub(super) fn remove_target(&self, id: &str, reason: &str) {
        self.kept.lock().targets.remove(id);
        let removed = self.tables.fleet.lock().remove(id);
        if removed.is_some() {
            self.tables.forget_target(id);
            log::info!(target:% = id, reason:% = reason; "target gone");
        }
    }

    /// Whether any target is known.
    pub(super) fn has_targets(&self) -> bool {
        !self.kept.lock().targets.is_empty()
    }

    /// Ids of the targets known.
    pub(super) fn target_ids(&self) -> Vec<TargetId> {
        self.kept.lock().targets.keys().cloned().collect()
    }

    /// Takes in what a peer has read: a newer configuration, and the targets
    /// if none is known here.
    pub(super) fn take_snapshot(&self, snapshot: &HostSnapshot, now: Instant) {
        if let Some(configuration) = &snapshot.configuration {
            self.apply_configuration(configuration, "peer");
        }
        if !self.has_targets() {
            log::info!(targets = snapshot.targets.len(), at:? = now; "targets taken from a peer");
            for (id, value) in &snapshot.targets {
                self.observe_target(id, value);
            }
        }
    }
}
