//! Targets that leave while entry hosts, as separate processes, cannot read the log.

mod support;

use standins::soak::{
    DepartureReport, run_departure_during_log_outage, run_departure_with_host_cut_off,
};
use support::TestResult;
use support::soaks::soak_settings;

/// Spread over two zones.
const HOSTS: usize = 4;

fn has_no_late_runs(report: &DepartureReport) -> bool {
    report.late_runs == 0 && report.runs_before > 0 && report.unsuccessful == 0
}

/// Guards against a host that alone loses the log and sends requests to a target that
/// left until the log is back, 6 to 9 s later. Hosts without the log query only the hosts
/// of their zone that rank before them, and the first host has none.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_host_that_lost_the_log_hears_from_its_neighbours_who_leaves() -> TestResult {
    let (settings, _folder) = soak_settings(HOSTS).await?;
    let report = run_departure_with_host_cut_off(settings).await?;
    assert!(has_no_late_runs(&report), "{report:?}");
    Ok(())
}

/// Guards against a request that reaches a target 3.3 s after the log acknowledged that
/// it leaves. Hosts that had lost the log took this for an outage of the log, kept every
/// entry that was missing from it for 2.5 s, and passed their suspicions on to hosts that
/// followed them. Live targets whose entries expired meanwhile have to stay in use.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn who_left_during_a_cut_gets_nothing_after_it_and_who_lapsed_is_kept() -> TestResult {
    let (settings, _folder) = soak_settings(HOSTS).await?;
    let report = run_departure_during_log_outage(settings).await?;
    assert!(has_no_late_runs(&report), "{report:?}");
    assert!(report.runs_on_expired > 0, "{report:?}");
    Ok(())
}
