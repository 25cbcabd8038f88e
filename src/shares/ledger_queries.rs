//! Read-only queries of the ledger.

use std::collections::{BTreeMap, BTreeSet};

use super::ledger::{AllotmentLedger, OrganisationSplit};
use super::record::{AllotmentBody, GrantHolder, ReleaseRecord, SplitRecord};
use super::split::even_split;
use super::units::ShareUnits;
use crate::ids::{LogOffset, OrganisationId};

impl AllotmentLedger {
    /// Returns the offset of the next record to apply.
    pub fn next_offset(&self) -> LogOffset {
        self.next_offset
    }

    /// Returns what the hosts of a zone may use of an organisation's capacity.
    pub fn usable(&self, organisation: &str, zone: &str) -> ShareUnits {
        match self.splits.get(organisation) {
            Some(split) => split.zones.get(zone).map(|share| share.usable),
            None => self.default_split(organisation).get(zone).copied(),
        }
        .unwrap_or_default()
    }

    /// Returns all organisations' shares in a zone.
    pub fn zone_shares(&self, zone: &str) -> BTreeMap<OrganisationId, ShareUnits> {
        self.splits
            .keys()
            .chain(self.declared.keys())
            .map(|organisation| (organisation.clone(), self.usable(organisation, zone)))
            .collect()
    }

    /// Returns the lease under which a zone's shares are divided, according to the
    /// stream.
    pub fn opened(&self, zone: &str) -> Option<LogOffset> {
        self.registers.get(zone)?.opened
    }

    /// Returns whether the last lease of a zone follows an earlier one, under which
    /// grants may have been given.
    pub fn is_reopened(&self, zone: &str) -> bool {
        self.registers
            .get(zone)
            .is_some_and(|register| register.reopened)
    }

    /// Returns the incarnations that may hold grants in a zone.
    pub fn holders(&self, zone: &str) -> impl Iterator<Item = &GrantHolder> {
        self.registers
            .get(zone)
            .into_iter()
            .flat_map(|register| &register.holders)
    }

    /// Returns the shares of a zone that were lowered and not yet released: the
    /// organisation, the split that lowered the share, and the units that may still be
    /// used.
    pub fn pending_releases(&self, zone: &str) -> Vec<ReleaseRecord> {
        self.splits
            .iter()
            .filter_map(|(organisation, split)| {
                let share = split.zones.get(zone)?;
                (share.counted != share.usable).then(|| ReleaseRecord {
                    organisation: organisation.clone(),
                    split: split.offset,
                    held: share.usable,
                })
            })
            .collect()
    }

    /// Returns the splits to write so that the stream matches the declared state;
    /// `version` returns the offset of each organisation's declaration.
    ///
    /// An organisation that is no longer declared gets an empty split.
    pub fn due_splits<F>(&self, version: F) -> Vec<SplitRecord>
    where
        F: Fn(&OrganisationId) -> LogOffset,
    {
        let undeclared = self
            .splits
            .keys()
            .filter(|organisation| !self.declared.contains_key(*organisation))
            .map(|organisation| (organisation, ShareUnits::NONE));
        let declared = self
            .declared
            .iter()
            .map(|(organisation, bought)| (organisation, *bought));
        declared
            .chain(undeclared)
            .filter_map(|(organisation, bought)| {
                self.due_split(organisation, bought, version(organisation))
            })
            .collect()
    }

    fn due_split(
        &self,
        organisation: &OrganisationId,
        bought: ShareUnits,
        version: LogOffset,
    ) -> Option<SplitRecord> {
        let known = self.splits.get(organisation);
        let shares = even_split(bought, &self.zones);
        // A split over the same zones stays as it is, even if it is uneven.
        let current_zones = |split: &OrganisationSplit| {
            let allotted = split.zones.iter();
            allotted
                .filter(|(_, share)| share.target != ShareUnits::NONE)
                .map(|(zone, _)| zone.clone())
                .collect::<BTreeSet<_>>()
        };
        let due_zones: BTreeSet<_> = shares
            .iter()
            .filter(|(_, units)| **units != ShareUnits::NONE)
            .map(|(zone, _)| zone.clone())
            .collect();
        if known.is_some_and(|split| split.bought == bought && current_zones(split) == due_zones) {
            return None;
        }
        Some(SplitRecord {
            organisation: organisation.clone(),
            version,
            based_on: known.map(|split| split.offset),
            bought,
            assumed: self.default_split(organisation),
            shares,
        })
    }

    /// Returns a checkpoint of everything applied so far.
    pub fn checkpoint(&self) -> AllotmentBody {
        AllotmentBody::Checkpoint {
            as_of: self.next_offset,
            ledger: Box::new(self.clone()),
        }
    }
}
