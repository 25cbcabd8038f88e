//! Checks that each call that a host has read ends with a complete response.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use super::callers::PLAIN_DEADLINE;
use super::check::{CLOSE_RACE_TIME, Violation, overlaps};
use super::configuration::ROUTE_TIMEOUT;
use super::history::{CallKind, CallOutcome, CallRecord, DisturbanceScope, LossPeer, SoakHistory};

/// Time in which all connections of a lost link are reset.
const RESET_TIME: Duration = Duration::from_millis(100);

/// Finds calls without a complete response although nothing but the host could end them:
/// neither their target, their caller, their deadline nor the end of the host's process.
pub(super) fn unfinished_calls(history: &SoakHistory) -> Vec<Violation> {
    // A run that failed gave the host nothing to continue with.
    let runs = history.runs.iter().filter(|run| !run.failed);
    let runs = moments_by_call(runs.map(|run| (run.id.as_str(), run.at)));
    let ran = history.runs.iter().map(|run| run.id.as_str());
    let ran = ran.collect::<HashSet<_>>();
    let breaks = history.breaks.iter();
    let breaks = moments_by_call(breaks.map(|broken| (broken.id.as_str(), broken.at)));
    let attempts = history.attempts.iter().map(|attempt| attempt.id.as_str());
    let attempts = attempts.collect::<HashSet<_>>();
    let found = history.calls.iter().filter_map(|call| {
        let id = call.id.as_str();
        let mut losses = history.losses.iter();
        if losses.any(|loss| {
            loss.peer == LossPeer::Callers
                && loss.host == call.host
                && loss.from <= call.ended
                && loss.until >= call.sent
        }) {
            return None;
        }
        match call.outcome {
            CallOutcome::Interrupted => {
                let last = last_before(&runs, call);
                let broken = last_before(&breaks, call).max(last_loss(history, call));
                let ended = broken.is_some_and(|at| Some(at) >= last)
                    || call.ended >= call.sent + timeout(call.kind);
                (!ended).then(|| Violation::CutWhileTargetLived(call.id.clone()))
            }
            CallOutcome::Unanswered => {
                let passed_on = ran.contains(id) || attempts.contains(id);
                let read = passed_on || was_read(history, call);
                read.then(|| Violation::NoResponse(call.id.clone()))
            }
            _ => None,
        }
    });
    found.collect()
}

/// Returns the moments of each call.
fn moments_by_call<'history, I>(moments: I) -> HashMap<&'history str, Vec<Instant>>
where
    I: Iterator<Item = (&'history str, Instant)>,
{
    let mut by_call = HashMap::<_, Vec<Instant>>::new();
    for (id, at) in moments {
        by_call.entry(id).or_default().push(at);
    }
    by_call
}

/// Returns the last moment before a call ended.
fn last_before(moments: &HashMap<&str, Vec<Instant>>, call: &CallRecord) -> Option<Instant> {
    let moments = moments.get(call.id.as_str())?.iter().copied();
    moments.filter(|at| *at <= call.ended).max()
}

/// Returns the time after which a host may end a call.
fn timeout(kind: CallKind) -> Duration {
    match kind {
        CallKind::Stream | CallKind::StreamOnce => ROUTE_TIMEOUT,
        CallKind::Idempotent | CallKind::NonIdempotent => PLAIN_DEADLINE,
    }
}

/// Returns by when connections to targets had ended last during a call. Each host counts,
/// as a call may pass through any of them.
fn last_loss(history: &SoakHistory, call: &CallRecord) -> Option<Instant> {
    let losses = history.losses.iter().filter(|loss| {
        loss.peer == LossPeer::Targets && (call.sent..=call.ended).contains(&loss.from)
    });
    losses.map(|loss| loss.from + RESET_TIME).max()
}

/// Returns whether the host of a call that reached no target has read it: its process ran, it
/// and its links were undisturbed, and the connection lasted long enough.
fn was_read(history: &SoakHistory, call: &CallRecord) -> bool {
    let mut disturbances = history.disturbances.iter();
    let disturbed = disturbances.any(|disturbance| {
        !disturbance.planned
            && disturbance.scope == DisturbanceScope::Host(call.host)
            && overlaps(disturbance, call.sent, call.ended)
    });
    let is_late = history.is_sent_after_end(call);
    !disturbed && !is_late && call.ended > call.sent + CLOSE_RACE_TIME
}
