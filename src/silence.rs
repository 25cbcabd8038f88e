//! Decides what happens to a request whose target has fallen silent.
//!
//! Load: requests that run while their target stands still for a second and goes on, ends
//! together with its host, loses its link, or waits for a later engine of the path. For a
//! second these look alike. A request that has begun is therefore never given up for a
//! silence: a hedge, a further attempt, is made, and the first one to respond continues. All
//! requests of a target fall silent at once, so such attempts wait for evidence and take
//! only a part of the retries.

mod table;

use std::time::Duration;

use crate::reason::RefusalReason;
use crate::retry::RetryUse;
pub use table::SilenceTable;

/// What is known about a target that sends nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SilenceCause {
    /// The target reports and names no engine at fault.
    Working,
    /// It accepts connections and does not respond on them.
    Unresponsive,
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
            Self::Unresponsive => "unresponsive",
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
    /// Time since the last progress after which a target is hedged that accepts connections
    /// and does not respond.
    pub unresponsive: Duration,
    /// Time to the head of a response after which a target is hedged that reports no fault.
    pub head: Duration,
}

/// Shortest time for which callers of streams wait for the next event.
const MIN_PATIENCE: Duration = Duration::from_secs(2);
/// Time for which callers of streams wait, in multiples of the latency aim.
const PATIENCE_AIM_FACTOR: f64 = 4.0;
/// Time for which callers of streams wait, in multiples of the longest pause on time.
const PATIENCE_GAP_FACTOR: f64 = 8.0;
/// Part of the caller's patience after which an unresponsive target is hedged. The rest is for
/// the hedge to connect and to process the prompt.
const UNRESPONSIVE_SHARE: f64 = 0.65;
/// Longest pause of a target that stands still and goes on.
const MAX_UNRESPONSIVE: Duration = Duration::from_millis(1500);

impl SilenceLimits {
    /// Returns the limits of a stream with these aims for its first event and for the pauses
    /// between events.
    pub fn of_stream(aim: Duration, gap: Option<Duration>, head: Duration) -> Self {
        let by_gap = gap.unwrap_or_default().mul_f64(PATIENCE_GAP_FACTOR);
        let patience = MIN_PATIENCE
            .max(aim.mul_f64(PATIENCE_AIM_FACTOR))
            .max(by_gap);
        Self {
            unresponsive: patience.mul_f64(UNRESPONSIVE_SHARE).min(MAX_UNRESPONSIVE),
            head,
        }
    }

    /// Returns the limits of a response without events, which is late after `head`.
    pub fn of_response(head: Duration) -> Self {
        Self {
            unresponsive: head,
            head,
        }
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
    /// Whether a hedge is open or in preparation.
    pub is_hedged: bool,
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
    /// A hedge is made while this attempt continues.
    Hedge,
    /// The request ends: targets crash under it, and its target waits for one that has.
    End,
}

/// Why no hedge is made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WaitReason {
    /// The request may run only once.
    NotRepeatable,
    /// It has been sent to as many targets as it may be.
    NoAttempt,
    /// There is a hedge already.
    Hedged,
    /// The target shows no fault, or completes its requests before it ends.
    NoFault,
    /// The silence is short enough for a target that stands still.
    Short,
    /// Most targets stand still, and a hedge would wait as well.
    Widespread,
}

impl WaitReason {
    /// Returns the name used in metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::NotRepeatable => "not_repeatable",
            Self::NoAttempt => "no_attempt",
            Self::Hedged => "hedged",
            Self::NoFault => "no_fault",
            Self::Short => "short",
            Self::Widespread => "widespread",
        }
    }
}

/// What was decided about a silence, or what became of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SilenceAction {
    /// The attempt continues alone.
    Waiting(WaitReason),
    /// A hedge was to be made, and the retry budget has nothing left for it.
    NoRetry,
    /// A hedge was to be made, and no target may get it.
    Refused(RefusalReason),
    /// A hedge was made.
    Hedged,
    /// The attempt was moved to other engines.
    Moved,
    /// The target went on.
    Ended,
    /// Another attempt delivered first.
    Replaced,
    /// The attempt was a hedge, and the primary attempt delivered first.
    Overtaken,
    /// The connection broke.
    Broke,
    /// The response was cut.
    Cut,
}

impl SilenceAction {
    /// Returns the name used in metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Waiting(reason) => reason.name(),
            Self::NoRetry => "no_retry",
            Self::Refused(reason) => reason.name(),
            Self::Hedged => "hedged",
            Self::Moved => "moved",
            Self::Ended => "ended",
            Self::Replaced => "replaced",
            Self::Overtaken => "overtaken",
            Self::Broke => "broke",
            Self::Cut => "cut",
        }
    }
}

/// Decides about a request whose target has sent nothing for a while.
pub fn decide(request: SilentRequest, limits: SilenceLimits) -> SilenceDecision {
    use SilenceDecision::{End, Hedge, Wait};
    let SilentRequest { cause, silent, .. } = request;
    match cause {
        SilenceCause::Stalled if request.is_poison => End,
        _ if !request.is_repeatable => Wait(WaitReason::NotRepeatable),
        _ if request.is_hedged => Wait(WaitReason::Hedged),
        _ if !request.has_attempts || request.is_poison => Wait(WaitReason::NoAttempt),
        SilenceCause::Closing => Wait(WaitReason::NoFault),
        SilenceCause::Working if request.has_begun => Wait(WaitReason::NoFault),
        SilenceCause::Working if silent < limits.head => Wait(WaitReason::Short),
        SilenceCause::Unresponsive if silent < limits.unresponsive => Wait(WaitReason::Short),
        SilenceCause::Unresponsive if request.is_widespread => Wait(WaitReason::Widespread),
        _ => Hedge,
    }
}

/// Returns what a hedge may spend. A request would probably fail without
/// another attempt if its target is out of reach.
pub fn retry_use(cause: SilenceCause) -> RetryUse {
    match cause {
        SilenceCause::Unreachable | SilenceCause::LostLink => RetryUse::Replacement,
        SilenceCause::Working
        | SilenceCause::Unresponsive
        | SilenceCause::Closing
        | SilenceCause::Stalled => RetryUse::Spare,
    }
}
