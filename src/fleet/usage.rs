//! The load of requests on targets, as entry hosts report it to each other.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::collections::FastMap;
use crate::fleet::TargetLoad;
use crate::ids::{HostId, TargetKey, ZoneId};
use crate::rendezvous::rendezvous_score;

/// Seed of the keys, so that they differ from other hashes of the program.
const KEY_SEED: u64 = 0x7461_7267;
/// Age at which a report of a host of this zone expires; hosts report every quarter of a
/// second. A host that starts to report to another host is counted there, and would count
/// twice if the old report were kept.
const ZONE_REPORT_LIFETIME: Duration = Duration::from_millis(1500);
/// Age at which a report of another zone, or of the aggregator of this zone, expires.
/// Requests take a few seconds, so an old count is more accurate than none until then.
const AGGREGATE_LIFETIME: Duration = Duration::from_secs(3);

/// Returns the key of a target in messages.
///
/// An id takes some 48 bytes in a message, a key eight, and a host receives the usage of
/// every target of its zone four times a second. Two of 1,100 targets share a key in one
/// of 3 * 10^13 fleets; their requests are then counted on one of them.
pub fn target_key(id: &str) -> TargetKey {
    rendezvous_score(KEY_SEED, "target", id)
}

/// Load that some hosts have on a target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TargetUsage {
    /// Key of the target.
    pub key: TargetKey,
    /// Load of the requests.
    pub load: TargetLoad,
}

/// Load that the hosts of another zone have on targets.
#[derive(Debug, Clone, PartialEq)]
pub struct ZoneUsage {
    /// The zone.
    pub zone: ZoneId,
    /// The load by target.
    pub usage: Vec<TargetUsage>,
}

/// Which hosts' requests a report covers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum UsageScope {
    /// The sending host.
    #[default]
    Host,
    /// The sending host and the hosts that report to it.
    Group,
    /// All hosts of the zone except the recipient.
    Neighbours,
    /// All hosts of the zone.
    Zone,
}

/// Where a report of other hosts' requests comes from.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum UsageSource {
    /// A host of this zone, for itself.
    Host(HostId),
    /// A host of this zone, for itself and the hosts that report to it.
    Group(HostId),
    /// An aggregator of this zone, for all hosts of the zone except this one.
    Neighbours,
    /// Another zone, for all its hosts.
    Zone(ZoneId),
}

impl UsageSource {
    /// Returns the source of a report by a host of some zone, as seen by a host of
    /// `own_zone`; `None` if the report is not meant for it.
    pub fn of(scope: UsageScope, host: &HostId, zone: &ZoneId, own_zone: &ZoneId) -> Option<Self> {
        match (scope, zone == own_zone) {
            (UsageScope::Host, true) => Some(Self::Host(host.clone())),
            (UsageScope::Group, true) => Some(Self::Group(host.clone())),
            (UsageScope::Neighbours, true) => Some(Self::Neighbours),
            (UsageScope::Zone, false) => Some(Self::Zone(zone.clone())),
            _ => None,
        }
    }

    /// Returns whether the requests belong to hosts of this zone.
    pub(super) fn is_own_zone(&self) -> bool {
        !matches!(self, Self::Zone(_))
    }

    /// Returns whether a report of this source replaces the last one of `other`. Without
    /// this, a host that becomes an aggregator, or stops being one, would be counted
    /// twice.
    fn replaces(&self, other: &Self) -> bool {
        match (self, other) {
            (Self::Host(host), Self::Group(earlier)) | (Self::Group(host), Self::Host(earlier)) => {
                host == earlier
            }
            // A host that receives an aggregator's sums does not add up any itself.
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

/// The last report of a source and when it arrived.
#[derive(Debug)]
struct SourceReport<R> {
    at: Instant,
    report: R,
}

/// The last report of each source.
#[derive(Debug)]
pub struct SourceTable<R> {
    /// Ordered, since sums of loads depend on the order in their last bits.
    sources: BTreeMap<UsageSource, SourceReport<R>>,
}

impl<R> Default for SourceTable<R> {
    fn default() -> Self {
        Self {
            sources: BTreeMap::new(),
        }
    }
}

impl<R> SourceTable<R> {
    /// Records a report in place of the previous one of the source, and drops those that
    /// it replaces or that expired.
    pub fn observe(&mut self, source: UsageSource, report: R, now: Instant) {
        self.sources.retain(|earlier, report| {
            now < report.at + earlier.lifetime() && !source.replaces(earlier)
        });
        self.sources
            .insert(source, SourceReport { at: now, report });
    }

    /// Drops the report of a source.
    pub fn remove(&mut self, source: &UsageSource) {
        self.sources.remove(source);
    }

    /// Returns the reports that have not expired, by source, with the time since each
    /// arrived.
    pub fn live(&self, now: Instant) -> impl Iterator<Item = (&UsageSource, &R, Duration)> {
        let sources = self.sources.iter();
        let aged = sources.map(move |(source, report)| {
            let age = now.saturating_duration_since(report.at);
            (source, &report.report, age)
        });
        aged.filter(|(source, _, age)| *age < source.lifetime())
    }

    /// Returns the report of a source and the time since it arrived, unless it has expired.
    pub fn get(&self, source: &UsageSource, now: Instant) -> Option<(&R, Duration)> {
        let mut live = self.live(now);
        let found = live.find(|(found, ..)| *found == source);
        found.map(|(_, report, age)| (report, age))
    }

    /// Returns all reports by source, also those that have expired since the last
    /// [`Self::observe`].
    fn all(&self) -> impl Iterator<Item = (&UsageSource, &R)> {
        let sources = self.sources.iter();
        sources.map(|(source, report)| (source, &report.report))
    }
}

/// The last reported load of each source.
#[derive(Debug, Default)]
pub(super) struct UsageTable {
    sources: SourceTable<Vec<TargetUsage>>,
}

impl UsageTable {
    /// Records a report in place of the previous one of the source, and drops those that
    /// it replaces or that expired.
    pub(super) fn observe(&mut self, source: UsageSource, usage: Vec<TargetUsage>, now: Instant) {
        self.sources.observe(source, usage, now);
    }

    /// Drops the sums of the aggregator of this zone.
    pub(super) fn forget_neighbours(&mut self) {
        self.sources.remove(&UsageSource::Neighbours);
    }

    /// Returns all reports by source.
    pub(super) fn all(&self) -> impl Iterator<Item = (&UsageSource, &[TargetUsage])> {
        let all = self.sources.all();
        all.map(|(source, usage)| (source, usage.as_slice()))
    }

    /// Returns the load of the hosts that report to this one, summed by target.
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

    /// Returns the load that a host of this zone last reported, by target.
    pub(super) fn reported_by(&self, host: &HostId) -> FastMap<TargetKey, TargetLoad> {
        let is_own = |source: &UsageSource| match source {
            UsageSource::Host(source) | UsageSource::Group(source) => source == host,
            _ => false,
        };
        let reports = self.all().filter(|(source, _)| is_own(source));
        let usage = reports.flat_map(|(_, usage)| usage);
        usage.map(|used| (used.key, used.load)).collect()
    }

    /// Returns what other zones last reported.
    pub(super) fn remote(&self) -> Vec<ZoneUsage> {
        let remote = self.all().filter_map(|(source, usage)| match source {
            UsageSource::Zone(zone) => Some(ZoneUsage {
                zone: zone.clone(),
                usage: usage.to_vec(),
            }),
            _ => None,
        });
        remote.collect()
    }
}
