//! Grants of a zone, as kept by the holder of the lease on its shares.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use super::grant_entry::HolderEntry;
use super::ledger::AllotmentLedger;
use super::record::{AllotmentBody, GrantHolder, ReleaseRecord};
use super::units::ShareUnits;
use crate::ids::{LogOffset, OrganisationId, ZoneId};
use crate::peer::PeerDemand;

/// Timing of the division within a zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GrantSettings {
    /// Lifetime of a grant to a host that is not registered in the log.
    pub expiry: Duration,
    /// Added to an expiry that another host's clock measures, to allow for clock drift.
    pub clock_margin: Duration,
    /// Length of a pause after which a host must report before it uses its grants.
    pub pause_limit: Duration,
    /// Time between a host's end and the reuse of its units; longer than `pause_limit`.
    pub removal_margin: Duration,
    /// Maximum age of a report for a host to take part in a new division.
    pub max_report_age: Duration,
    /// Time after which a record that has not appeared in the log is appended again.
    pub append_retry_interval: Duration,
}

impl Default for GrantSettings {
    fn default() -> Self {
        Self {
            expiry: Duration::from_secs(5),
            clock_margin: Duration::from_secs(1),
            pause_limit: Duration::from_secs(5),
            removal_margin: Duration::from_secs(6),
            max_report_age: Duration::from_secs(5),
            append_retry_interval: Duration::from_secs(2),
        }
    }
}

/// Progress of a new lease holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TablePhase {
    /// Its opening record has not appeared in the log yet.
    Opening,
    /// It divides only the units that hosts have reported; others have not reported yet.
    Collecting,
    /// It divides the zone's whole share.
    Dividing,
    /// A later lease has been seen, and it no longer divides.
    Closed,
}

/// Divides a zone's shares over hosts under one lease.
///
/// A new lease holder does not know what hosts hold. Reported units belong to the hosts
/// that report them and can be moved between these at once. Units that no host reported
/// may still be in use by a host that has not reported, or may be granted by an earlier
/// lease holder that does not know it was replaced. They become free only once every
/// incarnation that the log names has reported under this lease, after which it rejects
/// grants of earlier leases, or is known to have ended.
#[derive(Debug)]
pub struct GrantTable {
    pub(super) settings: GrantSettings,
    pub(super) zone: ZoneId,
    pub(super) lease: LogOffset,
    holder: GrantHolder,
    is_opened: bool,
    is_closed: bool,
    opening_appended_at: Option<Instant>,
    /// Incarnations that the log names and that have not reported under this lease.
    awaited: BTreeSet<GrantHolder>,
    /// Incarnations whose first report is included in `reported`.
    reported_holders: BTreeSet<GrantHolder>,
    /// When the whole share may be divided; `None` while incarnations are awaited.
    complete_at: Option<Instant>,
    /// Units that hosts held at their first reports under this lease.
    reported: BTreeMap<OrganisationId, ShareUnits>,
    pub(super) shares: BTreeMap<OrganisationId, ShareUnits>,
    pub(super) entries: BTreeMap<GrantHolder, HolderEntry>,
    /// Split and time of the last release record that was appended, by organisation.
    release_appends: BTreeMap<OrganisationId, (LogOffset, Instant)>,
    pub(super) next_number: u64,
}

impl GrantTable {
    /// Creates a table for a lease that this incarnation has acquired.
    pub fn open(
        settings: GrantSettings,
        zone: ZoneId,
        lease: LogOffset,
        holder: GrantHolder,
    ) -> Self {
        Self {
            settings,
            zone,
            lease,
            holder,
            is_opened: false,
            is_closed: false,
            opening_appended_at: None,
            awaited: BTreeSet::new(),
            reported_holders: BTreeSet::new(),
            complete_at: None,
            reported: BTreeMap::new(),
            shares: BTreeMap::new(),
            entries: BTreeMap::new(),
            release_appends: BTreeMap::new(),
            next_number: 1,
        }
    }

    /// Stops dividing permanently.
    pub fn close(&mut self) {
        self.is_closed = true;
    }

