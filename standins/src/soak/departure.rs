//! Targets that leave while entry hosts cannot read the log.

use std::io;
use std::time::{Duration, Instant};

use tokio::task::JoinHandle;

use super::callers::{call_host, stop_callers};
use super::configuration::HEARTBEAT_MS;
use super::history::{CallKind, CallOutcome, CallRecord};
use super::link::LinkFault;
use super::run::{SoakRun, SoakSettings};

/// Time after which a leaving target receives no new requests, from the moment at which
/// the host can know that it leaves.
const DRAIN_BOUND: Duration = Duration::from_secs(2);
/// How long hosts cannot read the log. Entries expire after three heartbeats.
const OUTAGE_TIME: Duration = Duration::from_millis(10 * HEARTBEAT_MS);
/// How long expired entries stay away after the log is back.
const EXPIRED_TIME: Duration = Duration::from_millis(1500);
/// How long callers continue after the bound.
const OBSERVATION_TIME: Duration = Duration::from_secs(3);
/// Concurrent callers at a host: more than its zone has plain targets, so that the
/// targets of the other zone are used as well.
const CALLERS: usize = 8;
/// Plain targets by index; they alternate between the zones.
const LOCAL_TARGETS: [usize; 2] = [0, 2];
const REMOTE_TARGET: usize = 1;

/// What the callers of a host and its targets recorded.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DepartureReport {
    /// Requests that reached the leaving target after the bound.
    pub late_runs: usize,
    /// Requests that reached it before the bound.
    pub runs_before: usize,
    /// Requests that reached live targets while their entries were expired.
    pub runs_on_expired: usize,
    /// Calls without a successful response.
    pub unsuccessful: usize,
}

/// Cuts the first host of a zone off from the log while a target leaves without
/// announcing it. The other host of the zone keeps reading the log.
///
/// # Errors
///
/// If processes or sockets cannot be set up.
pub async fn run_departure_with_host_cut_off(
    settings: SoakSettings,
) -> io::Result<DepartureReport> {
    let run = SoakRun::open_served(settings).await?;
    let callers = spawn_callers(&run, 0);
    run.hosts[0].host.log.set(LinkFault::Blackhole);
    tokio::time::sleep(OUTAGE_TIME).await;
    let left = Instant::now();
    run.targets[LOCAL_TARGETS[1]].leave_silently();
    tokio::time::sleep(DRAIN_BOUND + OBSERVATION_TIME).await;
    let records = stop_callers(&run.context, callers).await?;
    Ok(report(&run, &records, LOCAL_TARGETS[1], left, left..left))
}

/// Cuts all hosts of a zone off from the log while the entries of its targets expire and
/// a target of the other zone leaves without announcing it. The log comes back, and the
/// expired entries return a while later.
///
/// # Errors
///
/// If processes or sockets cannot be set up.
pub async fn run_departure_during_log_outage(
    settings: SoakSettings,
) -> io::Result<DepartureReport> {
    let mut run = SoakRun::open_served(settings).await?;
    let callers = spawn_callers(&run, 0);
    let is_cut = |index: &usize| index.is_multiple_of(2);
    let cut = (0..run.hosts.len()).filter(is_cut).collect::<Vec<_>>();
    for host in &cut {
        run.hosts[*host].host.log.set(LinkFault::Blackhole);
    }
    tokio::time::sleep(OUTAGE_TIME).await;
    run.targets[REMOTE_TARGET].leave_silently();
    for target in LOCAL_TARGETS {
        run.targets[target].leave_silently();
    }
    let back = Instant::now();
    for host in &cut {
        run.hosts[*host].host.log.set(LinkFault::None);
    }
    tokio::time::sleep(EXPIRED_TIME).await;
    let returned = Instant::now();
    for target in LOCAL_TARGETS {
        run.targets[target].return_to_log();
    }
    tokio::time::sleep(DRAIN_BOUND + OBSERVATION_TIME).await;
    let records = stop_callers(&run.context, callers).await?;
    Ok(report(&run, &records, REMOTE_TARGET, back, back..returned))
}

fn spawn_callers(run: &SoakRun, host: usize) -> Vec<JoinHandle<Vec<CallRecord>>> {
    let (kind, pause) = (CallKind::Idempotent, Duration::ZERO);
    let spawn = |_| tokio::spawn(call_host(run.context.clone(), host, kind, pause));
    (0..CALLERS).map(spawn).collect()
}

fn report(
    run: &SoakRun,
    records: &[CallRecord],
    target: usize,
    known: Instant,
    expired: std::ops::Range<Instant>,
) -> DepartureReport {
    let runs = run.registry.runs.lock();
    let on_left = runs
        .iter()
        .filter(|ran| ran.target == run.targets[target].id);
    let (late, before) = on_left.partition::<Vec<_>, _>(|ran| ran.at > known + DRAIN_BOUND);
    let own = LOCAL_TARGETS.map(|target| &run.targets[target].id);
    let on_expired = runs.iter().filter(|ran| own.contains(&&ran.target));
    let is_successful = |outcome| matches!(outcome, CallOutcome::Completed { status: 200, .. });
    let unsuccessful = records
        .iter()
        .filter(|record| !is_successful(record.outcome));
    DepartureReport {
        late_runs: late.len(),
        runs_before: before.len(),
        runs_on_expired: on_expired.filter(|ran| expired.contains(&ran.at)).count(),
        unsuccessful: unsuccessful.count(),
    }
}
