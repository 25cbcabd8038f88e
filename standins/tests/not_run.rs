//! Checks that a request that is reported as not run did not run.

mod claim_fleet;
mod support;

use claim_fleet::{CallOutcome, ClaimFleet, ORGANISATION, new_key};
use futures::future::join_all;
use jackdawwick::reason::RefusalReason;
use jackdawwick::target::wire::TargetRefusalKind;
use jackdawwick::verdict::RunVerdict;
use standins::caller::GenerationResponse;
use standins::engine::EngineFaults;
use standins::service::{DeathPoint, ServiceFaults};
use support::{TestResult, eventually};

/// Short timeouts for targets that hang.
const SHORT_TARGET_TIMEOUTS: &str =
    "\n[timing]\nconnect_timeout = \"200ms\"\nstep_timeout = \"400ms\"\n";
/// Slows a call of 5 ms far beyond the step timeout of 400 ms.
const SLOW_FACTOR: f64 = 300.0;
/// Tokens of a generation that completes.
const TOKENS: u64 = 6;
/// Tokens of a generation that does not end before it is interrupted.
const LONG_TOKENS: u64 = 1_000;

/// A fault of the service, with the expected verdict and whether the call takes effect.
struct CallCase {
    name: &'static str,
    faults: ServiceFaults,
    verdict: RunVerdict,
    takes_effect: bool,
}

fn call_cases() -> Vec<CallCase> {
    use RunVerdict::{MayHaveRun, NotRun};
    let case = |name, verdict, takes_effect, change: fn(&mut ServiceFaults)| {
        let mut faults = ServiceFaults::default();
        change(&mut faults);
        CallCase {
            name,
            faults,
            verdict,
            takes_effect,
        }
    };
    vec![
        case("dead", NotRun, false, |faults| faults.dead = true),
        case("leaving", NotRun, false, |faults| faults.leaving = true),
        case("overloaded", NotRun, false, |faults| {
            faults.refuse_calls = 9;
        }),
        case("malformed", NotRun, false, |faults| {
            faults.refuse_calls = 9;
            faults.refusal = TargetRefusalKind::Malformed;
        }),
        case("lost", MayHaveRun, false, |faults| faults.lose_calls = 9),
        case("dies before", MayHaveRun, false, |faults| {
            faults.die_at = Some(DeathPoint::Before);
        }),
        case("dies during", MayHaveRun, true, |faults| {
            faults.die_at = Some(DeathPoint::During);
        }),
        case("dies after", MayHaveRun, true, |faults| {
            faults.die_at = Some(DeathPoint::After);
        }),
        case("response lost", MayHaveRun, true, |faults| {
            faults.lose_answers = 9;
        }),
        case("frozen", MayHaveRun, true, |faults| faults.frozen = true),
        case("slow", MayHaveRun, true, |faults| {
            faults.slow_factor = SLOW_FACTOR;
        }),
        case("long link delay", MayHaveRun, true, |faults| {
            faults.link_delay_ms = 1_500;
        }),
    ]
}

/// Guards against a settlement that runs twice because it was reported as not run, when a
/// failure after the send is taken for one before it, or the key of a call that may have
/// run is accepted again. The service is dead, refuses, dies before, during or after the
/// call, loses the call or the response, hangs, or is slow.
#[tokio::test(flavor = "multi_thread")]
async fn a_settlement_reported_not_run_did_not_run() -> TestResult {
    let results = join_all(call_cases().into_iter().map(try_settlement)).await;
    results.into_iter().collect()
}

