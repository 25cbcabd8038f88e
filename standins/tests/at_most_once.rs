//! Checks that a non-idempotent request runs at most once, whatever fails.

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

/// Long enough that no claim times out on a busy machine.
const LONG_CLAIM_TIMEOUT: &str = "\n[timing]\nclaim_timeout = \"15s\"\nstep_timeout = \"15s\"\n";
/// Short enough that claims time out.
const SHORT_CLAIM_TIMEOUT: &str = "\n[timing]\nclaim_timeout = \"600ms\"\nlog_wait = \"50ms\"\n";
/// Response time of the platform while a test stops a claimant between the arrival of its
/// claim in the log and its own read of that claim.
const SLOW_PLATFORM_MS: u64 = 400;
/// Attempts at stopping a claimant at the right moment.
const STOP_ATTEMPTS: u64 = 20;

/// Guards against a settlement that runs twice, because each host finds the key unused
/// and forwards the request. A load balancer sends one key to two or three hosts at once,
/// and to one of them twice.
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
        "no second caller got a response"
    );
    // Later retries at any host get the response from the log.
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

/// Guards against a request that is refused or gets the response of another one, because
/// keys are assumed to be unique or are not checked. Two organisations use one key, one
/// organisation uses a key for two bodies, and requests come without a key or with one
/// that has no timestamp.
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
        // Only the declaration of the service marks this operation as non-idempotent.
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

/// Guards against a request that runs after its caller was refused, because it is
/// forwarded without a claim, and against a key that stays unusable after an outage,
/// because a claim that was never written counts. The log refuses all calls and recovers
/// later.
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
        fleet.settle_until_response(host, key, key).await?;
        assert_eq!(fleet.runs(key).len(), 1);
    }
    fleet.check()
}

/// Guards against a request that runs twice, or never in spite of its claim, because the
/// claimant treats the claim as failed or appends another one. The append of the claim
/// takes effect, but its response is lost.
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

/// Guards against a request that runs after it was reported as not run, because a late
/// claim is dispatched, and against a key that stays blocked, because the claim is not
/// withdrawn. The append of the claim is lost or reaches the log after the claimant has
/// given up, and the caller retries with the same key.
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
            // All appends are lost, since hosts append other records besides the claim.
            0 => faults.lose_appends = u32::MAX,
            _ => faults.delay_ms = delay_ms,
        });
        let request = format!("{key}-lost");
        let outcome = fleet.settle(fleet.callers(0), &request, &key).await;
        faults.update(|faults| faults.lose_appends = 0);
        if outcome.is_response() {
            // The delay was too short for the claim to time out.
            faults.update(|faults| faults.delay_ms = 0);
            continue;
        }
        given_up += 1;
        assert_eq!(outcome.refusal()?.verdict, RunVerdict::NotRun);
        assert!(fleet.runs(&key).is_empty());
        if delay_ms > 0 {
            eventually("the late claim is in the log", || async {
                fleet.is_claimed(&key)
            })
            .await?;
        }
        faults.update(|faults| faults.delay_ms = 0);
        let host = fleet.callers(1);
        fleet.settle_until_response(host, &key, &key).await?;
        assert_eq!(fleet.runs(&key).len(), 1);
        assert!(fleet.runs(&key)[0].request.as_deref() != Some(&*request));
    }
    assert!(given_up > 3, "only {given_up} claims were lost or late");
    fleet.check()
}

/// A claimant that is stopped between its claim and its dispatch.
struct StoppedClaimant {
    key: String,
    outcome: tokio::task::JoinHandle<CallOutcome>,
}

/// Stops a claimant after its claim has reached the log and before it has forwarded the
/// request.
async fn stop_claimant(
    fleet: &ClaimFleet,
    claimant: &DaemonProcess,
) -> Result<StoppedClaimant, TestError> {
    let faults = fleet.fleet.platform.faults();
    let mut random = StdRng::seed_from_u64(43);
    for number in 0..STOP_ATTEMPTS {
        let key = new_key(number);
        faults.update(|faults| faults.delay_ms = SLOW_PLATFORM_MS);
        // Without this pause the claim would arrive together with the claimant's next
        // read of the log.
        let pause = random.random_range(SLOW_PLATFORM_MS / 4..SLOW_PLATFORM_MS / 2);
        tokio::time::sleep(Duration::from_millis(pause)).await;
        let outcome = tokio::spawn({
            let (recorder, key) = (Arc::clone(&fleet.recorder), key.clone());
            let (host, request) = (claimant.callers, format!("{key}-caught"));
            async move { recorder.settle(ORGANISATION, host, &request, &key).await }
        });
        eventually("the claim is in the log", || async {
            fleet.is_claimed(&key) || outcome.is_finished()
        })
        .await?;
        claimant.process.signal("STOP")?;
        faults.update(|faults| faults.delay_ms = 0);
        // Once another host has given a verdict on the key, bytes in flight to the
        // service have arrived.
        let request = format!("{key}-elsewhere");
        let elsewhere = fleet.settle(fleet.callers(0), &request, &key).await;
        if elsewhere.verdict() == Some(RunVerdict::MayHaveRun) && fleet.runs(&key).is_empty() {
            return Ok(StoppedClaimant { key, outcome });
        }
        // The claimant had already forwarded the request, or had not claimed the key.
        // Resumed, it completes the call.
        claimant.process.signal("CONT")?;
        outcome.await?;
        let (host, key) = (claimant.callers, new_key(1_000 + number));
        fleet.settle_until_response(host, &key, &key).await?;
    }
    Err("the claimant was never stopped between claim and dispatch".into())
}

