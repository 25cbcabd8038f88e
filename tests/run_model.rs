//! Simulates the state machine of a run with engines in memory, under random faults.

#[path = "run_model/engines.rs"]
mod engines;
#[path = "run_model/simulation.rs"]
mod simulation;

use std::collections::BTreeMap;
use std::time::Duration;

use jackdawwick::reason::RefusalReason;
use jackdawwick::run::{RecoveryMode, RunLimits};
use jackdawwick::target::wire::TargetRefusalKind;
use jackdawwick::verdict::RunVerdict;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use simulation::{Fault, RESPONSE_PARTS, RunSimulation};

fn limits(recovery: RecoveryMode, resends_per_step: u32) -> RunLimits {
    RunLimits {
        max_repairs: 100,
        resends_per_step,
        backoff_base: Duration::from_millis(1),
        recovery,
        ..RunLimits::default()
    }
}

fn any_fault() -> impl Strategy<Value = Fault> {
    let refusal = prop::sample::select(vec![
        TargetRefusalKind::NotLoaded,
        TargetRefusalKind::Leaving,
        TargetRefusalKind::Overloaded,
    ]);
    prop_oneof![
        3 => Just(Fault::DieBefore),
        3 => Just(Fault::DieAfter),
        2 => Just(Fault::DieWithNeighbour),
        2 => Just(Fault::LoseOrder),
        3 => Just(Fault::LoseResponse),
        2 => Just(Fault::TimeOut),
        3 => (1..8_u32).prop_map(Fault::Freeze),
        2 => Just(Fault::LoseSessions),
        1 => Just(Fault::LoseAllSessions),
        2 => refusal.prop_map(Fault::Refuse),
        2 => (0..RESPONSE_PARTS).prop_map(Fault::Mismatch),
        2 => any::<usize>().prop_map(Fault::Leave),
        1 => any::<usize>().prop_map(Fault::LeaveThenFailMove),
        1 => Just(Fault::NoSpare),
        1 => Just(Fault::CallerGone),
        1 => Just(Fault::DeadlineReached),
    ]
}

/// Prefers early steps, as few runs have late ones.
fn any_step() -> impl Strategy<Value = u32> {
    prop_oneof![0..5_u32, 0..28_u32]
}

fn any_mode() -> impl Strategy<Value = RecoveryMode> {
    prop::sample::select(vec![
        RecoveryMode::MoveCache,
        RecoveryMode::ReplayStage,
        RecoveryMode::NewAttempt,
    ])
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(20_261_202),
        cases: 4000,
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against wrong, missing, repeated or wrongly numbered tokens, a run that
    /// never ends, and `not_run` for a request that ran. Up to five faults occur at any
    /// steps: death before or after a step took effect, of up to two stages at once, lost
    /// orders and responses, engines that freeze and wake, lost sessions, refusals and
    /// departures. Late, duplicated and mismatched responses precede every event.
    #[test]
    fn faults_never_change_the_tokens(
        stages in 1..5_usize,
        prompt in prop::collection::vec(0..1000_u64, 1..6),
        count in 1..6_u64,
        mode in any_mode(),
        resends in 0..3_u32,
        script in prop::collection::btree_map(any_step(), any_fault(), 0..6),
        has_spares in prop::bool::weighted(0.85),
    ) {
        let must_complete = has_spares && !script.values().any(|fault| fault.may_end_early());
        let mut simulation = RunSimulation::new(stages, prompt, count, limits(mode, resends), script);
        simulation.has_spares = has_spares;
        simulation.run();

        let outcome = simulation.outcome.expect("the run ended");
        prop_assert_eq!(outcome.delivered, simulation.tokens.len() as u64);
        let is_complete = outcome.delivered == count;
        prop_assert_eq!(is_complete, outcome.refusal.is_none());
        prop_assert_eq!(is_complete, outcome.verdict == RunVerdict::Ran);
        prop_assert!(is_complete || !must_complete, "given up: {:?}", outcome);
        prop_assert!(outcome.verdict != RunVerdict::NotRun || !simulation.order_seen);
        for (name, engine) in &simulation.engines {
            prop_assert!(engine.sessions.is_empty(), "{} still holds a session", name);
        }
    }
}

/// Guards against `may_have_run` for a request that certainly did not run: no connection
/// can be made to the first stage's target and there is no other target. The verdict must
/// tell a failed connection from a failed send.
#[test]
fn run_without_connection_is_not_run() {
    let script = BTreeMap::from([(0, Fault::NoSpare), (1, Fault::DieBefore)]);
    let mut simulation =
        RunSimulation::new(2, vec![1, 2], 3, limits(RecoveryMode::MoveCache, 1), script);
    simulation
        .engines
        .values_mut()
        .for_each(|engine| engine.is_dead = true);
    simulation.run();
    let outcome = simulation.outcome.expect("the run ended");
    assert_eq!(outcome.verdict, RunVerdict::NotRun);
    assert!(!simulation.order_seen);
}

