//! Section `[platform]`: the log service and the host list.

use std::net::SocketAddr;

use super::range::NumberRange;
use super::section::SectionReader;

const CHECKPOINT_RECORDS: NumberRange<u64> = NumberRange::new(10, 1_000_000, 1000);

/// Where the platform is, and how often its log is condensed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlatformOptions {
    /// Address of the platform's HTTP service.
    pub address: SocketAddr,
    /// Declared changes between two checkpoints, in records.
    pub checkpoint_records: u64,
}

pub(super) fn read(section: &mut SectionReader<'_>) -> Option<PlatformOptions> {
    let address = section.remote_address("address");
    let checkpoint_records = section.integer("checkpoint_records", CHECKPOINT_RECORDS);
    Some(PlatformOptions {
        address: address?,
        checkpoint_records: checkpoint_records?,
    })
}
