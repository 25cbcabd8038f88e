//! Decides what happens to a request whose target has fallen silent.
//!
//! Load: requests that run while their target stands still for a second and goes on, ends
//! together with its host, loses its link, or waits for a later engine of the path. For a
//! second these look alike. A request that has begun is therefore never given up for a
//! silence: another attempt is made beside it, and the first one to respond continues. All
//! requests of a target fall silent at once, so such attempts wait for evidence and take
//! only a part of the retries.

mod table;

use std::time::Duration;

use crate::retry::RetryUse;
pub use table::SilenceTable;

/// What is known about a target that sends nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SilenceCause {
    /// The target reports and names no engine at fault.
    Working,
    /// It accepts connections and does not respond on them.
    Still,
    /// It accepts no connections.
    Unreachable,
    /// It refuses connections and keeps the open ones: it is shutting down.
    Closing,
    /// It reports that the request waits for a later engine of its path.
    Stalled,
    /// Other hosts reach it, and this host has lost its link to it.
    LostLink,
}

impl SilenceCause {
    /// Returns the name used in metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Working => "working",
            Self::Still => "still",
            Self::Unreachable => "unreachable",
            Self::Closing => "closing",
            Self::Stalled => "stalled",
            Self::LostLink => "lost_link",
        }
    }
}

/// Durations of silence that matter to a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SilenceLimits {
    /// Silence after which another attempt is made although the target accepts
    /// connections. It leaves an attempt time to respond before the caller gives up.
    pub still: Duration,
    /// Time to the head of a response after which another attempt is made although the
    /// target reports no fault.
    pub head: Duration,
}

/// Shortest time for which callers of streams wait for the next event.
const MIN_PATIENCE: Duration = Duration::from_secs(2);
/// Time for which callers of streams wait, in multiples of the latency aim.
const PATIENCE_AIMS: f64 = 4.0;
/// Time for which callers of streams wait, in multiples of the longest pause on time.
const PATIENCE_GAPS: f64 = 8.0;
/// Part of the caller's patience after which a target that stands still is doubted. The
/// rest is for the other attempt: about ten passes of a loaded engine.
const STILL_SHARE: f64 = 0.65;
/// Longest silence of a target that stands still and goes on.
const LONGEST_STILL: Duration = Duration::from_millis(1500);

impl SilenceLimits {
    /// Returns the limits of a stream with these aims for its first event and for the pauses
    /// between events.
    pub fn of_stream(aim: Duration, gap: Option<Duration>, head: Duration) -> Self {
        let by_gap = gap.unwrap_or_default().mul_f64(PATIENCE_GAPS);
        let patience = MIN_PATIENCE.max(aim.mul_f64(PATIENCE_AIMS)).max(by_gap);
        Self {
            still: patience.mul_f64(STILL_SHARE).min(LONGEST_STILL),
            head,
        }
    }

    /// Returns the limits of a response without events, which is late after `head`.
    pub fn of_response(head: Duration) -> Self {
        Self { still: head, head }
    }
}

/// A silent request, as its host sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SilentRequest {
    /// What is known about its target.
    pub cause: SilenceCause,
    /// Time since the target last showed progress.
    pub silent: Duration,
    /// Whether a part of the response has arrived.
    pub has_begun: bool,
    /// Whether the request may run more than once.
    pub is_repeatable: bool,
    /// Whether it may be sent to another target.
    pub has_attempts: bool,
    /// Whether another attempt runs beside it.
    pub is_accompanied: bool,
    /// Whether targets crash under the request, so that it is sent to none.
    pub is_poison: bool,
    /// Whether most targets of the service that this host uses stand still.
    pub is_widespread: bool,
}

/// What to do about a silent request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SilenceDecision {
    /// Its attempt continues alone.
    Wait(WaitReason),
    /// Another attempt is made while this one continues.
    Accompany,
    /// The request ends: targets crash under it, and this one may have.
    End,
}

/// Why no other attempt is made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WaitReason {
    /// The request may run only once.
    NotRepeatable,
    /// It has been sent to as many targets as it may be.
    NoAttempt,
    /// Another attempt runs already.
    Accompanied,
    /// The target shows no fault, or completes its requests before it ends.
    NoFault,
    /// The silence is short enough for a target that stands still.
    Short,
    /// Most targets stand still, and another attempt would wait as well.
    Widespread,
}

impl WaitReason {
    /// Returns the name used in metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::NotRepeatable => "not_repeatable",
            Self::NoAttempt => "no_attempt",
            Self::Accompanied => "accompanied",
            Self::NoFault => "no_fault",
            Self::Short => "short",
            Self::Widespread => "widespread",
        }
    }
}

/// Decides about a request whose target has sent nothing for a while.
pub fn decide(request: SilentRequest, limits: SilenceLimits) -> SilenceDecision {
    use SilenceDecision::{Accompany, End, Wait};
    let SilentRequest { cause, silent, .. } = request;
    match cause {
        SilenceCause::Unreachable | SilenceCause::Stalled if request.is_poison => End,
        _ if !request.is_repeatable => Wait(WaitReason::NotRepeatable),
        _ if request.is_accompanied => Wait(WaitReason::Accompanied),
        _ if !request.has_attempts || request.is_poison => Wait(WaitReason::NoAttempt),
        SilenceCause::Closing => Wait(WaitReason::NoFault),
        SilenceCause::Working if request.has_begun => Wait(WaitReason::NoFault),
        SilenceCause::Working if silent < limits.head => Wait(WaitReason::Short),
        SilenceCause::Still if silent < limits.still => Wait(WaitReason::Short),
        SilenceCause::Still if request.is_widespread => Wait(WaitReason::Widespread),
        _ => Accompany,
    }
}

/// Returns what an attempt beside a silent one may spend. A request would probably fail without
/// another attempt if its target is out of reach.
pub fn retry_use(cause: SilenceCause) -> RetryUse {
    match cause {
        SilenceCause::Unreachable | SilenceCause::LostLink => RetryUse::Replacement,
        SilenceCause::Working
        | SilenceCause::Still
        | SilenceCause::Closing
        | SilenceCause::Stalled => RetryUse::Spare,
    }
}
