//! Follows the log through the host that reads it for the zone.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::watch;

use crate::entry::LogRole;
use crate::entry::log_copy::LogCopy;
use crate::entry::peer_exchange::{FRESH_AGE, PeerState};
use crate::entry::relayed_log::RelayedLog;
use crate::forward::ServingTables;
use crate::ids::HostId;
use crate::peer::PeerHandle;

/// Time for which a request without updates is held. Updates end the wait, so that this
/// only bounds how long the silence of the other host goes unnoticed.
const FOLLOW_HOLD: Duration = Duration::from_millis(500);
/// Like [`FOLLOW_HOLD`], for an aggregator, which relays the log: its copy must not be
/// older than a read and this time when other hosts request it.
const RELAY_HOLD: Duration = Duration::from_millis(200);
/// Additional time for a reply before this host reads the log itself.
const REPLY_TIMEOUT: Duration = Duration::from_millis(400);
/// Pause before the next round of requests if no reply helped.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Maximum number of hosts of a zone that read the log themselves when those ranked before
/// them cannot. When the log rejects hosts, it rejects about a third of them, so that three
/// in a row are cut off one time in thirty. If every host read as soon as the first is cut
/// off, 26 hosts of a zone would make 4,500 calls a minute instead of 1,100.
const MAX_READERS: usize = 3;
/// Time without the log after which any other host reads the log for itself. A reader
/// counts as having the log for 1.1 s after it lost the log; the sum is below the two
/// seconds within which a leaving target has to be known. The next reader has read the
/// log within 20 ms of noticing.
const MAX_WITHOUT_LOG: Duration = Duration::from_millis(600);

/// Time for which a host looks for others before it reads the log itself when the whole
/// system starts for the first time. All hosts start at the same moment and know no others;
/// without the delay, 195 hosts make 1,300 calls to the log in the first seconds. Callers
/// come ten seconds later.
const FIRST_START_DELAY: Duration = Duration::from_millis(1500);

struct RelayFollower {
    copy: Arc<LogCopy>,
    log: RelayedLog,
    /// The leader or aggregator that relays the log to this host; `None` while no host
    /// does.
    leader: Option<HostId>,
    /// Whether this host is one of the first of its zone, which read for the others.
    reads_for_others: bool,
    /// A neighbour that had the log when no leader did.
    followed_neighbour: Option<HostId>,
    /// Number of neighbours tried, which selects the next one in rotation.
    neighbours_tried: usize,
    /// Whether this host has read the log itself since it applied replies of a leader.
    has_passed_replies: bool,
    /// When the first request without a useful reply was sent.
    without_log_since: Option<Instant>,
}

