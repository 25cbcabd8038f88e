//! The replayed state and the operations that modify it.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use super::hash::{HashSum, HashedEntry};
use super::index::ResourceIndex;
use super::judgement::ApplyError;
use super::recent::RecentRecords;
use crate::ids::LogOffset;
use crate::records::{DeclaredResource, ResourceTombstone, StateHash};
use crate::resources::{ResourceKey, ResourceKind};

/// Window sizes that affect judgements. They are part of the judging rules: a program
/// with other values needs a higher [`crate::records::JUDGING_RULES`], or its hosts would
/// reject duplicates that others accept.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WindowRules {
    /// Number of offsets below the next one within which record ids are kept.
    pub id_window: u64,
    /// Maximum number of tombstones; the oldest are evicted first.
    pub tombstone_limit: usize,
}

impl WindowRules {
    /// The windows of judging rules 1: the last 1,024 deletions, and the ids of the last
    /// 1,024 offsets, which is 15 hours at 1,600 records a day.
    pub const CURRENT: Self = Self {
        id_window: 1_024,
        tombstone_limit: 1_024,
    };
}

/// Maximum number of recent state hashes kept for comparison with checkpoints.
pub(super) const MAX_HASHES: usize = 1_024;

/// Lowest version of the judging rules.
pub(super) const FIRST_RULES: u32 = 1;

/// The declared state after a prefix of the declaration stream.
///
/// Equal prefixes yield equal tables, whether replayed from the first record or from any
/// checkpoint.
#[derive(Debug, Clone)]
pub struct DeclarationTable {
    pub(super) windows: WindowRules,
    pub(super) applied: LogOffset,
    pub(super) rules: u32,
    pub(super) resources: BTreeMap<ResourceKind, BTreeMap<Arc<str>, Arc<DeclaredResource>>>,
    pub(super) tombstones: BTreeMap<ResourceKey, ResourceTombstone>,
    pub(super) recent: RecentRecords,
    pub(super) index: ResourceIndex,
    pub(super) sum: HashSum,
    /// Hashes after each of the latest records; the last one belongs to `applied`.
    pub(super) hashes: VecDeque<StateHash>,
    /// Highest `as_of` of the checkpoints in the log that matched this table.
    pub(super) newest_checkpoint: Option<LogOffset>,
    /// The error after which no record is applied.
    pub(super) stopped: Option<ApplyError>,
}

impl Default for DeclarationTable {
    fn default() -> Self {
        Self::new(WindowRules::CURRENT)
    }
}

impl DeclarationTable {
    /// Creates the state before the first record. Daemons use [`WindowRules::CURRENT`];
    /// other values are for tests and simulations, since all readers of a log must use
    /// the same.
    pub fn new(windows: WindowRules) -> Self {
        let mut table = Self {
            windows,
            applied: 0,
            rules: FIRST_RULES,
            resources: BTreeMap::new(),
            tombstones: BTreeMap::new(),
            recent: RecentRecords::default(),
            index: ResourceIndex::default(),
            sum: HashSum::default(),
            hashes: VecDeque::new(),
            newest_checkpoint: None,
            stopped: None,
        };
        table.push_hash();
        table
    }

    pub(super) fn put(&mut self, key: &ResourceKey, resource: Arc<DeclaredResource>) {
        self.remove(key);
        self.remove_tombstone(key);
        self.sum.add(&HashedEntry::Resource {
            key,
            resource: &resource,
        });
        self.index.insert(&key.name, &resource.spec);
        self.resources
            .entry(key.kind)
            .or_default()
            .insert(key.name.clone(), resource);
    }

    pub(super) fn remove(&mut self, key: &ResourceKey) {
        let named = self.resources.get_mut(&key.kind);
        let Some(resource) = named.and_then(|named| named.remove(&key.name)) else {
            return;
        };
        self.index.remove(&key.name, &resource.spec);
        self.sum.remove(&HashedEntry::Resource {
            key,
            resource: &resource,
        });
    }

    pub(super) fn insert_tombstone(&mut self, key: &ResourceKey, tombstone: ResourceTombstone) {
        self.sum.add(&HashedEntry::Tombstone {
            key,
            tombstone: &tombstone,
        });
        self.tombstones.insert(key.clone(), tombstone);
        self.trim_tombstones();
    }

    /// Removes the tombstone of a resource, if there is one.
    fn remove_tombstone(&mut self, key: &ResourceKey) {
        if let Some(tombstone) = self.tombstones.remove(key) {
            self.sum.remove(&HashedEntry::Tombstone {
                key,
                tombstone: &tombstone,
            });
        }
    }

    fn trim_tombstones(&mut self) {
        if self.tombstones.len() <= self.windows.tombstone_limit {
            return;
        }
        let oldest = self
            .tombstones
            .iter()
            .min_by_key(|(_, tombstone)| tombstone.version)
            .map(|(key, _)| key.clone());
        if let Some(key) = oldest {
            self.remove_tombstone(&key);
        }
    }

    pub(super) fn push_hash(&mut self) {
        let hash = self.sum.finish(self.applied, self.rules);
        self.hashes.push_back(hash);
        if self.hashes.len() > MAX_HASHES {
            self.hashes.pop_front();
        }
    }
}
