//! A non-idempotent request runs at most once, whatever fails.

mod claim_fleet;
mod support;

use std::sync::Arc;
use std::time::{Duration, SystemTime};

use claim_fleet::{
    CallOutcome, ClaimFleet, ORGANISATION, OTHER_ORGANISATION, SMALL_ORGANISATION, key_created_at,
    new_key,
};
use futures::future::join_all;
use jackdawwick::reason::RefusalReason;
use jackdawwick::verdict::RunVerdict;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use standins::caller::{CallerClient, OutgoingCall};
use support::{DaemonProcess, TestError, TestResult, eventually};

/// Long enough for a claim on a busy machine, where none is to be given up.
const LONG_CLAIM_TIMEOUT: &str = "\n[timing]\nclaim_timeout = \"15s\"\nstep_timeout = \"15s\"\n";
/// Short, where giving up is what is tried.
const SHORT_CLAIM_TIMEOUT: &str = "\n[timing]\nclaim_timeout = \"600ms\"\nlog_wait = \"50ms\"\n";
/// How long the platform takes for a call while a claimant is to be caught
/// between its claim's arrival in the log and its own reading of it.
const SLOW_PLATFORM_MS: u64 = 400;
/// Times that a claimant is tried to be caught.
const STOP_ATTEMPTS: u64 = 20;

/// Symptom: a traveller is charged twice.
/// Sequence: the balancer sends one key to two or three hosts at once, and to
/// one of them twice.
/// Cause: each host finds the key unused and sends the request on.
#[tokio::test(flavor = "multi_thread")]
async fn concurrent_requests_with_one_key_run_once() -> TestResult {
    let fleet = ClaimFleet::start(3, LONG_CLAIM_TIMEOUT).await?;
    let mut random = StdRng::seed_from_u64(41);
    let mut sent = Vec::new();
    let keys: Vec<String> = (0..60).map(new_key).collect();
    for key in &keys {
        let first = random.random_range(0..3);
        for attempt in 0..random.random_range(2..5) {
            let host = fleet.callers((first + attempt) % 3);
            sent.push((host, format!("{key}-at-{attempt}"), key));
        }
    }
    let settle = |(host, request, key): &(_, String, &String)| {
        let (host, request, key) = (*host, request.clone(), (*key).clone());
        let fleet = &fleet;
        async move { fleet.settle(host, &request, &key).await }
    };
    let outcomes = join_all(sent.iter().map(settle)).await;
    fleet.check()?;
    for key in &keys {
        assert_eq!(fleet.runs(key).len(), 1, "{key}");
    }
    for outcome in &outcomes {
        let may_have_run = outcome.verdict() == Some(RunVerdict::MayHaveRun);
        assert!(outcome.is_response() || may_have_run, "{outcome:?}");
    }
    let response_count = outcomes
        .iter()
        .filter(|outcome| outcome.is_response())
        .count();
    assert!(
        response_count > keys.len(),
        "no answer reached a second caller"
    );
    // Later repeats, at any host, get the answer from the log.
    for (host, key) in (0..3).cycle().zip(&keys) {
        let request = format!("{key}-again");
        let outcome = fleet.settle(fleet.callers(host), &request, key).await;
        assert!(outcome.is_response(), "{outcome:?}");
    }
    fleet.check()?;
    for key in &keys {
        assert_eq!(fleet.runs(key).len(), 1, "{key}");
    }
    Ok(())
}

/// Symptom: a request is refused or answered with another's answer.
/// Sequence: two organisations use one key; one organisation uses a key for
/// two bodies; a request comes without a key, or with one that has no time.
/// Cause: keys are taken to be unique, or unchecked.
#[tokio::test]
async fn a_key_belongs_to_one_request_of_one_organisation() -> TestResult {
    let fleet = ClaimFleet::start(2, LONG_CLAIM_TIMEOUT).await?;
    let (key, host) = (new_key(1), fleet.callers(0));
    fleet.settle(host, "first", &key).await.response()?;
    let other = fleet.settle_as(OTHER_ORGANISATION, host, "other", &key);
    other.await.response()?;
    assert_eq!(fleet.runs(&key).len(), 2);
    let caller = CallerClient::open(ORGANISATION);
    let unusable = uuid::Builder::from_random_bytes([7; 16]).into_uuid();
    let unusable = unusable.to_string();
    for (body, key, hint) in [
        ("{\"other\":1}", Some(key.as_str()), "different request"),
        ("{}", Some(unusable.as_str()), "UUID of version 7"),
        // Marked by the service's declaration alone.
        ("{}", None, "UUID of version 7"),
    ] {
        let call = OutgoingCall {
            path: claim_fleet::SETTLE,
            body: body.into(),
            key,
        };
        let reply = caller.call_service(host, "odd", call).await?;
        assert_eq!(reply.status, http::StatusCode::BAD_REQUEST, "{reply:?}");
        let text = String::from_utf8_lossy(&reply.body).into_owned();
        assert!(text.contains("not_run") && text.contains(hint), "{text}");
    }
    assert_eq!(fleet.service().record().len(), 2);
    fleet.check()
}

