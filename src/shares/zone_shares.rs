//! One host's role in the division of its zone's shares: it always uses grants, and gives
//! them out while it holds the lease.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use super::grant_table::{GrantSettings, GrantTable};
use super::grant_user::{GrantUser, ShareUsage};
use super::ledger::{AllotmentLedger, AllotmentOutcome};
use super::record::{AllotmentBody, GrantHolder};
use super::units::ShareUnits;
use crate::ids::{LogOffset, OrganisationId, ZoneId};
use crate::peer::{PeerDemand, PeerGrant};

/// Report of a host to the holder of a lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShareReport {
    /// Lease whose holder the report is for.
    pub lease: LogOffset,
    /// What the host holds and wants.
    pub demands: Vec<PeerDemand>,
}

/// Ledger, grants in use and, with the lease, the table of grants given out.
///
/// Enforces the one rule that spans both sides: a host that reports to a later lease
/// holder stops dividing. The later holder frees unreported units once all hosts have
/// reported, and an earlier one that went on dividing would grant the same units again.
#[derive(Debug)]
pub struct ZoneShares {
    settings: GrantSettings,
    zone: ZoneId,
    holder: GrantHolder,
    ledger: AllotmentLedger,
    user: GrantUser,
    table: Option<GrantTable>,
    lease: Option<LogOffset>,
    own_sequence: u64,
    is_draining: bool,
}

impl ZoneShares {
    /// Creates the state of a host without grants.
    pub fn new(settings: GrantSettings, zone: ZoneId, holder: GrantHolder, now: Instant) -> Self {
        let user = GrantUser::new(settings.pause_limit, now);
        Self {
            settings,
            zone,
            holder,
            ledger: AllotmentLedger::default(),
            user,
            table: None,
            lease: None,
            own_sequence: 0,
            is_draining: false,
        }
    }

    /// Applies a record of the allotment stream.
    pub fn apply(
        &mut self,
        offset: LogOffset,
        body: &AllotmentBody,
        now: Instant,
    ) -> AllotmentOutcome {
        let outcome = self.ledger.apply(offset, body);
        if let Some(table) = &mut self.table {
            table.observe_ledger(&self.ledger, now);
        }
        outcome
    }

    /// Skips a record of the stream that cannot be decoded.
    pub fn skip(&mut self, offset: LogOffset) {
        self.ledger.skip(offset);
    }

    /// Sets the declared capacities and zones.
    pub fn set_declared(
        &mut self,
        declared: BTreeMap<OrganisationId, ShareUnits>,
        zones: BTreeSet<ZoneId>,
    ) {
        self.ledger.set_declared(declared, zones);
    }

    /// Records that a host of the zone holds the lease at offset `lease`; `is_own` if it
    /// is this incarnation. Earlier leases change nothing.
    pub fn observe_lease(&mut self, lease: LogOffset, is_own: bool) {
        if self.lease.is_some_and(|known| known >= lease) {
            return;
        }
        self.lease = Some(lease);
        if is_own {
            self.table = Some(GrantTable::open(
                self.settings.clone(),
                self.zone.clone(),
                lease,
                self.holder.clone(),
            ));
        }
    }

    /// Records that an incarnation has ended.
    pub fn observe_removed(&mut self, holder: &GrantHolder, now: Instant) {
        if let Some(table) = &mut self.table {
            table.observe_removed(holder, now);
        }
    }

    /// Returns the report for the holder of the last known lease, or `None` without one.
    pub fn report(
        &mut self,
        usage: &BTreeMap<OrganisationId, ShareUsage>,
        now: Instant,
    ) -> Option<ShareReport> {
        let lease = self.lease?;
        if let Some(table) = self.table.as_mut().filter(|table| table.lease() < lease) {
            table.close();
        }
        let demands = self.user.report(lease, usage, now)?;
        Some(ShareReport { lease, demands })
    }

    /// Replies to a report as the holder of the lease that it names; `None` if this host
    /// does not divide under that lease.
    pub fn observe_report(
        &mut self,
        from: &GrantHolder,
        sequence: u64,
        report: &ShareReport,
        is_draining: bool,
        now: Instant,
    ) -> Option<Vec<PeerGrant>> {
        let table = self
            .table
            .as_mut()
            .filter(|table| table.lease() == report.lease)?;
        table.observe_report(from, sequence, &report.demands, is_draining, now);
        table.reply(from, now)
    }

    /// Reports to this host itself if it holds the lease. Must be called as often as
    /// heartbeats are sent to another lease holder.
    pub fn report_to_self(&mut self, usage: &BTreeMap<OrganisationId, ShareUsage>, now: Instant) {
        let Some(report) = self.report(usage, now) else {
            return;
        };
        self.own_sequence += 1;
        let holder = self.holder.clone();
        let reply = self.observe_report(&holder, self.own_sequence, &report, self.is_draining, now);
        if let Some(grants) = reply {
            self.observe_reply(report.lease, &grants, now);
        }
    }

    /// Applies the reply to a report sent at `sent_at` and returns whether to report
    /// again at once.
    pub fn observe_reply(
        &mut self,
        lease: LogOffset,
        grants: &[PeerGrant],
        sent_at: Instant,
    ) -> bool {
        self.user.observe_reply(lease, grants, sent_at)
    }

    /// Returns all grants permanently. To be called only once no request waits any more,
    /// as waiting requests could not start without a grant.
    pub fn hand_back(&mut self) {
        self.is_draining = true;
        self.user.hand_back();
    }

    /// Advances time and returns the records to append to the stream.
    pub fn tick(&mut self, now: Instant) -> Vec<AllotmentBody> {
        self.user.tick(now);
        match &mut self.table {
            Some(table) => table.tick(&self.ledger, now),
            None => Vec::new(),
        }
    }
}

impl ZoneShares {
    /// Returns what this host may use of an organisation's capacity at `now`.
    pub fn limit(&self, organisation: &str, now: Instant) -> ShareUnits {
        self.user.limit(organisation, now)
    }

    /// Returns the allotment stream as applied so far.
    pub fn ledger(&self) -> &AllotmentLedger {
        &self.ledger
    }

    /// Returns the last known lease.
    pub fn lease(&self) -> Option<LogOffset> {
        self.lease
    }

    /// Returns the incarnations that the log names and that have not reported to this
    /// lease holder; empty on other hosts. Those that membership considers ended must be
    /// passed to [`ZoneShares::observe_removed`].
    pub fn awaited(&self) -> impl Iterator<Item = &GrantHolder> {
        self.table.iter().flat_map(GrantTable::awaited)
    }

    /// Returns the table of grants given out, if this host has held the lease.
    pub fn table(&self) -> Option<&GrantTable> {
        self.table.as_ref()
    }
}
