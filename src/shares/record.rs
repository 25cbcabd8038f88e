//! Records of the allotment stream.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::ledger::AllotmentLedger;
use super::units::ShareUnits;
use crate::ids::{HostId, IncarnationId, LogOffset, OrganisationId, ZoneId};

/// An organisation's split over zones, written by the holder of the
/// system-wide lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SplitRecord {
    /// The organisation.
    pub organisation: OrganisationId,
    /// Offset of the declaration whose capacity is split.
    pub version: LogOffset,
    /// Offset of the organisation's last accepted split that the writer saw.
    pub based_on: Option<LogOffset>,
    /// Capacity bought.
    pub bought: ShareUnits,
    /// What zones may have used before the first split: the even split that
    /// was in force without a record. Ignored in later splits.
    #[serde(default)]
    pub assumed: BTreeMap<ZoneId, ShareUnits>,
    /// What each zone is to have.
    pub shares: BTreeMap<ZoneId, ShareUnits>,
}

/// An incarnation of a host that may hold grants in a zone.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct GrantHolder {
    /// The host.
    pub host: HostId,
    /// Its incarnation.
    pub incarnation: IncarnationId,
}

/// A zone's word that it uses no more than its lowered share.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleaseRecord {
    /// The organisation.
    pub organisation: OrganisationId,
    /// Offset of the split by which the share was lowered.
    pub split: LogOffset,
    /// Most that the zone's hosts use from now on.
    pub held: ShareUnits,
}

/// Body of a record in the allotment stream.
///
/// Records of a zone carry the lease under which they were written. They
/// count only while that lease is the last one opened in this stream: a
/// paused holder's late record changes nothing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum AllotmentBody {
    /// A split over zones.
    Split(SplitRecord),
    /// The holder of a new lease on a zone's shares begins. It counts as one
    /// that may hold grants, and may hand out grants that lapse.
    Opened {
        /// The zone.
        zone: ZoneId,
        /// Offset of the lease.
        lease: LogOffset,
        /// The incarnation that has the lease.
        holder: GrantHolder,
    },
    /// An incarnation may hold grants that stay.
    Joined {
        /// The zone.
        zone: ZoneId,
        /// Offset of the writer's lease.
        lease: LogOffset,
        /// The incarnation.
        holder: GrantHolder,
    },
    /// An incarnation is known to be gone and holds no grants.
    Left {
        /// The zone.
        zone: ZoneId,
        /// Offset of the writer's lease.
        lease: LogOffset,
        /// The incarnation.
        holder: GrantHolder,
    },
    /// A zone has given up what a split took from it.
    Released {
        /// The zone.
        zone: ZoneId,
        /// Offset of the writer's lease.
        lease: LogOffset,
        /// What it uses now.
        release: ReleaseRecord,
    },
    /// The whole ledger, for readers that start after older records expired.
    Checkpoint {
        /// Offset after the last record contained.
        as_of: LogOffset,
        /// The ledger.
        ledger: Box<AllotmentLedger>,
    },
}
