//! Exchanges views with the other entry hosts.

use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant, SystemTime};

use parking_lot::Mutex;

use crate::entry::EntrySettings;
use crate::entry::log_copy::LogCopy;
use crate::entry::poison_log::note_poison;
use crate::fleet::{UsageScope, UsageSource};
use crate::forward::{ServingTables, socket};
use crate::ids::{HostId, IncarnationId, ZoneId};
use crate::membership::{GossipTable, host_weight};
use crate::peer::{
    self, EntryHandlers, FollowReply, FollowRequest, HostView, PeerError, PeerHandle, PeerSettings,
};
use crate::permits::PermitRequest;

/// Pause between two looks at who is to be called.
const TICK: Duration = Duration::from_millis(125);
/// Age up to which what this host has of the log is good enough for others:
/// reads come every 0.6 s and may take half a second; a speaker that passes them
/// on asks for them every 0.2 s.
pub(super) const FRESH_AGE: Duration = Duration::from_millis(1100);
/// How long a question is kept at the most, whatever the asking host wants.
const MOST_HOLD: Duration = Duration::from_secs(1);
/// How long a peer may take to answer: delays are below a millisecond; a host
/// whose share of the processor is used up comes back within 100 ms.
const CALL_TIMEOUT: Duration = Duration::from_millis(600);

