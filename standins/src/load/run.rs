//! One run, from the start of the fleet to the figures.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::driver::LoadDriver;
use super::fault::{FaultWindow, InjectedFault, inject_fault};
use super::figures::{LoadFigures, UsageFigures};
use super::measure::{self, SteadyWindow};
use super::outcome::LoadOutcomes;
use super::recovery::{self, RecoveryInput};
use super::usage::{UsageSample, resident_megabytes};
use super::{HardwareBound, LoadOptions, calibrate, plan_arrivals};
use crate::check::{RunHistory, check_all};
use crate::fleet::Fleet;
use crate::json_client::CallError;

/// Share of the run that is excluded at its beginning.
const WARM_UP_FRACTION: f64 = 0.2;
/// Start of the fault, as a share of the run.
const FAULT_BEGIN_FRACTION: f64 = 0.5;
/// End of a transient fault, as a share of the run.
const FAULT_END_FRACTION: f64 = 0.75;
/// Time from the start of the fleet to the first arrival, in which the daemons exchange
/// heartbeats and target loads.
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// Grace period for leaving targets; no run of this tool has any.
const LEAVE_GRACE: Duration = Duration::from_secs(5);

/// Data from which a run is measured.
struct LoadRun {
    outcomes: LoadOutcomes,
    injected: Option<InjectedFault>,
    steady: SteadyWindow,
    before: UsageSample,
    after: UsageSample,
}

/// Starts the fleet of the shape, runs the load and computes the figures.
///
/// # Errors
/// If the fleet cannot be started.
pub async fn run_load(options: &LoadOptions) -> Result<LoadFigures, CallError> {
    let mut layout = options.shape.layout();
    layout.policy.clone_from(&options.policy);
    layout.seed = options.seed;
    let engine_saturation = calibrate::saturation(&layout).await?;
    let mut fleet = Fleet::start(layout).await?;
    tokio::time::sleep(SETTLE_TIME).await;
    let run = drive(&mut fleet, options).await;
    // All daemons are shut down before the records are read, so that a step that runs too
    // late is not missed.
    for daemon in &mut fleet.daemons {
        daemon.shutdown().await;
    }
    let recorded = fleet.recorded();
    let figures = LoadFigures {
        engine_saturation,
        ..figures(options, &fleet, &run, &recorded)
    };
    let violations = check_all(&history(run.outcomes, recorded), LEAVE_GRACE);
    fleet.shutdown().await;
    Ok(LoadFigures {
        broken: violations.iter().map(ToString::to_string).collect(),
        ..figures
    })
}

async fn drive(fleet: &mut Fleet, options: &LoadOptions) -> LoadRun {
    let mix = options.shape.mix();
    let planned = plan_arrivals(options, &fleet.layout, &mix);
    let start = Instant::now();
    let steady = SteadyWindow {
        begin: start + options.length.mul_f64(WARM_UP_FRACTION),
        end: start + options.length,
        mix,
        bound: HardwareBound::new(&fleet.layout, &mix),
    };
    let window = FaultWindow {
        begin: start + options.length.mul_f64(FAULT_BEGIN_FRACTION),
        end: start + options.length.mul_f64(FAULT_END_FRACTION),
    };
    let driver = LoadDriver::new(fleet, mix);
    let load = tokio::spawn(driver.drive(planned, start));
    tokio::time::sleep_until(steady.begin.into()).await;
    let before = UsageSample::take(fleet).await;
    let injected = inject_fault(fleet, options.fault, window).await;
    tokio::time::sleep_until(steady.end.into()).await;
    let after = UsageSample::take(fleet).await;
    LoadRun {
        outcomes: load.await.unwrap_or_default(),
        injected,
        steady,
        before,
        after,
    }
}

fn history(outcomes: LoadOutcomes, recorded: RunHistory) -> RunHistory {
    let generations = outcomes.generations.into_iter();
    let calls = outcomes.calls.into_iter();
    RunHistory {
        generations: generations.map(|outcome| outcome.history).collect(),
        service_calls: calls.map(|outcome| outcome.history).collect(),
        ..recorded
    }
}

