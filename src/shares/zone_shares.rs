//! One host's part in the division of its zone's shares: user always, holder
//! while it has the lease.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use super::grant_table::{GrantSettings, GrantTable};
use super::grant_user::{GrantUser, ShareUsage};
use super::ledger::{AllotmentLedger, AllotmentOutcome};
use super::record::{AllotmentBody, GrantHolder};
use super::units::ShareUnits;
use crate::ids::{LogOffset, OrganisationId, ZoneId};
use crate::peer::{PeerDemand, PeerGrant};

/// What a host tells the holder of a lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShareReport {
    /// Lease whose holder is addressed.
    pub lease: LogOffset,
    /// What the host holds and wants.
    pub demands: Vec<PeerDemand>,
}

/// Ledger, grants in use and, with the lease, grants given.
///
/// It keeps the one rule that spans both sides: a host that reports to a
/// later holder divides nothing itself any more. The later holder frees what
/// no one reported once all have reported; an earlier one that went on
/// dividing would hand out the same units again.
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
    /// A host that holds nothing yet.
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

    /// Passes over a record of the stream that cannot be read.
    pub fn skip(&mut self, offset: LogOffset) {
        self.ledger.skip(offset);
    }

    /// Takes in what is declared.
    pub fn set_declared(
        &mut self,
        declared: BTreeMap<OrganisationId, ShareUnits>,
        zones: BTreeSet<ZoneId>,
    ) {
        self.ledger.set_declared(declared, zones);
    }

    /// Takes in that a host of the zone has the lease at `lease`; `is_own` if
    /// it is this incarnation. Earlier leases change nothing.
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

    /// Takes in that an incarnation has ended.
    pub fn observe_removed(&mut self, holder: &GrantHolder, now: Instant) {
        if let Some(table) = &mut self.table {
            table.observe_removed(holder, now);
        }
    }

    /// The report for the holder of the last lease known; `None` without one.
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

    /// Answers a report as the holder of the lease that it addresses; `None`
    /// if this host does not divide under that lease.
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

    /// Reports to this host itself if it holds the lease; to be called as
    /// often as a heartbeat goes to another holder.
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

    /// Takes in the answer to a report made at `sent_at`; says whether to
    /// report again at once.
    pub fn observe_reply(
        &mut self,
        lease: LogOffset,
        grants: &[PeerGrant],
        sent_at: Instant,
    ) -> bool {
        self.user.observe_reply(lease, grants, sent_at)
    }

    /// Gives up all grants for good. To be called once nothing waits any
    /// more: what waits could not be started without a grant.
    pub fn hand_back(&mut self) {
        self.is_draining = true;
        self.user.hand_back();
    }

    /// Lets time pass, and says which records to append to the stream.
    pub fn tick(&mut self, now: Instant) -> Vec<AllotmentBody> {
        self.user.tick(now);
        match &mut self.table {
            Some(table) => table.tick(&self.ledger, now),
            None => Vec::new(),
        }
    }
}

impl ZoneShares {
    /// What this host may use of an organisation's capacity now.
    pub fn limit(&self, organisation: &str, now: Instant) -> ShareUnits {
        self.user.limit(organisation, now)
    }

    /// The allotment stream as applied so far.
    pub fn ledger(&self) -> &AllotmentLedger {
        &self.ledger
    }

    /// The last lease known.
    pub fn lease(&self) -> Option<LogOffset> {
        self.lease
    }

    /// Incarnations that the log names and that have not reported to this
    /// holder; empty on other hosts. Those that membership judges as ended
    /// are to be passed to [`ZoneShares::observe_removed`].
    pub fn awaited(&self) -> impl Iterator<Item = &GrantHolder> {
        self.table.iter().flat_map(GrantTable::awaited)
    }

    /// The table of grants given, if this host has had the lease.
    pub fn table(&self) -> Option<&GrantTable> {
        self.table.as_ref()
    }
}