/// How long a connection may take. A packet that is dropped because too many
/// hosts connect at once is sent again after a second; a new connection stands
/// sooner.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

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
    /// Calls other hosts, once the desk can answer them.
    handle: OnceLock<PeerHandle>,
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
    // With room for a burst: when a fleet starts at once, each of its hosts
    // calls the same three seeds at the same moment.
    let listener = socket::bind(address)?.into_std()?;
    let address = listener.local_addr()?;
    let (host, zone) = (settings.host.clone(), settings.zone.clone());
    let incarnation = draw_incarnation();
    let weight = host_weight(settings.cores, settings.link_mbps);
    let gossip = GossipTable::new(host.clone(), zone.clone(), address, settings.seeds.clone());
    let desk = Arc::new(PeerDesk {
        gossip: Mutex::new(gossip.with_identity(incarnation, weight)),
        host,
        zone,
        address,
        incarnation,
        tables,
        copy,
        handle: OnceLock::new(),
    });
    let limits = PeerSettings {
        connect_timeout: CONNECT_TIMEOUT,
        call_timeout: CALL_TIMEOUT,
        last_backoff: Duration::from_secs(2),
        idle_timeout: Duration::from_secs(20),
        ..PeerSettings::new(address)
    };
    let answering = desk.clone();
    let passing = desk.clone();
    let issuing = desk.clone();
    let handlers = EntryHandlers {
        exchange: Arc::new(move |view| answering.answer(&view, Instant::now())),
        follow: Arc::new(move |question| {
            let desk = passing.clone();
            Box::pin(async move { desk.answer_follow(question).await })
        }),
        permit: Arc::new(move |question| issuing.clone().ask_permit(question)),
    };
    let handle = peer::spawn_on(listener, limits, handlers)?;
    desk.handle.get_or_init(|| handle.clone());
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
    /// host of the zone in the order of duties; where none lives, the first of
    /// all zones.
    pub(super) fn places_zone(&self, zone: &str, now: Instant) -> bool {
        let gossip = self.gossip.lock();
        let own = gossip.live_hosts(zone, now).into_iter().next();
        own.unwrap_or_else(|| gossip.global_leader(now)) == self.host
    }

    fn answer(&self, view: &HostView, now: Instant) -> HostView {
        self.hear(view, now);
        let answer = self.gossip.lock().reply_view(view, now);
        let answer = self.complete(answer, Some(&view.host), view.zone == self.zone, now);
        let answer = self.add_poison(answer, view.address, now);
        self.add_limits(answer, view.address, now)
    }

    fn question(&self, address: SocketAddr, now: Instant) -> HostView {
        let mut gossip = self.gossip.lock();
        let is_neighbour = gossip.is_neighbour(address);
        let question = gossip.request_view(address, now);
        drop(gossip);
        let question = self.complete(question, None, is_neighbour, now);
        let question = self.add_poison(question, address, now);
        self.add_limits(question, address, now)
    }

    /// Adds what this host tells of requests and of the log.
    fn complete(
        &self,
        view: HostView,
        listener: Option<&HostId>,
        is_neighbour: bool,
        now: Instant,
    ) -> HostView {
        let usage = match view.scope {
            // What one host alone does is of no use to another zone.
            UsageScope::Host if !is_neighbour => Vec::new(),
            scope => self.tables.fleet.lock().usage(scope, listener),
        };
        HostView {
            configuration_version: self.copy.configuration_version(),
            log: self.copy.log_ages(now),
            usage,
            ..view
        }
    }

    /// Adds what the host at an address has not heard yet of requests that targets
    /// ended under.
    fn add_poison(&self, view: HostView, listener: SocketAddr, now: Instant) -> HostView {
        let poison = self.tables.poison.lock().listing_for(listener, now);
        HostView { poison, ..view }
    }

    /// Adds what the host at an address has not heard yet of limits.
    fn add_limits(&self, view: HostView, listener: SocketAddr, now: Instant) -> HostView {
        let limits = self.tables.limits.lock().delta_for(listener, now);
        HostView { limits, ..view }
    }

    fn hear_limits(&self, view: &HostView, now: Instant) {
        let changes = self.tables.limits.lock().apply_delta(
            view.address,
            view.incarnation,
            &view.limits,
            now,
        );
        for (target, change) in changes {
            self.tables.apply_reported_limit(target, change, &view.host);
        }
    }

    fn hear_poison(&self, view: &HostView, now: Instant) {
        let refused = self.tables.poison.lock().take_listing(
            view.address,
            view.incarnation,
            &view.poison,
            now,
        );
        note_poison(&self.tables, &refused, &view.host);
    }

    fn hear(&self, view: &HostView, now: Instant) {
        let news = self.gossip.lock().observe_view(view, now);
        if !news {
            return;
        }
        self.hear_poison(view, now);
        self.hear_limits(view, now);
        if let Some(log) = view.log {
            self.copy.observe_word(&view.zone, log, now);
        }
        let source = UsageSource::of(view.scope, &view.host, &view.zone, &self.zone);
        if let Some(source) = source {
            let mut fleet = self.tables.fleet.lock();
            fleet.observe_usage(source, view.usage.clone(), now);
        }
    }

    /// Hosts that read the log for this zone, the first one where it can;
    /// empty if this one is the first.
    pub(super) fn leaders(&self, now: Instant, most: usize) -> Vec<(HostId, SocketAddr)> {
        self.gossip.lock().leaders(now, most)
    }

    /// The other live hosts of this zone.
    pub(super) fn neighbours(&self, now: Instant) -> Vec<(HostId, SocketAddr)> {
        self.gossip.lock().neighbours(now)
    }

    /// The host to which this one reports.
    pub(super) fn speaker(&self, now: Instant) -> Option<(HostId, SocketAddr)> {
        let gossip = self.gossip.lock();
        let host = gossip.reports_to(now)?;
        let address = gossip.address_of(&host)?;
        Some((host, address))
    }

    /// Where the permits for a target are handed out; `None` while this host may not
    /// know.
    pub(super) fn permit_address(
        &self,
        question: &PermitRequest,
        now: Instant,
    ) -> Option<SocketAddr> {
        let gossip = self.gossip.lock();
        let host = gossip.permit_host(&question.zone, question.limit.target, now)?;
        match host == self.host {
            true => Some(self.address),
            false => gossip.address_of(&host),
        }
    }

    /// The part of a zone's limits that the hosts which this one takes to be alive hand
    /// out.
    pub(super) fn permit_part(&self, zone: &str, now: Instant) -> f64 {
        self.gossip.lock().permit_part(zone, now)
    }

    /// The name of this host.
    pub(super) fn host(&self) -> &HostId {
        &self.host
    }

    /// Calls other hosts.
    pub(super) fn handle(&self) -> Option<&PeerHandle> {
        self.handle.get()
    }

    /// What the data path works with.
    pub(super) fn tables(&self) -> &Arc<ServingTables> {
        &self.tables
    }

    /// Entry hosts heard of lately, this one among them.
    pub(super) fn known_count(&self) -> usize {
        self.gossip.lock().known_count()
    }

    /// One line when this host reports to another one than before.
    fn note_speaker(&self, reports_to: Option<&HostId>) {
        if reports_to.is_none() {
            self.tables.fleet.lock().forget_neighbours();
        }
        let name = reports_to.map_or("nobody, speaks for the zone", |host| host);
        log::info!(speaker:% = name; "reports to");
    }

    /// Passes on what this host has read, as soon as there is news or after a
    /// while.
    async fn answer_follow(&self, question: FollowRequest) -> FollowReply {
        let known = question.incarnation == self.incarnation;
        let news = self.copy.news.notified();
        // Without the log there will be no news: the other host looks for one
        // that has it.
        let fresh = self.copy.age(Instant::now()) < FRESH_AGE;
        if known && fresh && !self.copy.has_news(question) {
            // Either way there is something to say.
            let _ = tokio::time::timeout(question.hold.min(MOST_HOLD), news).await;
        }
        let now = Instant::now();
        let age = self.copy.age(now);
        let fresh = age < FRESH_AGE;
        if !fresh && question.incarnation != 0 {
            // The asking host has targets, and would not take these.
            return FollowReply::default();
        }
        // Taken first, so that its lock is not held while the copy's is taken.
        let remote = match question.wants_remote {
            true => self.tables.fleet.lock().remote_usage(),
            false => Vec::new(),
        };
        FollowReply {
            incarnation: self.incarnation,
            fresh,
            age,
            remote,
            ..self.copy.answer(question, known, now)
        }
    }
}

async fn call_peers(desk: Arc<PeerDesk>, handle: PeerHandle) {
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut speaker = None;
    loop {
        ticks.tick().await;
        let now = Instant::now();
        let due = desk.gossip.lock().due_calls(now);
        let reports_to = desk.gossip.lock().reports_to(now);
        if reports_to != speaker {
            desk.note_speaker(reports_to.as_ref());
            speaker = reports_to;
        }
        for address in due {
            tokio::spawn(call_peer(desk.clone(), handle.clone(), address));
        }
    }
}

async fn call_peer(desk: Arc<PeerDesk>, handle: PeerHandle, address: SocketAddr) {
    let question = desk.question(address, Instant::now());
    let answer = match handle.exchange(address, question).await {
        Ok(answer) => answer,
        Err(error) => {
            log::debug!("no exchange with {address}: {error}");
            desk.gossip
                .lock()
                .observe_failed_call(address, Instant::now());
            return;
        }
    };
    desk.hear(&answer, Instant::now());
}
