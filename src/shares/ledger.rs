//! State derived from the allotment stream; every reader derives the same.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::record::{AllotmentBody, GrantHolder, ReleaseRecord, SplitRecord};
use super::split::even_split;
use super::units::ShareUnits;
use crate::ids::{LogOffset, OrganisationId, ZoneId};

/// Outcome of applying a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AllotmentOutcome {
    /// The record changed the ledger.
    Accepted,
    /// The record is based on an older state, or was written under a lease that is not
    /// the last.
    Superseded,
    /// The record allots more than was bought.
    Exceeds,
    /// The record was applied before, or is a checkpoint that is not needed.
    AlreadyApplied,
    /// Records before it are missing, and it was not applied.
    Gap,
}

/// One zone's part of an organisation's capacity.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub(super) struct ZoneShare {
    /// Units that the last split allots to it.
    pub(super) target: ShareUnits,
    /// Units that it may use now.
    pub(super) usable: ShareUnits,
    /// Units to count as used by it; more than `usable` until the zone has recorded that
    /// it released the rest.
    pub(super) counted: ShareUnits,
}

/// An organisation's last accepted split.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct OrganisationSplit {
    pub(super) offset: LogOffset,
    pub(super) version: LogOffset,
    pub(super) bought: ShareUnits,
    pub(super) zones: BTreeMap<ZoneId, ZoneShare>,
}

/// The current lease on a zone's shares and the hosts that may hold grants there.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub(super) struct ZoneRegister {
    pub(super) opened: Option<LogOffset>,
    /// Whether an earlier lease was opened before the last one.
    pub(super) reopened: bool,
    pub(super) holders: BTreeSet<GrantHolder>,
}

/// State of the allotment stream at an offset.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct AllotmentLedger {
    pub(super) next_offset: LogOffset,
    pub(super) splits: BTreeMap<OrganisationId, OrganisationSplit>,
    pub(super) registers: BTreeMap<ZoneId, ZoneRegister>,
    /// Declared capacity, for organisations without a split. It is not part of the
    /// stream, and so not of a checkpoint.
    #[serde(skip)]
    pub(super) declared: BTreeMap<OrganisationId, ShareUnits>,
    #[serde(skip)]
    pub(super) zones: BTreeSet<ZoneId>,
}

impl AllotmentLedger {
    /// Sets the declared capacities and the zones to split them over.
    pub fn set_declared(
        &mut self,
        declared: BTreeMap<OrganisationId, ShareUnits>,
        zones: BTreeSet<ZoneId>,
    ) {
        self.declared = declared;
        self.zones = zones;
    }

    /// Applies the record at `offset`.
    pub fn apply(&mut self, offset: LogOffset, body: &AllotmentBody) -> AllotmentOutcome {
        if let AllotmentBody::Checkpoint { as_of, ledger } = body
            && self.next_offset == 0
        {
            return self.restore(*as_of, ledger);
        }
        if offset < self.next_offset {
            return AllotmentOutcome::AlreadyApplied;
        }
        if offset > self.next_offset {
            return AllotmentOutcome::Gap;
        }
        self.next_offset = offset + 1;
        match body {
            AllotmentBody::Split(split) => self.apply_split(offset, split),
            AllotmentBody::Opened {
                zone,
                lease,
                holder,
            } => self.apply_opened(zone, *lease, holder),
            AllotmentBody::Joined {
                zone,
                lease,
                holder,
            } => self.with_register(zone, *lease, |register| {
                register.holders.insert(holder.clone());
            }),
            AllotmentBody::Left {
                zone,
                lease,
                holder,
            } => self.with_register(zone, *lease, |register| {
                register.holders.remove(holder);
            }),
            AllotmentBody::Released {
                zone,
                lease,
                release,
            } => self.apply_release(zone, *lease, release),
            AllotmentBody::Checkpoint { .. } => AllotmentOutcome::AlreadyApplied,
        }
    }

    /// Skips a record that cannot be decoded, as all readers do.
    pub fn skip(&mut self, offset: LogOffset) {
        if offset == self.next_offset {
            self.next_offset = offset + 1;
        }
    }

    /// Restores the ledger from a checkpoint. Only a reader without any state uses one:
    /// to all others it may be outdated, written by a process that was paused.
    fn restore(&mut self, as_of: LogOffset, ledger: &Self) -> AllotmentOutcome {
        self.splits = ledger.splits.clone();
        self.registers = ledger.registers.clone();
        self.next_offset = as_of;
        AllotmentOutcome::Accepted
    }