/// Follows the host that reads the log and sets `role`: this host has to read for itself
/// when it is the reader, and when the leader does not reply or has lost the log.
pub(super) async fn follow_leader(
    tables: Arc<ServingTables>,
    copy: Arc<LogCopy>,
    peer_state: Arc<PeerState>,
    handle: PeerHandle,
    role: watch::Sender<LogRole>,
    is_first_start: bool,
) {
    let mut follower = RelayFollower {
        log: RelayedLog::open(tables, copy.clone()),
        copy,
        leader: None,
        reads_for_others: false,
        followed_neighbour: None,
        neighbours_tried: 0,
        has_passed_replies: false,
        without_log_since: None,
    };
    if is_first_start {
        tokio::time::sleep(FIRST_START_DELAY).await;
    }
    loop {
        let now = Instant::now();
        let leaders = peer_state.leaders(now, MAX_READERS);
        follower.reads_for_others = leaders.len() < MAX_READERS;
        let aggregator = peer_state.aggregator(now);
        let hold = match aggregator {
            Some(_) => FOLLOW_HOLD,
            None => RELAY_HOLD,
        };
        let sources = sources(aggregator, leaders);
        let skipped = sources.len();
        if follower
            .request_in_order(&handle, sources, hold, &role)
            .await
        {
            continue;
        }
        if follower.reads_for_others || follower.is_overdue(Instant::now()) {
            follower.set_leader(&role, None);
        }
        let neighbours = peer_state.neighbours(Instant::now());
        if !follower
            .follow_neighbour(&handle, &neighbours, skipped)
            .await
        {
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }
}

/// Returns the hosts to request the log from: first the aggregator of this host, which
/// relays it, so that the reader is not called by every host of its zone; then the readers.
fn sources(
    aggregator: Option<(HostId, SocketAddr)>,
    leaders: Vec<(HostId, SocketAddr)>,
) -> Vec<(HostId, SocketAddr)> {
    let first = aggregator.clone();
    let others = leaders
        .into_iter()
        .filter(|leader| Some(leader) != first.as_ref());
    aggregator.into_iter().chain(others).collect()
}

impl RelayFollower {
    /// Requests the log from the hosts in order until one has it; returns whether one does.
    async fn request_in_order(
        &mut self,
        handle: &PeerHandle,
        sources: Vec<(HostId, SocketAddr)>,
        hold: Duration,
        role: &watch::Sender<LogRole>,
    ) -> bool {
        for (host, address) in sources {
            let start = Instant::now();
            if let Some(age) = self.request_from(handle, &host, address, hold).await {
                let now = Instant::now();
                self.copy.record_relayed(age, now);
                self.without_log_since = None;
                match self.leader {
                    None if self.copy.needs_own_reads() => self.has_passed_replies = true,
                    _ => self.set_leader(role, Some(host)),
                }
                return true;
            }
            let now = Instant::now();
            // Checked after each host: a host that does not reply takes 0.9 s, and three of
            // them would leave this host behind for longer than a leaving target may be
            // unknown.
            self.without_log_since.get_or_insert(start);
            if self.is_overdue(now) {
                self.set_leader(role, None);
            }
        }
        false
    }

    /// Requests the log from a host and applies the reply; returns the age of that host's
    /// copy if it has the log.
    async fn request_from(
        &mut self,
        handle: &PeerHandle,
        host: &HostId,
        address: SocketAddr,
        hold: Duration,
    ) -> Option<Duration> {
        let query = self.log.request(host, hold, Instant::now());
        let hold = query.hold;
        let reply = handle.follow(address, query, hold + REPLY_TIMEOUT).await;
        match reply {
            Ok(reply) => {
                let age = reply.age;
                let is_current = self.log.apply(host, reply, Instant::now());
                is_current.then_some(age)
            }
            Err(error) => {
                log::debug!("host {host} did not relay the log: {error}");
                None
            }
        }
    }

    /// Gets the log from a neighbour when this host has no leader and cannot read it;
    /// returns whether the neighbour has it.
    ///
    /// The log can reject some hosts and serve others. A reader of its zone requests
    /// nothing from the hosts that rank after it, and without this would send requests to
    /// targets that left for as long as it is rejected. It keeps trying to read and does
    /// not count as having the log: otherwise the hosts that read in its place would follow
    /// it and stop reading.
    async fn follow_neighbour(
        &mut self,
        handle: &PeerHandle,
        neighbours: &[(HostId, SocketAddr)],
        skipped: usize,
    ) -> bool {
        if self.copy.age(Instant::now()) < FRESH_AGE {
            return false;
        }
        let Some((host, address)) = self.next_neighbour(neighbours, skipped) else {
            return false;
        };
        let has_log = self
            .request_from(handle, &host, address, FOLLOW_HOLD)
            .await
            .is_some();
        if !has_log {
            self.followed_neighbour = None;
        } else if self.followed_neighbour.as_ref() != Some(&host) {
            log::info!(host:% = host; "log heard of from a neighbour");
            self.followed_neighbour = Some(host);
        }
        has_log
    }

    /// Returns the neighbour that had the log last time, else the next one in rotation
    /// after the first `skipped`, which were already tried.
    fn next_neighbour(
        &mut self,
        neighbours: &[(HostId, SocketAddr)],
        skipped: usize,
    ) -> Option<(HostId, SocketAddr)> {
        let known = self.followed_neighbour.as_ref();
        let known = neighbours.iter().find(|(host, _)| Some(host) == known);
        if let Some(known) = known {
            return Some(known.clone());
        }
        let others = neighbours
            .get(skipped..)
            .filter(|others| !others.is_empty())?;
        self.neighbours_tried += 1;
        others.get(self.neighbours_tried % others.len()).cloned()
    }

    /// Returns whether no leader or aggregator has relayed the log to this host for
    /// [`MAX_WITHOUT_LOG`].
    fn is_overdue(&self, now: Instant) -> bool {
        let since = self.without_log_since;
        since.is_some_and(|since| now >= since + MAX_WITHOUT_LOG)
    }

    fn set_leader(&mut self, role: &watch::Sender<LogRole>, leader: Option<HostId>) {
        if self.leader != leader {
            let name = leader.as_deref().unwrap_or("the log itself");
            log::info!(from:% = name; "log followed");
        }
        let has_read = leader.is_some() && std::mem::take(&mut self.has_passed_replies);
        if has_read || leader.is_none() && self.leader.is_some() {
            // Direct reads advance past the positions that other hosts have counted.
            self.log.reset_positions();
        }
        let current = match (&leader, self.reads_for_others) {
            (Some(_), _) => LogRole::Follower,
            (None, true) => LogRole::Reader,
            (None, false) => LogRole::FallbackReader,
        };
        self.leader = leader;
        role.send_if_modified(|role| std::mem::replace(role, current) != current);
    }
}
