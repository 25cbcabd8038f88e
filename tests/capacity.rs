//! Capacity of zones from the state of their engines, demand as hosts report it, and
//! targets that hosts found ended.

mod placement_support;

use std::time::{Duration, Instant};

use jackdawwick::capacity::{
    CapacityView, DemandCounter, DemandReport, DemandTable, PriorityRate, ZoneDemand, build_view,
    service_key,
};
use jackdawwick::collections::FastMap;
use jackdawwick::fleet::{
    FleetTable, LayerRange, PathQuery, RequestSize, TargetEntry, TargetLoad, UsageScope,
    UsageSource, choose_path, choose_target,
};
use jackdawwick::ids::{ServiceId, ZoneId};
use jackdawwick::ingress::EngineModel;
use models::fleet::{SimFleet, zone_name};
use placement_support::FAST;

fn model() -> EngineModel {
    let kinds = [("fast".into(), FAST)];
    EngineModel {
        kinds: kinds.into_iter().collect::<FastMap<_, _>>(),
        ..placement_support::model()
    }
}

fn service() -> ServiceId {
    "engines".into()
}

fn engine(id: &str, zone: &str, kind: &str, from: u32, to: u32) -> TargetEntry {
    TargetEntry {
        id: id.into(),
        started_ms: None,
        service: service(),
        address: ([10, 0, 0, 1], 80).into(),
        zone: zone.into(),
        draining: false,
        kind: Some(kind.into()),
        layers: Some(LayerRange { from, to }),
    }
}

fn fleet(entries: impl IntoIterator<Item = TargetEntry>) -> FleetTable {
    let mut fleet = FleetTable::default();
    for entry in entries {
        fleet.observe_entry(entry);
    }
    fleet
}

fn view_of(model: &EngineModel, fleet: &FleetTable, now: Instant) -> CapacityView {
    build_view([(&service(), model)], fleet, &[], now)
}

/// Returns what the zone `z` can run at once.
fn concurrent(model: &EngineModel, fleet: &FleetTable, now: Instant) -> f64 {
    let view = view_of(model, fleet, now);
    let service = view.service("engines", now).expect("a current view");
    service.zone("z").map_or(0.0, |zone| zone.concurrent)
}

/// Returns the requests of usual size that the memory of an engine holds, as far as paths
/// fill it.
fn by_memory(model: &EngineModel, width: u32) -> f64 {
    let tokens = f64::from(model.usual_prompt + model.usual_answer);
    1.2 * model.cache_capacity(FAST, width) / f64::from(width) / tokens
}

/// Guards against a capacity that adds up layers: a zone with much memory on half of its
/// layers would be taken to have room while no path of it does.
#[test]
fn narrowest_layer_decides_and_first_layer_is_bounded_by_slots() {
    let now = Instant::now();
    let model = EngineModel {
        slots: 10_000,
        ..model()
    };
    let halves = [
        engine("a", "z", "fast", 0, 40),
        engine("b", "z", "fast", 40, 80),
    ];
    let mut zone = fleet(halves.clone());
    zone.observe_entry(engine("c", "z", "fast", 40, 80));
    let one_of_each = concurrent(&model, &fleet(halves), now);
    assert!(one_of_each > 1.0, "{one_of_each}");
    assert!((one_of_each - by_memory(&model, 40)).abs() < 1e-6);
    assert_eq!(concurrent(&model, &zone, now), one_of_each);
    let few_slots = EngineModel { slots: 5, ..model };
    assert_eq!(concurrent(&few_slots, &zone, now), 5.0);
    // Slots bound only the first engines of paths.
    zone.observe_entry(engine("d", "z", "fast", 0, 40));
    assert_eq!(concurrent(&few_slots, &zone, now), 10.0);
    zone.remove("b");
    zone.remove("c");
    assert_eq!(concurrent(&few_slots, &zone, now), 0.0);
}

