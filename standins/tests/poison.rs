//! A request that engines do not survive, against entry hosts as processes.

mod support;

use standins::soak::{PoisonReport, run_poison_request};
use support::TestResult;
use support::soaks::soak_settings;

const HOSTS: usize = 4;

/// Symptom: one caller's request crashes engine after engine, at whichever host it
/// comes, and again after all hosts have lost their power. Sequence: three hosts see an
/// engine end each; all hosts are killed and start again; the request comes again.
/// Cause: what a host had seen of a request stayed with its process.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_poison_request_is_refused_by_all_hosts_and_after_a_start_of_all() -> TestResult {
    let (settings, _folder) = soak_settings(HOSTS).await?;
    let report = run_poison_request(settings).await?;
    let expected = PoisonReport {
        crashed: 3,
        refused_by: HOSTS,
        refused_after_restart: HOSTS,
        crashed_later: 0,
    };
    assert_eq!(report, expected);
    Ok(())
}
