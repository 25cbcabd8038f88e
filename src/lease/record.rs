//! Records of the lease stream.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::ids::{HostId, IncarnationId, LogOffset};
use crate::records::LogRecord;

/// Name of a piece of work that one daemon at a time may do.
pub type LeaseName = Arc<str>;

/// Offset of the acquisition under which a lease is held. Grows from holder
/// to holder.
pub type FencingNumber = LogOffset;

/// Longest duration that is accepted. Part of the judging rules. The log keeps
/// records for far longer than this.
pub const MAX_LEASE_DURATION: Duration = Duration::from_secs(60);

/// Body of a record in the lease stream. The envelope names the holder.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseBody {
    /// The lease.
    pub name: LeaseName,
    /// Offset after the last record of the stream that the writer had applied.
    /// The record is void if the log holds another one of the same name from
    /// there on.
    pub seen: LogOffset,
    /// What it says.
    pub entry: LeaseEntry,
}

/// What a record of the lease stream says.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LeaseEntry {
    /// The writer takes a lease that, by its own clock, has lapsed or was
    /// released.
    Acquire {
        /// For how long, in milliseconds.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        duration: Duration,
    },
    /// The writer holds the lease and goes on holding it.
    Renew {
        /// Its fencing number.
        fencing: FencingNumber,
        /// For how long from now, in milliseconds.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        duration: Duration,
    },
    /// The writer held the lease and does not act under it any more.
    Release {
        /// Its fencing number.
        fencing: FencingNumber,
    },
}

/// The daemon's life that holds a lease.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LeaseOwner {
    /// Its host.
    pub host: HostId,
    /// Its incarnation.
    pub incarnation: IncarnationId,
}

impl LeaseOwner {
    /// Who wrote a record.
    pub fn of<B>(record: &LogRecord<B>) -> Self {
        Self {
            host: record.writer.clone(),
            incarnation: record.incarnation,
        }
    }
}
