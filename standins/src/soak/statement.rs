//! Targets that state something about themselves in their responses while entry hosts as
//! processes send requests to them.

use std::collections::BTreeSet;
use std::io;
use std::time::{Duration, Instant};

use tokio::task::JoinHandle;

use super::callers::{call_host, stop_callers};
use super::check::{Violation, sent_after_statement, sent_during_pause};
use super::configuration::MAX_ATTEMPTS;
use super::engines::TargetFault;
use super::history::{CallKind, CallOutcome, CallRecord, SoakHistory};
use super::log_service::LogFaults;
use super::run::{SoakRun, SoakSettings};

/// Callers of each kind of call at each host, and the pause between two calls of each.
const CALLERS: usize = 2;
const CALL_PAUSE: Duration = Duration::from_millis(60);
/// How long callers run before the statement, and while it is made.
const CALM_TIME: Duration = Duration::from_secs(2);
const STATEMENT_TIME: Duration = Duration::from_secs(8);
/// How long callers run after targets have stopped to refuse.
const RETURN_TIME: Duration = Duration::from_secs(5);
/// Length of the pauses that are requested.
const PAUSE: Duration = Duration::from_secs(3);
/// A plain target and an engine by index, among three plain targets and six engines.
const STATING_TARGETS: [usize; 2] = [1, 3];

/// What targets and callers recorded.
#[derive(Debug, Clone, PartialEq)]
pub struct StatementReport {
    /// Requests that reached targets against their statements.
    pub violations: Vec<Violation>,
    /// Requests that the stating targets received before the statement.
    pub before: usize,
    /// Requests that they refused with a pause, or received while they were leaving.
    pub during: usize,
    /// Requests that they received after they had stopped to refuse.
    pub after: usize,
    /// Calls without a successful response that hosts could have sent to another target.
    pub unsuccessful: Vec<CallRecord>,
    /// Calls that the host refused as not run after as many targets had refused them as a
    /// call may be sent to, one of them a stating target. A host that cannot read the log
    /// may send a call to a target whose statement it has not received, and then to an
    /// engine that has changed its layers.
    pub exhausted: Vec<CallRecord>,
    /// All calls.
    pub calls: usize,
}

/// Lets a plain target and an engine refuse everything for a while, with a pause of 3 s,
/// while all hosts send requests.
///
/// # Errors
///
/// If processes or sockets cannot be set up.
pub async fn run_requested_pause(settings: SoakSettings) -> io::Result<StatementReport> {
    let run = SoakRun::open_served(settings).await?;
    let callers = spawn_callers(&run);
    tokio::time::sleep(CALM_TIME).await;
    let from = Instant::now();
    for target in STATING_TARGETS {
        let fault = TargetFault::RequestsPause(PAUSE);
        run.targets[target].update(|state| state.fault = fault);
    }
    tokio::time::sleep(STATEMENT_TIME).await;
    let until = Instant::now();
    for target in STATING_TARGETS {
        run.targets[target].update(|state| state.fault = TargetFault::None);
    }
    tokio::time::sleep(RETURN_TIME).await;
    report(run, callers, from, until).await
}

/// Lets a plain target and an engine state that they are leaving while the log is away,
/// and all hosts send requests.
///
/// # Errors
///
/// If processes or sockets cannot be set up.
pub async fn run_leaving_statement(settings: SoakSettings) -> io::Result<StatementReport> {
    let run = SoakRun::open_served(settings).await?;
    let callers = spawn_callers(&run);
    tokio::time::sleep(CALM_TIME).await;
    run.log_faults.set(LogFaults {
        offline: true,
        ..LogFaults::default()
    });
    let from = Instant::now();
    for target in STATING_TARGETS {
        run.targets[target].state_leaving();
    }
    tokio::time::sleep(STATEMENT_TIME).await;
    let until = Instant::now();
    run.log_faults.set(LogFaults::default());
    report(run, callers, from, until).await
}

fn spawn_callers(run: &SoakRun) -> Vec<JoinHandle<Vec<CallRecord>>> {
    let mut callers = Vec::new();
    for host in 0..run.hosts.len() {
        for kind in [CallKind::Idempotent, CallKind::Stream] {
            let spawn = |_| tokio::spawn(call_host(run.context.clone(), host, kind, CALL_PAUSE));
            callers.extend((0..CALLERS).map(spawn));
        }
    }
    callers
}

async fn report(
    run: SoakRun,
    callers: Vec<JoinHandle<Vec<CallRecord>>>,
    from: Instant,
    until: Instant,
) -> io::Result<StatementReport> {
    let records = stop_callers(&run.context, callers).await?;
    let calls = records.len();
    let mut history = std::mem::take(&mut *run.context.history.lock());
    history.calls.extend(records.iter().cloned());
    history.runs = std::mem::take(&mut *run.registry.runs.lock());
    history.attempts = std::mem::take(&mut *run.registry.attempts.lock());
    let ids = STATING_TARGETS.map(|target| run.targets[target].id.as_str());
    let own = history.attempts.iter();
    let own = own.filter(|attempt| ids.contains(&attempt.target.as_str()));
    let arrivals = own.map(|attempt| attempt.arrived).collect::<Vec<_>>();
    let count = |during: &dyn Fn(Instant) -> bool| {
        let arrivals = arrivals.iter();
        arrivals.filter(|at| during(**at)).count()
    };
    let is_successful = |outcome| matches!(outcome, CallOutcome::Completed { status: 200, .. });
    let failed = records
        .into_iter()
        .filter(|record| !is_successful(record.outcome));
    let (exhausted, unsuccessful) = failed.partition(|call| is_exhausted(call, &history, &ids));
    let mut violations = sent_during_pause(&history);
    violations.extend(sent_after_statement(&history));
    Ok(StatementReport {
        violations,
        before: count(&|at| at < from),
        during: count(&|at| (from..until).contains(&at)),
        after: count(&|at| at >= until),
        unsuccessful,
        exhausted,
        calls,
    })
}

/// Returns whether a host refused a call as not run after as many targets had refused it
/// as it may be sent to, one of `stating` among them, and none had run it.
fn is_exhausted(call: &CallRecord, history: &SoakHistory, stating: &[&str]) -> bool {
    let attempts = history.attempts.iter();
    let own = attempts.filter(|attempt| attempt.id == call.id);
    let targets = own.map(|attempt| attempt.target.as_str());
    let targets = targets.collect::<BTreeSet<_>>();
    let refused = CallOutcome::Completed {
        status: 503,
        sealed: false,
        matching: true,
    };
    call.outcome == refused
        && targets.len() == MAX_ATTEMPTS
        && targets.iter().any(|target| stating.contains(target))
        && history.runs.iter().all(|run| run.id != call.id)
}
