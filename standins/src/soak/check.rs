//! Checks the guarantees on a history.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use super::configuration::RETRY_WINDOW;
use super::history::{
    AttemptRecord, CallKind, CallOutcome, CallRecord, Disturbance, DisturbanceScope, SoakHistory,
};
use super::unfinished::unfinished_calls;

/// Time after which a leaving target receives no new calls.
const LEAVING_BOUND: Duration = Duration::from_secs(2);
/// Time for which calls may still be on their way to a target after it has requested a
/// pause, and the number of calls that may reach it from then until the end of the pause.
const PAUSE_SLACK: Duration = Duration::from_millis(500);
const MAX_CALLS_IN_PAUSE: usize = 2;
/// Time after which a published configuration is active.
const ACTIVATION_BOUND: Duration = Duration::from_secs(2);
/// Time after which a host that served a version may no longer fall behind it.
const REGRESSION_SLACK: Duration = Duration::from_millis(250);
/// Guarantees with a time bound hold if the host and the log were undisturbed for this
/// long.
const UNDISTURBED_TIME: Duration = Duration::from_secs(3);
/// A caller may lose a call that it sends while its connection is being closed. After
/// this time the host has read the call.
pub(super) const CLOSE_RACE_TIME: Duration = Duration::from_millis(200);

/// Calls that reached the targets of a service again in one window, and the allowed number.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryWindow {
    /// Arrivals beyond the first one of their call.
    pub arrivals: usize,
    /// The number that the bound allows.
    pub allowed: usize,
}

impl RetryWindow {
    /// Returns whether the bound is exceeded.
    pub fn is_exceeded(&self) -> bool {
        self.arrivals > self.allowed
    }
}

/// A violated guarantee, with the call, target or host that is affected.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Violation {
    /// A non-idempotent call ran more than once.
    RanTwice(String),
    /// A call ran though its caller received a response that it had not run.
    RanDespiteRefusal(String),
    /// A successful response belongs to another call, lacks the target's proof, or is
    /// incomplete.
    WrongResponse(String),
    /// The path of a call did not hold every layer once, in order.
    WrongLayers(String),
    /// A call ran that no caller sent.
    UnknownCall(String),
    /// A response was cut while its target ran the call and its connection was open.
    CutWhileTargetLived(String),
    /// The connection of a call that the host had read ended without a response.
    NoResponse(String),
    /// A shutdown by SIGTERM interrupted a call.
    LostAtShutdown(String),
    /// A target received a call too long after it had announced that it leaves.
    SentToLeaving(String),
    /// A target received more than two calls from a host during a pause that it had
    /// requested from the host.
    SentDuringPause(String, usize),
    /// A target received a call from a host too long after it had stated to the host that
    /// it leaves.
    SentAfterStatement(String),
    /// A target received more calls than its advertised limit allows.
    OverLimit(String, usize),
    /// Targets of a service received more calls again, in one window, than the bound allows.
    TooManyRetries(RetryWindow),
    /// A host went back to a version before one that it had served.
    Regressed(usize, u64),
    /// A version was not active in time.
    LateVersion(usize, u64),
    /// A process exited unexpectedly, or did not exit when it was stopped.
    UnexpectedExit(String),
    /// Not every host served again after all faults had ended.
    NotRecovered,
}

/// Returns all violations in a history. Guarantees with a time bound are checked only if
/// `timed`: on a busy machine the stand-ins may miss these bounds as well.
pub fn find_violations(history: &SoakHistory, timed: bool) -> Vec<Violation> {
    let mut violations = Vec::new();
    violations.extend(wrong_runs(history));
    violations.extend(wrong_responses(history));
    violations.extend(unfinished_calls(history));
    violations.extend(regressions(history));
    let windows = fullest_windows(history).into_iter();
    let exceeded = windows.filter(RetryWindow::is_exceeded);
    violations.extend(exceeded.map(Violation::TooManyRetries));
    let ends = history.unexpected_exits.iter().cloned();
    violations.extend(ends.map(Violation::UnexpectedExit));
    if !history.recovered {
        violations.push(Violation::NotRecovered);
    }
    if timed {
        violations.extend(lost_at_shutdown(history));
        violations.extend(sent_to_leaving(history));
        violations.extend(sent_during_pause(history));
        violations.extend(sent_after_statement(history));
        violations.extend(over_limits(history));
        violations.extend(late_versions(history));
    }
    violations
}

