//! Requests on targets as entry hosts tell each other of them.

use std::time::{Duration, Instant};

use crate::collections::FastMap;
use crate::fleet::TargetLoad;
use crate::ids::{HostId, TargetKey, ZoneId};
use crate::rendezvous::rendezvous_score;

/// Seed of the keys, so that they differ from the project's other hashes.
const KEY_SEED: u64 = 0x7461_7267;
/// Age at which the word of a host of this zone no longer counts. A host that
/// reports elsewhere from now on is counted there, and would count twice; its
/// next report is due after a quarter of a second.
const ZONE_REPORT_LIFETIME: Duration = Duration::from_millis(1500);
/// Age at which the word of another zone, or of this zone's speaker, no longer
/// counts: requests take a few seconds, so that until then an old count is
/// closer to the truth than none.
const AGGREGATE_LIFETIME: Duration = Duration::from_secs(3);

/// The key of a target in messages.
///
/// An id takes some 48 bytes in a message, a key eight; a host hears of every
/// target of its zone four times a second. Two of 1,100 targets share a key once
/// in 3 * 10^13 fleets; their requests would then be counted on one of them.
pub fn target_key(id: &str) -> TargetKey {
    rendezvous_score(KEY_SEED, "target", id)
}

/// Requests that some hosts have on a target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TargetUsage {
    /// The target.
    pub key: TargetKey,
    /// The requests.
    pub load: TargetLoad,
}

/// Requests that the hosts of another zone have on targets.
#[derive(Debug, Clone, PartialEq)]
pub struct ZoneUsage {
    /// The zone.
    pub zone: ZoneId,
    /// The requests.
    pub usage: Vec<TargetUsage>,
}

/// Whose requests a statement is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum UsageScope {
    /// Those of the host that speaks.
    #[default]
    Host,
    /// Those of the host that speaks and of the hosts that report to it.
    Group,
    /// Those of all hosts of the zone but the one that is spoken to.
    Neighbours,
    /// Those of all hosts of the zone.
    Zone,
}

/// Where word of other hosts' requests comes from.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum UsageSource {
    /// A host of this zone, for itself.
    Host(HostId),
    /// A host of this zone, for itself and those that report to it.
    Group(HostId),
    /// A speaker of this zone, for all hosts of the zone but this one.
    Neighbours,
    /// Another zone, for all its hosts.
    Zone(ZoneId),
}

impl UsageSource {
    /// The source of a statement by a host of some zone, as a host of `own_zone`
    /// takes it; `None` for one that says nothing to it.
    pub fn of(scope: UsageScope, host: &HostId, zone: &ZoneId, own_zone: &ZoneId) -> Option<Self> {
        match (scope, zone == own_zone) {
            (UsageScope::Host, true) => Some(Self::Host(host.clone())),
            (UsageScope::Group, true) => Some(Self::Group(host.clone())),
            (UsageScope::Neighbours, true) => Some(Self::Neighbours),
            (UsageScope::Zone, false) => Some(Self::Zone(zone.clone())),
            _ => None,
        }
    }

    /// Whether the requests are those of hosts of this zone.
    pub(super) fn is_near(&self) -> bool {
        !matches!(self, Self::Zone(_))
    }

    /// Whether this word stands for what `other` said before: else a host that
    /// has become a speaker, or is one no longer, would be counted twice.
    fn replaces(&self, other: &Self) -> bool {
        match (self, other) {
            (Self::Host(host), Self::Group(earlier)) | (Self::Group(host), Self::Host(earlier)) => {
                host == earlier
            }
            // Whoever hears a speaker's sums does not add any up itself.
            (Self::Neighbours, Self::Host(_) | Self::Group(_)) => true,
            _ => false,
        }
    }

    fn lifetime(&self) -> Duration {
        match self {
            Self::Host(_) | Self::Group(_) => ZONE_REPORT_LIFETIME,
            Self::Neighbours | Self::Zone(_) => AGGREGATE_LIFETIME,
        }
    }
}

/// What a source last said, and when.
#[derive(Debug)]
struct SourceUsage {
    at: Instant,
    usage: Vec<TargetUsage>,
}

/// What all sources last said.
#[derive(Debug, Default)]
pub(super) struct UsageTable {
    sources: FastMap<UsageSource, SourceUsage>,
}

impl UsageTable {
    /// Takes in what a source says, in place of what it said before.
    pub(super) fn observe(&mut self, source: UsageSource, usage: Vec<TargetUsage>, now: Instant) {
        self.sources.retain(|earlier, report| {
            now < report.at + earlier.lifetime() && !source.replaces(earlier)
        });
        self.sources.insert(source, SourceUsage { at: now, usage });
    }

    /// Drops what a speaker said of the zone.
    pub(super) fn forget_neighbours(&mut self) {
        self.sources.remove(&UsageSource::Neighbours);
    }

    /// Everything that was said, by source.
    pub(super) fn all(&self) -> impl Iterator<Item = (&UsageSource, &[TargetUsage])> {
        let sources = self.sources.iter();
        sources.map(|(source, report)| (source, report.usage.as_slice()))
    }

    /// Requests of the hosts that report to this one, added up by target.
    pub(super) fn reported(&self) -> FastMap<TargetKey, TargetLoad> {
        let reports = self
            .all()
            .filter(|(source, _)| matches!(source, UsageSource::Host(_)));
        let mut sums = FastMap::<TargetKey, TargetLoad>::default();
        for used in reports.flat_map(|(_, usage)| usage) {
            sums.entry(used.key).or_default().add(used.load);
        }
        sums
    }

    /// What a host of this zone last said, by target.
    pub(super) fn reported_by(&self, host: &HostId) -> FastMap<TargetKey, TargetLoad> {
        let own = [
            UsageSource::Host(host.clone()),
            UsageSource::Group(host.clone()),
        ];
        let report = own.iter().filter_map(|source| self.sources.get(source));
        let usage = report.flat_map(|report| report.usage.iter());
        usage.map(|used| (used.key, used.load)).collect()
    }

    /// What other zones last said.
    pub(super) fn remote(&self) -> Vec<ZoneUsage> {
        let remote = self
            .sources
            .iter()
            .filter_map(|(source, report)| match source {
                UsageSource::Zone(zone) => Some(ZoneUsage {
                    zone: zone.clone(),
                    usage: report.usage.clone(),
                }),
                _ => None,
            });
        remote.collect()
    }
}