/// Guards against capacity that ended, leaving or unresponsive engines keep: a path uses
/// none of them, so that hosts would start requests which nothing can run.
#[test]
fn engines_that_no_path_uses_count_for_nothing() {
    let now = Instant::now();
    let model = model();
    let whole = |id: &str| engine(id, "z", "fast", 0, 20);
    let model = EngineModel {
        layers: 20,
        ..model
    };
    let mut zone = fleet([whole("a"), whole("b"), whole("c")]);
    let load = RequestSize {
        prompt: 1000,
        answer: 200,
    }
    .load(20);
    for id in ["a", "b", "c"] {
        zone.observe_start(id, load);
    }
    let each = concurrent(&model, &zone, now) / 3.0;
    zone.observe_silence("a", now);
    assert!((concurrent(&model, &zone, now) - 2.0 * each).abs() < 1e-6);
    zone.observe_leaving("b");
    assert!((concurrent(&model, &zone, now) - each).abs() < 1e-6);
    let view = view_of(&model, &zone, now);
    let left = &view.services["engines"].zones[0];
    assert_eq!((left.in_flight, left.unread), (1.0, 1000.0));
    let read_per_s = model.read_per_s / FAST.read_factor;
    assert!((left.prompt_per_s - read_per_s).abs() < 1e-6, "{left:?}");
    let healed = now + Duration::from_secs(4);
    assert!((concurrent(&model, &zone, healed) - 2.0 * each).abs() < 1e-6);
    assert!(
        view.service("engines", now + Duration::from_secs(2))
            .is_none()
    );
}

/// Counts `per_s` requests a second of one priority, evenly, from `start` on.
fn count(counter: &mut DemandCounter, priority: u8, per_s: u32, start: Instant, time: Duration) {
    let requests = (f64::from(per_s) * time.as_secs_f64()) as u32;
    for request in 0..requests {
        let at = start + Duration::from_secs(1) * request / per_s;
        counter.count_arrival(&service(), priority, Some("acme"), at);
    }
}

/// Guards against the demand of a host's first moments being taken for its rate: two
/// requests in the first 50 ms would count as 40 a second.
#[test]
fn rates_are_reported_after_a_second_and_fall_to_nothing_after_the_last_request() {
    let start = Instant::now();
    let mut counter = DemandCounter::default();
    count(&mut counter, 2, 40, start, Duration::from_secs(3));
    let after = |ms: u64| start + Duration::from_millis(ms);
    let mut fresh = DemandCounter::default();
    count(&mut fresh, 2, 40, start, Duration::from_millis(900));
    assert!(fresh.report(after(950)).is_empty());
    let report = counter.report(after(2990));
    let rate = report.priorities[0].arrivals_per_s;
    assert!((38.0..=42.0).contains(&rate), "{rate}");
    assert_eq!(report.organisations.len(), 1);
    let later = counter.report(after(3500)).priorities[0].arrivals_per_s;
    assert!((15.0..=30.0).contains(&later), "{later}");
    assert!(counter.report(after(4600)).is_empty());
    counter.set_waiting(&service(), 2, 7, after(4600));
    assert_eq!(counter.report(after(4600)).priorities[0].waiting, 7);
}

/// Guards against reports and memory that grow with what callers and configurations name.
#[test]
fn reports_hold_the_largest_priorities_and_organisations_only() {
    let start = Instant::now();
    let mut counter = DemandCounter::default();
    for round in 0..100_u32 {
        let at = start + Duration::from_millis(20) * round;
        for number in 0..1000_u32 {
            if round % (number + 1) == 0 {
                let organisation = format!("organisation-{number}");
                let priority = (number % 200) as u8;
                counter.count_arrival(&service(), priority, Some(&organisation), at);
            }
        }
    }
    let report = counter.report(start + Duration::from_secs(2));
    assert_eq!(report.priorities.len(), 16);
    assert_eq!(report.organisations.len(), 16);
    let largest = &report.organisations[0];
    assert!(
        (45.0..=55.0).contains(&largest.arrivals_per_s),
        "{largest:?}"
    );
}