    /// Returns the lease under which this table divides.
    pub fn lease(&self) -> LogOffset {
        self.lease
    }

    /// Updates the table from the ledger after records have been applied.
    pub fn observe_ledger(&mut self, ledger: &AllotmentLedger, now: Instant) {
        match ledger.opened(&self.zone) {
            Some(opened) if opened > self.lease => self.close(),
            Some(opened) if opened == self.lease && !self.is_opened => {
                self.is_opened = true;
                self.awaited = ledger.holders(&self.zone).cloned().collect();
                if !ledger.is_reopened(&self.zone) {
                    self.complete_at = Some(now);
                }
            }
            _ => {}
        }
        self.shares = ledger.zone_shares(&self.zone);
        let registered: BTreeSet<_> = ledger.holders(&self.zone).collect();
        for (holder, entry) in &mut self.entries {
            entry.is_registered = registered.contains(holder);
        }
    }

    /// Records what a host holds and wants. The report must name every organisation of
    /// which it holds or wants anything.
    pub fn observe_report(
        &mut self,
        holder: &GrantHolder,
        sequence: u64,
        demands: &[PeerDemand],
        is_draining: bool,
        now: Instant,
    ) {
        if !matches!(
            self.phase(now),
            TablePhase::Collecting | TablePhase::Dividing
        ) {
            return;
        }
        let was_awaited = self.awaited.remove(holder);
        let expires_at = now + self.max_expiry();
        let entry = self
            .entries
            .entry(holder.clone())
            .or_insert_with(|| HolderEntry::new(was_awaited, expires_at, now));
        if entry.sequence >= sequence {
            return;
        }
        entry.sequence = sequence;
        entry.last_report = now;
        entry.is_draining = is_draining;
        // A host that reports is alive, whatever the platform says.
        entry.removed_at = None;
        entry.apply_report(demands, self.lease);
        // Counted once: a host that counted as ended and returns brings units that have
        // been granted to others meanwhile.
        if self.reported_holders.insert(holder.clone()) {
            for demand in demands {
                let held = ShareUnits::new(demand.held_grant, demand.held_rate);
                let reported = self
                    .reported
                    .entry(demand.organisation.clone())
                    .or_default();
                *reported = *reported + held;
            }
        }
        self.schedule_completion(now);
    }

    /// Records that an incarnation has ended.
    pub fn observe_removed(&mut self, holder: &GrantHolder, now: Instant) {
        match self.entries.get_mut(holder) {
            Some(entry) => {
                entry.removed_at.get_or_insert(now);
            }
            // Its units were never counted here. An entry without units makes the margin
            // pass before the incarnation is no longer awaited.
            None if self.awaited.contains(holder) => {
                let mut entry = HolderEntry::new(true, now, now);
                entry.removed_at = Some(now);
                self.entries.insert(holder.clone(), entry);
            }
            None => {}
        }
    }

    /// Returns the incarnations that have not reported yet.
    pub fn awaited(&self) -> impl Iterator<Item = &GrantHolder> {
        self.awaited.iter()
    }

    /// Returns the progress of the table.
    pub fn phase(&self, now: Instant) -> TablePhase {
        match self.complete_at {
            _ if self.is_closed => TablePhase::Closed,
            _ if !self.is_opened => TablePhase::Opening,
            Some(complete_at) if now >= complete_at => TablePhase::Dividing,
            _ => TablePhase::Collecting,
        }
    }

    /// Advances time and returns the records to append.
    pub fn tick(&mut self, ledger: &AllotmentLedger, now: Instant) -> Vec<AllotmentBody> {
        self.observe_ledger(ledger, now);
        match self.phase(now) {
            TablePhase::Closed => Vec::new(),
            TablePhase::Opening => self.opening_record(now).into_iter().collect(),
            phase => {
                let mut bodies = self.remove_ended(now);
                bodies.extend(self.registration_records(now));
                if phase == TablePhase::Dividing {
                    bodies.extend(self.release_records(ledger, now));
                }
                bodies
            }
        }
    }

