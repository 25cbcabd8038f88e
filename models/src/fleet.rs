//! Entry hosts in memory with a simulated clock and without a network. Each host consists
//! of its table of hosts and its tables of targets and of poison requests, and a call is
//! a function call.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use jackdawwick::capacity::DemandTable;
use jackdawwick::fleet::{FleetTable, TargetEntry, TargetLoad, UsageSource};
use jackdawwick::ids::{HostId, HostWeight, IncarnationId, ZoneId};
use jackdawwick::membership::GossipTable;
use jackdawwick::peer::HostView;
use jackdawwick::poison::PoisonTable;

/// Interval between checks for due calls.
const TICK: Duration = Duration::from_millis(125);
/// Time after which a call without a reply fails.
const CALL_TIMEOUT: Duration = Duration::from_millis(600);
/// Bytes of a view without its lists. This and the sizes below are upper bounds of the encoded
/// ones, which `tests/entry_peers.rs` checks.
pub const VIEW_BYTES: usize = 420;
/// Bytes of each usage in a view.
pub const USAGE_BYTES: usize = 22;
/// Bytes of each listed host in a view.
pub const LISTED_BYTES: usize = 120;
/// Bytes of each count of a zone in a view.
pub const COUNT_BYTES: usize = 40;
/// Bytes of each piece of poison evidence in a view.
pub const EVIDENCE_BYTES: usize = 20;
/// Bytes of the demand in a view without its lists.
pub const DEMAND_BYTES: usize = 144;
/// Bytes of each priority in the demand.
pub const PRIORITY_BYTES: usize = 20;
/// Bytes of each organisation in the demand.
pub const ORGANISATION_BYTES: usize = 14;
/// Bytes of each ended target in a view.
pub const ENDED_BYTES: usize = 11;

/// Weight of a host with half a core.
pub const HEAVY: HostWeight = 8;
/// Weight of the other hosts.
pub const LIGHT: HostWeight = 6;

/// An entry host.
#[derive(Debug)]
pub struct SimHost {
    /// Its name, which does not depend on its weight.
    pub name: HostId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Address at which other hosts call it.
    pub address: SocketAddr,
    /// Its table of hosts.
    pub gossip: GossipTable,
    /// Its table of targets.
    pub fleet: FleetTable,
    /// Its table of poison requests.
    pub poison: PoisonTable,
    /// Its table of demand.
    pub demand: DemandTable,
    incarnation: IncarnationId,
    weight: HostWeight,
    /// Whether it runs.
    pub alive: bool,
    /// Whether the host reported to another one at its last check, so that it is no
    /// aggregator.
    reports: bool,
    /// Number of its exchanges.
    pub exchanges: usize,
    /// Bytes of its exchanges in both directions.
    pub bytes: usize,
}

/// A view on its way to a host.
#[derive(Debug)]
struct LateView {
    arrival: Instant,
    recipient: usize,
    /// The host that called, which gets the reply; `None` if the view is a reply.
    caller: Option<usize>,
    view: HostView,
}

/// The entry hosts and the calls between them.
#[derive(Debug)]
pub struct SimFleet {
    /// The simulated time.
    pub now: Instant,
    /// All hosts, zone by zone.
    pub hosts: Vec<SimHost>,
    indices: HashMap<SocketAddr, usize>,
    seeds: Vec<SocketAddr>,
    failing_calls: Vec<(Instant, usize, SocketAddr)>,
    /// Zones that are cut off from all others.
    pub partitioned: Vec<ZoneId>,
    /// Hosts that are cut off from all others, by index.
    pub isolated: Vec<usize>,
    /// Time for which a view is on its way. A call whose reply takes longer than
    /// 600 ms fails, although its request has arrived.
    pub view_delay: Duration,
    /// Views on their way.
    late_views: Vec<LateView>,
}

fn target(zone: &str, number: usize) -> TargetEntry {
    TargetEntry {
        id: format!("i-{zone}-{number}").as_str().into(),
        started_ms: None,
        service: "engines".into(),
        address: ([10, 9, 0, 1], 1000).into(),
        zone: zone.into(),
        draining: false,
        kind: Some("l4".into()),
        layers: None,
    }
}

/// Returns the name of an availability zone.
pub fn zone_name(zone: usize) -> String {
    format!("zone-{zone}")
}

