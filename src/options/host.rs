//! Section `[host]`: identity of the daemon.

use super::range::NumberRange;
use super::section::SectionReader;
use crate::ids::{HostId, ZoneId};

const WORKER_THREADS: NumberRange<usize> = NumberRange::new(0, 1024, 0);
const MAX_SEED: i64 = i64::MAX;

/// Identity of the daemon and its use of the host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostOptions {
    /// Name of the host, unique in the system.
    pub name: HostId,
    /// Availability zone of the host.
    pub zone: ZoneId,
    /// Number of worker threads; 0 means one per core.
    pub worker_threads: usize,
    /// Seed of the random number generator; `None` draws one at startup.
    pub seed: Option<u64>,
}

pub(super) fn read(section: &mut SectionReader<'_>) -> Option<HostOptions> {
    let name = section.name("name");
    let zone = section.name("zone");
    let worker_threads = section.integer("worker_threads", WORKER_THREADS);
    let legal = format!("a whole number from 0 to {MAX_SEED}");
    let seed = section.optional("seed", &legal, None, |value| {
        u64::try_from(value.as_integer()?).ok().map(Some)
    });
    Some(HostOptions {
        name: name?,
        zone: zone?,
        worker_threads: worker_threads?,
        seed: seed?,
    })
}
