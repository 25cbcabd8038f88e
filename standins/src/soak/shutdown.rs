//! Hosts that are stopped while their targets are silent.

use std::collections::{BTreeMap, HashSet};
use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use tokio::task::JoinHandle;

use super::callers::{
    CallLimits, CallerContext, PLAIN_DEADLINE, call_host_beyond_deadline, call_within, connect,
    stop_callers,
};
use super::check::{CLOSE_RACE_TIME, Violation, find_violations};
use super::configuration::ServingTimes;
use super::engines::TargetFault;
use super::history::{CallKind, CallRecord, LossPeer, SoakHistory};
use super::run::{POLL_INTERVAL, STOP_SLACK, SoakRun, SoakSettings, TargetFleet};
use super::silence::{UnansweredCall, find_fault, is_refused};

/// Host that is stopped.
const STOPPED_HOST: usize = 0;
/// Callers that send one call after the other, and the pause of each between two calls.
const CALLERS: usize = 12;
const CALL_PAUSE: Duration = Duration::from_millis(10);
/// Time that targets take before they are silent. With it calls are in flight at all times,
/// without which the host would stop before the silence.
const CALL_TIME: Duration = Duration::from_millis(100);
/// Connections that are opened before the stop and used once after it.
const KEPT_CONNECTIONS: u32 = 60;
/// Time between the uses of two kept connections.
const KEPT_INTERVAL: Duration = Duration::from_millis(20);
/// Time before the silence at which the first kept connection is used.
const KEPT_LEAD: Duration = Duration::from_millis(300);
/// Time for which a caller waits for a response beyond the deadline of its call.
const CALLER_SLACK: Duration = Duration::from_secs(1);

/// What happens in a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShutdownPlan {
    /// Kind of all calls.
    pub kind: CallKind,
    /// Grace period and route timeout.
    pub times: ServingTimes,
    /// When the host receives SIGTERM, from the start of the callers.
    pub stop: Duration,
    /// When the host receives SIGTERM again, from the start of the callers.
    pub second_stop: Option<Duration>,
    /// When the targets fall silent, from the start of the callers.
    pub silent_from: Duration,
    /// How long they are silent.
    pub silence: Duration,
}

/// What callers and targets recorded.
#[derive(Debug, Clone, PartialEq)]
pub struct ShutdownReport {
    /// Violations of the guarantees without a time bound.
    pub violations: Vec<Violation>,
    /// Calls that were sent between the stop and the end of the process.
    pub sent: usize,
    /// Calls that reached a target from the beginning of the silence on.
    pub held: usize,
    /// Calls that were read and have neither a response, a refusal nor a true status 504, by
    /// how they ended.
    pub unanswered: BTreeMap<UnansweredCall, usize>,
    /// What is known of these calls.
    pub traces: Vec<CallTrace>,
    /// When the process ended, from the stop.
    pub ended: Duration,
    /// Whether the process ended in time and successfully.
    pub exited: bool,
}

/// What is known of a call without a response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallTrace {
    /// Id of the call.
    pub id: String,
    /// How it ended.
    pub end: UnansweredCall,
    /// When it was sent, from the stop; zero if before.
    pub sent: Duration,
    /// When it ended, from the stop.
    pub ended: Duration,
    /// When it reached a target, from the stop; zero if before.
    pub reached: Option<Duration>,
    /// Lines of the host's log that name it.
    pub lines: Vec<String>,
}