fn report(arrivals_per_s: f64) -> DemandReport {
    let rate = PriorityRate {
        service: service_key("engines"),
        priority: 0,
        arrivals_per_s,
        refused_per_s: 0.0,
        waiting: 0,
    };
    DemandReport::new([rate], [], Duration::ZERO)
}

/// Guards against the demand of a zone that was cut off staying known for as long as hosts
/// of another zone relay it to each other.
#[test]
fn relayed_demand_of_another_zone_expires_within_three_seconds() {
    let start = Instant::now();
    let mut tables = [DemandTable::default(), DemandTable::default()];
    tables[0].observe(UsageSource::Zone("far".into()), report(30.0), start);
    let mut last_known = start;
    for step in 1..100_u32 {
        let now = start + Duration::from_millis(100) * step;
        for (from, to) in [(0, 1), (1, 0)] {
            let relayed = tables[from].remote(now);
            if !relayed.is_empty() {
                last_known = now;
            }
            tables[to].observe_remote(relayed, now);
        }
    }
    let known_for = last_known - start;
    assert!(
        (2500..3000).contains(&known_for.as_millis()),
        "{known_for:?}"
    );
}

/// Counts two requests a second of priority 0 and one of priority 1 on each live host.
fn run_with_demand(fleet: &mut SimFleet, time: Duration) {
    const TICK: Duration = Duration::from_millis(125);
    let ticks = time.as_millis() / TICK.as_millis();
    for tick in 0..ticks {
        let now = fleet.now;
        for (index, host) in (0..).zip(&mut fleet.hosts).filter(|(_, host)| host.alive) {
            for priority in [0, 1] {
                if (tick + index) % (4 * (u128::from(priority) + 1)) == 0 {
                    let own = &mut host.demand.own;
                    own.count_arrival(&service(), priority, Some("acme"), now);
                }
            }
        }
        fleet.run_for(TICK);
    }
}

fn arrivals(zones: &[ZoneDemand], zone: &str) -> Option<f64> {
    let demand = zones.iter().find(|demand| *demand.zone == *zone)?;
    let rates = demand.demand.priorities.iter();
    Some(rates.map(|rate| rate.arrivals_per_s).sum())
}

/// Guards against demand that is counted twice or not at all on the way over the
/// aggregators, against hosts that died and are still counted, and against a view of a
/// zone that is cut off and does not expire.
#[test]
fn all_hosts_of_a_zone_know_its_demand_and_it_follows_losses() {
    let mut fleet = SimFleet::new(3, 30, 6);
    run_with_demand(&mut fleet, Duration::from_secs(8));
    let own: ZoneId = zone_name(1).as_str().into();
    let known = |fleet: &SimFleet| {
        let hosts = fleet.live_hosts_in(&own).into_iter();
        let known = hosts.map(|index| {
            let zones = fleet.hosts[index].demand.zones(&own, fleet.now);
            arrivals(&zones, &own).expect("the own zone")
        });
        let known = known.collect::<Vec<_>>();
        let least = known.iter().copied().fold(f64::INFINITY, f64::min);
        (least, known.into_iter().fold(0.0, f64::max))
    };
    let (least, most) = known(&fleet);
    assert!((81.0..=99.0).contains(&least), "{least}");
    assert!((81.0..=99.0).contains(&most), "{most}");
    let remote = |fleet: &SimFleet| {
        let hosts = fleet.live_hosts_in(&own).into_iter();
        let known = hosts.filter_map(|index| {
            let zones = fleet.hosts[index].demand.zones(&own, fleet.now);
            arrivals(&zones, &zone_name(0))
        });
        known.collect::<Vec<_>>()
    };
    let far = remote(&fleet);
    assert!(!far.is_empty());
    assert!(
        far.iter().all(|rate| (81.0..=99.0).contains(rate)),
        "{far:?}"
    );
    // Ten hosts that are no aggregators, and an aggregator.
    let now = fleet.now;
    let hosts = fleet.live_hosts_in(&own).into_iter();
    let (aggregators, others) =
        hosts.partition::<Vec<_>, _>(|index| fleet.hosts[*index].gossip.is_aggregator(now));
    for index in others.iter().take(10).chain(aggregators.first()) {
        fleet.hosts[*index].alive = false;
    }
    fleet.partitioned = vec![zone_name(0).as_str().into()];
    run_with_demand(&mut fleet, Duration::from_millis(3500));
    let (least, most) = known(&fleet);
    assert!((51.0..=63.0).contains(&least), "{least}");
    assert!((51.0..=63.0).contains(&most), "{most}");
    assert!(remote(&fleet).is_empty());
}

