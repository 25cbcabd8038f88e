//! Section `[host]`: who this daemon is.

use super::range::NumberRange;
use super::section::SectionReader;
use crate::ids::{HostId, ZoneId};

const WORKER_THREADS: NumberRange<usize> = NumberRange::new(0, 1024, 0);
const MAX_SEED: i64 = i64::MAX;

/// Who this daemon is, and what it uses of its host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostOptions {
    /// Name of the host, unique over the system.
    pub name: HostId,
    /// Availability zone in which it stands.
    pub zone: ZoneId,
    /// Worker threads; 0 means one for each core.
    pub worker_threads: usize,
    /// Seed for randomness; `None` draws one at start.
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