    fn opening_record(&mut self, now: Instant) -> Option<AllotmentBody> {
        if !is_due(
            self.opening_appended_at,
            self.settings.append_retry_interval,
            now,
        ) {
            return None;
        }
        self.opening_appended_at = Some(now);
        Some(AllotmentBody::Opened {
            zone: self.zone.clone(),
            lease: self.lease,
            holder: self.holder.clone(),
        })
    }

    fn remove_ended(&mut self, now: Instant) -> Vec<AllotmentBody> {
        let margin = self.settings.removal_margin;
        let ended: Vec<_> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.has_ended(margin, now))
            .map(|(holder, entry)| (holder.clone(), entry.is_registered))
            .collect();
        let mut bodies = Vec::new();
        for (holder, is_registered) in ended {
            self.entries.remove(&holder);
            self.awaited.remove(&holder);
            if is_registered {
                bodies.push(AllotmentBody::Left {
                    zone: self.zone.clone(),
                    lease: self.lease,
                    holder,
                });
            }
        }
        self.schedule_completion(now);
        bodies
    }

    fn registration_records(&mut self, now: Instant) -> Vec<AllotmentBody> {
        let retry = self.settings.append_retry_interval;
        let fresh = self.settings.max_report_age;
        let mut bodies = Vec::new();
        for (holder, entry) in &mut self.entries {
            let is_due = is_due(entry.registration_appended_at, retry, now);
            if entry.is_registered || !entry.is_fresh(fresh, now) || !is_due {
                continue;
            }
            entry.registration_appended_at = Some(now);
            bodies.push(AllotmentBody::Joined {
                zone: self.zone.clone(),
                lease: self.lease,
                holder: holder.clone(),
            });
        }
        bodies
    }

    fn release_records(&mut self, ledger: &AllotmentLedger, now: Instant) -> Vec<AllotmentBody> {
        let retry = self.settings.append_retry_interval;
        let pending = ledger.pending_releases(&self.zone);
        let mut bodies = Vec::new();
        for release in pending {
            let last_append = self.release_appends.get(&release.organisation);
            let appended_at = last_append
                .filter(|(split, _)| *split == release.split)
                .map(|(_, at)| *at);
            let is_given_up = self.counted(&release.organisation).is_within(release.held);
            if !is_given_up || !is_due(appended_at, retry, now) {
                continue;
            }
            self.record_release(&release, now);
            bodies.push(AllotmentBody::Released {
                zone: self.zone.clone(),
                lease: self.lease,
                release,
            });
        }
        bodies
    }

    fn record_release(&mut self, release: &ReleaseRecord, now: Instant) {
        self.release_appends
            .insert(release.organisation.clone(), (release.split, now));
    }

    /// Sets when the division is complete, once no incarnation is awaited any more. Hosts
    /// that the log does not name may hold expiring grants, which have ended after one
    /// expiry.
    fn schedule_completion(&mut self, now: Instant) {
        if self.awaited.is_empty() {
            let complete_at = now + self.max_expiry();
            self.complete_at.get_or_insert(complete_at);
        }
    }

    /// Returns the time after which an expiring grant has ended on any host's clock.
    pub(super) fn max_expiry(&self) -> Duration {
        self.settings.expiry + self.settings.clock_margin
    }

    /// Returns the units to count as used by all hosts together.
    pub fn counted(&self, organisation: &str) -> ShareUnits {
        self.entries
            .values()
            .map(|entry| entry.counted(organisation))
            .sum()
    }

    /// Returns the maximum that may be granted of an organisation's share.
    pub(super) fn limit(&self, organisation: &str, now: Instant) -> ShareUnits {
        let share = self.shares.get(organisation).copied().unwrap_or_default();
        match self.phase(now) {
            TablePhase::Dividing => share,
            TablePhase::Collecting => {
                let reported = self.reported.get(organisation).copied();
                share.lower(reported.unwrap_or_default())
            }
            TablePhase::Opening | TablePhase::Closed => ShareUnits::NONE,
        }
    }
}

fn is_due(appended_at: Option<Instant>, retry: Duration, now: Instant) -> bool {
    appended_at.is_none_or(|appended_at| now.saturating_duration_since(appended_at) >= retry)
}
