//! Headers of the requests between a host and its gateway.

use std::time::Duration;

/// Header of a request: the id of the target that it is for.
pub const TARGET_HEADER: &str = "jackdawwick-gateway-target";
/// Header of a request that only asks whether the gateway reaches the target.
pub const PROBE_HEADER: &str = "jackdawwick-gateway-probe";
/// Header of a response that the gateway itself created: the name of a [`GatewayResult`].
pub const RESULT_HEADER: &str = "jackdawwick-gateway-result";

/// Result of a request that a gateway did not pass on, or of a probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GatewayResult {
    /// The target accepted a connection of the gateway.
    Reachable,
    /// The target's host refused the connection: no process listens there.
    Refused,
    /// The connection was not established for another reason.
    Unreachable,
    /// The target pauses, is leaving or has left, as the gateway knows.
    Unavailable,
    /// The gateway does not know the target.
    UnknownTarget,
    /// The gateway does not know the host that sent the request.
    UnknownHost,
    /// The gateway has no configuration yet.
    NotReady,
    /// The gateway has lost its own links to targets.
    Isolated,
    /// The gateway is shutting down.
    Draining,
    /// The gateway already passes on as many requests as it may.
    Busy,
    /// The request is malformed or too large.
    Malformed,
    /// The request was sent, and the target's response did not arrive.
    Broken,
    /// The request was sent, and the gateway shut down before the target's response.
    Stopped,
}

impl GatewayResult {
    const ALL: [Self; 13] = [
        Self::Reachable,
        Self::Refused,
        Self::Unreachable,
        Self::Unavailable,
        Self::UnknownTarget,
        Self::UnknownHost,
        Self::NotReady,
        Self::Isolated,
        Self::Draining,
        Self::Busy,
        Self::Malformed,
        Self::Broken,
        Self::Stopped,
    ];

    /// Returns the name used in the header, metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Reachable => "reachable",
            Self::Refused => "refused",
            Self::Unreachable => "unreachable",
            Self::Unavailable => "unavailable",
            Self::UnknownTarget => "unknown_target",
            Self::UnknownHost => "unknown_host",
            Self::NotReady => "not_ready",
            Self::Isolated => "isolated",
            Self::Draining => "draining",
            Self::Busy => "busy",
            Self::Malformed => "malformed",
            Self::Broken => "broken",
            Self::Stopped => "stopped",
        }
    }

    /// Returns the result with a name.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|result| result.name() == name)
    }

    /// Returns whether another gateway is not asked: the result is about the target, or the
    /// request was sent.
    pub fn ends_attempt(self) -> bool {
        matches!(
            self,
            Self::Refused | Self::Unreachable | Self::Unavailable | Self::Broken | Self::Stopped
        )
    }

    /// Returns for how long to avoid a gateway with this result; `None` if the result is no
    /// reason to.
    pub(super) fn avoidance(self) -> Option<Duration> {
        match self {
            Self::Isolated | Self::Draining | Self::Stopped => Some(Duration::from_secs(2)),
            Self::Busy | Self::UnknownHost => Some(Duration::from_millis(200)),
            // The gateway may be a moment behind in reading the log.
            Self::UnknownTarget | Self::NotReady => Some(Duration::from_millis(500)),
            Self::Malformed => Some(Duration::from_secs(1)),
            _ => None,
        }
    }
}
