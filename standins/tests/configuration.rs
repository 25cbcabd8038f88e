//! Checks that configuration is accepted once and never reverted while the platform or
//! the writers to its log fail.

mod support;

use std::time::Duration;

use http::StatusCode;
use jackdawwick::api::wire::{ConflictBody, RefusalBody};
use jackdawwick::reason::RefusalReason;
use jackdawwick::records::{DECLARATION_STREAM, JUDGING_RULES};
use jackdawwick::verdict::RunVerdict;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use standins::operator;
use support::configuration::*;
use support::hosts::{ReversionDetector, TestHost, accepted, organisation};
use support::{TestError, TestResult, eventually};

/// Guards against an operator's change that is lost, or hosts that serve different ones,
/// because a host applies the last change written, or its own. Two operators change the
/// same version through two hosts at the same time.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn of_two_concurrent_changes_one_is_accepted_and_the_other_gets_a_conflict() -> TestResult {
    let platform = start_platform(u64::MAX).await?;
    let hosts = start_hosts(platform.local_addr()).await?;
    let mut random = StdRng::seed_from_u64(41);
    let mut based_on = None;
    for round in 1..=30 {
        let (first, second) = (random.random_range(0..3), random.random_range(0..3));
        let specs = [
            organisation("desk", round),
            organisation("desk", 1_000 + round),
        ];
        let replies = tokio::join!(
            operator::apply_as("operator-1", hosts[first].operators, &specs[0], based_on),
            operator::apply_as("operator-2", hosts[second].operators, &specs[1], based_on),
        );
        let replies = [replies.0?, replies.1?];
        let accepted_index = replies
            .iter()
            .position(|reply| reply.status == StatusCode::OK);
        let accepted_index = accepted_index.ok_or_else(|| format!("round {round}: {replies:?}"))?;
        let rejected = &replies[1 - accepted_index];
        assert_eq!(
            rejected.status,
            StatusCode::CONFLICT,
            "round {round}: {rejected:?}"
        );
        let version = accepted(&replies[accepted_index])?;
        let conflict: ConflictBody = rejected.json()?;
        assert_eq!(conflict.winner, Some(version));
        let winner = format!("operator-{}", accepted_index + 1);
        assert_eq!(conflict.operator.as_deref(), Some(&*winner));
        wait_until_all_serve(&hosts, &key("desk"), version).await?;
        based_on = Some(version);
    }
    Ok(())
}

/// Guards against a change that is accepted twice, or that is in effect although the
/// operator got an error, because the response to the append decides instead of the
/// record in the log. An append takes effect but its response is lost; the writer appends
/// again, and a copy of the record arrives after later changes.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_append_with_a_lost_response_is_accepted_once() -> TestResult {
    let platform = start_platform(u64::MAX).await?;
    let hosts = start_hosts(platform.local_addr()).await?;
    let mut based_on = Some(hosts[0].declare("desk", 1).await?);
    for round in 2..20 {
        platform
            .faults()
            .update(|faults| faults.lose_append_answers = 1_000);
        let host = &hosts[round as usize % 3];
        let change = organisation("desk", round);
        let version = accepted(&operator::apply(host.operators, &change, based_on).await?)?;
        // While the counter is not used up, every response to an append is lost.
        assert!(platform.faults().get().lose_append_answers > 0);
        platform
            .faults()
            .update(|faults| faults.lose_append_answers = 0);
        wait_until_all_serve(&hosts, &key("desk"), version).await?;
        based_on = Some(version);
        let mut records = platform.record(DECLARATION_STREAM).into_iter();
        let stored = records.find(|record| record.offset == version);
        append(
            &platform,
            stored.ok_or("the change is not in the log")?.body,
        )
        .await?;
    }
    let end = append(&platform, "the end".to_owned()).await?;
    for host in &hosts {
        eventually("the repeated appends are read", || async {
            host.status()
                .await
                .is_some_and(|status| status.applied > end)
        })
        .await?;
        assert_eq!(host.version(&key("desk")).await, based_on);
    }
    Ok(())
}

/// Guards against a change that takes effect after it was reported as not written,
/// because the verdict rests only on the attempts that got a response. The platform
/// refuses calls for some seconds and then accepts appends without a response, so that
/// the operator's deadline expires during an append.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_change_during_an_outage_gets_a_correct_verdict() -> TestResult {
    let (refused, hung, both) = tokio::join!(
        change_in_outage(None),
        change_in_outage(Some(Duration::ZERO)),
        change_in_outage(Some(Duration::from_secs(3))),
    );
    assert_eq!(refused?, RunVerdict::NotRun);
    assert_eq!(hung?, RunVerdict::MayHaveRun);
    // Both verdicts are possible here; `change_in_outage` checks that the verdict is
    // true.
    both.map(|_| ())
}

