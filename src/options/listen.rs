//! Section `[listen]`: addresses to listen on.

use std::net::SocketAddr;

use super::section::SectionReader;

/// Addresses to listen on. With port 0 the system chooses a free port.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListenOptions {
    /// Listener for callers.
    pub callers: SocketAddr,
    /// Listener for operators.
    pub operators: SocketAddr,
    /// Listener for the daemons of other hosts.
    pub peers: SocketAddr,
    /// Address announced to peers; `None` announces the bound address of `peers`.
    pub advertised_peers: Option<SocketAddr>,
}

pub(super) fn read(section: &mut SectionReader<'_>) -> Option<ListenOptions> {
    let callers = section.address("callers");
    let operators = section.address("operators");
    let peers = section.address("peers");
    let advertised_peers = section.optional_remote_address("advertised_peers");
    check_distinct(section, "operators", operators, &[callers]);
    check_distinct(section, "peers", peers, &[callers, operators]);
    check_advertised(section, peers, advertised_peers);
    Some(ListenOptions {
        callers: callers?,
        operators: operators?,
        peers: peers?,
        advertised_peers: advertised_peers?,
    })
}

/// Reports an address that two listeners share. The second listener would fail to bind
/// after the first has already reported to the load balancer that the daemon is
/// available.
fn check_distinct(
    section: &mut SectionReader<'_>,
    key: &str,
    address: Option<SocketAddr>,
    others: &[Option<SocketAddr>],
) {
    match address {
        Some(found) if found.port() != 0 && others.contains(&address) => {
            section.report_conflict(key, &found, "an address that no other listener has");
        }
        _ => (),
    }
}

/// Reports a missing address for peers. Peers that connected to 0.0.0.0 would reach
/// themselves: they would consider this host reachable, even after it failed.
fn check_advertised(
    section: &mut SectionReader<'_>,
    peers: Option<SocketAddr>,
    advertised: Option<Option<SocketAddr>>,
) {
    match (peers, advertised) {
        (Some(peers), Some(None)) if peers.ip().is_unspecified() => section.report_missing(
            "advertised_peers",
            "an address that peers can reach, because listen.peers names no single one",
        ),
        _ => (),
    }
}
