//! Compares ways to decide which requests start when callers of different priorities
//! compete, with many hosts that learn of each other's requests late.

// The comparison prints its figures.
#![allow(clippy::print_stdout)]

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use jackdawwick::admission::start::{
    PathOutlook, RankFloors, RankObjective, ServiceRanks, StartContext, StartQueue, StartRequest,
    StartVerdict, WaitingRequest, decide,
};
use jackdawwick::capacity::{OrganisationDemand, PriorityDemand, ZoneCapacity};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const HOSTS: usize = 88;
const ENGINES: usize = 8;
const SLOTS: usize = 192;
/// Requests that an engine queues beyond its slots.
const QUEUE: usize = 160;
const SERVICE_MS: f64 = 24.0 * SLOTS as f64;
const RATES: [f64; 3] = [143.0, 79.5, 49.0];
const OBJECTIVES_MS: [u64; 3] = [500, 500, 1000];
const END_MS: u64 = 30_000;
const STEP_MS: u64 = 5;

/// Requests a second of a rank: first the least urgent one asks for five times as much,
/// then the most urgent one for 1.6 times, which fits the 333 a second of the engines.
fn rate(rank: usize, now: u64) -> f64 {
    RATES[rank]
        * match (rank, now) {
            (2, 8_000..14_000) => 5.0,
            (0, 12_000..18_000) => 1.6,
            _ => 1.0,
        }
}

fn ranks() -> ServiceRanks {
    let ranks = (0..)
        .zip(OBJECTIVES_MS)
        .map(|(priority, objective)| RankObjective {
            priority,
            objective: Duration::from_millis(objective),
        });
    ServiceRanks::new(ranks.collect()).expect("two ranks")
}

/// What a host reads when it decides.
struct HostView<'a> {
    rank: usize,
    is_returning: bool,
    expected_ms: f64,
    zone: &'a ZoneCapacity,
    floors: &'a RankFloors,
    own_in_flight: usize,
    draw: f64,
}

