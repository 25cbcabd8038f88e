//! Ways to divide a limit among hosts.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use jackdawwick::permits::{
    LimitRecord, PermitIssuer, PermitPool, PermitReply, PermitRequest, RateLimit, issued_share,
    issuing_host,
};
use rand::RngExt;

use super::world::{Game, World};

/// Pause between two exchanges of what hosts sent and held back.
const EXCHANGE_PAUSE: Duration = Duration::from_millis(250);
/// Time within which the demand of other hosts is smoothed.
const SMOOTHING: f64 = 0.5;
/// A call between two hosts, both ways.
const ROUND_TRIP: Duration = Duration::from_millis(2);
/// Pause after a question that was not answered, and how long requests wait.
const UNANSWERED_PAUSE: Duration = Duration::from_millis(500);
const PATIENCE: Duration = Duration::from_millis(100);

/// A way to divide a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Way {
    /// Each host keeps the whole limit by itself.
    Copied,
    /// Each host has the same part, by the hosts that it takes to be alive.
    Equal,
    /// Each host has a part by what it and the others have to send.
    Demand,
    /// One host hands out permits.
    Issued,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SendVerdict {
    At(Instant),
    Withheld,
}

/// A bucket that begins empty and holds at most one permit.
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

/// What all hosts hold.
pub(crate) struct Division {
    way: Way,
    targets: usize,
    buckets: HashMap<(usize, usize), Bucket>,
    /// Requests since the last exchange, and a second as it was then, of each host.
    asked: Vec<Vec<f64>>,
    wanted: Vec<Vec<f64>>,
    /// What each host heard of the others' demand.
    heard: Vec<Vec<f64>>,
    exchanged: Option<Instant>,
    issuers: Vec<PermitIssuer>,
    pools: Vec<PermitPool>,
    withheld: HashMap<(usize, usize), Instant>,
    calls: Vec<usize>,
}

impl Division {
    pub(crate) fn new(game: &Game) -> Self {
        let table = vec![vec![0.0; game.targets]; game.hosts];
        Self {
            way: game.way,
            targets: game.targets,
            buckets: HashMap::new(),
            asked: table.clone(),
            wanted: table.clone(),
            heard: table,
            exchanged: None,
            issuers: (0..game.hosts).map(|_| PermitIssuer::default()).collect(),
            pools: (0..game.hosts).map(|_| PermitPool::default()).collect(),
            withheld: HashMap::new(),
            calls: vec![0; game.hosts],
        }
    }

    /// A host starts again and knows nothing.
    pub(crate) fn restart(&mut self, host: usize) {
        self.buckets.retain(|(of, _), _| *of != host);
        self.withheld.retain(|(of, _), _| *of != host);
        self.asked[host].fill(0.0);
        self.wanted[host].fill(0.0);
        self.heard[host].fill(0.0);
        self.issuers[host] = PermitIssuer::default();
        self.pools[host] = PermitPool::default();
    }

    /// A request to a target that has named no limit yet.
    pub(crate) fn send_freely(&mut self, host: usize, target: usize, now: Instant) -> SendVerdict {
        self.asked[host][target] += 1.0;
        self.pools[host].count_unpermitted(target as u64, now);
        SendVerdict::At(now)
    }

    /// A request to a limited target.
    pub(crate) fn ask(&mut self, world: &mut World, host: usize, target: usize) -> SendVerdict {
        let limit = world.believed_limit(host);
        self.asked[host][target] += 1.0;
        let now = world.now;
        let rate = match self.way {
            Way::Issued => return self.ask_issuer(world, host, target),
            Way::Copied => limit,
            Way::Equal => {
                let hosts = 0..world.names.len();
                let live = hosts.filter(|other| world.believes_alive(host, *other));
                limit / live.count() as f64
            }
            Way::Demand => {
                let own = self.wanted[host][target];
                limit * own / (own + self.heard[host][target]).max(f64::MIN_POSITIVE)
            }
        };
        let bucket = self.buckets.entry((host, target)).or_default();
        match bucket.take(rate, now) {
            true => SendVerdict::At(now),
            false => SendVerdict::Withheld,
        }
    }

