//! Hosts that are stopped while their targets are silent.

use std::collections::{BTreeMap, HashSet};
use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use tokio::task::JoinHandle;

use super::callers::{
    CallLimits, CallerContext, call_host_beyond_deadline, call_within, connect, deadline_of,
    stop_callers,
};
use super::check::{CLOSE_RACE_TIME, Violation, find_violations};
use super::configuration::ServingTimes;
use super::engines::TargetFault;
use super::history::{CallKind, CallRecord, LossPeer, SoakHistory};
use super::run::{POLL_INTERVAL, STOP_SLACK, SoakRun, SoakSettings, TargetFleet};
use super::silence::{UnansweredCall, find_fault, is_refused};

/// Time between the stops of two hosts.
const HOST_INTERVAL: Duration = Duration::from_millis(700);
/// Time from SIGTERM in which a host may take on a stream that outlasts it, and the last part
/// of the grace period, in which it may end such a stream.
const STREAM_ADMISSION: Duration = Duration::from_secs(3);
const LAST_PART: u32 = 6;
/// Callers that send one call after the other, and the pause of each between two calls.
const CALLERS: usize = 12;
const CALL_PAUSE: Duration = Duration::from_millis(10);
/// Connections that are opened before the stop and used once after it.
const KEPT_CONNECTIONS: u32 = 60;
/// Time between the uses of two kept connections.
const KEPT_INTERVAL: Duration = Duration::from_millis(20);
/// Time before the silence at which the first kept connection is used.
const KEPT_LEAD: Duration = Duration::from_millis(300);
/// Time after the last event for which configurations with the later times are published.
const PUBLISH_TIME: Duration = Duration::from_secs(1);
/// Time for which a caller waits for a response beyond the deadline of its call.
const CALLER_SLACK: Duration = Duration::from_secs(1);

/// What happens in a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShutdownPlan {
    /// Kind of all calls.
    pub kind: CallKind,
    /// Grace period and route timeout.
    pub times: ServingTimes,
    /// When the first host receives SIGTERM, from the start of the callers. The others follow
    /// one after the other.
    pub stop: Duration,
    /// When the first host receives SIGTERM again, from the start of the callers.
    pub second_stop: Option<Duration>,
    /// When all hosts receive SIGHUP, from the start of the callers.
    pub hangup: Option<Duration>,
    /// Times of the configurations from the silence on.
    pub later_times: Option<ServingTimes>,
    /// Time that targets take for a call while they are not silent. With it calls are in
    /// flight at all times, without which the host would stop before the silence.
    pub call_time: Duration,
    /// When the targets fall silent, from the start of the callers.
    pub silent_from: Duration,
    /// How long they are silent; zero if they never are.
    pub silence: Duration,
    /// When the kept connections are used again, from the start of the callers; `None` for
    /// shortly before the silence.
    pub kept_from: Option<Duration>,
}

