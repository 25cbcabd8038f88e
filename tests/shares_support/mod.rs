//! Model of two zones of hosts that divide one organisation's capacity, with a log and
//! messages that may be late, lost or duplicated.
#![allow(dead_code, unreachable_pub, missing_docs)]

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use jackdawwick::ids::{LogOffset, OrganisationId, ZoneId};
use jackdawwick::peer::PeerGrant;
use jackdawwick::shares::{
    AllotmentBody, AllotmentLedger, AllotmentOutcome, GrantHolder, GrantSettings, ShareReport,
    ShareUnits, ShareUsage, SplitRecord, ZoneShares, even_split,
};

pub const ORGANISATION: &str = "acme";
pub const BOUGHT: ShareUnits = ShareUnits::new(12, 60);
pub const ZONES: [&str; 2] = ["vake", "didube"];
pub const HOSTS_PER_ZONE: usize = 3;
pub const HOSTS: usize = ZONES.len() * HOSTS_PER_ZONE;

pub fn organisation() -> OrganisationId {
    ORGANISATION.into()
}

pub fn zones() -> BTreeSet<ZoneId> {
    ZONES.iter().map(|zone| ZoneId::from(*zone)).collect()
}

/// One process of the model: its part of the division and the load of its callers.
pub struct ModelHost {
    pub zone: ZoneId,
    pub holder: GrantHolder,
    pub shares: ZoneShares,
    pub in_flight: u32,
    pub waiting: u32,
    pub wanted_rate: u32,
    pub sequence: u64,
    pub read_to: usize,
    pub holds_expiring: bool,
}

pub struct SentReport {
    pub to: GrantHolder,
    pub from: GrantHolder,
    pub sequence: u64,
    pub report: ShareReport,
    pub sent_at: Instant,
}

pub struct SentReply {
    pub to: GrantHolder,
    pub lease: LogOffset,
    pub grants: Vec<PeerGrant>,
    pub sent_at: Instant,
}

/// All hosts of two zones, their log, and messages and appends in transit.
pub struct ShareModel {
    pub now: Instant,
    pub hosts: Vec<ModelHost>,
    pub log: Vec<AllotmentBody>,
    pub reference: AllotmentLedger,
    pub appending: Vec<AllotmentBody>,
    pub reports: Vec<SentReport>,
    pub replies: Vec<SentReply>,
    /// Last lease of each zone.
    pub leases: BTreeMap<ZoneId, LogOffset>,
    pub lease_holders: BTreeMap<LogOffset, GrantHolder>,
    pub next_lease: LogOffset,
    pub next_incarnation: u64,
    pub removed: Vec<GrantHolder>,
}

impl ShareModel {
    pub fn new() -> Self {
        let mut model = Self {
            now: Instant::now(),
            hosts: Vec::new(),
            log: Vec::new(),
            reference: AllotmentLedger::default(),
            appending: Vec::new(),
            reports: Vec::new(),
            replies: Vec::new(),
            leases: BTreeMap::new(),
            lease_holders: BTreeMap::new(),
            next_lease: 1,
            next_incarnation: 1,
            removed: Vec::new(),
        };
        model.reference.set_declared(declared(), zones());
        for index in 0..HOSTS {
            let host = model.start(index);
            model.hosts.push(host);
        }
        model
    }

    pub fn start(&mut self, index: usize) -> ModelHost {
        let zone = ZoneId::from(ZONES[index / HOSTS_PER_ZONE]);
        let holder = GrantHolder {
            host: format!("{zone}-{index}").into(),
            incarnation: self.next_incarnation,
        };
        self.next_incarnation += 1;
        let settings = GrantSettings::default();
        let mut shares = ZoneShares::new(settings, zone.clone(), holder.clone(), self.now);
        shares.set_declared(declared(), zones());
        ModelHost {
            zone,
            holder,
            shares,
            in_flight: 0,
            waiting: 0,
            wanted_rate: 0,
            sequence: 0,
            read_to: 0,
            holds_expiring: false,
        }
    }

    pub fn index_of(&self, holder: &GrantHolder) -> Option<usize> {
        self.hosts.iter().position(|host| host.holder == *holder)
    }

    pub fn kill(&mut self, index: usize) {
        let started = self.start(index);
        let killed = std::mem::replace(&mut self.hosts[index], started);
        self.removed.push(killed.holder);
    }

    pub fn take_lease(&mut self, index: usize) {
        let lease = self.next_lease;
        self.next_lease += 1;
        let host = &mut self.hosts[index];
        host.shares.observe_lease(lease, true);
        self.leases.insert(host.zone.clone(), lease);
        self.lease_holders.insert(lease, host.holder.clone());
    }

    pub fn observe_last_lease(&mut self, index: usize) {
        let host = &mut self.hosts[index];
        if let Some(lease) = self.leases.get(&host.zone) {
            host.shares.observe_lease(*lease, false);
        }
    }

    pub fn observe_removals(&mut self, index: usize) {
        for holder in &self.removed {
            self.hosts[index].shares.observe_removed(holder, self.now);
        }
    }

    pub fn append(&mut self, body: AllotmentBody) {
        let offset = self.log.len() as LogOffset;
        self.reference.apply(offset, &body);
        self.log.push(body);
    }

    pub fn read(&mut self, index: usize, count: usize) {
        let host = &mut self.hosts[index];
        let end = self.log.len().min(host.read_to + count);
        for offset in host.read_to..end {
            let outcome = host
                .shares
                .apply(offset as LogOffset, &self.log[offset], self.now);
            assert_ne!(outcome, AllotmentOutcome::Gap);
        }
        host.read_to = end;
    }

    pub fn tick(&mut self, index: usize) {
        let bodies = self.hosts[index].shares.tick(self.now);
        self.appending.extend(bodies);
    }