/// Returns the window of each service that is nearest to its bound, or the furthest beyond it.
pub(super) fn fullest_windows(history: &SoakHistory) -> Vec<RetryWindow> {
    let kinds = [CallKind::Idempotent, CallKind::Stream].into_iter();
    let windows = kinds.filter_map(|kind| fullest_window(history, kind));
    windows.collect()
}

/// Returns the window in which the targets of the service of `kind` received most calls
/// again, compared with what is allowed. Calls that were sent in this window, in the one
/// before it or in the one half a window before it earn retries.
pub(super) fn fullest_window(history: &SoakHistory, kind: CallKind) -> Option<RetryWindow> {
    let calls = calls_by_id(history);
    let of_service = |id: &str| {
        let call = calls.get(id);
        call.is_some_and(|call| call.kind.is_stream() == kind.is_stream())
    };
    let sent = history.calls.iter().filter(|call| of_service(&call.id));
    let mut sent = sent.map(|call| call.sent).collect::<Vec<_>>();
    sent.sort_unstable();
    let mut attempts = history.attempts.iter().collect::<Vec<_>>();
    attempts.sort_by_key(|attempt| attempt.arrived);
    let mut known = HashSet::new();
    let retries = attempts
        .into_iter()
        .filter(|attempt| of_service(&attempt.id) && !known.insert(attempt.id.as_str()));
    let retries = retries.map(|attempt| attempt.arrived).collect::<Vec<_>>();
    let count = |moments: &[Instant], from: Instant| {
        let before = |end: Instant| moments.partition_point(|at| *at < end);
        before(from + RETRY_WINDOW) - before(from)
    };
    let windows = retries.iter().map(|from| {
        let earlier = [Duration::ZERO, RETRY_WINDOW / 2, RETRY_WINDOW];
        let earlier = earlier.into_iter().filter_map(|by| from.checked_sub(by));
        let earning = earlier.map(|from| count(&sent, from)).max();
        let allowed = history.retry_bound.allowed(earning.unwrap_or(0));
        RetryWindow {
            arrivals: count(&retries, *from),
            allowed,
        }
    });
    let part = |window: &RetryWindow| window.arrivals as f64 / window.allowed as f64;
    windows.max_by(|left, right| part(left).total_cmp(&part(right)))
}

fn calls_by_id(history: &SoakHistory) -> HashMap<&str, &CallRecord> {
    let calls = history.calls.iter();
    calls.map(|call| (call.id.as_str(), call)).collect()
}

fn wrong_runs(history: &SoakHistory) -> Vec<Violation> {
    let calls = calls_by_id(history);
    let mut counts = HashMap::<&str, u32>::new();
    let mut violations = Vec::new();
    for run in &history.runs {
        *counts.entry(&run.id).or_default() += 1;
        if !calls.contains_key(run.id.as_str()) {
            violations.push(Violation::UnknownCall(run.id.clone()));
        }
        if !run.layers_covered {
            violations.push(Violation::WrongLayers(run.id.clone()));
        }
    }
    for (id, count) in counts {
        let call = calls.get(id);
        let once = call.is_some_and(|call| !call.kind.is_repeatable());
        if once && count > 1 {
            violations.push(Violation::RanTwice(id.to_owned()));
        }
        if once && call.is_some_and(|call| reports_not_run(call.outcome)) {
            violations.push(Violation::RanDespiteRefusal(id.to_owned()));
        }
    }
    violations
}

/// Returns whether the status says that the call has not run and never will.
fn reports_not_run(outcome: CallOutcome) -> bool {
    matches!(
        outcome,
        CallOutcome::Completed {
            status: 408 | 421 | 429 | 503,
            ..
        }
    )
}

