//! A target that names a limit while all hosts send to it.

use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::task::JoinHandle;

use super::callers::{CallerDesk, call, connect};
use super::history::{CallKind, CallOutcome, CallRecord};
use super::run::{SoakRun, SoakSettings};
use crate::check::NamedLimit;

/// Callers at each host, and the pause of each between two calls: 18 requests a
/// second at each of three targets with six hosts.
const CALLERS: usize = 3;
const CALL_PAUSE: Duration = Duration::from_millis(333);
/// How long callers call before the limit is named, and while it is.
const FREE_TIME: Duration = Duration::from_secs(5);
const LIMITED_TIME: Duration = Duration::from_secs(12);
/// The limit, in requests a second: under half of what the target got before.
const PER_SECOND: f64 = 8.0;
/// The plain target that names it: the only one of its zone.
const LIMITED_TARGET: usize = 1;

/// What a target with a limit got, and what callers did.
#[derive(Debug, Clone, PartialEq)]
pub struct LimitReport {
    /// Requests that came in the worst window and those that are allowed, if they are
    /// fewer.
    pub breach: Option<(usize, f64)>,
    /// Part of the limit that was used, from when it has to be kept.
    pub used: f64,
    /// Calls that were not answered by a target.
    pub unanswered: usize,
    /// Calls in all.
    pub calls: usize,
}

/// Calls one host at a steady pace until told to stop.
async fn call_steadily(desk: Arc<CallerDesk>, host: usize, delay: Duration) -> Vec<CallRecord> {
    let mut records = Vec::new();
    tokio::time::sleep(delay).await;
    let mut ticks = tokio::time::interval(CALL_PAUSE);
    let mut connection = None;
    while !desk.is_stopped() {
        ticks.tick().await;
        if connection.is_none() {
            connection = connect(desk.fronts[host].address).await;
        }
        if let Some(open) = &mut connection {
            records.push(call(&desk, open, host, CallKind::Idempotent).await);
            connection = connection.filter(|open| !open.is_closed());
        }
    }
    records
}

fn spawn_callers(run: &SoakRun) -> Vec<JoinHandle<Vec<CallRecord>>> {
    let count = run.hosts.len() * CALLERS;
    let spawn = |index: usize| {
        let delay = CALL_PAUSE.mul_f64(index as f64 / count as f64);
        tokio::spawn(call_steadily(
            run.desk.clone(),
            index % run.hosts.len(),
            delay,
        ))
    };
    (0..count).map(spawn).collect()
}

/// Moments at which requests reached the target that names a limit.
fn arrivals(run: &SoakRun) -> Vec<Instant> {
    let runs = run.world.runs.lock();
    let id = &run.targets[LIMITED_TARGET].id;
    let own = runs.iter().filter(|ran| ran.target == *id);
    own.map(|ran| ran.at).collect()
}

/// All hosts send to a target, which then names less than that as its limit.
///
/// # Errors
///
/// If processes or sockets cannot be set up.
pub async fn play_limit(settings: SoakSettings) -> io::Result<LimitReport> {
    let mut run = SoakRun::open(settings).await?;
    if !run.wait_until_served().await {
        return Err(io::Error::other("the hosts do not serve"));
    }
    let callers = spawn_callers(&run);
    tokio::time::sleep(FREE_TIME).await;
    let from = Instant::now();
    run.targets[LIMITED_TARGET].update(|state| state.limit = Some(PER_SECOND.to_string()));
    tokio::time::sleep(LIMITED_TIME).await;
    let limit = NamedLimit {
        per_second: PER_SECOND,
        from,
        until: Instant::now(),
    };
    run.desk.stop();
    let mut records = Vec::new();
    for caller in callers {
        records.extend(caller.await.map_err(io::Error::other)?);
    }
    let arrivals = arrivals(&run);
    let kept_from = from + LIMITED_TIME / 3;
    let kept = arrivals
        .iter()
        .filter(|at| (kept_from..limit.until).contains(*at));
    let could = PER_SECOND * (limit.until - kept_from).as_secs_f64();
    let is_answered = |outcome| matches!(outcome, CallOutcome::Answered { status: 200, .. });
    let unanswered = records.iter().filter(|record| !is_answered(record.outcome));
    let breach = limit.worst_breach(&arrivals);
    Ok(LimitReport {
        breach: breach.map(|breach| (breach.arrived, breach.allowed)),
        used: kept.count() as f64 / could,
        unanswered: unanswered.count(),
        calls: records.len(),
    })
}
