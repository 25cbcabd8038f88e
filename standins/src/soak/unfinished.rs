//! Checks that each call that a host has read ends with a complete response.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use super::callers::PLAIN_DEADLINE;
use super::check::{CLOSE_RACE_TIME, Violation, overlaps};
use super::configuration::ROUTE_TIMEOUT;
use super::history::{CallKind, CallOutcome, CallRecord, DisturbanceScope, LossPeer, SoakHistory};

/// Finds calls without a complete response although nothing but the host could end them:
/// neither their target, their caller, their deadline nor the end of the host's process.
pub(super) fn unfinished_calls(history: &SoakHistory) -> Vec<Violation> {
    let runs = history.runs.iter().map(|run| (run.id.as_str(), run.at));
    let runs = moments_by_call(runs);
    let breaks = history.breaks.iter();
    let breaks = moments_by_call(breaks.map(|broken| (broken.id.as_str(), broken.at)));
    let attempts = history.attempts.iter().map(|attempt| attempt.id.as_str());
    let attempts = attempts.collect::<HashSet<_>>();
    let found = history.calls.iter().filter_map(|call| {
        let id = call.id.as_str();
        if loses_connections(history, call, LossPeer::Callers) {
            return None;
        }
        match call.outcome {
            CallOutcome::Interrupted => {
                let ran = last_before(&runs, call);
                let broken = last_before(&breaks, call).is_some_and(|at| Some(at) >= ran);
                let ended = broken
                    || call.ended >= call.sent + timeout(call.kind)
                    || loses_connections(history, call, LossPeer::Targets);
                (!ended).then(|| Violation::CutWhileTargetLived(call.id.clone()))
            }
            CallOutcome::Unanswered => {
                let passed_on = runs.contains_key(id) || attempts.contains(id);
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
        CallKind::Stream => ROUTE_TIMEOUT,
        CallKind::Idempotent | CallKind::NonIdempotent => PLAIN_DEADLINE,
    }
}

fn loses_connections(history: &SoakHistory, call: &CallRecord, peer: LossPeer) -> bool {
    let mut losses = history.losses.iter();
    losses.any(|loss| {
        loss.host == call.host
            && loss.peer == peer
            && loss.from <= call.ended
            && loss.until >= call.sent
    })
}

/// Returns whether the host of a call that reached no target has read it: its process and
/// its links were undisturbed, and the connection lasted long enough.
fn was_read(history: &SoakHistory, call: &CallRecord) -> bool {
    let mut disturbances = history.disturbances.iter();
    let disturbed = disturbances.any(|disturbance| {
        !disturbance.planned
            && disturbance.scope == DisturbanceScope::Host(call.host)
            && overlaps(disturbance, call.sent, call.ended)
    });
    !disturbed && call.ended > call.sent + CLOSE_RACE_TIME
}
