//! Exchange of views with the other entry hosts.

use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant, SystemTime};

use parking_lot::Mutex;

use crate::capacity::DemandReport;
use crate::collections::FastSet;
use crate::entry::EntrySettings;
use crate::entry::log_copy::LogCopy;
use crate::entry::poison_log::log_refused;
use crate::fleet::{UsageScope, UsageSource};
use crate::forward::{ServingTables, socket};
use crate::ids::{HostId, IncarnationId, ZoneId};
use crate::membership::{GossipTable, HostRegistry, RegistryChange, host_weight};
use crate::peer::{
    self, EntryHandlers, FollowReply, FollowRequest, HostView, PeerError, PeerHandle, PeerSettings,
};
use crate::permits::PermitRequest;

/// Interval at which the peers that are due are called.
const CALL_INTERVAL: Duration = Duration::from_millis(125);
/// Maximum age of this host's copy of the log at which other hosts may rely on it: reads
/// come every 0.6 s and may take half a second; an aggregator that relays them requests
/// them every 0.2 s.
pub(super) const FRESH_AGE: Duration = Duration::from_millis(1100);
/// Maximum time for which a request is held, whatever the requesting host wants.
const MAX_HOLD: Duration = Duration::from_secs(1);
/// Timeout of a call to a peer: delays are below a millisecond, and a host that has used up
/// its CPU quota resumes within 100 ms.
const CALL_TIMEOUT: Duration = Duration::from_millis(600);

/// Timeout of a connection attempt. A packet that is dropped because too many hosts connect
/// at once is resent after a second; a new connection is established sooner.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// What this host reports to its peers and receives from them.
#[derive(Debug)]
pub(super) struct PeerState {
    host: HostId,
    zone: ZoneId,
    address: SocketAddr,
    incarnation: IncarnationId,
    tables: Arc<ServingTables>,
    copy: Arc<LogCopy>,
    gossip: Mutex<GossipTable>,
    /// Calls other hosts; set once this host can serve calls.
    handle: OnceLock<PeerHandle>,
}

