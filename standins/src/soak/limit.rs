//! A target that advertises a limit while all hosts send requests to it.

use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::task::JoinHandle;

use super::callers::{CallerContext, call, connect, stop_callers};
use super::history::{CallKind, CallOutcome, CallRecord};
use super::run::{SoakRun, SoakSettings};
use crate::check::AdvertisedLimit;

/// Callers at each host, and the interval of the calls of each: with six hosts, 18
/// requests per second at each of three targets.
const CALLERS: usize = 3;
const CALL_INTERVAL: Duration = Duration::from_millis(333);
/// How long callers run before the limit is advertised, and while it is.
const UNLIMITED_TIME: Duration = Duration::from_secs(5);
const LIMITED_TIME: Duration = Duration::from_secs(12);
/// The limit, in requests per second: less than half of what the target received before.
const PER_SECOND: f64 = 8.0;
/// Plain target that advertises the limit: the only one of its zone.
const LIMITED_TARGET: usize = 1;

/// What the limited target received, and the results of the callers.
#[derive(Debug, Clone, PartialEq)]
pub struct LimitReport {
    /// Requests in the worst window and the number that the limit allows, if it is
    /// exceeded.
    pub violation: Option<(usize, f64)>,
    /// Fraction of the limit that was used once it had to be kept.
    pub used: f64,
    /// Calls without a successful response.
    pub unsuccessful: usize,
    /// All calls.
    pub calls: usize,
}

/// Calls one host at a fixed rate until the callers are stopped.
async fn call_steadily(
    context: Arc<CallerContext>,
    host: usize,
    delay: Duration,
) -> Vec<CallRecord> {
    let mut records = Vec::new();
    tokio::time::sleep(delay).await;
    let mut ticks = tokio::time::interval(CALL_INTERVAL);
    let mut connection = None;
    while !context.is_stopped() {
        ticks.tick().await;
        if connection.is_none() {
            connection = connect(context.fronts[host].address).await;
        }
        if let Some(open) = &mut connection {
            records.push(call(&context, open, host, CallKind::Idempotent).await);
            connection = connection.filter(|open| !open.is_closed());
        }
    }
    records
}

fn spawn_callers(run: &SoakRun) -> Vec<JoinHandle<Vec<CallRecord>>> {
    let count = run.hosts.len() * CALLERS;
    let spawn = |index: usize| {
        let delay = CALL_INTERVAL.mul_f64(index as f64 / count as f64);
        tokio::spawn(call_steadily(
            run.context.clone(),
            index % run.hosts.len(),
            delay,
        ))
    };
    (0..count).map(spawn).collect()
}

/// Returns the times at which requests reached the limited target.
fn arrivals(run: &SoakRun) -> Vec<Instant> {
    let runs = run.registry.runs.lock();
    let id = &run.targets[LIMITED_TARGET].id;
    let own = runs.iter().filter(|ran| ran.target == *id);
    own.map(|ran| ran.at).collect()
}

/// Sends requests from all hosts to a target, which then advertises a limit below their
/// rate.
///
/// # Errors
///
/// If processes or sockets cannot be set up.
pub async fn run_rate_limit(settings: SoakSettings) -> io::Result<LimitReport> {
    let run = SoakRun::open_served(settings).await?;
    let callers = spawn_callers(&run);
    tokio::time::sleep(UNLIMITED_TIME).await;
    let from = Instant::now();
    run.targets[LIMITED_TARGET].update(|state| state.limit = Some(PER_SECOND.to_string()));
    tokio::time::sleep(LIMITED_TIME).await;
    let limit = AdvertisedLimit {
        per_second: PER_SECOND,
        from,
        until: Instant::now(),
    };
    let records = stop_callers(&run.context, callers).await?;
    let arrivals = arrivals(&run);
    let enforced_from = from + LIMITED_TIME / 3;
    let kept = arrivals
        .iter()
        .filter(|at| (enforced_from..limit.until).contains(*at));
    let possible = PER_SECOND * (limit.until - enforced_from).as_secs_f64();
    let is_successful = |outcome| matches!(outcome, CallOutcome::Completed { status: 200, .. });
    let unsuccessful = records
        .iter()
        .filter(|record| !is_successful(record.outcome));
    let violation = limit.worst_violation(&arrivals);
    Ok(LimitReport {
        violation: violation.map(|violation| (violation.arrived, violation.allowed)),
        used: kept.count() as f64 / possible,
        unsuccessful: unsuccessful.count(),
        calls: records.len(),
    })
}