/// Symptom: a request runs although its caller was refused, or its key cannot
/// be used after an outage.
/// Sequence: the log refuses everything; the request comes; the log is back.
/// Cause: the request is sent on without a claim, or the claim that was never
/// written is taken to hold the key.
#[tokio::test(flavor = "multi_thread")]
async fn a_log_outage_refuses_requests_and_keeps_their_keys_usable() -> TestResult {
    let fleet = ClaimFleet::start(2, LONG_CLAIM_TIMEOUT).await?;
    let faults = fleet.fleet.platform.faults();
    faults.update(|faults| faults.outage = true);
    for (number, host) in (0..8).zip([0, 1].into_iter().cycle()) {
        let key = new_key(number);
        let request = format!("outage-{number}");
        let outcome = fleet.settle(fleet.callers(host), &request, &key).await;
        let refusal = outcome.refusal()?;
        assert_eq!(refusal.verdict, RunVerdict::NotRun);
        assert_eq!(refusal.reason, RefusalReason::LogUnavailable);
        assert!(refusal.retry_after_ms.is_some());
        assert!(fleet.runs(&key).is_empty());
    }
    assert!(fleet.service().record().is_empty());
    faults.update(|faults| faults.outage = false);
    let keys: Vec<String> = (0..8).map(|number| new_key(100 + number)).collect();
    for key in &keys {
        let host = fleet.callers(1);
        fleet.settle_until_answered(host, key, key).await?;
        assert_eq!(fleet.runs(key).len(), 1);
    }
    fleet.check()
}

/// Symptom: a request runs twice, or never although its claim stands.
/// Sequence: the append of the claim takes effect, its answer is lost.
/// Cause: the claimant takes the claim for failed, or appends another one.
#[tokio::test(flavor = "multi_thread")]
async fn a_claim_with_a_lost_append_response_runs_once() -> TestResult {
    let fleet = ClaimFleet::start(2, LONG_CLAIM_TIMEOUT).await?;
    for number in 0..10 {
        let key = new_key(number);
        let faults = fleet.fleet.platform.faults();
        faults.update(|faults| faults.lose_append_answers = 2);
        let (first, second) = (format!("{key}-first"), format!("{key}-second"));
        let (first, second) = tokio::join!(
            fleet.settle(fleet.callers(0), &first, &key),
            fleet.settle(fleet.callers(1), &second, &key),
        );
        assert!(
            first.is_response() || second.is_response(),
            "{first:?}, {second:?}"
        );
        assert_eq!(fleet.runs(&key).len(), 1);
    }
    fleet.check()
}

/// Symptom: a request runs although its caller was told that it did not, or
/// its key stays blocked.
/// Sequence: the append of the claim is lost, or it reaches the log only after
/// the claimant has given up; the caller comes back with the same key.
/// Cause: a claim that turns up late is dispatched, or nobody withdraws it.
#[tokio::test(flavor = "multi_thread")]
async fn a_claim_that_is_lost_or_late_is_never_dispatched() -> TestResult {
    let fleet = ClaimFleet::start(2, SHORT_CLAIM_TIMEOUT).await?;
    let faults = fleet.fleet.platform.faults();
    let mut given_up = 0;
    for (number, delay_ms) in (0..).zip([0, 900, 0, 1_200].into_iter().cycle().take(40)) {
        if given_up > 3 {
            break;
        }
        let key = new_key(number);
        faults.update(|faults| match delay_ms {
            // All of them: hosts append other records beside the claim.
            0 => faults.lose_appends = u32::MAX,
            _ => faults.delay_ms = delay_ms,
        });
        let request = format!("{key}-lost");
        let outcome = fleet.settle(fleet.callers(0), &request, &key).await;
        faults.update(|faults| faults.lose_appends = 0);
        if outcome.is_response() {
            // The delay was too short to be noticed.
            faults.update(|faults| faults.delay_ms = 0);
            continue;
        }
        given_up += 1;
        assert_eq!(outcome.refusal()?.verdict, RunVerdict::NotRun);
        assert!(fleet.runs(&key).is_empty());
        if delay_ms > 0 {
            eventually("the claim turns up", || async { fleet.is_claimed(&key) }).await?;
        }
        faults.update(|faults| faults.delay_ms = 0);
        let host = fleet.callers(1);
        fleet.settle_until_answered(host, &key, &key).await?;
        assert_eq!(fleet.runs(&key).len(), 1);
        assert!(fleet.runs(&key)[0].request.as_deref() != Some(&*request));
    }
    assert!(given_up > 3, "only {given_up} claims were lost or late");
    fleet.check()
}

