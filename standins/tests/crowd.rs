//! An entry host as a process with little memory, and crowds of callers and targets that send
//! more than it can hold.

mod support;

use std::time::Duration;

use standins::soak::{
    CrowdBody, CrowdPlan, CrowdReport, CrowdSide, HostLimits, ServingTimes, SoakSettings,
    run_crowds,
};
use support::TestResult;
use support::soaks::soak_settings;
use tokio::sync::Mutex;

const MEBIBYTE: usize = 1024 * 1024;
const LIMITS: HostLimits = HostLimits {
    memory_mb: 64,
    descriptors: 256,
    body_bytes: 4 * MEBIBYTE,
};

/// The same memory, and descriptors for whole crowds.
const ROOMY: HostLimits = HostLimits {
    descriptors: 1024,
    ..LIMITS
};

/// Timeout of the routes for bodies that take long to read.
const LONG_ROUTE: Duration = Duration::from_secs(20);

/// Crowds run one at a time.
static TURN: Mutex<()> = Mutex::const_new(());

async fn run(
    limits: HostLimits,
    groups: &[Vec<CrowdPlan>],
) -> Result<CrowdReport, support::TestError> {
    let _turn = TURN.lock().await;
    let (settings, _folder) = soak_settings(1).await?;
    let is_small = |plan: &CrowdPlan| plan.body == CrowdBody::SmallChunks;
    let times = match groups.iter().flatten().any(is_small) {
        // A host reads them slowly.
        true => ServingTimes {
            route: LONG_ROUTE,
            ..settings.times
        },
        false => settings.times,
    };
    let settings = SoakSettings {
        limits,
        times,
        ..settings
    };
    Ok(run_crowds(settings, groups).await?)
}

async fn check(limits: HostLimits, groups: &[Vec<CrowdPlan>]) -> TestResult {
    let report = run(limits, groups).await?;
    assert_eq!(report.unexpected_exits, Vec::<String>::new(), "{report:?}");
    assert!(report.peak_memory < limits.memory_mb << 20, "{report:?}");
    assert!(report.peak_descriptors < limits.descriptors, "{report:?}");
    assert!(report.is_answered, "{report:?}");
    assert!(report.sent > 0, "{report:?}");
    Ok(())
}

macro_rules! check_crowds {
    ($($name:ident: $side:ident, $body:ident, $members:literal, $bytes:expr;)*) => {$(
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() -> TestResult {
            let plan = CrowdPlan {
                side: CrowdSide::$side,
                body: CrowdBody::$body,
                members: $members,
                bytes: $bytes,
            };
            check(LIMITS, &[vec![plan]]).await
        }
    )*};
}

// Each guards against a host that ends, or serves nobody else, because of what it holds of
// bodies and heads that many peers send at once.
check_crowds! {
    callers_send_large_bodies: Callers, Whole, 32, LIMITS.body_bytes;
    callers_send_bodies_byte_by_byte: Callers, Bytes, 32, 4000;
    callers_send_large_chunks: Callers, LargeChunks, 32, LIMITS.body_bytes;
    callers_send_small_chunks: Callers, SmallChunks, 16, MEBIBYTE;
    callers_send_extensions: Callers, Extensions, 16, MEBIBYTE / 4;
    callers_stop_within_trailers: Callers, Trailers, 32, MEBIBYTE;
    callers_announce_bodies_over_the_limit: Callers, AnnouncedOver, 32, LIMITS.body_bytes;
    callers_send_chunks_without_end: Callers, WithoutEnd, 32, LIMITS.body_bytes;
    callers_stop_within_heads: Callers, Head, 400, 12 * 1024;
    callers_stop_within_bodies: Callers, Whole, 400, 16 * 1024;
    targets_send_large_bodies: Targets, Whole, 16, 8 * MEBIBYTE;
    targets_send_bodies_byte_by_byte: Targets, Bytes, 32, 4000;
    targets_send_large_chunks: Targets, LargeChunks, 16, 8 * MEBIBYTE;
    targets_send_small_chunks: Targets, SmallChunks, 16, 2 * MEBIBYTE;
    targets_announce_bodies_over_the_limit: Targets, AnnouncedOver, 16, 8 * MEBIBYTE;
    targets_send_chunks_without_end: Targets, WithoutEnd, 16, 8 * MEBIBYTE;
    callers_read_no_responses: Readers, Whole, 64, 2 * MEBIBYTE;
}

fn crowd(side: CrowdSide, body: CrowdBody, members: usize, bytes: usize) -> CrowdPlan {
    CrowdPlan {
        side,
        body,
        members,
        bytes,
    }
}

/// Returns crowds of callers and of targets that send in different ways.
fn crowds() -> Vec<CrowdPlan> {
    vec![
        crowd(CrowdSide::Callers, CrowdBody::Whole, 32, LIMITS.body_bytes),
        crowd(CrowdSide::Targets, CrowdBody::LargeChunks, 16, 8 * MEBIBYTE),
        crowd(
            CrowdSide::Callers,
            CrowdBody::LargeChunks,
            32,
            LIMITS.body_bytes,
        ),
        crowd(CrowdSide::Callers, CrowdBody::Bytes, 32, 4000),
        crowd(CrowdSide::Readers, CrowdBody::Whole, 16, 2 * MEBIBYTE),
        crowd(CrowdSide::Callers, CrowdBody::Whole, 32, LIMITS.body_bytes),
    ]
}

/// Guards against memory, descriptors and places that a crowd used and that do not come back.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crowds_come_one_after_the_other() -> TestResult {
    let groups = crowds().into_iter().map(|plan| vec![plan]);
    check(LIMITS, &groups.collect::<Vec<_>>()).await
}

/// Guards against parts of the memory that are bounded one by one and not together.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crowds_come_together_and_once_more() -> TestResult {
    check(ROOMY, &[crowds(), crowds()]).await
}

/// Guards against bodies that are bounded by the number of connections alone.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn as_many_callers_as_are_connected_send_large_bodies() -> TestResult {
    let plan = crowd(CrowdSide::Callers, CrowdBody::Whole, 100, LIMITS.body_bytes);
    check(ROOMY, &[vec![plan]]).await
}

/// Guards against a legal body that finds no room on the smallest host although it is alone.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_body_of_the_largest_size_is_served_in_calm() -> TestResult {
    let smallest = HostLimits {
        memory_mb: 112,
        descriptors: 4100,
        ..LIMITS
    };
    for body in [CrowdBody::Whole, CrowdBody::LargeChunks] {
        let plan = crowd(CrowdSide::Callers, body, 1, smallest.body_bytes);
        let report = run(smallest, &[vec![plan]]).await?;
        assert_eq!(report.responses, ["HTTP/1.1 200 OK"], "{report:?}");
    }
    Ok(())
}
