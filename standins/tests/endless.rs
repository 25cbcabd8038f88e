//! Entry hosts as processes before targets whose responses never end.

mod support;

use standins::soak::{EndlessPart, EndlessPlan, run_endless};
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
        part,
        slow,
        targets: TARGETS,
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