type Method = fn(&HostView<'_>) -> bool;

fn as_now(_: &HostView<'_>) -> bool {
    true
}

fn kept_free(view: &HostView<'_>) -> bool {
    let priority = view.rank as u8;
    let request = StartRequest {
        priority,
        organisation: 0,
        objective: Duration::from_millis(OBJECTIVES_MS[view.rank]),
        age: Duration::ZERO,
        left: Duration::from_secs(20),
        is_returning: view.is_returning,
        is_admitted: false,
    };
    let outlook = PathOutlook {
        first_event: Duration::from_secs_f64(view.expected_ms / 1000.0),
        full: false,
    };
    let context = StartContext {
        ranks: &ranks(),
        zone: Some(view.zone),
        home: None,
        floor_due: view.floors.is_due(priority),
        waiting_above: false,
    };
    decide(&request, outlook, context).verdict == StartVerdict::Start
}

/// Each host uses an equal share of the capacity, less a part for each more urgent rank.
fn host_share(view: &HostView<'_>) -> bool {
    let share = view.zone.concurrent / HOSTS as f64;
    let kept = 0.15 * view.rank as f64;
    view.floors.is_due(view.rank as u8) || (view.own_in_flight as f64) < share * (1.0 - kept)
}

/// Starts the part of each rank for which capacity is left after the ranks above.
fn demand_fraction(view: &HostView<'_>) -> bool {
    let capacity = view.zone.concurrent / SERVICE_MS * 1000.0;
    let above = &view.zone.demand[..view.rank];
    let left = capacity - above.iter().map(|part| part.arrivals_per_s).sum::<f64>();
    let own = view.zone.demand[view.rank].arrivals_per_s.max(1.0);
    view.rank == 0 || view.floors.is_due(view.rank as u8) || view.draw < left / own
}

#[derive(Debug, Default, Clone, Copy)]
struct RankResult {
    asked: f64,
    on_time: f64,
    served: f64,
}

#[derive(Clone, Copy)]
struct Running {
    host: usize,
    rank: usize,
    arrived: u64,
}

#[derive(Default)]
struct Engine {
    ends: Vec<(u64, usize)>,
    queue: BTreeMap<(usize, u64), Running>,
}

struct Snapshot {
    loads: Vec<usize>,
    arrived: [f64; 3],
    refused: [f64; 3],
}

fn run(method: Method, seed: u64) -> [RankResult; 3] {
    let mut random = StdRng::seed_from_u64(seed);
    let base = Instant::now();
    let mut engines = (0..ENGINES).map(|_| Engine::default()).collect::<Vec<_>>();
    let mut floors = vec![RankFloors::default(); HOSTS];
    let mut own_starts = vec![Vec::<(u64, usize)>::new(); HOSTS];
    let mut own_in_flight = [0_usize; HOSTS];
    let mut history = Vec::<Snapshot>::new();
    let mut returning = BTreeSet::<(u64, u64, usize)>::new();
    let mut results = [RankResult::default(); 3];
    let (mut arrived, mut refused, mut next) = ([0.0; 3], [0.0; 3], 0_u64);
    for now in (0..END_MS).step_by(STEP_MS as usize) {
        let at = base + Duration::from_millis(now);
        for engine in &mut engines {
            engine.ends.retain(|(end, host)| {
                own_in_flight[*host] -= usize::from(*end <= now);
                *end > now
            });
            while engine.ends.len() < SLOTS {
                let Some((_, running)) = engine.queue.pop_first() else {
                    break;
                };
                let end = now + (SERVICE_MS * random.random_range(0.4..1.6)) as u64;
                engine.ends.push((end, running.host));
                let first = now + 80 - running.arrived;
                let is_on_time = first <= OBJECTIVES_MS[running.rank];
                results[running.rank].on_time += f64::from(u8::from(is_on_time));
                results[running.rank].served += 1.0;
            }
        }
        let loads = engines
            .iter()
            .map(|engine| engine.ends.len() + engine.queue.len());
        history.push(Snapshot {
            loads: loads.collect(),
            arrived,
            refused,
        });
        let mut asking = Vec::new();
        while returning.first().is_some_and(|(due, ..)| *due <= now) {
            asking.extend(returning.pop_first().map(|(_, _, rank)| (rank, true)));
        }
        for (rank, result) in results.iter_mut().enumerate() {
            let mut expected = rate(rank, now) * STEP_MS as f64 / 1000.0;
            while random.random::<f64>() < expected {
                asking.push((rank, false));
                result.asked += 1.0;
                expected -= 1.0;
            }
        }
        for (rank, is_returning) in asking {
            let host = random.random_range(0..HOSTS);
            let lag = 250 + (host as u64 * 37 + now / 250 * 131) % 750;
            let then = (now.saturating_sub(lag) / STEP_MS) as usize;
            let seen = &history[then];
            let before = &history[then.saturating_sub((1000 / STEP_MS) as usize)];
            let mut loads = seen.loads.clone();
            own_starts[host].retain(|(start, _)| start + lag > now);
            for (_, engine) in &own_starts[host] {
                loads[*engine] += 1;
            }
            let zone = ZoneCapacity {
                zone: "z".into(),
                concurrent: (ENGINES * SLOTS) as f64,
                in_flight: loads.iter().sum::<usize>() as f64,
                prompt_per_s: 0.0,
                unread: 0.0,
                demand: (0..3)
                    .map(|rank| PriorityDemand {
                        priority: rank as u8,
                        arrivals_per_s: seen.arrived[rank] - before.arrived[rank],
                        refused_per_s: seen.refused[rank] - before.refused[rank],
                        waiting: 0,
                    })
                    .collect(),
                organisations: Vec::new(),
                demand_age: Duration::from_millis(lag),
            };
            let over = |engine: usize| (loads[engine] + 1).saturating_sub(SLOTS) as f64;
            let costs = (0..ENGINES).map(|engine| {
                let cost = 20.0 + 0.2 * loads[engine] as f64 + 0.3 * 24.0 * over(engine);
                (cost * (1.0 + 0.3 * random.random::<f64>()), engine)
            });
            let (_, engine) = costs
                .min_by(|left, right| left.0.total_cmp(&right.0))
                .expect("engines");
            floors[host].count_arrival(rank as u8, at);
            arrived[rank] += 1.0;
            let starts = method(&HostView {
                rank,
                is_returning,
                expected_ms: 80.0 + 24.0 * over(engine),
                zone: &zone,
                floors: &floors[host],
                own_in_flight: own_in_flight[host],
                draw: random.random(),
            });
            if starts && engines[engine].queue.len() < QUEUE {
                next += 1;
                let running = Running {
                    host,
                    rank,
                    arrived: now,
                };
                engines[engine].queue.insert((rank, next), running);
                own_starts[host].push((now, engine));
                own_in_flight[host] += 1;
                floors[host].count_start(rank as u8, at);
            } else {
                refused[rank] += 1.0;
                if !is_returning {
                    next += 1;
                    returning.insert((now + random.random_range(2000..6000), next, rank));
                }
            }
        }
    }
    results
}

fn totals(method: Method) -> [RankResult; 3] {
    let mut sums = [RankResult::default(); 3];
    for seed in 0..4 {
        for (sum, result) in sums.iter_mut().zip(run(method, seed)) {
            sum.asked += result.asked;
            sum.on_time += result.on_time;
            sum.served += result.served;
        }
    }
    sums
}

fn on_time(results: &[RankResult; 3]) -> [f64; 3] {
    results.map(|result| result.on_time / result.asked)
}

/// Guards against the most urgent requests being late while less urgent ones take their
/// slots, as they do where every request starts; and against a rank that starves.
#[test]
fn the_most_urgent_rank_is_on_time_and_none_starves() {
    let methods: [(&str, Method); 4] = [
        ("as now", as_now),
        ("kept free by rank", kept_free),
        ("share of each host", host_share),
        ("fraction of demand", demand_fraction),
    ];
    let totals = methods.map(|(_, method)| totals(method));
    for ((name, _), results) in methods.iter().zip(&totals) {
        let served = results.map(|result| result.served / result.asked);
        println!(
            "{name}: on time {:.3?}, served {served:.3?}",
            on_time(results)
        );
    }
    let now = on_time(&totals[0]);
    assert!(now[0] < 0.98, "{now:?}");
    let results = totals[1];
    let ours = on_time(&results);
    assert!(ours[0] >= 0.98, "{ours:?}");
    assert!(
        ours[0] + 0.005 >= ours[1] && ours[1] + 0.005 >= ours[2],
        "{ours:?}"
    );
    let served = results.iter().map(|result| result.served).sum::<f64>();
    let asked = results.iter().map(|result| result.asked).sum::<f64>();
    for result in results {
        assert!(
            result.served / result.asked >= 0.25 * served / asked,
            "{results:?}"
        );
    }
}

/// Guards against a large organisation that takes all that its rank is served, so that the
/// small ones of the rank are refused as well.
#[test]
fn an_organisation_above_its_fair_share_needs_more_headroom() {
    let demand = |priority, refused_per_s| PriorityDemand {
        priority,
        arrivals_per_s: 60.0,
        refused_per_s,
        waiting: 0,
    };
    let organisation = |organisation, arrivals_per_s| OrganisationDemand {
        organisation,
        priority: 1,
        arrivals_per_s,
    };
    let zone = ZoneCapacity {
        zone: "z".into(),
        concurrent: 500.0,
        in_flight: 475.0,
        prompt_per_s: 0.0,
        unread: 0.0,
        demand: vec![demand(0, 0.0), demand(1, 30.0)],
        organisations: vec![organisation(1, 50.0), organisation(2, 5.0)],
        demand_age: Duration::ZERO,
    };
    let verdict = |organisation| {
        let request = StartRequest {
            priority: 1,
            organisation,
            objective: Duration::from_millis(500),
            age: Duration::ZERO,
            left: Duration::from_secs(20),
            is_returning: false,
            is_admitted: false,
        };
        let outlook = PathOutlook {
            first_event: Duration::from_millis(100),
            full: false,
        };
        let context = StartContext {
            ranks: &ranks(),
            zone: Some(&zone),
            home: None,
            floor_due: false,
            waiting_above: false,
        };
        decide(&request, outlook, context).verdict
    };
    assert_eq!(verdict(2), StartVerdict::Start);
    assert_eq!(verdict(3), StartVerdict::Start);
    assert!(matches!(verdict(1), StartVerdict::Refuse(_)));
}

/// Guards against an organisation that fills the queue and makes the others wait behind it,
/// against an order without ranks, and against an unbounded queue.
#[test]
fn the_queue_goes_by_rank_organisation_and_deadline() {
    let now = Instant::now();
    let waiting = |priority, organisation, left| WaitingRequest {
        service: "model".into(),
        priority,
        organisation,
        objective_at: now + Duration::from_millis(500),
        deadline: now + Duration::from_secs(left),
    };
    let mut queue = StartQueue::default();
    let less_urgent = queue.add(waiting(1, 3, 1)).expect("room");
    let large = [9, 8, 7].map(|left| queue.add(waiting(0, 1, left)).expect("room"));
    let small = queue.add(waiting(0, 2, 10)).expect("room");
    assert!(queue.waits_above("model", 1) && !queue.waits_above("model", 0));
    let mut order = Vec::new();
    while let Some(ticket) = queue.next("model", now) {
        queue.remove(ticket);
        queue.count_start(if ticket == small { 2 } else { 1 }, now);
        order.push(ticket);
    }
    assert_eq!(order, [large[2], small, large[1], large[0], less_urgent]);
    let added = (0..300).filter(|_| queue.add(waiting(0, 1, 1)).is_some());
    assert_eq!(added.count(), 256);
}

/// Guards against a rank that gets nothing while the ranks above it fill the capacity for
/// long, and against decisions that need a view: after a start of all hosts there is none.
#[test]
fn a_rank_keeps_its_floor_and_the_expected_time_decides_without_a_view() {
    let base = Instant::now();
    let mut floors = RankFloors::default();
    let mut started = 0;
    for index in 0..400 {
        let at = base + Duration::from_millis(100 * index);
        floors.count_arrival(0, at);
        floors.count_start(0, at);
        floors.count_arrival(2, at);
        if floors.is_due(2) {
            floors.count_start(2, at);
            started += 1;
        }
    }
    let overall = f64::from(400 + started) / 800.0;
    let share = f64::from(started) / 400.0;
    assert!((0.25 * overall..0.45 * overall).contains(&share), "{share}");
    let demand = [0, 1].map(|priority| PriorityDemand {
        priority,
        arrivals_per_s: 1.0,
        refused_per_s: 0.0,
        waiting: 0,
    });
    let zone = ZoneCapacity {
        demand: demand.to_vec(),
        ..free_zone()
    };
    let verdict_in = |zone, priority, first_event_ms, waiting_above| {
        let request = StartRequest {
            priority,
            organisation: 0,
            objective: Duration::from_millis(1000),
            age: Duration::ZERO,
            left: Duration::from_secs(20),
            is_returning: false,
            is_admitted: false,
        };
        let outlook = PathOutlook {
            first_event: Duration::from_millis(first_event_ms),
            full: false,
        };
        let context = StartContext {
            ranks: &ranks(),
            zone,
            home: None,
            floor_due: false,
            waiting_above,
        };
        decide(&request, outlook, context).verdict
    };
    let verdict = |priority, first_event_ms, waiting_above| {
        verdict_in(Some(&zone), priority, first_event_ms, waiting_above)
    };
    let limits = [
        (0, 5000, true),
        (1, 300, true),
        (1, 310, false),
        (2, 260, false),
    ];
    for (priority, first_event_ms, starts) in limits {
        let is_started = verdict(priority, first_event_ms, false) == StartVerdict::Start;
        assert_eq!(is_started, starts, "{priority} {first_event_ms}");
    }
    // A less urgent request does not take the room that a waiting one is tried for next.
    assert!(matches!(verdict(1, 100, true), StartVerdict::Refuse(_)));
    assert_eq!(verdict(0, 100, true), StartVerdict::Start);
    // Without a current view, requests start as if there were no ranks.
    assert_eq!(verdict_in(None, 2, 5000, false), StartVerdict::Start);
}

fn free_zone() -> ZoneCapacity {
    ZoneCapacity {
        zone: "zone-0".into(),
        concurrent: 1000.0,
        in_flight: 0.0,
        prompt_per_s: 1e5,
        unread: 0.0,
        demand: Vec::new(),
        organisations: Vec::new(),
        demand_age: Duration::ZERO,
    }
}