/// Stops a host and makes the targets silent while it drains.
///
/// # Errors
///
/// If processes or sockets cannot be set up.
pub async fn run_shutdown(
    settings: SoakSettings,
    plan: ShutdownPlan,
) -> io::Result<ShutdownReport> {
    let mut run = SoakRun::open_served(SoakSettings {
        targets: TargetFleet::OnePath,
        times: plan.times,
        ..settings
    })
    .await?;
    if !plan.kind.is_stream() {
        set_fault(&run, TargetFault::AnswersAfter(CALL_TIME));
    }
    let started = Instant::now();
    let callers = spawn_callers(&run.context, plan, started);
    let mut events = vec![(plan.silent_from, ShutdownEvent::Silence)];
    let stops = [Some(plan.stop), plan.second_stop].into_iter().flatten();
    events.extend(stops.map(|at| (at, ShutdownEvent::Stop)));
    events.push((plan.silent_from + plan.silence, ShutdownEvent::GoOn));
    events.sort_by_key(|(at, _)| *at);
    for (at, event) in events {
        run.publish_for(at.saturating_sub(started.elapsed()))
            .await?;
        handle(&mut run, plan, event);
    }
    let (stopped, silent) = (started + plan.stop, started + plan.silent_from);
    let grace_end = stopped + plan.times.grace;
    let host = &mut run.hosts[STOPPED_HOST].host;
    while host.is_running() && Instant::now() < grace_end + STOP_SLACK {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    let ended = Instant::now();
    let exited = host.reap() == Some(true);
    let calls = stop_callers(&run.context, callers).await?;
    if plan.kind.is_stream() {
        // A stream that outlasts the grace period cannot end with a response.
        let from = grace_end.checked_sub(STOP_SLACK).unwrap_or(grace_end);
        run.record_loss(STOPPED_HOST, LossPeer::Callers, from, ended + STOP_SLACK);
    }
    let history = std::mem::take(&mut *run.context.history.lock());
    let mut history = SoakHistory {
        runs: std::mem::take(&mut *run.registry.runs.lock()),
        attempts: std::mem::take(&mut *run.registry.attempts.lock()),
        breaks: std::mem::take(&mut *run.registry.breaks.lock()),
        recovered: true,
        ..history
    };
    history.calls.extend(calls.iter().cloned());
    let held = history.runs.iter().filter(|ran| ran.at >= silent);
    let log = run.hosts[STOPPED_HOST].host.log_text()?;
    let unanswered = find_unanswered(&calls, &history);
    let traces = unanswered
        .iter()
        .map(|(call, end)| trace(call, *end, stopped, &history, &log));
    let sent = calls.iter().filter(|call| call.sent >= stopped);
    Ok(ShutdownReport {
        sent: sent.filter(|call| call.sent < ended).count(),
        held: held.count(),
        traces: traces.collect(),
        unanswered: count(&unanswered),
        ended: ended.saturating_duration_since(stopped),
        violations: find_violations(&history, false),
        exited,
    })
}

#[derive(Debug, Clone, Copy)]
enum ShutdownEvent {
    Stop,
    Silence,
    GoOn,
}

fn handle(run: &mut SoakRun, plan: ShutdownPlan, event: ShutdownEvent) {
    let until = Instant::now() + plan.silence;
    match event {
        ShutdownEvent::Stop => run.hosts[STOPPED_HOST].host.signal(Signal::SIGTERM),
        ShutdownEvent::Silence if plan.kind.is_stream() => {
            run.targets.iter().for_each(|target| target.stand_still());
        }
        ShutdownEvent::Silence => set_fault(run, TargetFault::AnswersFrom(until)),
        ShutdownEvent::GoOn => run.targets.iter().for_each(|target| target.go_on()),
    }
}

fn set_fault(run: &SoakRun, fault: TargetFault) {
    for target in &run.targets {
        target.update(|state| state.fault = fault);
    }
}

fn spawn_callers(
    context: &Arc<CallerContext>,
    plan: ShutdownPlan,
    started: Instant,
) -> Vec<JoinHandle<Vec<CallRecord>>> {
    let first = plan.silent_from.saturating_sub(KEPT_LEAD);
    let kept = (0..KEPT_CONNECTIONS).map(|number| {
        let at = started + first + KEPT_INTERVAL * number;
        tokio::spawn(call_late(context.clone(), plan.kind, at))
    });
    let steady = (0..CALLERS).map(|_| {
        tokio::spawn(call_host_beyond_deadline(
            context.clone(),
            STOPPED_HOST,
            plan.kind,
            CALL_PAUSE,
            CALLER_SLACK,
        ))
    });
    kept.chain(steady).collect()
}

/// Sends a call at once, and another one on the same connection at a given moment.
async fn call_late(context: Arc<CallerContext>, kind: CallKind, at: Instant) -> Vec<CallRecord> {
    let limits = CallLimits {
        deadline: PLAIN_DEADLINE,
        slack: CALLER_SLACK,
    };
    let mut records = Vec::new();
    let Some(mut connection) = connect(context.fronts[STOPPED_HOST].address).await else {
        return records;
    };
    records.push(call_within(&context, &mut connection, STOPPED_HOST, kind, limits).await);
    tokio::time::sleep_until(at.into()).await;
    if !connection.is_closed() {
        records.push(call_within(&context, &mut connection, STOPPED_HOST, kind, limits).await);
    }
    records
}

/// Finds the calls that were read and ended without a true statement of what became of them.
fn find_unanswered<'calls>(
    calls: &'calls [CallRecord],
    history: &SoakHistory,
) -> Vec<(&'calls CallRecord, UnansweredCall)> {
    let ran = history.runs.iter().map(|ran| ran.id.as_str());
    let ran = ran.collect::<HashSet<_>>();
    let unanswered = calls.iter().filter_map(|call| {
        let was_read =
            || ran.contains(call.id.as_str()) || call.ended > call.sent + CLOSE_RACE_TIME;
        match find_fault(call.outcome, was_read) {
            _ if is_refused(call, &ran) => None,
            None | Some(UnansweredCall::Failed(504)) => None,
            Some(fault) => Some((call, fault)),
        }
    });
    unanswered.collect()
}

fn count(unanswered: &[(&CallRecord, UnansweredCall)]) -> BTreeMap<UnansweredCall, usize> {
    let mut counts = BTreeMap::new();
    for (_, fault) in unanswered {
        *counts.entry(*fault).or_default() += 1;
    }
    counts
}

/// Collects what callers, targets and the host recorded of a call.
fn trace(
    call: &CallRecord,
    end: UnansweredCall,
    stopped: Instant,
    history: &SoakHistory,
    log: &str,
) -> CallTrace {
    let mut runs = history.runs.iter();
    let reached = runs.find(|ran| ran.id == call.id);
    let lines = log.lines().filter(|line| line.contains(&call.id));
    CallTrace {
        id: call.id.clone(),
        end,
        sent: call.sent.saturating_duration_since(stopped),
        ended: call.ended.saturating_duration_since(stopped),
        reached: reached.map(|ran| ran.at.saturating_duration_since(stopped)),
        lines: lines.map(str::to_owned).collect(),
    }
}
