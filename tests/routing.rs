//! Regression tests of routing and retries for failures that callers would notice.

use std::time::{Duration, Instant};

use jackdawwick::ids::{ModelId, TargetId, ZoneId};
use jackdawwick::reason::{RefusalReason, RetryReason};
use jackdawwick::resources::{ResourceKey, ResourceKind, ResourceSpec};
use jackdawwick::retry::{BackoffSettings, BudgetSettings, RetryBudget, backoff_delay};
use jackdawwick::routing::{RouteRequest, RouteSettings, RouteTable};
use jackdawwick::target::wire::{CacheEvent, CacheEvents};
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Targets of the single stage of the pipeline.
const TARGETS: usize = 10;

fn name(target: usize) -> TargetId {
    format!("t{target}").into()
}

fn resources(tokens_per_second: f64, port: u16) -> Vec<(ResourceKey, ResourceSpec)> {
    let targets: Vec<_> = (0..TARGETS)
        .map(|target| name(target).to_string())
        .collect();
    let mut specs = vec![
        (
            ResourceKind::Model,
            "m".to_owned(),
            serde_json::json!({"model": {
                "offered": "v", "versions": [{"name": "v", "layers": 1}]}}),
        ),
        (
            ResourceKind::Pipeline,
            "p".to_owned(),
            serde_json::json!({"pipeline": {"model": "m", "version": "v", "stages": [
                {"first_layer": 0, "last_layer": 0, "targets": targets}]}}),
        ),
    ];
    for target in targets {
        let spec = serde_json::json!({"target": {
            "kind": "engine", "zone": "a", "address": format!("127.0.0.1:{port}"),
            "tokens_per_second": tokens_per_second, "concurrency": 8}});
        specs.push((ResourceKind::Target, target, spec));
    }
    let parse = |(kind, name, spec)| {
        let spec = serde_json::from_value(spec).expect("a resource");
        (ResourceKey::new(kind, name), spec)
    };
    specs.into_iter().map(parse).collect()
}

fn declare(table: &mut RouteTable, resources: &[(ResourceKey, ResourceSpec)]) {
    table.set_pipelines(resources.iter().map(|(key, spec)| (key, spec)));
}

fn table() -> RouteTable {
    let mut table = RouteTable::new(RouteSettings::new(ZoneId::from("a")));
    declare(&mut table, &resources(100.0, 1));
    table
}

fn request(now: Instant) -> RouteRequest {
    RouteRequest {
        model: ModelId::from("m"),
        version: None,
        prefixes: Vec::new(),
        prompt_tokens: 100,
        max_tokens: 4,
        deadline: now + Duration::from_secs(3_600),
        excluded: Vec::new(),
    }
}

/// Returns how many of 1000 plans use the target.
fn plans_using(table: &RouteTable, request: &RouteRequest, target: usize, now: Instant) -> usize {
    let mut rng = StdRng::seed_from_u64(3);
    (0..1_000)
        .filter(|_| {
            let route = table.plan(request, now, &mut rng).expect("a route");
            route.stages[0].target == name(target)
        })
        .count()
}

fn fail(table: &mut RouteTable, target: usize, now: Instant) {
    for _ in 0..3 {
        table.step_sent(&name(target), now);
        table.step_failed(&name(target), RetryReason::ResponseLost, now);
    }
}

/// Guards against a target that gets all new work when its ejection ends, fails again,
/// and is ejected at regular intervals. The target is the least loaded when it returns,
/// so every plan would choose it.
#[test]
fn returned_target_starts_slowly() {
    let now = Instant::now();
    let mut table = table();
    for target in 1..TARGETS {
        for _ in 0..12 {
            table.step_sent(&name(target), now);
        }
    }
    assert!(plans_using(&table, &request(now), 0, now) > 150);
    fail(&mut table, 0, now);
    assert_eq!(plans_using(&table, &request(now), 0, now), 0);
    let back = now + Duration::from_secs(2);
    assert!(plans_using(&table, &request(back), 0, back) < 30);
    let warm = back + Duration::from_secs(5);
    assert!(plans_using(&table, &request(warm), 0, warm) > 150);
}

/// Guards against refusing every request although the targets are healthy. A short
/// network fault of this host causes three consecutive failures of each target, so
/// ejection needs a cap on how much of a group is out.
#[test]
fn ejection_leaves_half_of_a_group() {
    let now = Instant::now();
    let mut table = table();
    (0..TARGETS).for_each(|target| fail(&mut table, target, now));
    let group: Vec<_> = (0..TARGETS).map(name).collect();
    assert_eq!(table.usable_targets(&group, &[], now).len(), 5);
    // A retry excludes targets that were tried already; the cap applies to the others.
    assert_eq!(table.usable_targets(&group, &group[..7], now).len(), 2);
    assert_eq!(table.usable_targets(&group, &group[..9], now).len(), 1);
}

/// Guards against a target that is ejected for a minute because of one short fault, long
/// after earlier ones. The length of an ejection grows with each one and must shrink
/// again after good responses.
#[test]
fn good_responses_shorten_the_next_ejection() {
    let mut now = Instant::now();
    let mut table = table();
    let is_ejected = |table: &RouteTable, now| {
        let group = [name(0), name(1)];
        table.usable_targets(&group, &[], now).len() == 1
    };
    fail(&mut table, 0, now);
    now += Duration::from_secs(2);
    fail(&mut table, 0, now);
    assert!(is_ejected(&table, now + Duration::from_secs(3)));
    now += Duration::from_secs(10);
    table.step_sent(&name(0), now);
    table.step_completed(&name(0), Duration::from_millis(80), 1, now);
    fail(&mut table, 0, now);
    assert!(is_ejected(&table, now + Duration::from_secs(1)));
    assert!(!is_ejected(&table, now + Duration::from_secs(2)));
}