    /// Advances time. All processes except `frozen` go on running, without exchanging
    /// messages.
    pub fn wait(&mut self, time: Duration, frozen: Option<usize>) {
        let end = self.now + time;
        while self.now < end {
            self.now = end.min(self.now + Duration::from_millis(500));
            for index in (0..HOSTS).filter(|index| Some(*index) != frozen) {
                self.tick(index);
            }
        }
    }

    pub fn report(&mut self, index: usize) {
        let now = self.now;
        let host = &mut self.hosts[index];
        let usage = BTreeMap::from([(
            organisation(),
            ShareUsage {
                in_flight: host.in_flight,
                waiting: host.waiting,
                wanted_rate: host.wanted_rate,
            },
        )]);
        let Some(lease) = host.shares.lease() else {
            return;
        };
        let to = &self.lease_holders[&lease];
        if *to == host.holder {
            host.shares.report_to_self(&usage, now);
            return;
        }
        let Some(report) = host.shares.report(&usage, now) else {
            return;
        };
        host.sequence += 1;
        self.reports.push(SentReport {
            to: to.clone(),
            from: host.holder.clone(),
            sequence: host.sequence,
            report,
            sent_at: now,
        });
    }

    pub fn deliver_report(&mut self, index: usize) {
        let sent = self.reports.remove(index);
        let now = self.now;
        let Some(to) = self.index_of(&sent.to) else {
            return;
        };
        let shares = &mut self.hosts[to].shares;
        let reply = shares.observe_report(&sent.from, sent.sequence, &sent.report, false, now);
        if let Some(grants) = reply {
            self.replies.push(SentReply {
                to: sent.from,
                lease: sent.report.lease,
                grants,
                sent_at: sent.sent_at,
            });
        }
    }

    pub fn deliver_reply(&mut self, index: usize) {
        let reply = self.replies.remove(index);
        let Some(to) = self.index_of(&reply.to) else {
            return;
        };
        let host = &mut self.hosts[to];
        if let Some(grant) = reply.grants.last() {
            host.holds_expiring = grant.expires_after.is_some();
        }
        host.shares
            .observe_reply(reply.lease, &reply.grants, reply.sent_at);
    }

    pub fn work(&mut self, index: usize, wanted: u32, ended: u32) {
        let now = self.now;
        let host = &mut self.hosts[index];
        host.in_flight -= ended.min(host.in_flight);
        let limit = host.shares.limit(ORGANISATION, now).concurrent_requests;
        let started = wanted.min(limit.saturating_sub(host.in_flight));
        host.in_flight += started;
        host.waiting = wanted - started;
        host.wanted_rate = wanted * 3;
    }

    pub fn split(&mut self, first_zone: u32) {
        let part = |all: u32| all * first_zone / 4;
        let first_units = ShareUnits::new(
            part(BOUGHT.concurrent_requests),
            part(BOUGHT.requests_per_minute),
        );
        let known = self
            .log
            .iter()
            .rposition(|body| matches!(body, AllotmentBody::Split(_)));
        let shares = BTreeMap::from([
            (ZoneId::from(ZONES[0]), first_units),
            (ZoneId::from(ZONES[1]), BOUGHT - first_units),
        ]);
        self.append(AllotmentBody::Split(SplitRecord {
            organisation: organisation(),
            version: 0,
            based_on: known.map(|offset| offset as LogOffset),
            bought: BOUGHT,
            assumed: even_split(BOUGHT, &zones()),
            shares,
        }));
    }

    /// Runs a round of the zone without faults. Most random orders of events make little
    /// progress, so some steps run in order.
    pub fn round(&mut self, zone: usize) {
        let hosts = zone * HOSTS_PER_ZONE..(zone + 1) * HOSTS_PER_ZONE;
        for index in hosts {
            self.observe_last_lease(index);
            self.exchange(index);
        }
    }

    /// Runs one host's part of a round: its appends are written, it reads the log and
    /// reports to the last lease holder that it knows.
    pub fn exchange(&mut self, index: usize) {
        let earlier = self.appending.len();
        self.tick(index);
        while self.appending.len() > earlier {
            let body = self.appending.remove(earlier);
            self.append(body);
        }
        self.read(index, self.log.len());
        let earlier = (self.reports.len(), self.replies.len());
        self.report(index);
        if self.reports.len() > earlier.0 {
            self.deliver_report(earlier.0);
        }
        if self.replies.len() > earlier.1 {
            self.deliver_reply(earlier.1);
        }
    }

    /// Returns the sum of what hosts may use or do use. The one exception are requests
    /// that began under an expired grant, which run to their end.
    pub fn used(&self) -> ShareUnits {
        self.hosts
            .iter()
            .map(|host| {
                let limit = host.shares.limit(ORGANISATION, self.now);
                let running = if host.holds_expiring {
                    0
                } else {
                    host.in_flight
                };
                limit.higher(ShareUnits::new(running, 0))
            })
            .sum()
    }

    /// Runs without faults until nothing changes any more.
    pub fn settle(&mut self) {
        self.run_without_faults(60);
    }

    pub fn run_without_faults(&mut self, rounds: usize) {
        self.reports.clear();
        self.replies.clear();
        for zone in 0..ZONES.len() {
            self.take_lease(zone * HOSTS_PER_ZONE);
        }
        for _ in 0..rounds {
            self.now += Duration::from_millis(500);
            for index in 0..HOSTS {
                self.observe_removals(index);
            }
            for zone in 0..ZONES.len() {
                self.round(zone);
            }
        }
    }
}

pub fn declared() -> BTreeMap<OrganisationId, ShareUnits> {
    BTreeMap::from([(organisation(), BOUGHT)])
}
