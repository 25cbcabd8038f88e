//! Entry hosts as processes before targets whose responses never end.

mod support;

use standins::soak::{EndlessPart, EndlessPlan, HostLimits, LinkLoss, SoakSettings, run_endless};
use support::TestResult;
use support::soaks::soak_settings;

const HOSTS: usize = 2;
/// Half of the targets.
const TARGETS: usize = 4;
/// Half of the memory of the smallest hosts, in bytes.
const MAX_MEMORY: u64 = 130 * 1024 * 1024;

async fn check(part: EndlessPart, slow: bool) -> TestResult {
    let (settings, _folder) = soak_settings(HOSTS).await?;
    let plan = EndlessPlan {
        part: Some(part),
        slow,
        targets: TARGETS,
        loss: None,
    };
    let report = run_endless(settings, plan).await?;
    assert_eq!(report.violations, [], "{report:?}");
    assert_eq!(report.unfinished, 0, "{report:?}");
    assert!(report.opened > 0, "{report:?}");
    assert_eq!(report.left_open, [], "{report:?}");
    assert!(report.peak_memory < MAX_MEMORY, "{report:?}");
    assert!(report.adapted.sent > 50, "{report:?}");
    assert!(report.adapted.share() > 0.9, "{report:?}");
    Ok(())
}

macro_rules! check_parts {
    ($($name:ident: $part:ident, $slow:literal;)*) => {$(
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() -> TestResult {
            check(EndlessPart::$part, $slow).await
        }
    )*};
}

// Each guards against requests that hang, memory that grows and connections that stay open
// while targets send bytes until the host closes the connection.
check_parts! {
    status_line_without_end: StatusLine, false;
    slow_status_line_without_end: StatusLine, true;
    header_line_without_end: HeaderLine, false;
    headers_without_end: Headers, false;
    slow_headers_without_end: Headers, true;
    interim_responses_without_end: InterimResponses, false;
    slow_interim_responses_without_end: InterimResponses, true;
    chunk_size_without_end: ChunkSize, false;
    chunk_extension_without_end: ChunkExtension, false;
    slow_chunk_extension_without_end: ChunkExtension, true;
    trailers_without_end: Trailers, false;
    failure_body_without_end: FailureBody, false;
    slow_failure_body_without_end: FailureBody, true;
    body_without_proof_and_end: Body, false;
    slow_body_without_proof_and_end: Body, true;
    proven_body_without_end: ProvenBody, false;
    proven_bytes_without_end: ProvenBytes, false;
    noise_without_end: Noise, false;
    slow_noise_without_end: Noise, true;
}

/// Memory of the smallest host, in megabytes.
const SMALLEST_MEMORY_MB: u64 = 112;

/// Runs all parts at once before hosts with little memory.
async fn check_all_parts(slow: bool, loss: Option<LinkLoss>) -> TestResult {
    let (settings, _folder) = soak_settings(HOSTS).await?;
    let limits = HostLimits {
        memory_mb: SMALLEST_MEMORY_MB,
        ..settings.limits
    };
    let plan = EndlessPlan {
        part: None,
        slow,
        targets: TARGETS,
        loss,
    };
    let report = run_endless(SoakSettings { limits, ..settings }, plan).await?;
    assert_eq!(report.violations, [], "{report:?}");
    assert_eq!(report.unfinished, 0, "{report:?}");
    assert!(report.opened > 12, "{report:?}");
    assert_eq!(report.left_open, [], "{report:?}");
    assert!(report.peak_memory < SMALLEST_MEMORY_MB << 20, "{report:?}");
    assert!(report.adapted.sent > 50, "{report:?}");
    assert!(report.adapted.share() > 0.9, "{report:?}");
    Ok(())
}

/// Guards against a host that runs out of memory, and ends the requests of other callers,
/// before several targets that respond without end in all ways at once.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn all_parts_without_end_leave_the_smallest_host_within_its_memory() -> TestResult {
    check_all_parts(false, None).await
}

/// Guards against the same, a byte at a time.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn all_slow_parts_without_end_leave_the_smallest_host_within_its_memory() -> TestResult {
    check_all_parts(true, None).await
}

/// Guards against the same at a host that passes the requests of another one on.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn all_parts_without_end_leave_a_gateway_within_its_memory() -> TestResult {
    check_all_parts(false, Some(LinkLoss::Silent)).await
}