/// Starts serving and calling peers.
///
/// # Errors
///
/// If the peers' address cannot be listened on.
pub(super) fn spawn(
    settings: &EntrySettings,
    address: SocketAddr,
    tables: Arc<ServingTables>,
    copy: Arc<LogCopy>,
) -> Result<(Arc<PeerState>, PeerHandle), PeerError> {
    // The backlog has room for a burst: when a fleet starts at once, all hosts call the
    // same three seeds at the same moment.
    let listener = socket::bind(address)?.into_std()?;
    let address = listener.local_addr()?;
    let (host, zone) = (settings.host.clone(), settings.zone.clone());
    let incarnation = draw_incarnation();
    let weight = host_weight(settings.cores, settings.link_mbps);
    let gossip = GossipTable::new(host.clone(), zone.clone(), address, settings.seeds.clone());
    let state = Arc::new(PeerState {
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
    let exchange_state = state.clone();
    let follow_state = state.clone();
    let permit_state = state.clone();
    let handlers = EntryHandlers {
        exchange: Arc::new(move |view| exchange_state.handle_view(&view, Instant::now())),
        follow: Arc::new(move |request| {
            let state = follow_state.clone();
            Box::pin(async move { state.reply_follow(request).await })
        }),
        permit: Arc::new(move |request| permit_state.clone().request_permit(request)),
    };
    let handle = peer::spawn_on(listener, limits, handlers)?;
    state.handle.get_or_init(|| handle.clone());
    tokio::spawn(call_peers(state.clone(), handle.clone()));
    Ok((state, handle))
}

/// Returns an incarnation from the host's clock, so that a later start has a higher one.
fn draw_incarnation() -> IncarnationId {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let micros = since.unwrap_or_default().as_micros();
    u64::try_from(micros).unwrap_or(u64::MAX)
}

impl PeerState {
    /// Returns the address at which peers reach this host.
    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns whether this host plans a zone and orders its engines: the first live host
    /// of the zone in the ranking does; if none is alive, the first host of all zones.
    pub(super) fn plans_zone(&self, zone: &str, now: Instant) -> bool {
        let gossip = self.gossip.lock();
        let own = gossip.live_hosts(zone, now).into_iter().next();
        own.unwrap_or_else(|| gossip.global_leader(now)) == self.host
    }

    fn handle_view(&self, view: &HostView, now: Instant) -> HostView {
        self.receive(view, now);
        let reply = self.gossip.lock().reply_view(view, now);
        let reply = self.complete(reply, Some(&view.host), view.zone == self.zone, now);
        let reply = self.add_demand(reply, Some(&view.host), view.zone == self.zone, now);
        let reply = self.add_poison(reply, view.address, now);
        self.add_limits(reply, view.address, now)
    }

    fn build_view(&self, address: SocketAddr, now: Instant) -> HostView {
        let mut gossip = self.gossip.lock();
        let is_neighbour = gossip.is_neighbour(address);
        let request = gossip.request_view(address, now);
        drop(gossip);
        let request = self.complete(request, None, is_neighbour, now);
        let request = self.add_demand(request, None, is_neighbour, now);
        let request = self.add_poison(request, address, now);
        self.add_limits(request, address, now)
    }

    /// Adds the usage of targets, the configuration version and the reads of the log.
    fn complete(
        &self,
        view: HostView,
        recipient: Option<&HostId>,
        is_neighbour: bool,
        now: Instant,
    ) -> HostView {
        let usage = match view.scope {
            // The load of a single host is of no use to another zone.
            UsageScope::Host if !is_neighbour => Vec::new(),
            scope => self.tables.fleet.lock().usage(scope, recipient),
        };
        HostView {
            configuration_version: self.copy.configuration_version(),
            log: self.copy.log_ages(now),
            usage,
            ..view
        }
    }

    /// Adds the demand of callers and the targets that hosts found ended.
    fn add_demand(
        &self,
        view: HostView,
        recipient: Option<&HostId>,
        is_neighbour: bool,
        now: Instant,
    ) -> HostView {
        let demand = match view.scope {
            // The demand of a single host is of no use to another zone.
            UsageScope::Host if !is_neighbour => DemandReport::default(),
            scope => self.tables.demand.lock().report(scope, recipient, now),
        };
        let ended = self.tables.fleet.lock().ended_targets(now);
        HostView {
            demand,
            ended,
            ..view
        }
    }

    /// Adds the poison evidence that the host at an address has not received yet.
    fn add_poison(&self, view: HostView, recipient: SocketAddr, now: Instant) -> HostView {
        let poison = self.tables.poison.lock().delta_for(recipient, now);
        HostView { poison, ..view }
    }

    /// Adds the limits that the host at an address has not received yet.
    fn add_limits(&self, view: HostView, recipient: SocketAddr, now: Instant) -> HostView {
        let limits = self.tables.limits.lock().delta_for(recipient, now);
        HostView { limits, ..view }
    }

    fn receive_limits(&self, view: &HostView, now: Instant) {
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

    fn receive_poison(&self, view: &HostView, now: Instant) {
        let refused = self.tables.poison.lock().apply_delta(
            view.address,
            view.incarnation,
            &view.poison,
            now,
        );
        log_refused(&self.tables, &refused, &view.host);
    }

    fn receive(&self, view: &HostView, now: Instant) {
        let is_new = self.gossip.lock().observe_view(view, now);
        if !is_new {
            return;
        }
        self.receive_poison(view, now);
        self.receive_limits(view, now);
        self.tables.observe_ended(&view.ended, &view.host, now);
        if let Some(log) = view.log {
            self.copy.observe_ages(&view.zone, log, now);
        }
        let source = UsageSource::of(view.scope, &view.host, &view.zone, &self.zone);
        if let Some(source) = source {
            let mut fleet = self.tables.fleet.lock();
            fleet.observe_usage(source.clone(), view.usage.clone(), now);
            drop(fleet);
            let mut demand = self.tables.demand.lock();
            demand.observe(source, view.demand.clone(), now);
        }
    }

    /// Returns up to `limit` hosts of this zone that rank before this one and read the log
    /// for it; empty if this host is the first.
    pub(super) fn leaders(&self, now: Instant, limit: usize) -> Vec<(HostId, SocketAddr)> {
        self.gossip.lock().leaders(now, limit)
    }

    /// Returns the other live hosts of this zone.
    pub(super) fn neighbours(&self, now: Instant) -> Vec<(HostId, SocketAddr)> {
        self.gossip.lock().neighbours(now)
    }

    /// Returns the number of other live hosts of this zone.
    fn neighbour_count(&self, now: Instant) -> usize {
        let gossip = self.gossip.lock();
        let live = gossip.live_members(now);
        live.filter(|(_, zone, _)| **zone == self.zone).count()
    }

    /// Returns the host to which this one reports.
    pub(super) fn aggregator(&self, now: Instant) -> Option<(HostId, SocketAddr)> {
        let gossip = self.gossip.lock();
        let host = gossip.reports_to(now)?;
        let address = gossip.address_of(&host)?;
        Some((host, address))
    }

    /// Returns the address of the host that issues the permits for a target; `None` while
    /// this host may not know it.
    pub(super) fn permit_address(
        &self,
        request: &PermitRequest,
        now: Instant,
    ) -> Option<SocketAddr> {
        let gossip = self.gossip.lock();
        let host = gossip.permit_host(&request.zone, request.limit.target, now)?;
        match host == self.host {
            true => Some(self.address),
            false => gossip.address_of(&host),
        }
    }

    /// Returns the share of a zone's limits that the hosts which this one considers alive
    /// may issue, from 0 to 1.
    pub(super) fn permit_share(&self, zone: &str, now: Instant) -> f64 {
        self.gossip.lock().permit_share(zone, now)
    }

    /// Returns whether this host is the leader of its zone.
    pub(super) fn is_leader(&self, now: Instant) -> bool {
        self.gossip.lock().is_leader(now)
    }

    /// Replaces the seeds.
    pub(super) fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        self.gossip.lock().set_seeds(seeds);
    }

    /// Applies what was read of the hosts that the log names.
    pub(super) fn update_registry<F>(&self, update: F)
    where
        F: FnOnce(&mut HostRegistry),
    {
        update(self.gossip.lock().registry_mut());
    }

    /// Returns the changes that the log needs so that other groups of hosts find this one.
    pub(super) fn registry_changes(&self, now: Instant) -> Vec<RegistryChange> {
        self.gossip.lock().registry_changes(now)
    }

    /// Returns the name of this host.
    pub(super) fn host(&self) -> &HostId {
        &self.host
    }

    /// Returns the handle for calls to other hosts, once this host can serve calls.
    pub(super) fn handle(&self) -> Option<&PeerHandle> {
        self.handle.get()
    }

    /// Returns the tables of the data path.
    pub(super) fn tables(&self) -> &Arc<ServingTables> {
        &self.tables
    }

    /// Returns the other live hosts of all zones, with their zones and addresses.
    pub(super) fn live_members(&self, now: Instant) -> Vec<(HostId, ZoneId, SocketAddr)> {
        let gossip = self.gossip.lock();
        let live = gossip.live_members(now);
        live.map(|(host, zone, address)| (host.clone(), zone.clone(), address))
            .collect()
    }

    /// Returns whether another entry host uses an IP address.
    pub(super) fn is_member_ip(&self, ip: IpAddr) -> bool {
        self.gossip.lock().is_member_ip(ip)
    }

    /// Returns the address on which another host listens to peers.
    pub(super) fn address_of(&self, host: &HostId) -> Option<SocketAddr> {
        self.gossip.lock().address_of(host)
    }

    /// Returns the number of entry hosts of all zones that are not forgotten yet, live or
    /// not, including this one; `None` if there may be others.
    pub(super) fn complete_count(&self, now: Instant) -> Option<usize> {
        let configuration = self.tables.configuration.load_full()?;
        let zones = {
            let fleet = self.tables.fleet.lock();
            let targets = fleet.targets().map(|state| state.entry.zone.clone());
            targets.collect::<FastSet<_>>()
        };
        let zones = zones.union(&configuration.zones);
        self.gossip.lock().complete_count(zones, now)
    }

    /// Logs whether there may be hosts although this one knows no other.
    fn log_unsure(&self, is_unsure: bool) {
        self.tables.metrics.set_hosts_unknown(is_unsure);
        match is_unsure {
            true => log::warn!("no other host known, and there may be some: few permits issued"),
            false => log::info!("other hosts known, or known to be none"),
        }
    }

    /// Logs that this host reports to another aggregator than before.
    fn log_aggregator(&self, reports_to: Option<&HostId>) {
        if reports_to.is_none() {
            self.tables.fleet.lock().forget_neighbours();
            self.tables.demand.lock().forget_neighbours();
        }
        let name = reports_to.map_or("nobody, speaks for the zone", |host| host);
        log::info!(speaker:% = name; "reports to");
    }

    /// Returns what this host has read of the log, as soon as there are updates or after
    /// the hold time.
    async fn reply_follow(&self, request: FollowRequest) -> FollowReply {
        let known = request.incarnation == self.incarnation;
        let updates = self.copy.updates.notified();
        // Without a current log there will be no updates, and the requesting host has to
        // find another source.
        let fresh = self.copy.age(Instant::now()) < FRESH_AGE;
        if known && fresh && !self.copy.has_updates(request) {
            // The reply is the same whether an update or the timeout ends the wait.
            let _ = tokio::time::timeout(request.hold.min(MAX_HOLD), updates).await;
        }
        let now = Instant::now();
        let age = self.copy.age(now);
        let fresh = age < FRESH_AGE;
        if !fresh && request.incarnation != 0 {
            // The requesting host has targets and would ignore outdated ones.
            return FollowReply::default();
        }
        // Computed first, so that the fleet's lock is not held while the copy's lock is
        // taken.
        let remote = match request.wants_remote {
            true => self.tables.fleet.lock().remote_usage(),
            false => Vec::new(),
        };
        let remote_demand = match request.wants_remote {
            true => self.tables.demand.lock().remote(now),
            false => Vec::new(),
        };
        FollowReply {
            incarnation: self.incarnation,
            fresh,
            age,
            remote,
            remote_demand,
            ..self.copy.reply(request, known, now)
        }
    }
}

async fn call_peers(state: Arc<PeerState>, handle: PeerHandle) {
    let mut ticks = tokio::time::interval(CALL_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut aggregator = None;
    let mut was_unsure = false;
    loop {
        let due_at = ticks.tick().await;
        let now = Instant::now();
        let neighbours = state.neighbour_count(now);
        let lag = now.saturating_duration_since(due_at.into_std());
        state.tables.observe_lag(lag, neighbours);
        let due = state.gossip.lock().due_calls(now);
        let (reports_to, is_unsure) = {
            let gossip = state.gossip.lock();
            (gossip.reports_to(now), gossip.is_unsure(now))
        };
        if std::mem::replace(&mut was_unsure, is_unsure) != is_unsure {
            state.log_unsure(is_unsure);
        }
        if reports_to != aggregator {
            state.log_aggregator(reports_to.as_ref());
            aggregator = reports_to;
        }
        for address in due {
            tokio::spawn(call_peer(state.clone(), handle.clone(), address));
        }
    }
}

pub(super) async fn call_peer(state: Arc<PeerState>, handle: PeerHandle, address: SocketAddr) {
    let request = state.build_view(address, Instant::now());
    let view = match handle.exchange(address, request).await {
        Ok(view) => view,
        Err(error) => {
            log::debug!("exchange with {address} failed: {error}");
            state
                .gossip
                .lock()
                .observe_failed_call(address, Instant::now());
            return;
        }
    };
    state.receive(&view, Instant::now());
}
