//! Follows the log through the host that reads it for the zone.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::watch;

use crate::entry::LogRole;
use crate::entry::log_copy::LogCopy;
use crate::entry::peering::{FRESH_AGE, PeerState};
use crate::entry::relayed_log::RelayedLog;
use crate::forward::ServingTables;
use crate::ids::HostId;
use crate::peer::PeerHandle;

/// How long a question that has no news is kept. News end it, so that this only
/// bounds how long the silence of the other host goes unnoticed.
const FOLLOW_HOLD: Duration = Duration::from_millis(500);
/// The same for the question of a host that passes the log on: what it has must
/// not be older than a read and this when others ask for it.
const RELAY_HOLD: Duration = Duration::from_millis(200);
/// How much longer an answer may take before this host reads the log itself.
const REPLY_TIMEOUT: Duration = Duration::from_millis(400);
/// Pause before the next round of questions where no answer helped.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Hosts of a zone that read the log themselves where those before them
/// cannot. The log turned away about a third of the hosts where it turned away
/// any, so that three in a row are cut off one time in thirty; with every host
/// reading as soon as the first is cut off, 26 hosts of a zone made 4,500 calls
/// in place of 1,100 in a minute.
const MAX_READERS: usize = 3;
/// Time without the log after which any other host reads for itself. A first
/// host counts as having the log for 1.1 s after it lost it; together that is
/// below the two seconds within which a leaving target has to be known. The
/// next reader has read the log 20 ms after it noticed that it has to.
const MAX_WITHOUT_LOG: Duration = Duration::from_millis(600);

/// How long a host looks for others before it reads the log itself, where the
/// whole system starts for the first time. All hosts start at the same moment and
/// know nobody; each read the log for itself until it did, 1,300 calls of 195
/// hosts in the first seconds. Callers come ten seconds later.
const FIRST_START_DELAY: Duration = Duration::from_millis(1500);

struct RelayFollower {
    copy: Arc<LogCopy>,
    log: RelayedLog,
    leader: Option<HostId>,
    /// Whether this host is one of the first of its zone.
    reads_for_others: bool,
    /// A neighbour that had the log when this host had nobody to follow.
    followed_neighbour: Option<HostId>,
    /// Neighbours that were asked in turn.
    next_index: usize,
    /// When a question was first asked that did not help.
    without_log_since: Option<Instant>,
}

/// Follows the reading host, and says by `role` whether this host has to
/// read for itself: when it is the one that reads, and when the other does not
/// answer or has lost the log itself.
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
        next_index: 0,
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

/// Whom to ask for the log: first the host to which this one reports, which
/// passes it on, so that the reader is not asked by every host of its zone; then
/// those that read it.
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
    /// Asks the hosts one after the other until one has the log; says whether
    /// one has.
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
                self.set_leader(role, Some(host));
                return true;
            }
            let now = Instant::now();
            // Judged after each host: one that does not answer at all takes
            // 0.9 s, and three of them would leave this host behind for longer
            // than a leaving target may be unknown.
            self.without_log_since.get_or_insert(start);
            if self.is_overdue(now) {
                self.set_leader(role, None);
            }
        }
        false
    }

    /// Asks a host and takes in what it has; gives the age of that if it has the log.
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
                let age = reply.fresh.then_some(reply.age);
                self.log.apply(host, reply, Instant::now());
                age
            }
            Err(error) => {
                log::debug!("{host} does not pass the log on: {error}");
                None
            }
        }
    }

    /// Hears from a neighbour that has the log what this host, which has nobody to follow,
    /// cannot read; says whether one has it.
    ///
    /// The log can turn away some hosts and serve the others. One that reads for its zone
    /// asks none of those that come after it, and sent requests to targets that left for as
    /// long as it was turned away. It goes on trying to read, and does not count as having
    /// the log: those that read in its place would follow it and stop.
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

    /// The neighbour that had the log last time, else the next one that was not `skipped`
    /// already, in turn.
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
        self.next_index += 1;
        others.get(self.next_index % others.len()).cloned()
    }

    /// Whether no host has had the log for too long.
    fn is_overdue(&self, now: Instant) -> bool {
        let since = self.without_log_since;
        since.is_some_and(|since| now >= since + MAX_WITHOUT_LOG)
    }

    fn set_leader(&mut self, role: &watch::Sender<LogRole>, leader: Option<HostId>) {
        if self.leader != leader {
            let name = leader.as_deref().unwrap_or("the log itself");
            log::info!(from:% = name; "log followed");
        }
        if leader.is_none() && self.leader.is_some() {
            // Reading directly goes past what the other host has counted.
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
