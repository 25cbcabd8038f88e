//! The promises, judged on a history.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::history::{
    CallKind, CallOutcome, CallRecord, Disturbance, DisturbanceScope, SoakHistory,
};

/// Within this time a leaving target gets nothing new.
const LEAVING_BOUND: Duration = Duration::from_secs(2);
/// Within this time a configuration is in force.
const IN_FORCE_BOUND: Duration = Duration::from_secs(2);
/// A host that served a version does not fall behind it later than this.
const REGRESSION_SLACK: Duration = Duration::from_millis(250);
/// Timed promises hold for hosts and a log that were sound for this long.
const CONTACT: Duration = Duration::from_secs(3);
/// A caller may lose a call that crosses the close of its connection; one that
/// was open for longer was read.
const CROSSING: Duration = Duration::from_millis(200);

/// A promise that was broken, and where it showed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BrokenPromise {
    /// A non-idempotent call ran more than once.
    RanTwice(String),
    /// A caller was told that its call was not run, and it ran.
    RanThoughRefused(String),
    /// A success was another call's, without proof, or not whole.
    WrongAnswer(String),
    /// A call's path did not hold every layer once, in order.
    WrongLayers(String),
    /// A call that no caller sent was run.
    Unasked(String),
    /// A stop by SIGTERM cut off a call.
    LostAtStop(String),
    /// A target got a call long after it said that it leaves.
    SentToLeaving(String),
    /// A target got more calls than the limit that it named allows.
    OverLimit(String, usize),
    /// A host went back behind a version that it had served.
    Regressed(usize, u64),
    /// A version was not in force in time.
    LateVersion(usize, u64),
    /// A process ended by itself.
    OwnEnd(String),
    /// Not every host served again once all faults were over.
    NotRecovered,
}

/// Judges a history. Promises that are bounded by times are judged only if
/// `timed`: on a machine that is busy with other things they may be missed by
/// the stand-ins as well.
pub fn broken_promises(history: &SoakHistory, timed: bool) -> Vec<BrokenPromise> {
    let mut broken = Vec::new();
    broken.extend(wrong_runs(history));
    broken.extend(wrong_answers(history));
    broken.extend(regressions(history));
    let ends = history.own_ends.iter().cloned();
    broken.extend(ends.map(BrokenPromise::OwnEnd));
    if !history.recovered {
        broken.push(BrokenPromise::NotRecovered);
    }
    if timed {
        broken.extend(lost_at_stop(history));
        broken.extend(sent_to_leaving(history));
        broken.extend(over_limits(history));
        broken.extend(late_versions(history));
    }
    broken
}

fn calls_by_id(history: &SoakHistory) -> HashMap<&str, &CallRecord> {
    let calls = history.calls.iter();
    calls.map(|call| (call.id.as_str(), call)).collect()
}

fn wrong_runs(history: &SoakHistory) -> Vec<BrokenPromise> {
    let calls = calls_by_id(history);
    let mut counts = HashMap::<&str, u32>::new();
    let mut broken = Vec::new();
    for run in &history.runs {
        *counts.entry(&run.id).or_default() += 1;
        if !calls.contains_key(run.id.as_str()) {
            broken.push(BrokenPromise::Unasked(run.id.clone()));
        }
        if !run.layers_whole {
            broken.push(BrokenPromise::WrongLayers(run.id.clone()));
        }
    }
    for (id, count) in counts {
        let call = calls.get(id);
        let once = call.is_some_and(|call| call.kind == CallKind::NonIdempotent);
        if once && count > 1 {
            broken.push(BrokenPromise::RanTwice(id.to_owned()));
        }
        if once && call.is_some_and(|call| is_told_not_run(call.outcome)) {
            broken.push(BrokenPromise::RanThoughRefused(id.to_owned()));
        }
    }
    broken
}

/// These statuses say that a call has not run and never will.
fn is_told_not_run(outcome: CallOutcome) -> bool {
    matches!(
        outcome,
        CallOutcome::Answered {
            status: 408 | 421 | 429 | 503,
            ..
        }
    )
}

fn wrong_answers(history: &SoakHistory) -> Vec<BrokenPromise> {
    let wrong = history.calls.iter().filter(|call| {
        matches!(
            call.outcome,
            CallOutcome::Answered { status: 200..300, sealed, own } if !(sealed && own)
        )
    });
    wrong
        .map(|call| BrokenPromise::WrongAnswer(call.id.clone()))
        .collect()
}

