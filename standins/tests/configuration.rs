//! Configuration is accepted once and never reverted, under the failures of the
//! platform and of those who write to its log.

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
use support::hosts::{ForceWatcher, TestHost, accepted, organisation};
use support::{TestError, TestResult, eventually};

// Symptom: an operator's change vanishes, or two hosts serve different ones.
// Events: two operators change what both have seen, through two hosts, at the
// same time. Cause: a host takes the last change written, or its own.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn of_two_racing_operators_one_is_accepted_and_the_other_told_by_whom() -> TestResult {
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
        let won = replies
            .iter()
            .position(|reply| reply.status == StatusCode::OK);
        let won = won.ok_or_else(|| format!("round {round}: {replies:?}"))?;
        let lost = &replies[1 - won];
        assert_eq!(lost.status, StatusCode::CONFLICT, "round {round}: {lost:?}");
        let version = accepted(&replies[won])?;
        let conflict: ConflictBody = lost.json()?;
        assert_eq!(conflict.winner, Some(version));
        let winner = format!("operator-{}", won + 1);
        assert_eq!(conflict.operator.as_deref(), Some(&*winner));
        all_serve(&hosts, &key("desk"), version).await?;
        based_on = Some(version);
    }
    Ok(())
}

// Symptom: a change is accepted twice, or an operator is told of a failure
// and the change is in force all the same.
// Events: an append takes effect, its answer is lost; the writer appends
// again, or a first attempt that was paused arrives after later changes.
// Cause: the answer of the append decides instead of the record in the log.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_append_whose_answer_is_lost_is_accepted_once() -> TestResult {
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
        // So long as some are left, no append was answered meanwhile.
        assert!(platform.faults().get().lose_append_answers > 0);
        platform
            .faults()
            .update(|faults| faults.lose_append_answers = 0);
        all_serve(&hosts, &key("desk"), version).await?;
        based_on = Some(version);
        let mut records = platform.record(DECLARATION_STREAM).into_iter();
        let stored = records.find(|record| record.offset == version);
        append(&platform, stored.ok_or("not in the log")?.body).await?;
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

// Symptom: an operator is told that a change was not written; it turns up.
// Events: the platform refuses for some seconds, then takes appends and
// answers none, so that the operator's time ends during an append.
// Cause: the verdict is that of the attempts that were answered.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_change_during_an_outage_gets_a_final_answer_that_stays_true() -> TestResult {
    let (refused, hung, both) = tokio::join!(
        change_in_outage(None),
        change_in_outage(Some(Duration::ZERO)),
        change_in_outage(Some(Duration::from_secs(4))),
    );
    assert_eq!(refused?, RunVerdict::NotRun);
    assert_eq!(hung?, RunVerdict::MayHaveRun);
    // Either is right; that the first was not untrue is checked inside.
    both.map(|_| ())
}

/// Gives the verdict of a change while the platform refuses and, if so asked,
/// then hangs. Fails if it is told as not written and yet comes to be.
async fn change_in_outage(refused: Option<Duration>) -> Result<RunVerdict, TestError> {
    let platform = start_platform(u64::MAX).await?;
    let host = TestHost::start("entry-1", "vake", platform.local_addr(), &[]).await?;
    let version = host.declare("desk", 1).await?;
    host.serves(&key("desk"), version).await?;
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
    // Whatever was on its way is in the log before this one is accepted.
    let later = host.declare("desk", 2).await?;
    host.serves(&key("desk"), later).await?;
    match host.version(&key("other")).await {
        Some(found) if verdict == RunVerdict::NotRun => {
            Err(format!("told not run, and accepted as {found}").into())
        }
        _ => Ok(verdict),
    }
}

// Symptom: after a writer wakes from a long pause, deleted resources are back.
// Events: it appends a checkpoint of the state before its pause.
// Cause: readers take the content of any checkpoint that they meet.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_old_checkpoint_appended_late_is_ignored_and_a_wrong_one_told() -> TestResult {
    let platform = start_platform(u64::MAX).await?;
    let mut hosts = Vec::from(start_hosts(platform.local_addr()).await?);
    let first = hosts[0].declare("gone", 1).await?;
    let old = hosts[0].declare("desk", 1).await?;
    all_serve(&hosts, &key("desk"), old).await?;
    let [table, wrong] = right_and_wrong(&platform)?;
    let watcher = ForceWatcher::spawn();
    hosts.iter().for_each(|host| watcher.add(host));
    let version = hosts[1].declare("desk", 2).await?;
    let deletion = operator::delete(hosts[1].operators, &key("gone"), first).await?;
    let deletion = accepted(&deletion)?;
    all_serve(&hosts, &key("desk"), version).await?;
    watcher.in_force(&key("desk"), version, false);
    append(&platform, checkpoint("late", &table)?).await?;
    hosts.push(TestHost::start("alone", "vake", platform.local_addr(), &[]).await?);
    watcher.add(&hosts[3]);
    let newest = hosts[3].declare("other", 3).await?;
    all_serve(&hosts, &key("other"), newest).await?;
    watcher.in_force(&key("gone"), deletion, true);
    for host in &hosts {
        assert_eq!(host.version(&key("desk")).await, Some(version));
        assert_eq!(host.version(&key("gone")).await, None, "{}", host.name);
        assert_eq!(metric(host, DIFFERING).await, Some(0), "{}", host.name);
    }
    append(&platform, checkpoint("wrong", &wrong)?).await?;
    for host in &hosts {
        let what = "the wrong checkpoint is told";
        eventually(what, || async { metric(host, DIFFERING).await == Some(1) }).await?;
        assert_eq!(host.version(&key("desk")).await, Some(version));
    }
    watcher.finish()
}

// Symptom: after an upgrade of half the hosts the others serve what they make
// of records that they can't judge. Events: a record of newer rules is read.
// Cause: the host goes on, or takes it for a malformed one.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_record_of_newer_rules_stops_a_host_from_taking_work() -> TestResult {
    let platform = start_platform(u64::MAX).await?;
    let hosts = start_hosts(platform.local_addr()).await?;
    let version = hosts[0].declare("desk", 1).await?;
    all_serve(&hosts, &key("desk"), version).await?;
    let record = format!("{{\"id\":\"newer\",\"rules\":{}}}", JUDGING_RULES + 1);
    append(&platform, record).await?;
    for host in &hosts {
        eventually("the host takes no work", || async {
            !host.is_ready().await
        })
        .await?;
    }
    let reply = operator::apply(hosts[0].operators, &organisation("x", 1), None).await?;
    let refusal: RefusalBody = reply.json()?;
    assert_eq!(refusal.verdict, RunVerdict::NotRun);
    assert_eq!(refusal.reason, RefusalReason::NotReady);
    Ok(())
}
