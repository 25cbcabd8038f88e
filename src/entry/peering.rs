//! Exchanges views with the other entry hosts.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use parking_lot::Mutex;

use crate::entry::EntrySettings;
use crate::entry::log_copy::LogCopy;
use crate::entry::relaying::FOLLOW_HOLD;
use crate::fleet::UseSource;
use crate::forward::ServingTables;
use crate::ids::{HostId, IncarnationId, ZoneId};
use crate::membership::GossipTable;
use crate::peer::{
    self, EntryHandlers, FollowAnswer, FollowQuestion, HostView, PeerError, PeerHandle,
    PeerSettings,
};

/// Pause between two looks at who is to be called.
const TICK: Duration = Duration::from_millis(125);
/// Age up to which what this host has read from the log is good enough for
/// others: reads come every 0.6 s and may take half a second.
pub(super) const FRESH_AGE: Duration = Duration::from_millis(1100);
/// How long a peer may take to answer: delays are below a millisecond; a host
/// whose share of the processor is used up comes back within 100 ms.
const CALL_TIMEOUT: Duration = Duration::from_millis(600);

/// What this host says of itself and hears of others.
#[derive(Debug)]
pub(super) struct PeerDesk {
    host: HostId,
    zone: ZoneId,
    address: SocketAddr,
    incarnation: IncarnationId,
    tables: Arc<ServingTables>,
    copy: Arc<LogCopy>,
    gossip: Mutex<GossipTable>,
    sequence: std::sync::atomic::AtomicU64,
}

/// Starts answering and calling peers.
///
/// # Errors
///
/// If the peers' address cannot be listened on.
pub(super) fn spawn(
    settings: &EntrySettings,
    address: SocketAddr,
    tables: Arc<ServingTables>,
    copy: Arc<LogCopy>,
) -> Result<(Arc<PeerDesk>, PeerHandle), PeerError> {
    let listener = TcpListener::bind(address)?;
    let address = listener.local_addr()?;
    let (host, zone) = (settings.host.clone(), settings.zone.clone());
    let desk = Arc::new(PeerDesk {
        gossip: Mutex::new(GossipTable::new(
            host.clone(),
            zone.clone(),
            address,
            settings.seeds.clone(),
        )),
        host,
        zone,
        address,
        incarnation: draw_incarnation(),
        tables,
        copy,
        sequence: std::sync::atomic::AtomicU64::new(0),
    });
    let limits = PeerSettings {
        connect_timeout: CALL_TIMEOUT,
        call_timeout: CALL_TIMEOUT,
        last_backoff: Duration::from_secs(2),
        idle_timeout: Duration::from_secs(20),
        ..PeerSettings::new(address)
    };
    let answering = desk.clone();
    let passing = desk.clone();
    let handlers = EntryHandlers {
        exchange: Arc::new(move |view| answering.answer(&view, Instant::now())),
        follow: Arc::new(move |question| {
            let desk = passing.clone();
            Box::pin(async move { desk.answer_follow(question).await })
        }),
    };
    let handle = peer::spawn_on(listener, limits, handlers)?;
    tokio::spawn(call_peers(desk.clone(), handle.clone()));
    Ok((desk, handle))
}

/// Grows with the clock of the host, so that a later start has a higher one.
fn draw_incarnation() -> IncarnationId {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let micros = since.unwrap_or_default().as_micros();
    u64::try_from(micros).unwrap_or(u64::MAX)
}

impl PeerDesk {
    /// Where peers reach this host.
    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Whether this host orders the engines of a zone about: the first live
    /// host of the zone by name; where none lives, the first of all zones.
    pub(super) fn places_zone(&self, zone: &str, zones: &[ZoneId], now: Instant) -> bool {
        let gossip = self.gossip.lock();
        let own = gossip.live_hosts(zone, now);
        let first = match own.first() {
            Some(first) => Some(first.clone()),
            None => {
                let others = zones.iter().flat_map(|zone| gossip.live_hosts(zone, now));
                others.chain([self.host.clone()]).min()
            }
        };
        first.as_ref() == Some(&self.host)
    }

    fn answer(&self, view: &HostView, now: Instant) -> HostView {
        self.hear(view, now);
        self.own_view(view.zone != self.zone, now)
    }

    fn own_view(&self, zone_wide: bool, now: Instant) -> HostView {
        let uses = self.tables.fleet.lock().uses(zone_wide);
        let hosts = self.gossip.lock().known_hosts(now);
        let order = std::sync::atomic::Ordering::Relaxed;
        HostView {
            host: self.host.clone(),
            zone: self.zone.clone(),
            address: self.address,
            incarnation: self.incarnation,
            sequence: self.sequence.fetch_add(1, order) + 1,
            configuration_version: self.copy.configuration_version(),
            zone_wide,
            uses,
            hosts,
        }
    }

    fn hear(&self, view: &HostView, now: Instant) {
        let news = self.gossip.lock().observe_view(view, now);
        if !news {
            return;
        }
        let source = match view.zone_wide {
            true => UseSource::Zone(view.zone.clone()),
            false => UseSource::Host(view.host.clone()),
        };
        self.tables
            .fleet
            .lock()
            .observe_uses(source, view.uses.clone(), now);
    }

    /// Hosts that read the log for this zone, the first one where it can;
    /// empty if this one is the first.
    pub(super) fn leads(&self, now: Instant, most: usize) -> Vec<(HostId, SocketAddr)> {
        self.gossip.lock().leads(now, most)
    }

    /// Entry hosts heard of lately, this one among them.
    pub(super) fn known_count(&self) -> usize {
        self.gossip.lock().known_count()
    }

    /// Passes on what this host has read, as soon as there is news or after a
    /// while.
    async fn answer_follow(&self, question: FollowQuestion) -> FollowAnswer {
        let known = question.incarnation == self.incarnation;
        let news = self.copy.news.notified();
        // Without the log there will be no news: the other host looks for one
        // that has it.
        let fresh = self.copy.is_fresh(FRESH_AGE, Instant::now());
        if known && fresh && !self.copy.has_news(question) {
            // Either way there is something to say.
            let _ = tokio::time::timeout(FOLLOW_HOLD, news).await;
        }
        let fresh = self.copy.is_fresh(FRESH_AGE, Instant::now());
        if !fresh && question.incarnation != 0 {
            // The asking host has targets, and would not take these.
            return FollowAnswer::default();
        }
        // Taken first, so that its lock is not held while the copy's is taken.
        let remote = self.tables.fleet.lock().remote_uses();
        FollowAnswer {
            incarnation: self.incarnation,
            fresh,
            remote,
            ..self.copy.answer(question, known)
        }
    }
}

async fn call_peers(desk: Arc<PeerDesk>, handle: PeerHandle) {
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let due = desk.gossip.lock().due_calls(Instant::now());
        for address in due {
            tokio::spawn(call_peer(desk.clone(), handle.clone(), address));
        }
    }
}

async fn call_peer(desk: Arc<PeerDesk>, handle: PeerHandle, address: SocketAddr) {
    let remote = !desk.gossip.lock().is_neighbour(address);
    let view = desk.own_view(remote, Instant::now());
    let answer = match handle.exchange(address, view).await {
        Ok(answer) => answer,
        Err(error) => {
            log::debug!("no exchange with {address}: {error}");
            return;
        }
    };
    desk.hear(&answer, Instant::now());
}
