//! The demand of the callers of all hosts, as far as this host knows it.

use std::time::{Duration, Instant};

use super::{DemandCounter, DemandReport, ZoneDemand};
use crate::fleet::{SourceTable, UsageScope, UsageSource};
use crate::ids::{HostId, ZoneId};

/// The requests of this host's callers, and the last report of each source.
#[derive(Debug, Default)]
pub struct DemandTable {
    /// The requests of this host's callers.
    pub own: DemandCounter,
    sources: SourceTable<DemandReport>,
}

impl DemandTable {
    /// Records a report in place of the previous one of the source.
    pub fn observe(&mut self, source: UsageSource, report: DemandReport, now: Instant) {
        self.sources.observe(source, report, now);
    }

    /// Records the demand of other zones as another host of this zone knows it.
    ///
    /// It expires when it does at that host, so that hosts which relay it to each other do
    /// not keep it alive. That host may have an older report than this one.
    pub fn observe_remote(&mut self, zones: Vec<ZoneDemand>, now: Instant) {
        for report in zones {
            let source = UsageSource::Zone(report.zone);
            let known = self.sources.get(&source, now);
            let is_newer = known.is_none_or(|(_, known_for)| report.known_for < known_for);
            if let Some(at) = now.checked_sub(report.known_for).filter(|_| is_newer) {
                self.sources.observe(source, report.demand, at);
            }
        }
    }

    /// Forgets the sums of an aggregator; from now on this host adds up the demand of its
    /// zone itself.
    pub fn forget_neighbours(&mut self) {
        self.sources.remove(&UsageSource::Neighbours);
    }

    /// Returns the demand to report to `recipient`.
    pub fn report(
        &self,
        scope: UsageScope,
        recipient: Option<&HostId>,
        now: Instant,
    ) -> DemandReport {
        let is_reported = |source: &UsageSource| match (scope, source) {
            (UsageScope::Host, _) | (_, UsageSource::Zone(_)) => false,
            (UsageScope::Group, source) => matches!(source, UsageSource::Host(_)),
            // What the recipient reported would come back to it.
            (UsageScope::Neighbours, UsageSource::Host(host) | UsageSource::Group(host)) => {
                Some(host) != recipient
            }
            (UsageScope::Neighbours | UsageScope::Zone, _) => true,
        };
        let own = self.own.report(now);
        let others = self.sources.live(now);
        let others = others.filter(|(source, ..)| is_reported(source));
        let others = others.map(|(_, report, since)| (report, since));
        DemandReport::sum(others.chain([(&own, Duration::ZERO)]))
    }

    /// Returns what other zones last reported, with the time since each was received.
    pub fn remote(&self, now: Instant) -> Vec<ZoneDemand> {
        let live = self.sources.live(now);
        let remote = live.filter_map(|(source, report, since)| match source {
            UsageSource::Zone(zone) => Some(ZoneDemand {
                zone: zone.clone(),
                demand: report.clone(),
                known_for: since,
            }),
            _ => None,
        });
        remote.collect()
    }

    /// Returns the demand of all zones, of which this host is in `own_zone`.
    pub fn zones(&self, own_zone: &ZoneId, now: Instant) -> Vec<ZoneDemand> {
        let own = ZoneDemand {
            zone: own_zone.clone(),
            demand: self.report(UsageScope::Zone, None, now),
            known_for: Duration::ZERO,
        };
        let mut zones = self.remote(now);
        zones.push(own);
        zones
    }
}
