//! Tests the reconciler on engines that crash, lose orders and restart, while the lease
//! changes hands.

#![allow(clippy::unwrap_used)] // A test may panic on a missing value.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use jackdawwick::ids::TargetId;
use jackdawwick::reconcile::{
    DesiredState, OrderingLease, ReconcileDecision, ReconcileLimits, ReconcileTable,
};
use jackdawwick::resources::FencingSupport;
use jackdawwick::target::wire::{EngineRole, LoadedRange, StateOrder, TargetState};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Number of engines of the zone. One engine of another zone has the index after them.
const OWN_ENGINES: usize = 4;
const ALL_ENGINES: usize = OWN_ENGINES + 1;
const TICK: Duration = Duration::from_millis(250);
const LOAD_TIME: Duration = Duration::from_secs(2);
/// Enough ticks for every load, wait and retention after the last fault.
const RECOVERY_TICKS: usize = 200;
const LIMITS: ReconcileLimits = ReconcileLimits {
    concurrent_loads: 2,
    order_deadline: Duration::from_secs(1),
    observe_interval: Duration::from_secs(1),
    failure_backoff: Duration::from_secs(2),
    retain_for: Duration::from_secs(3),
    load_timeout: Duration::from_secs(5),
};

/// Returns the range of a bit; the last one serves the same layers as the first.
fn range(bit: usize) -> LoadedRange {
    let (version, first_layer, adapters) = match bit {
        0 => ("v1", 0, vec![]),
        1 => ("v1", 4, vec![]),
        2 => ("v2", 0, vec![]),
        _ => ("v1", 0, vec!["adapter".to_owned()]),
    };
    LoadedRange {
        model: "model".into(),
        version: version.into(),
        first_layer,
        last_layer: first_layer + 3,
        adapters,
    }
}

fn ranges(mask: u8) -> BTreeSet<LoadedRange> {
    let bits = (0..4).filter(|bit| mask & (1 << bit) != 0);
    bits.map(range).collect()
}

fn name(engine: usize) -> TargetId {
    format!("engine-{engine}").into()
}

fn serves_as(left: &LoadedRange, right: &LoadedRange) -> bool {
    (&left.version, left.first_layer) == (&right.version, right.first_layer)
}

#[derive(Debug, Clone)]
enum Step {
    Advance { ticks: u8 },
    ChangeDesired { masks: [u8; ALL_ENGINES] },
    Crash { engine: usize },
    Restart { engine: usize },
    LoseOrder { engine: usize, takes_effect: bool },
    OtherZoneLoads,
    ChangeLease { gap: u8, other_host: bool },
    LeaseEnding,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (1..12u8).prop_map(|ticks| Step::Advance { ticks }),
        3 => prop::array::uniform5(0..16u8).prop_map(|masks| Step::ChangeDesired { masks }),
        1 => (0..ALL_ENGINES).prop_map(|engine| Step::Crash { engine }),
        2 => (0..ALL_ENGINES).prop_map(|engine| Step::Restart { engine }),
        2 => (0..OWN_ENGINES, any::<bool>())
            .prop_map(|(engine, takes_effect)| Step::LoseOrder { engine, takes_effect }),
        1 => Just(Step::OtherZoneLoads),
        1 => (0..6u8, any::<bool>())
            .prop_map(|(gap, other_host)| Step::ChangeLease { gap, other_host }),
        1 => Just(Step::LeaseEnding),
    ]
}

#[derive(Debug, Default)]
struct Engine {
    loaded: BTreeSet<LoadedRange>,
    loading: BTreeMap<LoadedRange, Instant>,
    is_dead: bool,
    died_at: Option<Instant>,
    /// Whether the next order takes effect; its response is lost.
    lost_order: Option<bool>,
    /// When a range was last both loaded and desired here, so that runs may have used it.
    served_until: BTreeMap<LoadedRange, Instant>,
    seen_at: Option<Instant>,
}

impl Engine {
    fn settle(&mut self, now: Instant) {
        let ready = self
            .loading
            .iter()
            .filter(|(_, ready_at)| **ready_at <= now);
        let ready: Vec<LoadedRange> = ready.map(|(range, _)| range.clone()).collect();
        for range in ready {
            self.loading.remove(&range);
            self.loaded.insert(range);
        }
    }

    fn execute(&mut self, order: &StateOrder, now: Instant) {
        self.loaded.retain(|range| order.loaded.contains(range));
        self.loading.retain(|range, _| order.loaded.contains(range));
        for range in &order.loaded {
            if !self.loaded.contains(range) {
                let ready_at = now + LOAD_TIME;
                self.loading.entry(range.clone()).or_insert(ready_at);
            }
        }
    }

    fn state(&self) -> TargetState {
        TargetState {
            loaded: self.loaded.iter().cloned().collect(),
            loading: self.loading.keys().cloned().collect(),
            role: EngineRole::Mixed,
            leaving: false,
            fencing: None,
        }
    }
}