async fn try_settlement(case: CallCase) -> TestResult {
    let fleet = ClaimFleet::start(2, SHORT_TARGET_TIMEOUTS).await?;
    let service = fleet.service();
    service.faults().set(case.faults);
    let key = new_key(1);
    let outcome = fleet.settle(fleet.callers(0), "first", &key).await;
    assert_eq!(
        outcome.verdict(),
        Some(case.verdict),
        "{}: {outcome:?}",
        case.name
    );
    fleet.check()?;
    service.faults().set(ServiceFaults::default());
    match case.verdict {
        RunVerdict::NotRun => {
            assert!(fleet.runs(&key).is_empty(), "{}", case.name);
            let host = fleet.callers(1);
            fleet.settle_until_response(host, "again", &key).await?;
        }
        _ => {
            let settled = || async { fleet.settlements() > 0 };
            eventually("the claim is settled", settled).await?;
            for (number, host) in (0..6).zip([1, 0].into_iter().cycle()) {
                let request = format!("again-{number}");
                let outcome = fleet.settle(fleet.callers(host), &request, &key).await;
                let verdict = outcome.verdict();
                assert_eq!(verdict, Some(RunVerdict::MayHaveRun), "{}", case.name);
            }
        }
    }
    if case.takes_effect {
        eventually(case.name, || async { !fleet.runs(&key).is_empty() }).await?;
    }
    let expected = case.takes_effect || case.verdict == RunVerdict::NotRun;
    assert_eq!(
        fleet.runs(&key).len(),
        usize::from(expected),
        "{}",
        case.name
    );
    fleet.check()?;
    Ok(())
}

/// Guards against an idempotent call that ran although it was reported as not run. The
/// router may retry such a call where that is allowed, and its verdict must cover every
/// attempt.
#[tokio::test(flavor = "multi_thread")]
async fn a_plain_call_reported_not_run_did_not_run() -> TestResult {
    let results = join_all(call_cases().into_iter().map(try_plain_call)).await;
    results.into_iter().collect()
}

async fn try_plain_call(case: CallCase) -> TestResult {
    let fleet = ClaimFleet::start(1, SHORT_TARGET_TIMEOUTS).await?;
    let service = fleet.service();
    service.faults().set(case.faults);
    let outcome = fleet
        .query_balance(ORGANISATION, fleet.callers(0), "plain")
        .await;
    assert!(
        matches!(outcome, CallOutcome::Refused(_)),
        "{}: {outcome:?}",
        case.name
    );
    if case.takes_effect {
        assert_ne!(outcome.verdict(), Some(RunVerdict::NotRun), "{}", case.name);
    }
    service.faults().set(ServiceFaults::default());
    if case.takes_effect {
        let ran = || async { !service.record().is_empty() };
        eventually(case.name, ran).await?;
    }
    fleet.check()?;
    Ok(())
}

/// A fault of the engine, with the expected verdict.
struct RunCase {
    name: &'static str,
    faults: EngineFaults,
    verdict: RunVerdict,
}

fn run_cases() -> Vec<RunCase> {
    use RunVerdict::{MayHaveRun, NotRun};
    let case = |name, verdict, change: fn(&mut EngineFaults)| {
        let mut faults = EngineFaults::default();
        change(&mut faults);
        RunCase {
            name,
            faults,
            verdict,
        }
    };
    vec![
        case("dead", NotRun, |faults| faults.dead = true),
        case("leaving", NotRun, |faults| faults.leaving = true),
        case("overloaded", NotRun, |faults| faults.refuse_steps = 999),
        case("lost", MayHaveRun, |faults| faults.lose_steps = 999),
        case("responses lost", MayHaveRun, |faults| {
            faults.lose_answers = 999;
        }),
        case("frozen", MayHaveRun, |faults| faults.frozen = true),
        case("slow", MayHaveRun, |faults| faults.slow_factor = 9_999.0),
    ]
}

fn verdict_of(response: &GenerationResponse) -> Option<RunVerdict> {
    response.refused().map(|body| body.verdict)
}

/// Guards against a generation that is reported as not run although an engine ran it,
/// because the verdict rests on the last failure alone, or the key of a run that may have
/// begun is accepted again. The engine is dead, refuses, loses requests or responses,
/// hangs, or is slow, for generations with and without a key.
#[tokio::test(flavor = "multi_thread")]
async fn a_generation_reported_not_run_did_not_run() -> TestResult {
    let results = join_all(run_cases().into_iter().map(try_generation)).await;
    results.into_iter().collect()
}

