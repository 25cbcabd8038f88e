//! Decides about one request that has not started.

use std::time::Duration;

use super::fairness::exceeds_fair_share;
use super::ranks::ServiceRanks;
use crate::capacity::ZoneCapacity;
use crate::ingress::CombinedPriority;

/// Part of the objective of the more urgent ranks that the expected first event of the
/// first less urgent rank may take. Hosts learn of each other's requests up to a second
/// late, so the expected time is an underestimate during a rise of demand.
const EXPECTED_SHARE: f64 = 0.6;
/// Reduction of that part for each further rank.
const EXPECTED_STEP: f64 = 0.1;
/// Time until a start appears in the reports of its host. The age of the reports comes on
/// top. With 750 ms the least urgent rank was on time 0.07 less often in the simulation.
const VIEW_DELAY: Duration = Duration::from_millis(250);
/// Longest time that reports take on their way. Older demand is that of a zone whose reports
/// are lost, and does not tell how late hosts know of a start.
const MAX_REPORT_DELAY: Duration = Duration::from_secs(1);
/// Age from which the demand of a zone says nothing about the present.
const MAX_DEMAND_AGE: Duration = Duration::from_secs(2);
/// Standard deviations of the arrivals in that time that the headroom covers. Arrivals are
/// Poisson, so that their variance is their mean.
const BURST_DEVIATIONS: f64 = 2.0;
/// Largest part of the capacity that is kept free for the ranks above. Beyond it a less
/// urgent rank would lose capacity that the urgent ones do not use.
const MAX_HEADROOM: f64 = 0.5;
/// Factor on the headroom for a request that comes back after a refusal. A second refusal
/// loses it, so that it goes before new requests of its rank.
const RETURNING_FACTOR: f64 = 0.5;
/// Factor on the headroom for a request of an organisation above its fair share, so that
/// the others of the rank find room when it no longer does.
const UNFAIR_FACTOR: f64 = 1.25;
/// Part of the latency objective for which a request waits at most.
const MAX_WAIT_SHARE: f64 = 0.125;

/// A request that asks to start.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StartRequest {
    /// Its priority among the requests of its service, 0 first.
    pub priority: CombinedPriority,
    /// Hash of the name of its organisation.
    pub organisation: u64,
    /// Latency objective of its route.
    pub objective: Duration,
    /// Time since it arrived.
    pub age: Duration,
    /// Time left until its deadline.
    pub left: Duration,
    /// Whether it has been refused before.
    pub is_returning: bool,
    /// Whether an attempt of it was started already, so that it only needs room.
    pub is_admitted: bool,
}

/// What is expected of the path that was chosen for a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PathOutlook {
    /// Expected time to the first event.
    pub first_event: Duration,
    /// Whether an engine on it has no room.
    pub full: bool,
}

/// What a decision reads besides the request and its path.
#[derive(Debug, Clone, Copy)]
pub struct StartContext<'a> {
    /// The ranks of the service.
    pub ranks: &'a ServiceRanks,
    /// The zone of the path, if there is a current view.
    pub zone: Option<&'a ZoneCapacity>,
    /// The zone of this host, if there is a current view. Its callers count too, since their
    /// requests may go to the zone of the path.
    pub home: Option<&'a ZoneCapacity>,
    /// Whether the floor of the request's rank requires a start.
    pub floor_due: bool,
    /// Whether a request of a more urgent rank waits on this host.
    pub waiting_above: bool,
}

/// Why a request is not started at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HoldReason {
    /// An engine of the path has no room.
    PathFull,
    /// The expected first event would endanger the objective of more urgent ranks.
    ExpectedLate,
    /// The free capacity is kept for more urgent ranks, or a more urgent request waits for it.
    Headroom,
    /// The host holds as many waiting requests as it may.
    QueueFull,
    /// The request has waited as long as it may.
    WaitOver,
}

impl HoldReason {
    /// All reasons, for registering one counter each.
    pub const ALL: [Self; 5] = [
        Self::PathFull,
        Self::ExpectedLate,
        Self::Headroom,
        Self::QueueFull,
        Self::WaitOver,
    ];

    /// Returns the name used in metrics and log lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::PathFull => "path_full",
            Self::ExpectedLate => "expected_late",
            Self::Headroom => "headroom",
            Self::QueueFull => "queue_full",
            Self::WaitOver => "wait_over",
        }
    }
}

/// What happens with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartVerdict {
    /// It is sent now.
    Start,
    /// It waits at most this long for room.
    Wait(Duration, HoldReason),
    /// It is refused.
    Refuse(HoldReason),
}

/// A verdict and the figures that it is based on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StartDecision {
    /// What happens with the request.
    pub verdict: StartVerdict,
    /// Number of more urgent ranks.
    pub rank: usize,
    /// Requests that could start without the headroom; `None` without a current view.
    pub free: Option<f64>,
    /// Requests that are kept free for more urgent ranks.
    pub headroom: f64,
    /// Whether only the floor of the rank started it.
    pub by_floor: bool,
}