/// What callers and targets recorded.
#[derive(Debug, Clone, PartialEq)]
pub struct ShutdownReport {
    /// Violations of the guarantees without a time bound.
    pub violations: Vec<Violation>,
    /// Calls that were sent between the stop of a host and the end of the run.
    pub sent: usize,
    /// Calls that reached a target from the beginning of the silence on, and streams that ran
    /// when it began.
    pub held: usize,
    /// Calls that were read and have neither a response, a refusal nor a true status 504, by
    /// how they ended.
    pub unanswered: BTreeMap<UnansweredCall, usize>,
    /// What is known of these calls.
    pub traces: Vec<CallTrace>,
    /// When the last process ended, from the first stop.
    pub ended: Duration,
    /// Whether the processes ended in time and successfully.
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
        set_fault(&run, TargetFault::AnswersAfter(plan.call_time));
    }
    let started = Instant::now();
    let hosts = run.hosts.len();
    let callers = spawn_callers(&run.context, plan, started);
    for (at, event) in plan.events(hosts) {
        run.publish_for(at.saturating_sub(started.elapsed()))
            .await?;
        handle(&mut run, plan, event);
    }
    if plan.later_times.is_some() {
        run.publish_for(PUBLISH_TIME).await?;
    }
    let silent = started + plan.silent_from;
    let stops = (0..hosts).map(|host| started + plan.stop_of(host));
    let stops = stops.collect::<Vec<_>>();
    let mut exited = true;
    for (host, stopped) in stops.iter().enumerate() {
        let host = &mut run.hosts[host].host;
        while host.is_running() && Instant::now() < *stopped + plan.times.grace + STOP_SLACK {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        exited &= host.reap() == Some(true);
    }
    let ended = Instant::now();
    let calls = stop_callers(&run.context, callers).await?;
    if plan.kind.is_stream() {
        for (host, stopped) in stops.iter().enumerate() {
            // A stream that outlasts the grace period cannot end with a response.
            let from = *stopped + plan.times.grace - plan.times.grace / LAST_PART;
            run.record_loss(host, LossPeer::Callers, from, ended + STOP_SLACK);
        }
    }
    let history = std::mem::take(&mut *run.context.history.lock());
    let mut history = SoakHistory {
        runs: std::mem::take(&mut *run.registry.runs.lock()),
        attempts: std::mem::take(&mut *run.registry.attempts.lock()),
        breaks: std::mem::take(&mut *run.registry.breaks.lock()),
        ended_hosts: run.ended_hosts(),
        recovered: true,
        ..history
    };
    history.calls.extend(calls.iter().cloned());
    let held = count_held(&calls, &history, silent);
    let logs = run.hosts.iter().map(|host| host.host.log_text());
    let logs = logs.collect::<io::Result<Vec<_>>>()?;
    let unanswered = find_unanswered(&calls, &history, plan, &stops);
    let traces = unanswered
        .iter()
        .map(|(call, end)| trace(call, *end, stops[call.host], &history, &logs[call.host]));
    let sent = calls.iter().filter(|call| call.sent >= stops[call.host]);
    let ends = history.ended_hosts.iter().map(|(_, at)| *at);
    let last_end = ends.max().unwrap_or(ended);
    Ok(ShutdownReport {
        sent: sent.filter(|call| call.sent < ended).count(),
        held,
        traces: traces.collect(),
        unanswered: count(&unanswered),
        ended: last_end.saturating_duration_since(stops[0]),
        violations: find_violations(&history, false),
        exited,
    })
}

impl ShutdownPlan {
    fn stop_of(&self, host: usize) -> Duration {
        self.stop + HOST_INTERVAL * u32::try_from(host).unwrap_or(u32::MAX)
    }

    fn events(&self, hosts: usize) -> Vec<(Duration, ShutdownEvent)> {
        let mut events = vec![
            (self.silent_from, ShutdownEvent::Silence),
            (self.silent_from + self.silence, ShutdownEvent::GoOn),
        ];
        events.extend((0..hosts).map(|host| (self.stop_of(host), ShutdownEvent::Stop(host))));
        events.extend(self.second_stop.map(|at| (at, ShutdownEvent::Stop(0))));
        events.extend(self.hangup.map(|at| (at, ShutdownEvent::Hangup)));
        events.sort_by_key(|(at, _)| *at);
        events
    }

    /// Returns whether a host may cut the response of a call: at the timeout of its route, or,
    /// of a stream that it took on soon after SIGTERM, in the last part of the grace period.
    fn may_cut(&self, call: &CallRecord, stopped: Instant) -> bool {
        let last_part = stopped + self.times.grace - self.times.grace / LAST_PART;
        let is_late = call.sent <= stopped + STREAM_ADMISSION && call.ended >= last_part;
        call.kind.is_stream() && (is_late || call.ended >= call.sent + self.times.route)
    }
}