/// Guards against a model that is refused forever although its targets are idle. If the
/// declared rate is far too low, every estimate exceeds the deadline, and nothing is sent
/// that would correct it.
#[test]
fn unmeasured_estimate_refuses_nothing() {
    let now = Instant::now();
    let mut table = table();
    declare(&mut table, &resources(0.1, 1));
    let mut rng = StdRng::seed_from_u64(1);
    let mut brief = request(now);
    brief.deadline = now + Duration::from_millis(500);
    let route = table.plan(&brief, now, &mut rng).expect("a route");
    assert_eq!(table.known_service_time(&route, now), Duration::ZERO);
    for target in 0..TARGETS {
        table.step_sent(&name(target), now);
        table.step_completed(&name(target), Duration::from_secs(1), 1, now);
    }
    let refusal = table.plan(&brief, now, &mut rng).expect_err("too slow");
    assert_eq!(refusal.reason, RefusalReason::DeadlineUnreachable);
    assert!(table.known_service_time(&route, now) > Duration::ZERO);
    // Nothing was sent for longer than the rate memory: the measurement has expired.
    let later = now + Duration::from_secs(4);
    brief.deadline = later + Duration::from_millis(500);
    assert!(table.plan(&brief, later, &mut rng).is_ok());
}

/// Guards against computing a common prefix again on every target. The one holder of ten
/// targets is seldom among the two random candidates. Also guards against trusting a
/// cached prefix forever after later events were lost.
#[test]
fn prompts_follow_their_prefix_until_it_is_uncertain() {
    let now = Instant::now();
    let mut table = table();
    let mut prompt = request(now);
    prompt.prefixes = vec![1, 2];
    let stored = |number, prefix| CacheEvent {
        number,
        prefix,
        stored: true,
    };
    let events = CacheEvents {
        events: vec![stored(0, 1), stored(1, 2)],
        next: 2,
    };
    table.observe_cache_events(&name(7), &events, now);
    assert_eq!(plans_using(&table, &prompt, 7, now), 1_000);
    // The wait for its queue then outweighs its cached prefix.
    for _ in 0..40 {
        table.step_sent(&name(7), now);
    }
    assert!(plans_using(&table, &prompt, 7, now) < 10);

    let before = table.estimate(&prompt, &[name(7)], now).expect("a target");
    let gap = CacheEvents {
        events: vec![stored(5, 9)],
        next: 6,
    };
    table.observe_cache_events(&name(7), &gap, now);
    let after = table.estimate(&prompt, &[name(7)], now).expect("a target");
    assert_eq!(before.prefill, Duration::ZERO);
    assert_eq!(after.prefill, Duration::from_millis(500));
}

/// Guards against sending all work to busy targets after a declaration changes during a
/// run. Counts must survive the change, but measurements must not survive a change of
/// address, behind which is another process.
#[test]
fn counts_survive_a_declared_change() {
    let now = Instant::now();
    let mut table = table();
    let mut rng = StdRng::seed_from_u64(1);
    let idle = table.estimate(&request(now), &[name(0)], now);
    for target in 0..TARGETS {
        (0..20).for_each(|_| table.step_sent(&name(target), now));
        table.step_completed(&name(target), Duration::from_millis(20), 1, now);
    }
    let route = table.plan(&request(now), now, &mut rng).expect("a route");
    let busy = table.estimate(&request(now), &[name(0)], now);
    declare(&mut table, &resources(100.0, 1));
    assert_eq!(table.estimate(&request(now), &[name(0)], now), busy);
    declare(&mut table, &resources(100.0, 2));
    let queue = |table: &RouteTable| {
        table
            .estimate(&request(now), &[name(0)], now)
            .map(|score| score.queue)
    };
    assert!(queue(&table) > Some(Duration::ZERO));
    for target in 0..TARGETS {
        (0..19).for_each(|_| {
            table.step_failed(&name(target), RetryReason::TargetRefused, now);
        });
    }
    table.run_ended(&route);
    assert_eq!(table.estimate(&request(now), &[name(0)], now), idle);
}

/// Guards against retries that keep healthy targets overloaded after a fault. Bounding
/// the retries of each request does not bound their total.
#[test]
fn retries_stay_a_fraction_of_the_requests() {
    let mut budget = RetryBudget::new(BudgetSettings {
        fraction: 0.125,
        burst: 5.0,
    });
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.request_started();
        retries += (0..3).filter(|_| budget.spend()).count();
    }
    // The burst, and an eighth for each request but the first, which finds the budget
    // full.
    assert_eq!(retries, 5 + 999 / 8);
}

/// Guards against callers that fail together and retry together. Delays need jitter that
/// stays below the bound.
#[test]
fn backoff_is_spread_below_its_bound() {
    let mut rng = StdRng::seed_from_u64(9);
    let settings = BackoffSettings::default();
    for (failures, bound) in [(0, 5), (1, 10), (3, 40), (12, 1_000), (u32::MAX, 1_000)] {
        let bound = Duration::from_millis(bound);
        let delays: Vec<_> = (0..200)
            .map(|_| backoff_delay(settings, failures, &mut rng))
            .collect();
        assert!(
            delays
                .iter()
                .all(|delay| (bound / 2..=bound).contains(delay))
        );
        let early = delays
            .iter()
            .filter(|delay| **delay < bound * 3 / 4)
            .count();
        assert!(
            (60..140).contains(&early),
            "{early} of 200 in the first half"
        );
    }
}