async fn try_generation(case: RunCase) -> TestResult {
    let fleet = ClaimFleet::start(2, SHORT_TARGET_TIMEOUTS).await?;
    let engine = fleet.engine();
    engine.faults().set(case.faults);
    let key = new_key(1);
    let host = fleet.callers(0);
    let (plain, keyed) = tokio::join!(
        fleet.generate(host, "plain", None, TOKENS),
        fleet.generate(host, "keyed", Some(&key), TOKENS),
    );
    for response in [&plain, &keyed] {
        let verdict = verdict_of(response);
        assert_eq!(verdict, Some(case.verdict), "{}: {response:?}", case.name);
    }
    fleet.check()?;
    engine.faults().set(EngineFaults::default());
    if case.verdict == RunVerdict::NotRun {
        assert_eq!(fleet.steps_of("plain") + fleet.steps_of("keyed"), 0);
    }
    check_key_after(&fleet, case.verdict, &key, TOKENS).await?;
    fleet.check()?;
    Ok(())
}

/// Checks that the key can be used for one more run after "not run", and for none after
/// any other verdict.
async fn check_key_after(
    fleet: &ClaimFleet,
    verdict: RunVerdict,
    key: &str,
    tokens: u64,
) -> TestResult {
    let host = fleet.callers(1);
    if verdict == RunVerdict::NotRun {
        let attempts = std::cell::Cell::new(0);
        return eventually("the key can be used", || async {
            attempts.set(attempts.get() + 1);
            let request = format!("again-{}", attempts.get());
            let response = fleet.generate(host, &request, Some(key), tokens).await;
            response.is_complete()
        })
        .await;
    }
    // Until the claim is settled its holder gives the verdict; after that the log does.
    eventually("the claim is settled", || async { fleet.settlements() > 0 }).await?;
    for (number, host) in (0..6).zip([1, 0].into_iter().cycle()) {
        let (request, host) = (format!("again-{number}"), fleet.callers(host));
        let response = fleet.generate(host, &request, Some(key), tokens).await;
        let refusal = response.refused().ok_or("the key was accepted again")?;
        assert_eq!(refusal.reason, RefusalReason::ClaimedElsewhere);
        assert_ne!(refusal.verdict, RunVerdict::NotRun);
        assert_eq!(fleet.steps_of(&request), 0);
    }
    Ok(())
}

/// Guards against an interrupted stream that is reported as not run, because delivered
/// tokens do not count as run. The engine dies while it responds.
#[tokio::test(flavor = "multi_thread")]
async fn an_interrupted_generation_is_never_reported_not_run() -> TestResult {
    let fleet = ClaimFleet::start(2, SHORT_TARGET_TIMEOUTS).await?;
    let engine = fleet.engine();
    let slow = EngineFaults {
        slow_factor: 20.0,
        ..EngineFaults::default()
    };
    engine.faults().set(slow);
    let key = new_key(1);
    let (response, died) = tokio::join!(
        fleet.generate(fleet.callers(0), "broken", Some(&key), LONG_TOKENS),
        async {
            let begun = || async { fleet.steps_of("broken") > 4 };
            let begun = eventually("the run has begun", begun).await;
            engine.crash();
            begun
        }
    );
    died?;
    assert_eq!(verdict_of(&response), Some(RunVerdict::MayHaveRun));
    assert!(!response.tokens().is_empty());
    engine.revive();
    check_key_after(&fleet, RunVerdict::MayHaveRun, &key, LONG_TOKENS).await?;
    fleet.check()
}

/// Guards against a generation that is reported as not run although its deadline expired
/// during a step, because a step without a response does not count as run. The engine
/// hangs while it responds.
#[tokio::test(flavor = "multi_thread")]
async fn a_timed_out_generation_is_never_reported_not_run() -> TestResult {
    let fleet = ClaimFleet::start(1, "\n[timing]\nstep_timeout = \"20s\"\n").await?;
    let engine = fleet.engine();
    let (response, hung) = tokio::join!(
        fleet.generate(fleet.callers(0), "late", None, LONG_TOKENS),
        async {
            let begun = || async { fleet.steps_of("late") > 0 };
            let begun = eventually("the run has begun", begun).await;
            engine.faults().update(|faults| faults.frozen = true);
            begun
        }
    );
    hung?;
    let refusal = response.refused().ok_or("the generation was not refused")?;
    assert_eq!(refusal.verdict, RunVerdict::MayHaveRun, "{refusal:?}");
    fleet.check()
}
