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

/// Timeout of the routes for bodies that take long to read.
const LONG_ROUTE: Duration = Duration::from_secs(20);

/// Crowds run one at a time.
static TURN: Mutex<()> = Mutex::const_new(());

async fn run(plans: &[CrowdPlan]) -> Result<CrowdReport, support::TestError> {
    let _turn = TURN.lock().await;
    let (settings, _folder) = soak_settings(1).await?;
    let is_small = |plan: &CrowdPlan| plan.body == CrowdBody::SmallChunks;
    let times = match plans.iter().any(is_small) {
        // A host reads them slowly.
        true => ServingTimes {
            route: LONG_ROUTE,
            ..settings.times
        },
        false => settings.times,
    };
    let settings = SoakSettings {
        limits: LIMITS,
        times,
        ..settings
    };
    Ok(run_crowds(settings, plans).await?)
}

async fn check(plans: &[CrowdPlan]) -> TestResult {
    let report = run(plans).await?;
    assert_eq!(report.unexpected_exits, Vec::<String>::new(), "{report:?}");
    assert!(report.peak_memory < LIMITS.memory_mb << 20, "{report:?}");
    assert!(report.peak_descriptors < LIMITS.descriptors, "{report:?}");
    assert!(report.is_answered, "{report:?}");
    assert!(report.sent > 0, "{report:?}");
    Ok(())
}

macro_rules! check_crowds {
    ($($name:ident: $side:ident, $body:ident, $members:literal, $bytes:expr;)*) => {$(
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() -> TestResult {
            check(&[CrowdPlan {
                side: CrowdSide::$side,
                body: CrowdBody::$body,
                members: $members,
                bytes: $bytes,
            }])
            .await
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

/// Guards against memory, descriptors and places that a crowd used and that do not come back.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crowds_come_one_after_the_other() -> TestResult {
    let callers = |body, bytes| CrowdPlan {
        side: CrowdSide::Callers,
        body,
        members: 32,
        bytes,
    };
    let targets = |side, body, bytes| CrowdPlan {
        side,
        body,
        members: 16,
        bytes,
    };
    let plans = [
        callers(CrowdBody::Whole, LIMITS.body_bytes),
        targets(CrowdSide::Targets, CrowdBody::LargeChunks, 8 * MEBIBYTE),
        callers(CrowdBody::LargeChunks, LIMITS.body_bytes),
        callers(CrowdBody::Bytes, 4000),
        targets(CrowdSide::Readers, CrowdBody::Whole, 2 * MEBIBYTE),
        callers(CrowdBody::Whole, LIMITS.body_bytes),
    ];
    check(&plans).await
}