impl SimFleet {
    /// Creates zones of `hosts_each` hosts, of which the first three are heavy, and
    /// `engines` engines in each zone. Each host has a request on every other engine of
    /// its zone.
    pub fn new(zones: usize, hosts_each: usize, engines: usize) -> Self {
        let mut hosts = Vec::new();
        let address = |index: usize| -> SocketAddr {
            let [.., high, low] = (index as u32).to_be_bytes();
            ([10, 0, high, low], 9000).into()
        };
        let seeds = vec![address(0), address(hosts_each), address(2 * hosts_each - 1)];
        for index in 0..zones * hosts_each {
            let (zone, number) = (zone_name(index / hosts_each), index % hosts_each);
            // Names do not depend on weights.
            let name = format!("{zone}-{:03}", (number * 37 + 11) % 997);
            let weight = if number < 3 { HEAVY } else { LIGHT };
            let mut fleet = FleetTable::default();
            for target_zone in 0..zones {
                for engine in 0..engines {
                    fleet.observe_entry(target(&zone_name(target_zone), engine));
                }
            }
            for engine in (number % 2..engines).step_by(2) {
                let load = TargetLoad {
                    requests: 1,
                    reserved: 1000.0,
                    unread: 0.0,
                };
                fleet.observe_start(&format!("i-{zone}-{engine}"), load);
            }
            let gossip = GossipTable::new(
                name.as_str().into(),
                zone.as_str().into(),
                address(index),
                seeds.clone(),
            );
            hosts.push(SimHost {
                name: name.as_str().into(),
                zone: zone.as_str().into(),
                address: address(index),
                gossip: gossip.with_identity(index as u64 + 1, weight),
                fleet,
                poison: PoisonTable::default(),
                demand: DemandTable::default(),
                incarnation: index as u64 + 1,
                weight,
                alive: true,
                reports: true,
                exchanges: 0,
                bytes: 0,
            });
        }
        let indices = hosts.iter().enumerate();
        let indices = indices.map(|(index, host)| (host.address, index));
        Self {
            now: Instant::now(),
            indices: indices.collect(),
            seeds,
            hosts,
            failing_calls: Vec::new(),
            partitioned: Vec::new(),
            isolated: Vec::new(),
            view_delay: Duration::ZERO,
            late_views: Vec::new(),
        }
    }

