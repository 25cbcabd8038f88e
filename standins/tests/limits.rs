//! Targets that advertise a limit, with entry hosts as processes, and the check of the
//! requests that they receive.

mod support;

use std::time::{Duration, Instant};

use standins::check::AdvertisedLimit;
use standins::soak::{SoakSettings, run_rate_limit};
use support::TestResult;
use support::soaks::soak_settings;

const HOSTS: usize = 6;

/// Returns arrivals that are `gap_ms` apart.
fn steady(from: Instant, count: u32, gap_ms: u64) -> Vec<Instant> {
    let gap = Duration::from_millis(gap_ms);
    (0..count).map(|number| from + gap * number).collect()
}

#[test]
fn the_check_distinguishes_a_shared_limit_from_one_applied_by_each_host() {
    let from = Instant::now();
    let limit = AdvertisedLimit {
        per_second: 5.0,
        from,
        until: from + Duration::from_secs(20),
    };
    assert_eq!(limit.allowed(), 35.0);
    assert_eq!(limit.worst_violation(&steady(from, 100, 200)), None);
    let copied = limit.worst_violation(&steady(from, 600, 33));
    let copied = copied.expect("a breach");
    assert!(copied.arrived > 100, "{copied:?}");
    // Nothing is checked before the limit has to be kept.
    assert_eq!(limit.worst_violation(&steady(from, 80, 33)), None);
}

/// Guards against hosts that each keep the limit of a target, so that all of them
/// together exceed it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_limit_holds_for_all_hosts_together() -> TestResult {
    let (settings, _folder) = soak_settings(HOSTS).await?;
    let report = run_rate_limit(settings).await?;
    assert_eq!(report.violation, None, "{report:?}");
    assert_eq!(report.unsuccessful, 0, "{report:?}");
    Ok(())
}

/// Guards against hosts that each issue the whole limit of a target: the seeds in their
/// settings are outdated, so that only the log tells them of each other.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_limit_holds_for_hosts_with_outdated_seeds() -> TestResult {
    let (settings, _folder) = soak_settings(HOSTS).await?;
    let report = run_rate_limit(SoakSettings {
        outdated_seeds: true,
        ..settings
    })
    .await?;
    assert_eq!(report.violation, None, "{report:?}");
    assert_eq!(report.unsuccessful, 0, "{report:?}");
    Ok(())
}
