//! Section `[peers]`: daemons to contact first.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use super::section::SectionReader;
use crate::ids::{HostId, ZoneId};

/// Daemons to contact before the platform's host list is known.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct PeerOptions {
    /// The daemons without this one, so that all hosts can use the same list.
    pub seeds: Vec<PeerSeed>,
}

/// A daemon to contact first.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerSeed {
    /// Host of the daemon.
    pub host: HostId,
    /// Availability zone of the host.
    pub zone: ZoneId,
    /// Address of its listener for peers.
    pub address: SocketAddr,
}

impl PeerOptions {
    /// Returns the options without the entry of one host.
    pub(super) fn without(mut self, host: &str) -> Self {
        self.seeds.retain(|seed| &*seed.host != host);
        self
    }
}

pub(super) fn read(section: &mut SectionReader<'_>) -> Option<PeerOptions> {
    let seeds = section.list("seeds", read_seed)?;
    let mut hosts = BTreeSet::new();
    for seed in &seeds {
        if !hosts.insert(&seed.host) {
            section.report_conflict("seeds", &seed.host, "each host once");
        }
    }
    Some(PeerOptions { seeds })
}

fn read_seed(section: &mut SectionReader<'_>) -> Option<PeerSeed> {
    let host = section.name("host");
    let zone = section.name("zone");
    let address = section.remote_address("address");
    Some(PeerSeed {
        host: host?,
        zone: zone?,
        address: address?,
    })
}
