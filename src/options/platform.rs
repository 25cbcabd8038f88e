//! Section `[platform]`: log service and host list.

use std::net::SocketAddr;
use std::time::Duration;

use super::range::{DurationRange, NumberRange};
use super::section::SectionReader;

const CHECKPOINT_RECORDS: NumberRange<u64> = NumberRange::new(10, 1_000_000, 1000);

const HOUR_MS: u64 = 60 * 60 * 1000;
const YEAR_MS: u64 = 8766 * HOUR_MS;
const RECORD_HORIZON: DurationRange = DurationRange::millis(HOUR_MS, YEAR_MS, 72 * HOUR_MS);

/// Address of the platform and settings of its log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlatformOptions {
    /// Address of the platform's HTTP service.
    pub address: SocketAddr,
    /// Number of declared changes between two checkpoints, in records.
    pub checkpoint_records: u64,
    /// Time for which the log keeps a record.
    pub record_horizon: Duration,
}

pub(super) fn read(section: &mut SectionReader<'_>) -> Option<PlatformOptions> {
    let address = section.remote_address("address");
    let checkpoint_records = section.integer("checkpoint_records", CHECKPOINT_RECORDS);
    let record_horizon = section.duration("record_horizon", RECORD_HORIZON);
    Some(PlatformOptions {
        address: address?,
        checkpoint_records: checkpoint_records?,
        record_horizon: record_horizon?,
    })
}