/// A claimant that stands still between its claim and its dispatch.
struct StoppedClaimant {
    key: String,
    outcome: tokio::task::JoinHandle<CallOutcome>,
}

/// Stops a claimant after its claim has reached the log and before it has
/// sent the request on.
async fn stop_claimant(
    fleet: &ClaimFleet,
    claimant: &DaemonProcess,
) -> Result<StoppedClaimant, TestError> {
    let faults = fleet.fleet.platform.faults();
    let mut random = StdRng::seed_from_u64(43);
    for number in 0..STOP_ATTEMPTS {
        let key = new_key(number);
        faults.update(|faults| faults.delay_ms = SLOW_PLATFORM_MS);
        // Sent at once, the claim would arrive together with the claimant's
        // next read of the log.
        let pause = random.random_range(SLOW_PLATFORM_MS / 4..SLOW_PLATFORM_MS / 2);
        tokio::time::sleep(Duration::from_millis(pause)).await;
        let outcome = tokio::spawn({
            let (recorder, key) = (Arc::clone(&fleet.recorder), key.clone());
            let (host, request) = (claimant.callers, format!("{key}-caught"));
            async move { recorder.settle(ORGANISATION, host, &request, &key).await }
        });
        eventually("the claim shows", || async {
            fleet.is_claimed(&key) || outcome.is_finished()
        })
        .await?;
        claimant.process.signal("STOP")?;
        faults.update(|faults| faults.delay_ms = 0);
        // Once another host has judged the key, bytes that were on their way
        // to the service have arrived.
        let request = format!("{key}-elsewhere");
        let elsewhere = fleet.settle(fleet.callers(0), &request, &key).await;
        if elsewhere.verdict() == Some(RunVerdict::MayHaveRun) && fleet.runs(&key).is_empty() {
            return Ok(StoppedClaimant { key, outcome });
        }
        // It had gone on too far, or had claimed nothing; woken, it ends.
        claimant.process.signal("CONT")?;
        outcome.await?;
        let (host, key) = (claimant.callers, new_key(1_000 + number));
        fleet.settle_until_answered(host, &key, &key).await?;
    }
    Err("the claimant was never caught".into())
}

const STOPPED_CLAIMANT_TIMING: &str = "\n[timing]\nclaim_timeout = \"2s\"\nlog_wait = \"10ms\"\n";
const CLAIM_TIMEOUT: Duration = Duration::from_secs(2);

/// Symptom: a request that another host reported as "may have run" is run long
/// after its caller left.
/// Sequence: the claimant is frozen between claim and dispatch; another host
/// is asked for the key; the claim's deadline passes; the claimant wakes.
/// Cause: the claimant goes on where it stood and does not look at the time.
#[tokio::test(flavor = "multi_thread")]
async fn a_claimant_resumed_after_its_deadline_dispatches_nothing() -> TestResult {
    let fleet = ClaimFleet::start(1, STOPPED_CLAIMANT_TIMING).await?;
    let claimant = fleet
        .start_process("vake-frozen", STOPPED_CLAIMANT_TIMING)
        .await?;
    let stopped = stop_claimant(&fleet, &claimant).await?;
    // The claim was made before now, so its deadline lies before this ends.
    tokio::time::sleep(CLAIM_TIMEOUT).await;
    claimant.process.signal("CONT")?;
    let outcome = stopped.outcome.await?;
    assert_eq!(outcome.verdict(), Some(RunVerdict::NotRun), "{outcome:?}");
    assert!(fleet.runs(&stopped.key).is_empty());
    // The withdrawal frees the key, and still it runs once only.
    let host = fleet.callers(0);
    let request = format!("{}-back", stopped.key);
    fleet
        .settle_until_answered(host, &request, &stopped.key)
        .await?;
    assert_eq!(fleet.runs(&stopped.key).len(), 1);
    fleet.check()
}