fn regressions(history: &SoakHistory) -> Vec<BrokenPromise> {
    let mut served = HashMap::<(usize, u32), (u64, Instant)>::new();
    let mut broken = Vec::new();
    let mut probes = history.probes.iter().collect::<Vec<_>>();
    probes.sort_by_key(|probe| probe.answered);
    for probe in probes {
        let known = served.entry((probe.host, probe.incarnation));
        if probe.in_force {
            let known = known.or_insert((probe.version, probe.answered));
            if probe.version > known.0 {
                *known = (probe.version, probe.answered);
            }
            continue;
        }
        let known = known.or_insert((0, probe.answered));
        if probe.version <= known.0 && probe.sent > known.1 + REGRESSION_SLACK {
            broken.push(BrokenPromise::Regressed(probe.host, probe.version));
        }
    }
    broken
}

fn touches(disturbance: &Disturbance, from: Instant, until: Instant) -> bool {
    disturbance.from <= until && disturbance.until >= from
}

/// Whether nothing but planned work happened anywhere from `from` to `until`.
fn is_calm(history: &SoakHistory, from: Instant, until: Instant) -> bool {
    let mut unplanned = history.disturbances.iter().filter(|one| !one.planned);
    !unplanned.any(|one| touches(one, from, until))
}

/// Whether a host and the log were sound from `from` to `until`.
fn is_in_touch(history: &SoakHistory, host: usize, from: Instant, until: Instant) -> bool {
    let mut disturbances = history.disturbances.iter().filter(|one| {
        one.scope == DisturbanceScope::Log || one.scope == DisturbanceScope::Host(host)
    });
    !disturbances.any(|one| touches(one, from, until))
}

fn before(moment: Instant, time: Duration) -> Instant {
    moment.checked_sub(time).unwrap_or(moment)
}

fn lost_at_stop(history: &SoakHistory) -> Vec<BrokenPromise> {
    let ran = history.runs.iter().map(|run| run.id.as_str());
    let ran = ran.collect::<std::collections::HashSet<_>>();
    let lost = history.calls.iter().filter(|call| {
        let read = ran.contains(call.id.as_str()) || call.ended > call.sent + CROSSING;
        let stopped = history.disturbances.iter().any(|one| {
            one.planned
                && one.scope == DisturbanceScope::Host(call.host)
                && touches(one, call.sent, call.ended)
        });
        call.outcome == CallOutcome::Cut
            && read
            && stopped
            && is_calm(history, before(call.sent, CONTACT), call.ended)
    });
    lost.map(|call| BrokenPromise::LostAtStop(call.id.clone()))
        .collect()
}

fn sent_to_leaving(history: &SoakHistory) -> Vec<BrokenPromise> {
    let calls = calls_by_id(history);
    let departures = history.departures.iter();
    let departures = departures.map(|left| (left.target.as_str(), left.at));
    let departures = departures.collect::<HashMap<_, _>>();
    let late = history.runs.iter().filter(|run| {
        let left = departures.get(run.target.as_str());
        let host = calls.get(run.id.as_str()).map(|call| call.host);
        left.zip(host).is_some_and(|(left, host)| {
            run.at > *left + LEAVING_BOUND
                && is_in_touch(history, host, before(*left, CONTACT), run.at)
        })
    });
    late.map(|run| BrokenPromise::SentToLeaving(run.id.clone()))
        .collect()
}

fn late_versions(history: &SoakHistory) -> Vec<BrokenPromise> {
    let late = history.probes.iter().filter(|probe| {
        !probe.in_force
            && probe.sent > probe.published + IN_FORCE_BOUND
            && is_in_touch(
                history,
                probe.host,
                before(probe.published, CONTACT),
                probe.answered,
            )
    });
    late.map(|probe| BrokenPromise::LateVersion(probe.host, probe.version))
        .collect()
}

/// Calls of hosts that were sound for a while before count; the others are excused.
fn over_limits(history: &SoakHistory) -> Vec<BrokenPromise> {
    let calls = calls_by_id(history);
    let is_sound = |id: &str, at: Instant| {
        let host = calls.get(id).map(|call| call.host);
        host.is_some_and(|host| is_in_touch(history, host, before(at, CONTACT), at))
    };
    let over = history.limits.iter().filter_map(|limited| {
        let runs = history.runs.iter();
        let runs = runs.filter(|run| run.target == limited.target && is_sound(&run.id, run.at));
        let mut arrivals = runs.map(|run| run.at).collect::<Vec<_>>();
        arrivals.sort_unstable();
        let breach = limited.limit.worst_breach(&arrivals)?;
        Some(BrokenPromise::OverLimit(
            limited.target.clone(),
            breach.arrived,
        ))
    });
    over.collect()
}