/// Guards against a run that ends at a timeout of a target that goes on, because it may use
/// no other one.
#[test]
fn a_run_without_repairs_left_asks_its_target_again() {
    let limits = RunLimits {
        max_repairs: 0,
        ..limits(RecoveryMode::MoveCache, 1)
    };
    let script = BTreeMap::from([(1, Fault::TimeOut), (4, Fault::TimeOut)]);
    let mut simulation = RunSimulation::new(2, vec![1, 2], 4, limits, script);
    simulation.run();
    let outcome = simulation.outcome.expect("the run ended");
    assert_eq!((outcome.delivered, outcome.refusal), (4, None));
}

/// Guards against a run that ends because the only other target refuses it, although the first
/// one goes on after a timeout.
#[test]
fn a_run_returns_to_a_target_that_timed_out_if_no_other_one_takes_it() {
    let refusal = Fault::Refuse(TargetRefusalKind::Overloaded);
    let script = BTreeMap::from([(1, Fault::TimeOut), (2, refusal), (3, refusal)]);
    let limits = limits(RecoveryMode::MoveCache, 1);
    let mut simulation = RunSimulation::new(1, vec![1, 2], 4, limits, script);
    simulation.holders = vec!["first-0".into(), "other".into()];
    simulation.run();
    let outcome = simulation.outcome.expect("the run ended");
    assert_eq!((outcome.delivered, outcome.refusal), (4, None));
}

/// Guards against a run that goes back and forth between targets that time out until its
/// repairs are used up many times over.
#[test]
fn a_run_between_targets_that_time_out_ends_with_its_repairs() {
    let script = (1..100).map(|step| (step, Fault::TimeOut)).collect();
    let limits = RunLimits {
        max_repairs: 5,
        ..limits(RecoveryMode::MoveCache, 1)
    };
    let mut simulation = RunSimulation::new(1, vec![1, 2], 4, limits, script);
    simulation.holders = vec!["first-0".into(), "other".into()];
    simulation.run();
    let outcome = simulation.outcome.expect("the run ended");
    assert_eq!(outcome.refusal, Some(RefusalReason::RetryBudgetSpent));
    // Each repair is one step, and each target may be asked once more.
    assert!(
        simulation.sends <= 2 * (1 + 5),
        "{} steps",
        simulation.sends
    );
}

/// Returns the cost of a run: round trips (a cache move takes two), values sent in steps,
/// positions run, and positions run that a prefix cache would not have saved.
fn cost(mode: RecoveryMode, fault: Option<(u32, Fault)>) -> [u64; 4] {
    let prompt = (0..COST_PROMPT).collect();
    let script = fault.into_iter().collect();
    let mut simulation =
        RunSimulation::new(COST_STAGES, prompt, COST_TOKENS, limits(mode, 1), script);
    simulation.run();
    assert_eq!(simulation.tokens.len() as u64, COST_TOKENS);
    let computed = simulation
        .engines
        .values()
        .map(|engine| engine.computed)
        .sum();
    let uncached = simulation
        .engines
        .values()
        .map(|engine| engine.computed_uncached)
        .sum();
    [
        (simulation.sends + 2 * simulation.moves).into(),
        simulation.values_sent,
        computed,
        uncached,
    ]
}

const COST_STAGES: usize = 4;
const COST_PROMPT: u64 = 512;
const COST_TOKENS: u64 = 64;

/// Tabulates what each recovery mode costs over a run without faults, and checks the
/// order of the costs, which is the reason for the default mode.
#[test]
fn recovery_costs_compare_as_designed() {
    let ways = [
        ("move", RecoveryMode::MoveCache, None),
        ("replay", RecoveryMode::ReplayStage, Some(Fault::DieBefore)),
        (
            "new attempt",
            RecoveryMode::NewAttempt,
            Some(Fault::DieBefore),
        ),
    ];
    let mut table = String::from("point stage way: round_trips values positions uncached\n");
    for (point, token) in [("prefill", 0), ("first", 1), ("middle", 32), ("last", 63)] {
        for stage in [0, 1, 3] {
            let mut computed = Vec::new();
            for (way, mode, fault) in ways {
                let at = token * COST_STAGES as u32 + stage;
                let fault = fault.unwrap_or(Fault::Leave(stage as usize));
                let plain = cost(mode, None);
                let cost = cost(mode, Some((at, fault)));
                let extra: Vec<u64> = cost.iter().zip(plain).map(|(a, b)| a - b).collect();
                table += &format!("{point} {stage} {way}: {extra:?}\n");
                computed.push(extra[2]);
            }
            assert_eq!(computed[0], 0, "a moved cache is not recomputed");
            assert!(computed[1] <= computed[2], "a replay runs one stage only");
        }
    }
    insta::assert_snapshot!(table);
}