/// Symptom: a request runs twice.
/// Sequence: the claimant is killed between claim and dispatch, and a daemon
/// starts on its host; the caller comes back to every host.
/// Cause: a host takes the dead claimant's claim for void, though the claimant
/// may have sent the request before it died.
#[tokio::test(flavor = "multi_thread")]
async fn the_claim_of_a_killed_claimant_is_never_taken_over() -> TestResult {
    let fleet = ClaimFleet::start(1, STOPPED_CLAIMANT_TIMING).await?;
    let mut claimant = fleet
        .start_process("vake-killed", STOPPED_CLAIMANT_TIMING)
        .await?;
    let stopped = stop_claimant(&fleet, &claimant).await?;
    claimant.process.kill()?;
    assert_eq!(stopped.outcome.await?, CallOutcome::NoResponse);
    let successor = fleet
        .start_process("vake-killed", STOPPED_CLAIMANT_TIMING)
        .await?;
    for (number, host) in [fleet.callers(0), successor.callers, fleet.callers(0)]
        .into_iter()
        .enumerate()
    {
        let request = format!("{}-{number}", stopped.key);
        let outcome = fleet.settle(host, &request, &stopped.key).await;
        assert_eq!(
            outcome.verdict(),
            Some(RunVerdict::MayHaveRun),
            "{outcome:?}"
        );
    }
    assert!(fleet.runs(&stopped.key).is_empty());
    fleet.check()
}

/// Symptom: a request runs a second time long after the first.
/// Sequence: a key comes back after its window, when its claim has expired
/// from the log, to a host that knew it and to one that started later; or its
/// claim has expired too early and it comes to one that started later.
/// Cause: a key without a claim is taken for a new one.
#[tokio::test(flavor = "multi_thread")]
async fn a_key_reused_after_its_window_is_refused() -> TestResult {
    const WINDOW: Duration = Duration::from_secs(60);
    const REMAINING: Duration = Duration::from_secs(4);
    let settings = "\n[timing]\nidempotency_window = \"1m\"\nclock_skew = \"100ms\"\n";
    let fleet = ClaimFleet::start(1, settings).await?;
    let host = fleet.callers(0);
    let old = key_created_at(SystemTime::now() - (WINDOW - REMAINING), 1);
    let young = new_key(2);
    fleet.settle(host, "old", &old).await.response()?;
    fleet.settle(host, "young", &young).await.response()?;
    let expired = async |host, request: &str| {
        let outcome = fleet.settle(host, request, &old).await;
        let refusal = outcome.refusal();
        refusal.is_ok_and(|body| {
            (body.verdict, body.reason) == (RunVerdict::NotRun, RefusalReason::KeyExpired)
        })
    };
    eventually("the key is too old", || expired(host, "old-again")).await?;
    // Later claims push those on both keys out of the log; the declarations,
    // which are fewer, stay.
    let kept = fleet.fleet.platform.record("declarations").len() as u64;
    for number in 10..10 + kept {
        let key = new_key(number);
        fleet.settle(host, &key, &key).await.response()?;
    }
    fleet.fleet.platform.set_retention(kept);
    let late = fleet.start_process("vake-late", settings).await?;
    assert!(expired(late.callers, "old-late").await);
    let outcome = fleet.settle(late.callers, "young-late", &young).await;
    let refusal = outcome.refusal()?;
    assert_eq!(refusal.verdict, RunVerdict::NotRun);
    assert_eq!(refusal.reason, RefusalReason::NotReady);
    assert!(refusal.retry_after_ms.is_some());
    assert_eq!(fleet.runs(&old).len(), 1);
    assert_eq!(fleet.runs(&young).len(), 1);
    fleet.check()
}