/// Guards against reports of demand that use up the link of a small host: with five pairs of
/// a service and a priority and 24 organisations, as one customer has them, all reports are
/// full of organisations.
#[test]
fn control_traffic_with_demand_is_bounded() {
    let mut fleet = SimFleet::new(3, 30, 33);
    let arrive = |fleet: &mut SimFleet, ticks: usize| {
        for tick in 0..ticks {
            for (index, host) in fleet.hosts.iter_mut().enumerate() {
                let number = (tick + index) % 24;
                let service = ["engines", "plain"][number % 2].into();
                let (priority, name) = ((number % 5 / 2) as u8, format!("organisation-{number}"));
                let own = &mut host.demand.own;
                own.count_arrival(&service, priority, Some(&name), fleet.now);
            }
            fleet.run_for(Duration::from_millis(125));
        }
    };
    arrive(&mut fleet, 48);
    fleet.reset_counters();
    arrive(&mut fleet, 32);
    let now = fleet.now;
    let most = |aggregates: bool| {
        let hosts = fleet.hosts.iter();
        let hosts = hosts.filter(|host| host.gossip.is_aggregator(now) == aggregates);
        hosts.map(|host| host.bytes / 4).max().unwrap_or(0)
    };
    let (host, aggregator) = (most(false), most(true));
    assert!(host <= 22_000, "{host} B/s");
    assert!(aggregator <= 16 * 22_000, "{aggregator} B/s");
}

/// Chooses a path on a host, without the random part of costs, and returns whether it
/// passes a target.
fn passes(fleet: &FleetTable, model: &EngineModel, zone: &str, id: &str, now: Instant) -> bool {
    let query = PathQuery {
        model,
        size: RequestSize {
            prompt: 700,
            answer: 200,
        },
        zone,
        avoid: &[],
        max_pause: Duration::ZERO,
        preferred_zone: None,
    };
    let members = fleet.members("engines").expect("known");
    let path = choose_path(members, query, now, || 0.0).expect("a path");
    assert!(!path.full, "a report alone must not refuse requests");
    path.hops.iter().any(|hop| &*hop.target == id)
}

