//! Records of the allotment stream.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::ledger::AllotmentLedger;
use super::units::ShareUnits;
use crate::ids::{HostId, IncarnationId, LogOffset, OrganisationId, ZoneId};

/// An organisation's split over zones, written by the holder of the system-wide lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SplitRecord {
    /// Organisation whose capacity is split.
    pub organisation: OrganisationId,
    /// Offset of the declaration whose capacity is split.
    pub version: LogOffset,
    /// Offset of the organisation's last accepted split that the writer had read.
    pub based_on: Option<LogOffset>,
    /// Capacity bought.
    pub bought: ShareUnits,
    /// Units that zones may have used before the first split: the even split that was in
    /// effect without a record. Ignored in later splits.
    #[serde(default)]
    pub assumed: BTreeMap<ZoneId, ShareUnits>,
    /// Units allotted to each zone.
    pub shares: BTreeMap<ZoneId, ShareUnits>,
}

/// An incarnation of a host that may hold grants in a zone.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct GrantHolder {
    /// Name of the host.
    pub host: HostId,
    /// Incarnation of the host.
    pub incarnation: IncarnationId,
}

/// Statement of a zone that it uses no more than its lowered share.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleaseRecord {
    /// Organisation whose share was lowered.
    pub organisation: OrganisationId,
    /// Offset of the split that lowered the share.
    pub split: LogOffset,
    /// Maximum units that the zone's hosts use from now on.
    pub held: ShareUnits,
}

/// Body of a record in the allotment stream.
///
/// Records of a zone carry the lease under which they were written. They count only while
/// that lease is the last one opened in the stream, so that a late record of a paused
/// lease holder has no effect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum AllotmentBody {
    /// A split over zones.
    Split(SplitRecord),
    /// The holder of a new lease on a zone's shares starts. From now on it may hold
    /// grants itself and may give out expiring grants.
    Opened {
        /// Zone of the shares.
        zone: ZoneId,
        /// Offset of the lease.
        lease: LogOffset,
        /// Incarnation that holds the lease.
        holder: GrantHolder,
    },
    /// An incarnation may hold grants without an expiry.
    Joined {
        /// Zone of the shares.
        zone: ZoneId,
        /// Offset of the writer's lease.
        lease: LogOffset,
        /// Incarnation that joined.
        holder: GrantHolder,
    },
    /// An incarnation is known to have ended and holds no grants.
    Left {
        /// Zone of the shares.
        zone: ZoneId,
        /// Offset of the writer's lease.
        lease: LogOffset,
        /// Incarnation that ended.
        holder: GrantHolder,
    },
    /// A zone has released what a split took from it.
    Released {
        /// Zone of the shares.
        zone: ZoneId,
        /// Offset of the writer's lease.
        lease: LogOffset,
        /// What the zone uses now.
        release: ReleaseRecord,
    },
    /// The whole ledger, for readers that start after older records have expired.
    Checkpoint {
        /// Offset after the last record contained.
        as_of: LogOffset,
        /// State of the ledger.
        ledger: Box<AllotmentLedger>,
    },
}