/// Symptom: a key stays blocked, or its answer unknown, after a shutdown.
/// Sequence: a daemon is told to stop while a request runs and the log is slow.
/// Cause: it exits once its caller is answered, before the log shows how the
/// request ended.
#[tokio::test(flavor = "multi_thread")]
async fn a_shutdown_waits_until_outcomes_are_in_the_log() -> TestResult {
    let mut fleet = ClaimFleet::start(2, LONG_CLAIM_TIMEOUT).await?;
    let key = new_key(1);
    let faults = fleet.fleet.platform.faults();
    fleet
        .service()
        .faults()
        .update(|faults| faults.frozen = true);
    let service = fleet.service().faults();
    let mut stopping = fleet.fleet.daemons.remove(0);
    let (callers, fleet) = (stopping.callers, &fleet);
    let (outcome, ()) = tokio::join!(fleet.settle(callers, "stopping", &key), async {
        let claimed = eventually("the key is claimed", || async { fleet.is_claimed(&key) });
        assert!(claimed.await.is_ok());
        faults.update(|faults| faults.delay_ms = SLOW_PLATFORM_MS);
        let thaw = async {
            tokio::task::yield_now().await;
            service.update(|faults| faults.frozen = false);
        };
        tokio::join!(stopping.shutdown(), thaw);
    });
    assert!(outcome.is_response(), "{outcome:?}");
    let records = fleet.fleet.platform.record("claims");
    let is_outcome = |text: &str| text.contains("outcome") && text.contains("\"ran\"");
    assert!(
        records.iter().any(|record| is_outcome(&record.body)),
        "the daemon ended without an outcome in the log"
    );
    faults.update(|faults| faults.delay_ms = 0);
    let repeat = fleet.settle(fleet.callers(0), "repeat", &key).await;
    assert_eq!(repeat, outcome);
    fleet.check()
}

/// Symptom: a draft is written twice under one key.
/// Sequence: the balancer sends one marked generation to two hosts at once,
/// and once more after it has ended.
/// Cause: only calls of services are claimed.
#[tokio::test(flavor = "multi_thread")]
async fn concurrent_generations_with_one_key_run_once() -> TestResult {
    let fleet = ClaimFleet::start(2, LONG_CLAIM_TIMEOUT).await?;
    for number in 0..10 {
        let key = new_key(number);
        let requests = [0, 1, 2].map(|attempt| format!("draft-{number}-{attempt}"));
        let (first, second) = tokio::join!(
            fleet.generate(fleet.callers(0), &requests[0], Some(&key), 5),
            fleet.generate(fleet.callers(1), &requests[1], Some(&key), 5),
        );
        assert!(
            first.is_whole() != second.is_whole(),
            "{first:?}, {second:?}"
        );
        let host = fleet.callers(number as usize % 2);
        let third = fleet.generate(host, &requests[2], Some(&key), 5).await;
        let refusal = third.refused().ok_or("a repeat was let through")?;
        assert_eq!(refusal.reason, RefusalReason::ClaimedElsewhere);
        let runs = requests
            .iter()
            .filter(|request| fleet.steps_of(request) > 0);
        assert_eq!(runs.count(), 1, "{key}");
    }
    fleet.check()
}

/// Symptom: a caller is told "not run" of a request that ran, takes a new key,
/// and it runs again.
/// Sequence: the answer is lost on its way; the caller repeats the request
/// while its organisation has no room left.
/// Cause: the repeat is refused before anybody looks at its key.
#[tokio::test(flavor = "multi_thread")]
async fn a_retry_of_a_completed_request_is_not_refused_as_not_run() -> TestResult {
    let settings = format!("{LONG_CLAIM_TIMEOUT}\n[limits]\nmax_queued_per_organisation = 0\n");
    let fleet = ClaimFleet::start(1, &settings).await?;
    let daemon = &fleet.fleet.daemons[0];
    let (host, key, other) = (daemon.callers, new_key(1), new_key(2));
    let settle = |request: &'static str, key: &str| {
        let (fleet, key) = (&fleet, key.to_owned());
        async move {
            fleet
                .settle_as(SMALL_ORGANISATION, host, request, &key)
                .await
        }
    };
    eventually("the organisation has room here", || async {
        let outcome = fleet
            .query_balance(SMALL_ORGANISATION, host, "warm-up")
            .await;
        outcome.is_response()
    })
    .await?;
    let first = settle("first", &key).await;
    first.response()?;
    let faults = fleet.service().faults();
    faults.update(|faults| faults.frozen = true);
    let (blocker, refused) = tokio::join!(
        fleet.query_balance(SMALL_ORGANISATION, host, "blocker"),
        async {
            let is_full = || async { fleet.in_flight(daemon).await > 0 };
            let is_full = eventually("no room is left", is_full).await;
            let outcomes = [settle("repeat", &key).await, settle("new", &other).await];
            faults.update(|faults| faults.frozen = false);
            is_full.map(|()| outcomes)
        }
    );
    blocker.response()?;
    let [repeat, new] = refused?;
    assert_eq!(repeat, first);
    assert_eq!(new.verdict(), Some(RunVerdict::NotRun), "{new:?}");
    assert_eq!(fleet.runs(&key).len(), 1);
    assert!(fleet.runs(&other).is_empty());
    fleet.check()
}
