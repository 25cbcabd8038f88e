//! Records of the lease stream.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::ids::{HostId, IncarnationId, LogOffset};
use crate::records::LogRecord;

/// Name of a piece of work that only one daemon at a time may do.
pub type LeaseName = Arc<str>;

/// Offset of the acquisition under which a lease is held. It grows from holder to holder.
pub type FencingNumber = LogOffset;

/// Maximum duration that is accepted. It is part of the judging rules. The log keeps
/// records for far longer than this.
pub const MAX_LEASE_DURATION: Duration = Duration::from_secs(60);

/// Body of a record in the lease stream. The envelope names the holder.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseBody {
    /// The lease.
    pub name: LeaseName,
    /// Offset after the last record of the stream that the writer had applied. The record
    /// is void if the log contains another one of the same name at or after this offset.
    pub seen: LogOffset,
    /// Change of the lease.
    pub entry: LeaseEntry,
}

/// Change of a lease by its record's writer.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LeaseEntry {
    /// The writer acquires a lease that is released or, by the writer's clock, expired.
    Acquire {
        /// Duration in milliseconds.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        duration: Duration,
    },
    /// The writer holds the lease and extends it.
    Renew {
        /// Fencing number of the lease.
        fencing: FencingNumber,
        /// Duration from now on, in milliseconds.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        duration: Duration,
    },
    /// The writer held the lease and no longer acts under it.
    Release {
        /// Fencing number of the lease.
        fencing: FencingNumber,
    },
}

/// Incarnation of a daemon that holds a lease.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LeaseOwner {
    /// Its host.
    pub host: HostId,
    /// Its incarnation.
    pub incarnation: IncarnationId,
}

impl LeaseOwner {
    /// Returns the writer of a record.
    pub fn of<B>(record: &LogRecord<B>) -> Self {
        Self {
            host: record.writer.clone(),
            incarnation: record.incarnation,
        }
    }
}
