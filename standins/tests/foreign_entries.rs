//! Entries of another writer among those of the targets, read by entry hosts as processes.

mod support;

use standins::soak::{EntryMoment, run_foreign_entries};
use support::TestResult;
use support::soaks::soak_settings;

const HOSTS: usize = 4;

async fn check(moment: EntryMoment) -> TestResult {
    let (settings, _folder) = soak_settings(HOSTS).await?;
    let report = run_foreign_entries(settings, moment).await?;
    assert!(report.unserved.is_empty(), "{report:?}");
    assert!(report.unexpected_exits.is_empty(), "{report:?}");
    assert!(report.reads_on, "{report:?}");
    assert_eq!(report.routed, 0, "{report:?}");
    assert!(report.entries > 20, "{report:?}");
    Ok(())
}

/// Guards against running hosts that an odd entry of another writer ends, or keeps from reading on.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn odd_entries_end_no_running_host_and_hide_no_other_entry() -> TestResult {
    check(EntryMoment::Running).await
}

/// Guards against hosts that end at each start because of an odd entry in the list.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn hosts_start_beside_odd_entries() -> TestResult {
    check(EntryMoment::Start).await
}