fn wrong_responses(history: &SoakHistory) -> Vec<Violation> {
    let wrong = history.calls.iter().filter(|call| {
        matches!(
            call.outcome,
            CallOutcome::Completed { status: 200..300, sealed, matching } if !(sealed && matching)
        )
    });
    wrong
        .map(|call| Violation::WrongResponse(call.id.clone()))
        .collect()
}

fn regressions(history: &SoakHistory) -> Vec<Violation> {
    let mut served = HashMap::<(usize, u32), (u64, Instant)>::new();
    let mut violations = Vec::new();
    let mut probes = history.probes.iter().collect::<Vec<_>>();
    probes.sort_by_key(|probe| probe.received);
    for probe in probes {
        let known = served.entry((probe.host, probe.incarnation));
        if probe.active {
            let known = known.or_insert((probe.version, probe.received));
            if probe.version > known.0 {
                *known = (probe.version, probe.received);
            }
            continue;
        }
        let known = known.or_insert((0, probe.received));
        if probe.version <= known.0 && probe.sent > known.1 + REGRESSION_SLACK {
            violations.push(Violation::Regressed(probe.host, probe.version));
        }
    }
    violations
}

pub(super) fn overlaps(disturbance: &Disturbance, from: Instant, until: Instant) -> bool {
    disturbance.from <= until && disturbance.until >= from
}

/// Returns whether there were only planned disturbances from `from` to `until`.
fn is_undisturbed(history: &SoakHistory, from: Instant, until: Instant) -> bool {
    let mut unplanned = history
        .disturbances
        .iter()
        .filter(|disturbance| !disturbance.planned);
    !unplanned.any(|disturbance| overlaps(disturbance, from, until))
}

/// Returns whether a host and the log were undisturbed from `from` to `until`.
fn is_host_undisturbed(history: &SoakHistory, host: usize, from: Instant, until: Instant) -> bool {
    let mut disturbances = history.disturbances.iter().filter(|disturbance| {
        disturbance.scope == DisturbanceScope::Log
            || disturbance.scope == DisturbanceScope::Host(host)
    });
    !disturbances.any(|disturbance| overlaps(disturbance, from, until))
}

fn before(moment: Instant, time: Duration) -> Instant {
    moment.checked_sub(time).unwrap_or(moment)
}

fn lost_at_shutdown(history: &SoakHistory) -> Vec<Violation> {
    let ran = history.runs.iter().map(|run| run.id.as_str());
    let ran = ran.collect::<std::collections::HashSet<_>>();
    let lost = history.calls.iter().filter(|call| {
        let read = ran.contains(call.id.as_str()) || call.ended > call.sent + CLOSE_RACE_TIME;
        let stopped = history.disturbances.iter().any(|disturbance| {
            disturbance.planned
                && disturbance.scope == DisturbanceScope::Host(call.host)
                && overlaps(disturbance, call.sent, call.ended)
        });
        matches!(
            call.outcome,
            CallOutcome::Interrupted | CallOutcome::Unanswered
        ) && read
            && stopped
            && is_undisturbed(history, before(call.sent, UNDISTURBED_TIME), call.ended)
    });
    lost.map(|call| Violation::LostAtShutdown(call.id.clone()))
        .collect()
}

fn sent_to_leaving(history: &SoakHistory) -> Vec<Violation> {
    let calls = calls_by_id(history);
    let departures = history.departures.iter();
    let departures = departures.map(|left| (left.target.as_str(), left.at));
    let departures = departures.collect::<HashMap<_, _>>();
    let late = history.runs.iter().filter(|run| {
        let left = departures.get(run.target.as_str());
        let host = calls.get(run.id.as_str()).map(|call| call.host);
        left.zip(host).is_some_and(|(left, host)| {
            run.at > *left + LEAVING_BOUND
                && is_host_undisturbed(history, host, before(*left, UNDISTURBED_TIME), run.at)
        })
    });
    late.map(|run| Violation::SentToLeaving(run.id.clone()))
        .collect()
}