    fn apply_split(&mut self, offset: LogOffset, split: &SplitRecord) -> AllotmentOutcome {
        let known = self.splits.get(&split.organisation);
        if known.map(|known| known.offset) != split.based_on {
            return AllotmentOutcome::Superseded;
        }
        let allotted: ShareUnits = split.shares.values().copied().sum();
        if !allotted.is_within(split.bought) {
            return AllotmentOutcome::Exceeds;
        }
        let mut zones = known.map_or_else(|| assumed_zones(split), |known| known.zones.clone());
        for zone in zones.values_mut() {
            zone.target = ShareUnits::NONE;
        }
        for (zone, units) in &split.shares {
            zones.entry(zone.clone()).or_default().target = *units;
        }
        let mut updated = OrganisationSplit {
            offset,
            version: split.version,
            bought: split.bought,
            zones,
        };
        updated.redistribute();
        self.splits.insert(split.organisation.clone(), updated);
        AllotmentOutcome::Accepted
    }

    fn apply_opened(
        &mut self,
        zone: &ZoneId,
        lease: LogOffset,
        holder: &GrantHolder,
    ) -> AllotmentOutcome {
        let register = self.registers.entry(zone.clone()).or_default();
        if register.opened.is_some_and(|opened| opened >= lease) {
            return AllotmentOutcome::Superseded;
        }
        register.reopened = register.opened.is_some();
        register.opened = Some(lease);
        register.holders.insert(holder.clone());
        AllotmentOutcome::Accepted
    }

    fn with_register<F>(&mut self, zone: &ZoneId, lease: LogOffset, change: F) -> AllotmentOutcome
    where
        F: FnOnce(&mut ZoneRegister),
    {
        match self.registers.get_mut(zone) {
            Some(register) if register.opened == Some(lease) => {
                change(register);
                AllotmentOutcome::Accepted
            }
            _ => AllotmentOutcome::Superseded,
        }
    }

    fn apply_release(
        &mut self,
        zone: &ZoneId,
        lease: LogOffset,
        release: &ReleaseRecord,
    ) -> AllotmentOutcome {
        let is_holder = self
            .registers
            .get(zone)
            .is_some_and(|register| register.opened == Some(lease));
        let split = self
            .splits
            .get_mut(&release.organisation)
            .filter(|split| is_holder && split.offset == release.split);
        let Some(split) = split else {
            return AllotmentOutcome::Superseded;
        };
        if let Some(share) = split.zones.get_mut(zone) {
            share.counted = share.counted.lower(release.held).higher(share.usable);
        }
        split.redistribute();
        AllotmentOutcome::Accepted
    }

    /// Returns the even split that is in effect for an organisation without a record.
    pub(super) fn default_split(&self, organisation: &str) -> BTreeMap<ZoneId, ShareUnits> {
        match self.declared.get(organisation) {
            Some(bought) => even_split(*bought, &self.zones),
            None => BTreeMap::new(),
        }
    }
}

fn assumed_zones(split: &SplitRecord) -> BTreeMap<ZoneId, ZoneShare> {
    split
        .assumed
        .iter()
        .map(|(zone, units)| {
            let share = ZoneShare {
                target: *units,
                usable: *units,
                counted: *units,
            };
            (zone.clone(), share)
        })
        .collect()
}

impl OrganisationSplit {
    /// Lowers shares at once, and raises them only by units that are not counted as used.
    ///
    /// If a raise took effect as soon as it was read, a partitioned zone that has not
    /// read the record yet would go on using the same units.
    fn redistribute(&mut self) {
        for zone in self.zones.values_mut() {
            zone.usable = zone.usable.lower(zone.target);
        }
        let counted: ShareUnits = self.zones.values().map(|zone| zone.counted).sum();
        let mut free = self.bought - counted;
        for zone in self.zones.values_mut() {
            let shortfall = zone.target - zone.usable;
            let reserved = shortfall.lower(zone.counted - zone.usable);
            let newly_counted = (shortfall - reserved).lower(free);
            zone.usable = zone.usable + reserved + newly_counted;
            zone.counted = zone.counted + newly_counted;
            free = free - newly_counted;
        }
        self.zones
            .retain(|_, zone| zone.target != ShareUnits::NONE || zone.counted != ShareUnits::NONE);
    }
}