struct Simulation {
    now: Instant,
    engines: Vec<Engine>,
    masks: [u8; ALL_ENGINES],
    table: ReconcileTable,
    lease: Option<OrderingLease>,
    is_ending: bool,
}

impl Simulation {
    fn new(masks: [u8; ALL_ENGINES]) -> Self {
        let now = Instant::now();
        let mut engines: Vec<Engine> = (0..ALL_ENGINES).map(|_| Engine::default()).collect();
        for (engine, mask) in engines.iter_mut().zip(masks) {
            engine.loaded = ranges(mask);
        }
        let mut simulation = Self {
            now,
            engines,
            masks,
            table: ReconcileTable::new(LIMITS),
            lease: None,
            is_ending: false,
        };
        simulation.update_desired();
        simulation.take_lease();
        simulation
    }

    fn take_lease(&mut self) {
        let fencing = self.lease.map_or(1, |lease| lease.fencing + 1);
        self.lease = Some(OrderingLease {
            fencing,
            held_since: self.now,
            held_until: self.now,
        });
    }

    fn update_desired(&mut self) {
        let state = |engine: usize| DesiredState {
            loaded: ranges(self.masks[engine]),
            role: EngineRole::Mixed,
            fencing: fencing(engine),
        };
        let own = (0..OWN_ENGINES).map(|engine| (name(engine), state(engine)));
        let other_zones = (OWN_ENGINES..ALL_ENGINES).map(|engine| (name(engine), state(engine)));
        let (own, other_zones) = (own.collect(), other_zones.collect());
        self.table.set_desired(own, other_zones, self.now);
    }

    fn apply(&mut self, step: &Step) {
        match step {
            Step::Advance { ticks } => (0..*ticks).for_each(|_| self.tick()),
            Step::ChangeDesired { masks } => {
                for (engine, mask) in self.engines.iter_mut().zip(self.masks) {
                    engine.settle(self.now);
                    let served = ranges(mask);
                    for range in served.intersection(&engine.loaded) {
                        engine.served_until.insert(range.clone(), self.now);
                    }
                }
                self.masks = *masks;
                self.update_desired();
            }
            Step::Crash { engine } => {
                self.engines[*engine].is_dead = true;
                self.engines[*engine].died_at = Some(self.now);
            }
            Step::Restart { engine } => self.engines[*engine].is_dead = false,
            Step::LoseOrder {
                engine,
                takes_effect,
            } => self.engines[*engine].lost_order = Some(*takes_effect),
            Step::OtherZoneLoads => {
                let desired = ranges(self.masks[OWN_ENGINES]);
                self.engines[OWN_ENGINES].loaded.extend(desired);
            }
            Step::ChangeLease { gap, other_host } => {
                let lease = self.lease.take();
                (0..*gap).for_each(|_| self.tick());
                if *other_host {
                    self.table = ReconcileTable::new(LIMITS);
                    self.update_desired();
                }
                self.lease = lease;
                self.take_lease();
            }
            Step::LeaseEnding => {
                self.is_ending = true;
                self.tick();
                self.is_ending = false;
            }
        }
    }

    fn tick(&mut self) {
        self.now += TICK;
        for engine in &mut self.engines {
            engine.settle(self.now);
        }
        let held_until = match self.is_ending {
            true => self.now + LIMITS.order_deadline,
            false => self.now + 2 * LIMITS.order_deadline,
        };
        let lease = self.lease.map(|lease| OrderingLease {
            held_until,
            ..lease
        });
        for decision in self.table.decide(lease, self.now) {
            match decision {
                ReconcileDecision::Observe { target } => self.observe(&target),
                ReconcileDecision::Order { target, order } => {
                    self.order(&target, &order, lease.unwrap());
                }
                ReconcileDecision::Withhold { .. } => {}
            }
        }
    }

    fn observe(&mut self, target: &TargetId) {
        let index = (0..ALL_ENGINES)
            .find(|engine| name(*engine) == *target)
            .unwrap();
        let engine = &mut self.engines[index];
        if engine.is_dead {
            return self.table.record_failure(target, self.now);
        }
        engine.seen_at = Some(self.now);
        self.table.observe(target, engine.state(), self.now);
    }

    fn order(&mut self, target: &TargetId, order: &StateOrder, lease: OrderingLease) {
        let index = (0..OWN_ENGINES)
            .find(|engine| name(*engine) == *target)
            .unwrap();
        self.check_times(index, lease);
        self.check_unloads(index, order);
        self.table.record_order(target, order, self.now);
        let now = self.now;
        let engine = &mut self.engines[index];
        let lost = engine.lost_order.take();
        if engine.is_dead || lost == Some(false) {
            return self.table.record_failure(target, now);
        }
        engine.execute(order, now);
        match lost {
            Some(_) => self.table.record_failure(target, now),
            None => self.observe(target),
        }
        let loading = self
            .engines
            .iter()
            .filter(|engine| !engine.loading.is_empty());
        assert!(loading.count() <= LIMITS.concurrent_loads, "too many loads");
    }