const STOPPED_CLAIMANT_TIMING: &str = "\n[timing]\nclaim_timeout = \"2s\"\nlog_wait = \"10ms\"\n";
const CLAIM_TIMEOUT: Duration = Duration::from_secs(2);

/// Guards against a request that runs long after another host has reported it as "may
/// have run", because the claimant continues without checking the time. The claimant is
/// stopped between claim and dispatch, another host receives the key, and the claimant
/// resumes after the deadline of the claim.
#[tokio::test(flavor = "multi_thread")]
async fn a_claimant_resumed_after_its_deadline_dispatches_nothing() -> TestResult {
    let fleet = ClaimFleet::start(1, STOPPED_CLAIMANT_TIMING).await?;
    let claimant = fleet
        .start_process("vake-frozen", STOPPED_CLAIMANT_TIMING)
        .await?;
    let stopped = stop_claimant(&fleet, &claimant).await?;
    // The claim was made before this sleep begins, so its deadline has passed when the
    // sleep ends.
    tokio::time::sleep(CLAIM_TIMEOUT).await;
    claimant.process.signal("CONT")?;
    let outcome = stopped.outcome.await?;
    assert_eq!(outcome.verdict(), Some(RunVerdict::NotRun), "{outcome:?}");
    assert!(fleet.runs(&stopped.key).is_empty());
    // The withdrawal makes the key usable again, and the request still runs only once.
    let host = fleet.callers(0);
    let request = format!("{}-back", stopped.key);
    fleet
        .settle_until_response(host, &request, &stopped.key)
        .await?;
    assert_eq!(fleet.runs(&stopped.key).len(), 1);
    fleet.check()
}

/// Guards against a request that runs twice, because a host treats the claim of a dead
/// claimant as void, although the claimant may have forwarded the request before it died.
/// The claimant is killed between claim and dispatch, a daemon restarts on its host, and
/// the caller retries at every host.
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

/// Guards against a request that runs again long after the first time, because a key
/// without a claim is taken for a new one. A key is reused after its window, when its
/// claim has left the log, at a host that knew it and at one that started later; another
/// claim leaves the log too early, and its key is sent to the host that started later.
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
    eventually("the key is refused as expired", || {
        expired(host, "old-again")
    })
    .await?;
    // Later claims push the claims on both keys out of the log. The declarations are
    // fewer and stay.
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

/// Guards against a key that stays blocked, or whose response is unknown, after a
/// shutdown, because the daemon exits once the caller has its response and before the
/// outcome is in the log. A daemon receives a signal to stop while a request runs and the
/// log is slow.
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
        let unfreeze = async {
            tokio::task::yield_now().await;
            service.update(|faults| faults.frozen = false);
        };
        tokio::join!(stopping.shutdown(), unfreeze);
    });
    assert!(outcome.is_response(), "{outcome:?}");
    let records = fleet.fleet.platform.record("claims");
    let is_outcome = |text: &str| text.contains("outcome") && text.contains("\"ran\"");
    assert!(
        records.iter().any(|record| is_outcome(&record.body)),
        "the daemon exited before the outcome was in the log"
    );
    faults.update(|faults| faults.delay_ms = 0);
    let repeat = fleet.settle(fleet.callers(0), "repeat", &key).await;
    assert_eq!(repeat, outcome);
    fleet.check()
}

/// Guards against a generation that runs twice under one key, because only calls of
/// services are claimed. A load balancer sends one keyed generation to two hosts at once,
/// and again after it has ended.
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
            first.is_complete() != second.is_complete(),
            "{first:?}, {second:?}"
        );
        let host = fleet.callers(number as usize % 2);
        let third = fleet.generate(host, &requests[2], Some(&key), 5).await;
        let refusal = third.refused().ok_or("a retry was not refused")?;
        assert_eq!(refusal.reason, RefusalReason::ClaimedElsewhere);
        let runs = requests
            .iter()
            .filter(|request| fleet.steps_of(request) > 0);
        assert_eq!(runs.count(), 1, "{key}");
    }
    fleet.check()
}

/// Guards against a request that runs twice because its retry is refused as "not run", so
/// that the caller picks a new key. The response is lost, and the caller retries while
/// its organisation has no capacity left; the key must be checked before the capacity.
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
    eventually("the organisation has capacity on this host", || async {
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
            let is_full = eventually("the capacity is used up", is_full).await;
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