/// Returns the verdict on a change while the platform refuses calls and, after `refused`,
/// hangs. Fails if the change is reported as not run and is accepted all the same.
async fn change_in_outage(refused: Option<Duration>) -> Result<RunVerdict, TestError> {
    let platform = start_platform(u64::MAX).await?;
    let host = TestHost::start("entry-1", "vake", platform.local_addr(), &[]).await?;
    let version = host.declare("desk", 1).await?;
    host.wait_until_serving(&key("desk"), version).await?;
    platform.faults().update(|faults| faults.outage = true);
    let faults = platform.faults();
    let switch = async {
        if let Some(refused) = refused {
            tokio::time::sleep(refused).await;
            faults.update(|faults| (faults.hanging, faults.outage) = (true, false));
        }
    };
    let other = organisation("other", 1);
    let (reply, ()) = tokio::join!(operator::apply(host.operators, &other, None), switch);
    let reply = reply?;
    assert_eq!(
        reply.status,
        match reply.json::<RefusalBody>()?.verdict {
            RunVerdict::NotRun => StatusCode::SERVICE_UNAVAILABLE,
            _ => StatusCode::GATEWAY_TIMEOUT,
        }
    );
    let verdict = reply.json::<RefusalBody>()?.verdict;
    platform
        .faults()
        .update(|faults| (faults.hanging, faults.outage) = (false, false));
    // All appends in flight are in the log before this change is accepted.
    let later = host.declare("desk", 2).await?;
    host.wait_until_serving(&key("desk"), later).await?;
    match host.version(&key("other")).await {
        Some(found) if verdict == RunVerdict::NotRun => {
            Err(format!("reported as not run, but accepted as version {found}").into())
        }
        _ => Ok(verdict),
    }
}

/// Guards against "may have run" for a change that the platform refused each time: the
/// operator's deadline passes while a slow refusal is on its way.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_change_that_is_refused_slowly_is_reported_as_not_run() -> TestResult {
    let verdicts = tokio::try_join!(
        change_refused_after(500),
        change_refused_after(600),
        change_refused_after(700),
        change_refused_after(800),
    );
    assert_eq!(<[RunVerdict; 4]>::from(verdicts?), [RunVerdict::NotRun; 4]);
    Ok(())
}

/// Returns the verdict on a change while the platform refuses each call after a delay.
async fn change_refused_after(delay_ms: u64) -> Result<RunVerdict, TestError> {
    let platform = start_platform(u64::MAX).await?;
    let host = TestHost::start("entry-1", "vake", platform.local_addr(), &[]).await?;
    platform
        .faults()
        .update(|faults| (faults.outage, faults.delay_ms) = (true, delay_ms));
    let other = organisation("other", 1);
    let reply = operator::apply(host.operators, &other, None).await?;
    Ok(reply.json::<RefusalBody>()?.verdict)
}

/// Guards against deleted resources that return, because hosts apply the content of every
/// checkpoint in the log. A writer resumes after a long pause and appends a checkpoint of
/// the state before the pause.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_stale_checkpoint_is_ignored_and_a_wrong_one_reported() -> TestResult {
    let platform = start_platform(u64::MAX).await?;
    let mut hosts = Vec::from(start_hosts(platform.local_addr()).await?);
    let first = hosts[0].declare("gone", 1).await?;
    let old = hosts[0].declare("desk", 1).await?;
    wait_until_all_serve(&hosts, &key("desk"), old).await?;
    let [table, wrong] = correct_and_wrong_tables(&platform)?;
    let detector = ReversionDetector::spawn();
    hosts.iter().for_each(|host| detector.add(host));
    let version = hosts[1].declare("desk", 2).await?;
    let deletion = operator::delete(hosts[1].operators, &key("gone"), first).await?;
    let deletion = accepted(&deletion)?;
    wait_until_all_serve(&hosts, &key("desk"), version).await?;
    detector.set_minimum(&key("desk"), version, false);
    append(&platform, checkpoint("late", &table)?).await?;
    hosts.push(TestHost::start("alone", "vake", platform.local_addr(), &[]).await?);
    detector.add(&hosts[3]);
    let newest = hosts[3].declare("other", 3).await?;
    wait_until_all_serve(&hosts, &key("other"), newest).await?;
    detector.set_minimum(&key("gone"), deletion, true);
    for host in &hosts {
        assert_eq!(host.version(&key("desk")).await, Some(version));
        assert_eq!(host.version(&key("gone")).await, None, "{}", host.name);
        assert_eq!(
            metric(host, DIFFERING_CHECKPOINTS).await,
            Some(0),
            "{}",
            host.name
        );
    }
    append(&platform, checkpoint("wrong", &wrong)?).await?;
    for host in &hosts {
        let what = "the wrong checkpoint is counted";
        eventually(what, || async {
            metric(host, DIFFERING_CHECKPOINTS).await == Some(1)
        })
        .await?;
        assert_eq!(host.version(&key("desk")).await, Some(version));
    }
    detector.finish()
}

/// Guards against hosts that serve a configuration from records that they cannot
/// evaluate, because they continue or treat the record as malformed. During an upgrade a
/// host reads a record with newer rules.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_record_with_newer_rules_makes_hosts_unready() -> TestResult {
    let platform = start_platform(u64::MAX).await?;
    let hosts = start_hosts(platform.local_addr()).await?;
    let version = hosts[0].declare("desk", 1).await?;
    wait_until_all_serve(&hosts, &key("desk"), version).await?;
    let record = format!("{{\"id\":\"newer\",\"rules\":{}}}", JUDGING_RULES + 1);
    append(&platform, record).await?;
    for host in &hosts {
        eventually("the host is not ready", || async { !host.is_ready().await }).await?;
    }
    let reply = operator::apply(hosts[0].operators, &organisation("x", 1), None).await?;
    let refusal: RefusalBody = reply.json()?;
    assert_eq!(refusal.verdict, RunVerdict::NotRun);
    assert_eq!(refusal.reason, RefusalReason::NotReady);
    Ok(())
}