fn figures(
    options: &LoadOptions,
    fleet: &Fleet,
    run: &LoadRun,
    recorded: &RunHistory,
) -> LoadFigures {
    let (steady, generations) = (&run.steady, &run.outcomes.generations);
    let arrived = steady.arrived(generations);
    let tokens = measure::all_tokens(generations);
    let counts = steady.counts(&arrived);
    let organisations = steady.organisations(&fleet.layout, &arrived);
    let between_tokens = measure::token_gaps(&arrived);
    let calls = run.outcomes.calls.iter();
    let keyed = || {
        let histories = run.outcomes.calls.iter().map(|call| &call.history);
        histories.filter(|call| call.key.is_some())
    };
    let recovery = run.injected.as_ref().and_then(|injected| {
        recovery::recovery(&RecoveryInput {
            layout: &fleet.layout,
            injected,
            recorded,
            generations,
            usual_gap: Duration::from_secs_f64(between_tokens.p50_ms / 1000.0),
        })
    });
    let throughput_back = run.injected.as_ref().and_then(|injected| {
        recovery::throughput_back(&tokens, steady.begin, injected.at, steady.end)
    });
    LoadFigures {
        shape: options.shape.name().to_owned(),
        policy: options.policy.clone(),
        fault: options.fault.name().to_owned(),
        rate_factor: options.rate_factor,
        large_factor: options.large_factor,
        seconds: options.length.as_secs_f64(),
        seed: options.seed,
        engine_saturation: 0.0,
        bound_requests_per_second: steady.bound.requests_per_second,
        bound_tokens_per_second: steady.bound.tokens_per_second,
        throughput_of_bound: steady.throughput(&tokens),
        goodput_of_bound: steady.goodput(generations),
        counts,
        first_token: measure::first_tokens(&arrived),
        between_tokens,
        whole_answer: measure::complete_responses(&arrived),
        refusal: steady.refusal_times(&arrived),
        service_call: steady.call_times(&run.outcomes.calls),
        calls_refused: calls
            .map(|call| call.history.refusals().count() as u64)
            .sum(),
        keyed_calls: keyed().count() as u64,
        keyed_answered: keyed().filter(|call| call.is_successful()).count() as u64,
        doubled_calls: keyed().filter(|call| call.replies.len() > 1).count() as u64,
        refusals: by_reason(&run.after, "jackdawwick_refusals_total"),
        retries: by_reason(&run.after, "jackdawwick_retries_total"),
        fairness: measure::fairness(&organisations),
        organisations,
        recovery,
        throughput_back_ms: throughput_back.map(|back| back.as_secs_f64() * 1000.0),
        usage: usage(fleet, run),
        broken: Vec::new(),
    }
}

fn usage(fleet: &Fleet, run: &LoadRun) -> UsageFigures {
    let daemons = fleet.daemons.len() as f64;
    let delta = run.after.since(&run.before, fleet);
    let control = |way: &str| {
        let name = format!("jackdawwick_control_{way}_bytes_total");
        run.after.growth(&run.before, &name) / delta.seconds / daemons
    };
    UsageFigures {
        cores_per_daemon: delta.daemon_cores / daemons,
        peer_cores_per_daemon: delta.peer_cores / daemons,
        process_cores: delta.process_cores,
        process_megabytes: resident_megabytes(),
        control_sent_per_daemon: control("sent"),
        control_received_per_daemon: control("received"),
    }
}

/// Returns the counts of a metric by its label `reason`, without zeros.
fn by_reason(sample: &UsageSample, metric: &str) -> BTreeMap<String, u64> {
    let prefix = format!("{metric}{{reason=\"");
    let counters = sample.counters.iter().filter(|(_, value)| **value > 0.0);
    let reasons = counters.filter_map(|(name, value)| {
        let reason = name.strip_prefix(&prefix)?.strip_suffix("\"}")?;
        Some((reason.to_owned(), *value as u64))
    });
    reasons.collect()
}
