//! Strategies that divide a rate limit among hosts.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use jackdawwick::permits::{
    LimitRecord, PermitIssuer, PermitPool, PermitReply, PermitRequest, RateLimit, issued_share,
    issuing_host,
};
use rand::RngExt;

use super::simulation::{Cluster, Scenario};

/// Interval at which hosts exchange their demand.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(250);
/// Weight of the new value in the moving average of a host's demand.
const SMOOTHING: f64 = 0.5;
/// Round-trip time of a call between two hosts.
const ROUND_TRIP: Duration = Duration::from_millis(2);
/// Delay after a request for permits that failed, and the time for which requests wait.
const FAILED_CALL_DELAY: Duration = Duration::from_millis(500);
const MAX_WAIT: Duration = Duration::from_millis(100);

/// A strategy that divides a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Strategy {
    /// Each host applies the whole limit.
    Copied,
    /// Each host has an equal share, by the number of hosts that it takes to be alive.
    Equal,
    /// Each host has a share in proportion to its demand.
    Demand,
    /// One host issues permits to all hosts.
    Issued,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SendVerdict {
    At(Instant),
    Withheld,
}

/// A token bucket that starts empty and holds at most one permit.
#[derive(Debug, Clone, Copy, Default)]
struct Bucket {
    filled: f64,
    at: Option<Instant>,
}

impl Bucket {
    fn take(&mut self, rate: f64, now: Instant) -> bool {
        let passed = self.at.map_or(0.0, |at| (now - at).as_secs_f64());
        self.filled = (self.filled + passed * rate).min(1.0);
        self.at = Some(now);
        let taken = self.filled >= 1.0;
        self.filled -= f64::from(u8::from(taken));
        taken
    }
}

/// State of all hosts under a strategy.
pub(crate) struct Division {
    strategy: Strategy,
    targets: usize,
    buckets: HashMap<(usize, usize), Bucket>,
    /// Requests of each host since the last exchange, and its demand per second as of
    /// then.
    requested: Vec<Vec<f64>>,
    wanted: Vec<Vec<f64>>,
    /// Demand of the other hosts, as each host received it.
    received: Vec<Vec<f64>>,
    exchanged: Option<Instant>,
    issuers: Vec<PermitIssuer>,
    pools: Vec<PermitPool>,
    withheld: HashMap<(usize, usize), Instant>,
    calls: Vec<usize>,
}

impl Division {
    pub(crate) fn new(scenario: &Scenario) -> Self {
        let table = vec![vec![0.0; scenario.targets]; scenario.hosts];
        Self {
            strategy: scenario.strategy,
            targets: scenario.targets,
            buckets: HashMap::new(),
            requested: table.clone(),
            wanted: table.clone(),
            received: table,
            exchanged: None,
            issuers: (0..scenario.hosts)
                .map(|_| PermitIssuer::default())
                .collect(),
            pools: (0..scenario.hosts).map(|_| PermitPool::default()).collect(),
            withheld: HashMap::new(),
            calls: vec![0; scenario.hosts],
        }
    }

    /// Restarts a host without its state.
    pub(crate) fn restart(&mut self, host: usize) {
        self.buckets.retain(|(owner, _), _| *owner != host);
        self.withheld.retain(|(owner, _), _| *owner != host);
        self.requested[host].fill(0.0);
        self.wanted[host].fill(0.0);
        self.received[host].fill(0.0);
        self.issuers[host] = PermitIssuer::default();
        self.pools[host] = PermitPool::default();
    }

    /// Sends a request to a target that has not advertised a limit yet.
    pub(crate) fn send_unlimited(
        &mut self,
        host: usize,
        target: usize,
        now: Instant,
    ) -> SendVerdict {
        self.requested[host][target] += 1.0;
        self.pools[host].count_unpermitted(target as u64, now);
        SendVerdict::At(now)
    }

    /// Sends a request to a rate-limited target.
    pub(crate) fn send_limited(
        &mut self,
        cluster: &mut Cluster,
        host: usize,
        target: usize,
    ) -> SendVerdict {
        let limit = cluster.believed_limit(host);
        self.requested[host][target] += 1.0;
        let now = cluster.now;
        let rate = match self.strategy {
            Strategy::Issued => return self.send_with_permit(cluster, host, target),
            Strategy::Copied => limit,
            Strategy::Equal => {
                let hosts = 0..cluster.names.len();
                let live = hosts.filter(|other| cluster.believes_alive(host, *other));
                limit / live.count() as f64
            }
            Strategy::Demand => {
                let own = self.wanted[host][target];
                limit * own / (own + self.received[host][target]).max(f64::MIN_POSITIVE)
            }
        };
        let bucket = self.buckets.entry((host, target)).or_default();
        match bucket.take(rate, now) {
            true => SendVerdict::At(now),
            false => SendVerdict::Withheld,
        }
    }