/// Guards against each host finding an ended engine by itself, at the cost of one of the
/// two attempts of a request: 1,750 attempts were turned away in 12 s with 88 hosts. One
/// host finds the end, and the others avoid the engine before they send anything to it.
#[test]
fn hosts_avoid_an_engine_that_another_host_found_ended() {
    let mut fleet = SimFleet::new(3, 30, 4);
    let model = EngineModel {
        layers: 20,
        ..model()
    };
    for host in &mut fleet.hosts {
        for zone in (0..3).map(zone_name) {
            // The engine that ends is the least loaded one, which all hosts choose.
            for number in 0..4 {
                let id = format!("i-{zone}-{number}");
                host.fleet.observe_entry(engine(&id, &zone, "fast", 0, 20));
            }
        }
    }
    fleet.run_for(Duration::from_secs(6));
    let ended = "i-zone-1-2";
    let load = TargetLoad {
        requests: 50,
        ..TargetLoad::default()
    };
    for host in &mut fleet.hosts {
        for number in [0, 1, 3] {
            host.fleet
                .observe_start(&format!("i-zone-1-{number}"), load);
        }
    }
    let choosing = |fleet: &SimFleet| {
        let hosts = fleet.live_hosts_in(&zone_name(1)).into_iter();
        let hosts = hosts.filter(|index| {
            let host = &fleet.hosts[*index];
            passes(&host.fleet, &model, &host.zone, ended, fleet.now)
        });
        hosts.count()
    };
    assert_eq!(choosing(&fleet), 30);
    let finder = fleet.live_hosts_in(&zone_name(1))[7];
    let now = fleet.now;
    fleet.hosts[finder].fleet.observe_silence(ended, now);
    assert!(fleet.hosts[finder].fleet.report_ended(ended, now));
    fleet.run_for(Duration::from_millis(750));
    assert_eq!(choosing(&fleet), 0);
    // The report ends, wherever it has travelled in the meantime.
    fleet.run_for(Duration::from_millis(1500));
    assert_eq!(choosing(&fleet), 29);
    assert!(
        fleet
            .hosts
            .iter()
            .all(|host| host.fleet.ended_targets(fleet.now).is_empty())
    );
}

/// Guards against a target that is out of reach of one host only being lost to all: a host
/// to which it responds keeps it, and the only target there is stays in use.
#[test]
fn reports_of_ended_targets_are_soft() {
    let start = Instant::now();
    let model = EngineModel {
        layers: 20,
        ..model()
    };
    let mut finder = fleet([engine("a", "z", "fast", 0, 20)]);
    let mut other = fleet([engine("a", "z", "fast", 0, 20)]);
    finder.report_ended("a", start);
    let now = start + Duration::from_millis(250);
    let reports = finder.ended_targets(now);
    assert_eq!(other.observe_ended(&reports, now).len(), 1);
    assert!(
        passes(&other, &model, "z", "a", now),
        "there is no other way"
    );
    let members = other.members("engines").expect("known");
    let chosen = choose_target(members, "z", &[], Duration::ZERO, now, 0.0);
    assert_eq!(chosen.as_deref(), Some("a"));
    other.observe_entry(engine("b", "z", "fast", 0, 20));
    let load = TargetLoad {
        requests: 50,
        ..TargetLoad::default()
    };
    other.observe_start("b", load);
    assert!(!passes(&other, &model, "z", "a", now));
    // A returned report does not renew itself, and a response ends it.
    assert!(
        finder
            .observe_ended(&other.ended_targets(now), now)
            .is_empty()
    );
    other.observe_success("a", now);
    assert!(other.observe_ended(&reports, now).is_empty());
    assert!(other.ended_targets(now).is_empty());
    assert!(passes(&other, &model, "z", "a", now));
    // A later start has another id.
    assert!(!other.report_ended("a-later", now));
}

/// Guards against reports of one host's demand that are sent on to itself or to other
/// zones in place of its zone's.
#[test]
fn reports_cover_the_hosts_that_their_scope_names() {
    let now = Instant::now();
    let mut table = DemandTable::default();
    table.observe(UsageSource::Host("a".into()), report(1.0), now);
    table.observe(UsageSource::Host("b".into()), report(2.0), now);
    table.observe(UsageSource::Group("c".into()), report(4.0), now);
    table.observe(UsageSource::Zone("far".into()), report(8.0), now);
    let sum = |scope, recipient: Option<&str>| {
        let recipient = recipient.map(Into::into);
        let report = table.report(scope, recipient.as_ref(), now);
        let rates = report.priorities.iter().map(|rate| rate.arrivals_per_s);
        rates.sum::<f64>()
    };
    assert_eq!(sum(UsageScope::Host, None), 0.0);
    assert_eq!(sum(UsageScope::Group, Some("c")), 3.0);
    assert_eq!(sum(UsageScope::Neighbours, Some("b")), 5.0);
    assert_eq!(sum(UsageScope::Zone, None), 7.0);
}