/// Returns the attempts of each host at each target.
fn attempts_by_host(history: &SoakHistory) -> HashMap<(usize, &str), Vec<&AttemptRecord>> {
    let calls = calls_by_id(history);
    let mut attempts = HashMap::<(usize, &str), Vec<&AttemptRecord>>::new();
    for attempt in &history.attempts {
        if let Some(call) = calls.get(attempt.id.as_str()) {
            let key = (call.host, attempt.target.as_str());
            attempts.entry(key).or_default().push(attempt);
        }
    }
    attempts
}

/// Returns whether the process and the links of a host were undisturbed from `from` to
/// `until`. Faults of the log are no excuse.
fn is_process_undisturbed(
    history: &SoakHistory,
    host: usize,
    from: Instant,
    until: Instant,
) -> bool {
    let mut disturbances = history.disturbances.iter();
    !disturbances.any(|disturbance| {
        disturbance.scope == DisturbanceScope::Host(host) && overlaps(disturbance, from, until)
    })
}

/// Finds targets that received calls in a pause, each pause for itself.
pub(super) fn sent_during_pause(history: &SoakHistory) -> Vec<Violation> {
    let attempts = attempts_by_host(history).into_iter();
    let worst = attempts.filter_map(|((host, target), attempts)| {
        let pausing = attempts.iter().filter_map(|attempt| {
            let pause = attempt.pause?;
            Some((attempt.responded, attempt.responded + pause))
        });
        let counts = pausing.map(|(from, until)| {
            let during = |attempt: &&&AttemptRecord| {
                attempt.arrived > from + PAUSE_SLACK && attempt.arrived < until
            };
            match is_process_undisturbed(history, host, from, until) {
                true => attempts.iter().filter(during).count(),
                false => 0,
            }
        });
        let worst = counts.max().filter(|count| *count > MAX_CALLS_IN_PAUSE)?;
        Some(Violation::SentDuringPause(target.to_owned(), worst))
    });
    worst.collect()
}

/// Finds calls that were sent to a target after it had stated that it leaves.
pub(super) fn sent_after_statement(history: &SoakHistory) -> Vec<Violation> {
    let calls = calls_by_id(history);
    let mut violations = Vec::new();
    for ((host, _), attempts) in attempts_by_host(history) {
        let stated = attempts.iter().filter(|attempt| attempt.leaving);
        let Some(stated) = stated.map(|attempt| attempt.responded).min() else {
            continue;
        };
        let late = attempts.iter().filter(|attempt| {
            let sent = calls.get(attempt.id.as_str()).map(|call| call.sent);
            sent.is_some_and(|sent| sent > stated + LEAVING_BOUND)
                && is_process_undisturbed(history, host, stated, attempt.arrived)
        });
        violations.extend(late.map(|attempt| Violation::SentAfterStatement(attempt.id.clone())));
    }
    violations
}

fn late_versions(history: &SoakHistory) -> Vec<Violation> {
    let late = history.probes.iter().filter(|probe| {
        !probe.active
            && probe.sent > probe.published + ACTIVATION_BOUND
            && is_host_undisturbed(
                history,
                probe.host,
                before(probe.published, UNDISTURBED_TIME),
                probe.received,
            )
    });
    late.map(|probe| Violation::LateVersion(probe.host, probe.version))
        .collect()
}

/// Finds limits that were exceeded. Only calls of hosts that were undisturbed for
/// [`UNDISTURBED_TIME`] before the call count.
fn over_limits(history: &SoakHistory) -> Vec<Violation> {
    let calls = calls_by_id(history);
    let is_sound = |id: &str, at: Instant| {
        let host = calls.get(id).map(|call| call.host);
        host.is_some_and(|host| {
            is_host_undisturbed(history, host, before(at, UNDISTURBED_TIME), at)
        })
    };
    let over = history.limits.iter().filter_map(|limited| {
        let runs = history.runs.iter();
        let runs = runs.filter(|run| run.target == limited.target && is_sound(&run.id, run.at));
        let mut arrivals = runs.map(|run| run.at).collect::<Vec<_>>();
        arrivals.sort_unstable();
        let violation = limited.limit.worst_violation(&arrivals)?;
        Some(Violation::OverLimit(
            limited.target.clone(),
            violation.arrived,
        ))
    });
    over.collect()
}