    /// Exchanges the demand between hosts, with a delay; some of the calls are lost.
    pub(crate) fn exchange(&mut self, cluster: &mut Cluster) {
        let due = self
            .exchanged
            .is_none_or(|at| cluster.now >= at + EXCHANGE_INTERVAL);
        if self.strategy != Strategy::Demand || !due {
            return;
        }
        self.exchanged = Some(cluster.now);
        let before = self.wanted.clone();
        for host in 0..cluster.names.len() {
            for target in 0..self.targets {
                let rate = self.requested[host][target] / EXCHANGE_INTERVAL.as_secs_f64();
                let wanted = &mut self.wanted[host][target];
                *wanted += (rate - *wanted) * SMOOTHING;
                self.requested[host][target] = 0.0;
            }
            self.calls[host] += 2;
            if cluster.random.random_bool(cluster.loss) {
                continue;
            }
            let others = 0..cluster.names.len();
            let others = others.filter(|other| {
                *other != host
                    && cluster.alive[*other]
                    && cluster.partitioned[*other] == cluster.partitioned[host]
            });
            let others = others.collect::<Vec<_>>();
            for (target, received) in self.received[host].iter_mut().enumerate() {
                *received = others.iter().map(|other| before[*other][target]).sum();
            }
        }
    }

    /// Reports the requests that a host sent to a target before it knew the limit.
    pub(crate) fn report_sends(&mut self, cluster: &mut Cluster, host: usize, target: usize) {
        let unpermitted = self.pools[host].unpermitted(target as u64, cluster.now);
        if self.strategy == Strategy::Issued && !unpermitted.is_empty() {
            self.request_permits(cluster, host, target, 0);
        }
    }

    fn send_with_permit(
        &mut self,
        cluster: &mut Cluster,
        host: usize,
        target: usize,
    ) -> SendVerdict {
        let (now, key) = (cluster.now, target as u64);
        if let Some(from) = self.pools[host].take(key, MAX_WAIT, now) {
            return SendVerdict::At(from.max(now));
        }
        if self
            .withheld
            .get(&(host, target))
            .is_some_and(|until| now < *until)
        {
            return SendVerdict::Withheld;
        }
        let wanted = self.pools[host].wanted(key, now);
        let reply = self.request_permits(cluster, host, target, wanted);
        self.pools[host].put(key, reply, now + ROUND_TRIP);
        if let PermitReply::Withheld { retry_after } = reply {
            self.withheld.insert((host, target), now + retry_after);
        }
        match self.pools[host].take(key, MAX_WAIT * 2, now) {
            Some(from) => SendVerdict::At(from.max(now + ROUND_TRIP)),
            None => SendVerdict::Withheld,
        }
    }

    fn request_permits(
        &mut self,
        cluster: &mut Cluster,
        host: usize,
        target: usize,
        wanted: u32,
    ) -> PermitReply {
        let (now, key) = (cluster.now, target as u64);
        let withheld = PermitReply::Withheld {
            retry_after: FAILED_CALL_DELAY,
        };
        let Some(issuer) = believed_issuer(cluster, host, key) else {
            return withheld;
        };
        self.calls[host] += 1;
        self.calls[issuer] += 1;
        let is_issuer = believed_issuer(cluster, issuer, key) == Some(issuer);
        if !cluster.reaches(host, issuer) || !is_issuer {
            return withheld;
        }
        let request = PermitRequest {
            host: cluster.names[host].clone(),
            zone: "z".into(),
            limit: LimitRecord {
                target: key,
                rate: RateLimit::new(cluster.believed_limit(host)),
                sent_age: Duration::ZERO,
                received_age: Duration::ZERO,
            },
            wanted,
            max_wait: MAX_WAIT,
            unpermitted: self.pools[host].unpermitted(key, now),
            relayed: false,
        };
        let hosts = 0..cluster.names.len();
        let live = hosts.filter(|other| cluster.believes_alive(issuer, *other));
        let share = issued_share(live.count(), cluster.names.len());
        // The host that knows the lower limit passes it on with the request.
        let limit = cluster
            .believed_limit(host)
            .min(cluster.believed_limit(issuer));
        let limit = RateLimit::new(limit).expect("a valid rate");
        self.issuers[issuer].handle_request(&request, limit, share, now)
    }

    /// Returns the number of calls of all hosts, and of the busiest one.
    pub(crate) fn calls(&self) -> (usize, usize) {
        let busiest = self.calls.iter().copied().max();
        (self.calls.iter().sum(), busiest.unwrap_or(0))
    }
}

/// Returns the host that `host` takes for the issuer of the permits for a target.
fn believed_issuer(cluster: &Cluster, host: usize, target: u64) -> Option<usize> {
    let hosts = 0..cluster.names.len();
    let live = hosts.filter(|other| cluster.believes_alive(host, *other));
    let names = live.map(|other| cluster.names[other].clone());
    let chosen = issuing_host(target, &names.collect::<Vec<_>>())?;
    cluster.names.iter().position(|name| *name == chosen)
}