/// Decides whether a request starts.
pub fn decide(
    request: &StartRequest,
    path: PathOutlook,
    context: StartContext<'_>,
) -> StartDecision {
    let rank = context.ranks.position(request.priority);
    let headroom = context
        .zone
        .map_or(0.0, |zone| headroom(request, rank, zone, context.home));
    let free = context.zone.map(|zone| zone.concurrent - zone.in_flight);
    let limit = expected_limit(request, rank, context);
    let skips_headroom = request.is_admitted || rank == 0;
    let (verdict, by_floor) = match path.full {
        true => (hold_full(request, rank), false),
        false if skips_headroom => (StartVerdict::Start, false),
        false => {
            let is_late = limit.is_some_and(|limit| path.first_event > limit);
            let is_short =
                context.waiting_above || free.is_some_and(|free| headroom > 0.0 && free < headroom);
            match (is_late, is_short) {
                (false, false) => (StartVerdict::Start, false),
                _ if context.floor_due => (StartVerdict::Start, true),
                (true, _) => (StartVerdict::Refuse(HoldReason::ExpectedLate), false),
                _ => (StartVerdict::Refuse(HoldReason::Headroom), false),
            }
        }
    };
    StartDecision {
        verdict,
        rank,
        free,
        headroom,
        by_floor,
    }
}

/// Returns what happens with a request whose path has no room.
fn hold_full(request: &StartRequest, rank: usize) -> StartVerdict {
    let longest = request.objective.mul_f64(MAX_WAIT_SHARE);
    // The eighth begins at the arrival, so that a refusal is in time; a request whose
    // attempt failed has spent it already.
    let spent = match request.is_admitted {
        true => Duration::ZERO,
        false => request.age,
    };
    let wait = longest.saturating_sub(spent).min(request.left);
    match wait {
        wait if rank == 0 && !wait.is_zero() => StartVerdict::Wait(wait, HoldReason::PathFull),
        _ => StartVerdict::Refuse(HoldReason::PathFull),
    }
}

/// Returns the longest expected time to the first event with which a less urgent request
/// starts; `None` if no more urgent requests are known to arrive.
fn expected_limit(
    request: &StartRequest,
    rank: usize,
    context: StartContext<'_>,
) -> Option<Duration> {
    let zone = context.zone?;
    if arrivals_above(request.priority, zone, context.home) <= 0.0 {
        return None;
    }
    let objective = context.ranks.urgent_objective(request.priority)?;
    let steps = rank.saturating_sub(1).min(3) as f64;
    let share = EXPECTED_SHARE - EXPECTED_STEP * steps;
    let returning = match request.is_returning {
        true => EXPECTED_STEP,
        false => 0.0,
    };
    Some(objective.mul_f64(share + returning))
}

/// Returns the requests for which room is kept for the ranks above.
fn headroom(
    request: &StartRequest,
    rank: usize,
    zone: &ZoneCapacity,
    home: Option<&ZoneCapacity>,
) -> f64 {
    if rank == 0 {
        return 0.0;
    }
    let own = expected_arrivals(request.priority, zone, home);
    let fairness = match exceeds_fair_share(zone, request.priority, request.organisation) {
        true => UNFAIR_FACTOR,
        false => 1.0,
    };
    let headroom = match request.is_returning {
        true => {
            // A returning request goes before new ones of its rank, not of the rank above.
            let next = rank_above(request.priority, zone, home);
            let above = next.map_or(0.0, |next| expected_arrivals(next, zone, home));
            (own * RETURNING_FACTOR).max(above)
        }
        false => own * fairness,
    };
    headroom.min(zone.concurrent.max(0.0) * MAX_HEADROOM)
}

/// Returns the more urgent requests that arrive before all hosts know that one more has
/// started, with the usual variation.
fn expected_arrivals(
    priority: CombinedPriority,
    zone: &ZoneCapacity,
    home: Option<&ZoneCapacity>,
) -> f64 {
    let rate = arrivals_above(priority, zone, home);
    let delay = VIEW_DELAY + zone.demand_age.min(MAX_REPORT_DELAY);
    let expected = rate * delay.as_secs_f64();
    expected + BURST_DEVIATIONS * expected.sqrt()
}

/// Returns the more urgent requests that arrive in a second, in the zone that has more of
/// them.
fn arrivals_above(
    priority: CombinedPriority,
    zone: &ZoneCapacity,
    home: Option<&ZoneCapacity>,
) -> f64 {
    let rate = |zone: &ZoneCapacity| {
        if zone.demand_age >= MAX_DEMAND_AGE {
            return 0.0;
        }
        let above = zone.demand.iter();
        let above = above.filter(|demand| demand.priority < priority);
        above.map(|demand| demand.arrivals_per_s).sum::<f64>()
    };
    let rate = rate(zone).max(home.map_or(0.0, rate));
    rate.max(0.0)
}

/// Returns the next more urgent priority with demand.
fn rank_above(
    priority: CombinedPriority,
    zone: &ZoneCapacity,
    home: Option<&ZoneCapacity>,
) -> Option<CombinedPriority> {
    let zones = [Some(zone), home].into_iter().flatten();
    let demand = zones.flat_map(|zone| &zone.demand);
    let above = demand.filter(|demand| demand.priority < priority);
    above.map(|demand| demand.priority).max()
}