    fn check_times(&self, index: usize, lease: OrderingLease) {
        assert!(self.now + LIMITS.order_deadline < lease.held_until);
        assert!(
            self.engines[index].seen_at >= Some(lease.held_since),
            "ordered before it was observed under the lease"
        );
        if fencing(index) == FencingSupport::Ignores {
            let waited = self.now - lease.held_since;
            assert!(
                waited >= LIMITS.order_deadline,
                "an earlier lease holder's order may still arrive"
            );
        }
    }

    fn check_unloads(&self, index: usize, order: &StateOrder) {
        let engine = &self.engines[index];
        for dropped in &engine.loaded {
            if order.loaded.contains(dropped) {
                continue;
            }
            if let Some(until) = engine.served_until.get(dropped) {
                let since = self.now - *until;
                assert!(since >= LIMITS.retain_for, "unloaded while runs may use it");
            }
            let is_wanted = (0..ALL_ENGINES).any(|other| {
                let desired = ranges(self.masks[other]);
                desired.iter().any(|wanted| serves_as(wanted, dropped))
            });
            let is_held = (0..ALL_ENGINES).any(|other| {
                let holder = &self.engines[other];
                let recently = |died: Instant| self.now - died < LIMITS.observe_interval;
                let responds = !holder.is_dead || holder.died_at.is_some_and(recently);
                let mut held = holder.loaded.iter();
                responds
                    && held.any(|held| {
                        let is_kept = other != index || order.loaded.contains(held);
                        is_kept && serves_as(held, dropped)
                    })
            });
            assert!(!is_wanted || is_held, "the last holder unloads {dropped:?}");
        }
    }

    fn recover(&mut self) {
        for engine in &mut self.engines {
            engine.is_dead = false;
            engine.lost_order = None;
        }
        // The other zone only loads ranges: this zone cannot prevent what that one
        // unloads within a second after it was observed.
        self.apply(&Step::OtherZoneLoads);
        (0..RECOVERY_TICKS).for_each(|_| self.tick());
        for (index, engine) in self.engines[..OWN_ENGINES].iter().enumerate() {
            let desired = ranges(self.masks[index]);
            assert_eq!(engine.loaded, desired, "engine {index} did not converge");
        }
        assert_eq!(self.table.differing(), Vec::<TargetId>::new());
    }
}

fn fencing(engine: usize) -> FencingSupport {
    match engine % 2 {
        0 => FencingSupport::Checks,
        _ => FencingSupport::Ignores,
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(0x0de5),
        cases: 1_000,
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against orders that rest on outdated observations, under any order of
    /// changed declarations, crashes, lost responses and changes of the lease. Requests
    /// would be refused because no engine holds a declared range, the weights store would
    /// be overloaded, or engines would not converge to the declared state.
    #[test]
    fn orders_are_safe_and_converge_to_the_declared_state(
        masks in prop::array::uniform5(0..16u8),
        steps in prop::collection::vec(step(), 1..40),
    ) {
        let mut simulation = Simulation::new(masks);
        for step in &steps {
            simulation.apply(step);
        }
        simulation.recover();
    }
}

/// Guards against a reconciler that loads nothing any more. As many engines as may load
/// at once crash while loading and stay down; their loads must not count forever.
#[test]
fn loads_of_dead_engines_do_not_block_the_others() {
    let mut simulation = Simulation::new([0; ALL_ENGINES]);
    simulation.apply(&Step::ChangeDesired {
        masks: [1, 1, 1, 1, 0],
    });
    let is_loading = |engine: &Engine| !engine.loading.is_empty();
    let loads = |simulation: &Simulation| {
        simulation
            .engines
            .iter()
            .filter(|engine| is_loading(engine))
            .count()
    };
    for _ in 0..RECOVERY_TICKS {
        if loads(&simulation) < LIMITS.concurrent_loads {
            simulation.tick();
        }
    }
    assert_eq!(loads(&simulation), LIMITS.concurrent_loads);
    for engine in 0..OWN_ENGINES {
        if is_loading(&simulation.engines[engine]) {
            simulation.apply(&Step::Crash { engine });
        }
    }
    (0..RECOVERY_TICKS).for_each(|_| simulation.tick());
    for engine in simulation.engines[..OWN_ENGINES]
        .iter()
        .filter(|engine| !engine.is_dead)
    {
        assert_eq!(engine.loaded, ranges(1));
    }
}

/// Guards against the only engine of a range that refuses requests while it loads, or
/// that keeps what is no longer declared. An adapter is added to the version that it
/// serves, and the other engines load first, so that runs may not have ended. The same
/// layers with and without the adapter must count as the same range.
#[test]
fn only_engine_keeps_serving_while_an_adapter_is_added() {
    let mut simulation = Simulation::new([0, 0, 0, 1, 0]);
    simulation.apply(&Step::ChangeDesired {
        masks: [6, 6, 6, 8, 0],
    });
    for _ in 0..RECOVERY_TICKS {
        simulation.tick();
        assert!(!simulation.engines[3].loaded.is_empty());
    }
    simulation.recover();
}