    /// Hosts tell each other what they had to send, a little late; some words are lost.
    pub(crate) fn exchange(&mut self, world: &mut World) {
        let due = self
            .exchanged
            .is_none_or(|at| world.now >= at + EXCHANGE_PAUSE);
        if self.way != Way::Demand || !due {
            return;
        }
        self.exchanged = Some(world.now);
        let before = self.wanted.clone();
        for host in 0..world.names.len() {
            for target in 0..self.targets {
                let rate = self.asked[host][target] / EXCHANGE_PAUSE.as_secs_f64();
                let wanted = &mut self.wanted[host][target];
                *wanted += (rate - *wanted) * SMOOTHING;
                self.asked[host][target] = 0.0;
            }
            self.calls[host] += 2;
            if world.random.random_bool(world.loss) {
                continue;
            }
            let others = 0..world.names.len();
            let others = others.filter(|other| {
                *other != host && world.alive[*other] && world.cut[*other] == world.cut[host]
            });
            let others = others.collect::<Vec<_>>();
            for (target, heard) in self.heard[host].iter_mut().enumerate() {
                *heard = others.iter().map(|other| before[*other][target]).sum();
            }
        }
    }

    /// A host hears of a limit, and tells what it sent before.
    pub(crate) fn tell_sends(&mut self, world: &mut World, host: usize, target: usize) {
        let unpermitted = self.pools[host].unpermitted(target as u64, world.now);
        if self.way == Way::Issued && !unpermitted.is_empty() {
            self.question(world, host, target, 0);
        }
    }

    fn ask_issuer(&mut self, world: &mut World, host: usize, target: usize) -> SendVerdict {
        let (now, key) = (world.now, target as u64);
        if let Some(from) = self.pools[host].take(key, PATIENCE, now) {
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
        let answer = self.question(world, host, target, wanted);
        self.pools[host].put(key, answer, now + ROUND_TRIP);
        if let PermitReply::Withheld { retry_after } = answer {
            self.withheld.insert((host, target), now + retry_after);
        }
        match self.pools[host].take(key, PATIENCE * 2, now) {
            Some(from) => SendVerdict::At(from.max(now + ROUND_TRIP)),
            None => SendVerdict::Withheld,
        }
    }

    fn question(
        &mut self,
        world: &mut World,
        host: usize,
        target: usize,
        wanted: u32,
    ) -> PermitReply {
        let (now, key) = (world.now, target as u64);
        let withheld = PermitReply::Withheld {
            retry_after: UNANSWERED_PAUSE,
        };
        let Some(issuer) = believed_issuer(world, host, key) else {
            return withheld;
        };
        self.calls[host] += 1;
        self.calls[issuer] += 1;
        let is_issuer = believed_issuer(world, issuer, key) == Some(issuer);
        if !world.reaches(host, issuer) || !is_issuer {
            return withheld;
        }
        let question = PermitRequest {
            host: world.names[host].clone(),
            zone: "z".into(),
            limit: LimitRecord {
                target: key,
                rate: RateLimit::new(world.believed_limit(host)),
                sent_age: Duration::ZERO,
                received_age: Duration::ZERO,
            },
            wanted,
            max_wait: PATIENCE,
            unpermitted: self.pools[host].unpermitted(key, now),
            relayed: false,
        };
        let hosts = 0..world.names.len();
        let live = hosts.filter(|other| world.believes_alive(issuer, *other));
        let part = issued_share(live.count(), world.names.len());
        // Whoever has heard of the lower limit tells the other with the question.
        let limit = world.believed_limit(host).min(world.believed_limit(issuer));
        let limit = RateLimit::new(limit).expect("a valid rate");
        self.issuers[issuer].handle_request(&question, limit, part, now)
    }

    /// Calls of all hosts, and of the busiest.
    pub(crate) fn calls(&self) -> (usize, usize) {
        let busiest = self.calls.iter().copied().max();
        (self.calls.iter().sum(), busiest.unwrap_or(0))
    }
}

/// The host that another one takes for the one that hands out permits for a target.
fn believed_issuer(world: &World, host: usize, target: u64) -> Option<usize> {
    let hosts = 0..world.names.len();
    let live = hosts.filter(|other| world.believes_alive(host, *other));
    let names = live.map(|other| world.names[other].clone());
    let chosen = issuing_host(target, &names.collect::<Vec<_>>())?;
    world.names.iter().position(|name| *name == chosen)
}