    /// Simulates the given time.
    pub fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += TICK;
            self.fail_calls();
            self.deliver_views();
            for index in 0..self.hosts.len() {
                self.call_from(index);
            }
        }
    }

    /// Restarts a host, which then knows only the seeds.
    pub fn restart(&mut self, index: usize) {
        let host = &mut self.hosts[index];
        host.incarnation += 1 << 32;
        let (name, zone, seeds) = (host.name.clone(), host.zone.clone(), self.seeds.clone());
        let gossip = GossipTable::new(name, zone, host.address, seeds);
        host.gossip = gossip.with_identity(host.incarnation, host.weight);
        host.poison = PoisonTable::default();
        host.demand = DemandTable::default();
        host.reports = true;
    }

    /// Resets the counters of exchanges and bytes.
    pub fn reset_counters(&mut self) {
        for host in &mut self.hosts {
            host.exchanges = 0;
            host.bytes = 0;
        }
    }

    /// Returns the indices of the live hosts of a zone.
    pub fn live_hosts_in(&self, zone: &str) -> Vec<usize> {
        let indices = 0..self.hosts.len();
        let live = indices.filter(|index| {
            let host = &self.hosts[*index];
            host.alive && *host.zone == *zone
        });
        live.collect()
    }

    /// Returns the requests on a target that a host attributes to the other hosts of its
    /// zone.
    ///
    /// # Panics
    ///
    /// If the host does not know the target.
    pub fn near(&self, index: usize, target: &str) -> u32 {
        let state = self.hosts[index].fleet.get(target);
        state.expect("known").near.requests
    }

    fn fail_calls(&mut self) {
        let now = self.now;
        let due = self.failing_calls.iter().filter(|(at, ..)| *at <= now);
        for (_, index, address) in due.cloned().collect::<Vec<_>>() {
            self.hosts[index].gossip.observe_failed_call(address, now);
        }
        self.failing_calls.retain(|(at, ..)| *at > now);
    }

    fn call_from(&mut self, index: usize) {
        if !self.hosts[index].alive {
            return;
        }
        let now = self.now;
        let due = self.hosts[index].gossip.due_calls(now);
        let reports = self.hosts[index].gossip.reports_to(now).is_some();
        if self.hosts[index].reports && !reports {
            self.hosts[index].fleet.forget_neighbours();
            self.hosts[index].demand.forget_neighbours();
        }
        self.hosts[index].reports = reports;
        for address in due {
            match self.indices.get(&address).copied() {
                Some(callee) if self.reaches(index, callee) && self.view_delay.is_zero() => {
                    self.exchange(index, callee);
                }
                Some(callee) if self.reaches(index, callee) => self.exchange_late(index, callee),
                _ => self
                    .failing_calls
                    .push((now + CALL_TIMEOUT, index, address)),
            }
        }
    }

    fn reaches(&self, caller: usize, callee: usize) -> bool {
        let (from, to) = (&self.hosts[caller], &self.hosts[callee]);
        let partitioned = from.zone != to.zone
            && (self.partitioned.contains(&from.zone) || self.partitioned.contains(&to.zone));
        let isolated = self.isolated.contains(&caller) || self.isolated.contains(&callee);
        to.alive && !partitioned && !isolated
    }

    fn exchange(&mut self, caller: usize, callee: usize) {
        let now = self.now;
        let address = self.hosts[callee].address;
        let request = self.hosts[caller].gossip.request_view(address, now);
        let request = self.complete(caller, request, None, address);
        self.receive(callee, &request);
        let reply = self.hosts[callee].gossip.reply_view(&request, now);
        let reply = self.complete(callee, reply, Some(&request.host), request.address);
        self.receive(caller, &reply);
        let bytes = view_bytes(&request) + view_bytes(&reply);
        for index in [caller, callee] {
            self.hosts[index].exchanges += 1;
            self.hosts[index].bytes += bytes;
        }
    }

    fn complete(
        &self,
        index: usize,
        view: HostView,
        listener: Option<&HostId>,
        address: SocketAddr,
    ) -> HostView {
        let host = &self.hosts[index];
        let usage = host.fleet.usage(view.scope, listener);
        let poison = host.poison.delta_for(address, self.now);
        let demand = host.demand.report(view.scope, listener, self.now);
        let ended = host.fleet.ended_targets(self.now);
        HostView {
            usage,
            poison,
            demand,
            ended,
            ..view
        }
    }

    /// Exchanges views that take [`Self::view_delay`] each.
    fn exchange_late(&mut self, caller: usize, callee: usize) {
        let (now, address) = (self.now, self.hosts[callee].address);
        let request = self.hosts[caller].gossip.request_view(address, now);
        let view = self.complete(caller, request, None, address);
        self.late_views.push(LateView {
            arrival: now + self.view_delay,
            recipient: callee,
            caller: Some(caller),
            view,
        });
        if self.view_delay * 2 > CALL_TIMEOUT {
            self.failing_calls
                .push((now + CALL_TIMEOUT, caller, address));
        }
    }

    fn deliver_views(&mut self) {
        let now = self.now;
        let due = self.late_views.extract_if(.., |late| late.arrival <= now);
        for late in due.collect::<Vec<_>>() {
            if !self.hosts[late.recipient].alive {
                continue;
            }
            self.receive(late.recipient, &late.view);
            let Some(caller) = late.caller.filter(|_| self.view_delay * 2 <= CALL_TIMEOUT) else {
                continue;
            };
            let (callee, request) = (late.recipient, &late.view);
            let reply = self.hosts[callee].gossip.reply_view(request, now);
            let reply = self.complete(callee, reply, Some(&request.host), request.address);
            self.late_views.push(LateView {
                arrival: now + self.view_delay,
                recipient: caller,
                caller: None,
                view: reply,
            });
        }
    }

    fn receive(&mut self, index: usize, view: &HostView) {
        let now = self.now;
        let host = &mut self.hosts[index];
        if !host.gossip.observe_view(view, now) {
            return;
        }
        host.poison
            .apply_delta(view.address, view.incarnation, &view.poison, now);
        host.fleet.observe_ended(&view.ended, now);
        let source = UsageSource::of(view.scope, &view.host, &view.zone, &host.zone);
        if let Some(source) = source {
            host.fleet
                .observe_usage(source.clone(), view.usage.clone(), now);
            host.demand.observe(source, view.demand.clone(), now);
        }
    }
}

/// Returns the size of a view on the wire in bytes.
fn view_bytes(view: &HostView) -> usize {
    VIEW_BYTES
        + USAGE_BYTES * view.usage.len()
        + LISTED_BYTES * view.listing.hosts.len()
        + COUNT_BYTES * view.counts.len()
        + EVIDENCE_BYTES * view.poison.evidence.len()
        + DEMAND_BYTES * usize::from(!view.demand.is_empty())
        + PRIORITY_BYTES * view.demand.priorities.len()
        + ORGANISATION_BYTES * view.demand.organisations.len()
        + ENDED_BYTES * view.ended.len()
}
