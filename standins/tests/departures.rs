//! Targets that leave while entry hosts, as separate processes, cannot read the log.

mod support;

use standins::soak::{
    DepartureReport, run_departure_during_log_outage, run_departure_with_host_cut_off,
};
use support::TestResult;
use support::soaks::soak_settings;

/// Number of entry hosts, spread over two zones.
const HOSTS: usize = 4;

fn has_no_late_runs(report: &DepartureReport) -> bool {
    report.late_runs == 0 && report.runs_before > 0 && report.unsuccessful == 0
}

/// Guards against a host that is cut off from the log alone and sends requests to a target
/// that left, until the log is back 6 to 9 s later. This happens if hosts without the log
/// query only the hosts of their zone that rank before them: the first host has none.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_host_cut_off_from_the_log_sends_nothing_to_a_leaving_target() -> TestResult {
    let (settings, _folder) = soak_settings(HOSTS).await?;
    let report = run_departure_with_host_cut_off(settings).await?;
    assert!(has_no_late_runs(&report), "{report:?}");
    Ok(())
}

/// Guards against a request that reaches a target 3.3 s after the log acknowledged that
/// the target leaves. This happens if hosts cut off from the log assume that the log itself
/// is down, keep every entry missing from it for 2.5 s, and pass their suspicions on to the
/// hosts that follow them. Live targets whose entries expire meanwhile have to stay in use.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_target_that_left_during_a_log_outage_gets_nothing_and_expired_ones_stay() -> TestResult {
    let (settings, _folder) = soak_settings(HOSTS).await?;
    let report = run_departure_during_log_outage(settings).await?;
    assert!(has_no_late_runs(&report), "{report:?}");
    assert!(report.runs_on_expired > 0, "{report:?}");
    Ok(())
}