#[derive(Debug, Clone, Copy)]
enum ShutdownEvent {
    Stop(usize),
    Hangup,
    Silence,
    GoOn,
}

impl SoakRun {
    fn ended_hosts(&self) -> Vec<(usize, Instant)> {
        let ends = self.hosts.iter().map(|host| host.host.end());
        let ends = ends.enumerate();
        ends.filter_map(|(host, at)| at.map(|at| (host, at)))
            .collect()
    }
}

fn handle(run: &mut SoakRun, plan: ShutdownPlan, event: ShutdownEvent) {
    let until = Instant::now() + plan.silence;
    if let (ShutdownEvent::Silence, Some(times)) = (event, plan.later_times) {
        run.settings.times = times;
    }
    match event {
        ShutdownEvent::Stop(host) => run.hosts[host].host.signal(Signal::SIGTERM),
        ShutdownEvent::Hangup => {
            for host in &mut run.hosts {
                host.host.signal(Signal::SIGHUP);
            }
        }
        ShutdownEvent::Silence if plan.silence.is_zero() => {}
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
    let before_silence = plan.silent_from.saturating_sub(KEPT_LEAD);
    let first = plan.kept_from.unwrap_or(before_silence);
    let mut callers = Vec::new();
    for host in 0..context.fronts.len() {
        callers.extend((0..KEPT_CONNECTIONS).map(|number| {
            let at = started + first + KEPT_INTERVAL * number;
            tokio::spawn(call_late(context.clone(), host, plan.kind, at))
        }));
        callers.extend((0..CALLERS).map(|_| {
            tokio::spawn(call_host_beyond_deadline(
                context.clone(),
                host,
                plan.kind,
                CALL_PAUSE,
                CALLER_SLACK,
            ))
        }));
    }
    callers
}

/// Sends a call at once, and another one on the same connection at a given moment.
async fn call_late(
    context: Arc<CallerContext>,
    host: usize,
    kind: CallKind,
    at: Instant,
) -> Vec<CallRecord> {
    let limits = CallLimits {
        deadline: deadline_of(kind),
        slack: CALLER_SLACK,
    };
    let mut records = Vec::new();
    let Some(mut connection) = connect(context.fronts[host].address).await else {
        return records;
    };
    records.push(call_within(&context, &mut connection, host, kind, limits).await);
    tokio::time::sleep_until(at.into()).await;
    if !connection.is_closed() {
        records.push(call_within(&context, &mut connection, host, kind, limits).await);
    }
    records
}

fn count_held(calls: &[CallRecord], history: &SoakHistory, silent: Instant) -> usize {
    let begun = history.runs.iter().filter(|ran| ran.at < silent);
    let begun = begun.map(|ran| ran.id.as_str()).collect::<HashSet<_>>();
    let running = calls.iter().filter(|call| {
        call.kind.is_stream() && call.ended > silent && begun.contains(call.id.as_str())
    });
    let reached = history.runs.iter().filter(|ran| ran.at >= silent);
    running.count() + reached.count()
}

/// Finds the calls that were read and ended without a true statement of what became of them.
fn find_unanswered<'calls>(
    calls: &'calls [CallRecord],
    history: &SoakHistory,
    plan: ShutdownPlan,
    stops: &[Instant],
) -> Vec<(&'calls CallRecord, UnansweredCall)> {
    let ran = history.runs.iter().map(|ran| ran.id.as_str());
    let ran = ran.collect::<HashSet<_>>();
    let unanswered = calls.iter().filter_map(|call| {
        let was_read = || match ran.contains(call.id.as_str()) {
            true => true,
            false => !history.is_sent_after_end(call) && call.ended > call.sent + CLOSE_RACE_TIME,
        };
        match find_fault(call.outcome, was_read) {
            _ if is_refused(call, &ran) => None,
            None | Some(UnansweredCall::Failed(504)) => None,
            Some(UnansweredCall::Cut) if plan.may_cut(call, stops[call.host]) => None,
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
