//! Closed sets of reasons for counters, log lines and `explain`.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Why a request was refused or given up.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema,
)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The organisation's bought capacity is used up.
    CapacityUsedUp,
    /// The organisation's queue is full.
    QueueFull,
    /// The request is not expected to end before its deadline.
    DeadlineUnreachable,
    /// The deadline passed.
    DeadlinePassed,
    /// Some stage has no usable target.
    NoRoute,
    /// The daemon is shutting down.
    Draining,
    /// The daemon has no usable configuration yet.
    NotReady,
    /// The platform's log is unavailable and the request needs it.
    LogUnavailable,
    /// Another host holds the claim on this idempotency key.
    ClaimedElsewhere,
    /// The idempotency key is older than the key window.
    KeyExpired,
    /// The bearer token is missing or unknown.
    Unauthenticated,
    /// The request is malformed.
    Malformed,
    /// The model, service or resource does not exist.
    Unknown,
    /// The retry budget is spent.
    RetryBudgetSpent,
    /// A target failed and the request must not be repeated.
    TargetFailed,
    /// The caller disconnected.
    CallerGone,
    /// No engine has room for the request.
    NoRoom,
    /// Targets crashed when they began to run the request.
    PoisonRequest,
    /// The targets limit their request rate, and the limit is reached.
    NoPermit,
    /// All targets have requested a pause.
    TargetsPaused,
    /// The handling of the request panicked.
    InternalError,
    /// The host's tasks run late while other hosts of its zone have fewer requests.
    HostOverloaded,
    /// The host's memory for bodies is used up.
    NoMemory,
    /// The body of the request made no progress while others needed its place.
    BodyStalled,
}

impl RefusalReason {
    /// All reasons, for registering one counter each.
    pub const ALL: [Self; 24] = [
        Self::CapacityUsedUp,
        Self::QueueFull,
        Self::DeadlineUnreachable,
        Self::DeadlinePassed,
        Self::NoRoute,
        Self::Draining,
        Self::NotReady,
        Self::LogUnavailable,
        Self::ClaimedElsewhere,
        Self::KeyExpired,
        Self::Unauthenticated,
        Self::Malformed,
        Self::Unknown,
        Self::RetryBudgetSpent,
        Self::TargetFailed,
        Self::CallerGone,
        Self::NoRoom,
        Self::PoisonRequest,
        Self::NoPermit,
        Self::TargetsPaused,
        Self::InternalError,
        Self::HostOverloaded,
        Self::NoMemory,
        Self::BodyStalled,
    ];

    /// Returns the name used in metrics, logs and response bodies.
    pub fn name(self) -> &'static str {
        match self {
            Self::CapacityUsedUp => "capacity_used_up",
            Self::QueueFull => "queue_full",
            Self::DeadlineUnreachable => "deadline_unreachable",
            Self::DeadlinePassed => "deadline_passed",
            Self::NoRoute => "no_route",
            Self::Draining => "draining",
            Self::NotReady => "not_ready",
            Self::LogUnavailable => "log_unavailable",
            Self::ClaimedElsewhere => "claimed_elsewhere",
            Self::KeyExpired => "key_expired",
            Self::Unauthenticated => "unauthenticated",
            Self::Malformed => "malformed",
            Self::Unknown => "unknown",
            Self::RetryBudgetSpent => "retry_budget_spent",
            Self::TargetFailed => "target_failed",
            Self::CallerGone => "caller_gone",
            Self::NoRoom => "no_room",
            Self::PoisonRequest => "poison_request",
            Self::NoPermit => "no_permit",
            Self::TargetsPaused => "targets_paused",
            Self::InternalError => "internal_error",
            Self::HostOverloaded => "host_overloaded",
            Self::NoMemory => "no_memory",
            Self::BodyStalled => "body_stalled",
        }
    }
}

/// Why a step or an order was sent again, or a stage moved to another target.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema,
)]
#[serde(rename_all = "snake_case")]
pub enum RetryReason {
    /// The connection could not be established; nothing was sent.
    ConnectFailed,
    /// The connection broke or timed out after bytes were sent.
    #[serde(rename = "answer_lost")]
    ResponseLost,
    /// The target refused the order.
    TargetRefused,
    /// The target has lost the session.
    SessionLost,
    /// The target is leaving or draining.
    TargetLeaving,
    /// The target responded with something that does not match the order.
    #[serde(rename = "answer_mismatched")]
    ResponseMismatched,
}

impl RetryReason {
    /// All reasons, for registering one counter each.
    pub const ALL: [Self; 6] = [
        Self::ConnectFailed,
        Self::ResponseLost,
        Self::TargetRefused,
        Self::SessionLost,
        Self::TargetLeaving,
        Self::ResponseMismatched,
    ];

    /// Returns the name used in metrics, logs and response bodies.
    pub fn name(self) -> &'static str {
        match self {
            Self::ConnectFailed => "connect_failed",
            Self::ResponseLost => "answer_lost",
            Self::TargetRefused => "target_refused",
            Self::SessionLost => "session_lost",
            Self::TargetLeaving => "target_leaving",
            Self::ResponseMismatched => "answer_mismatched",
        }
    }
}
