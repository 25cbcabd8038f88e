//! Bodies exchanged with callers and operators: JSON and server-sent events.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::ids::{HostId, LogOffset, ModelId, OperatorId, RequestId, TargetId, TokenValue, ZoneId};
use crate::reason::RefusalReason;
use crate::resources::{ResourceKey, ResourceSpec};
use crate::verdict::RunVerdict;

/// Header with which a caller marks a request as non-idempotent (`true`).
pub const NON_IDEMPOTENT_HEADER: &str = "x-non-idempotent";

/// Body of `POST /v1/generate`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct GenerateBody {
    /// Model to use.
    pub model: ModelId,
    /// Prompt as token values, at least one.
    pub prompt: Vec<TokenValue>,
    /// Tokens to generate, at least one.
    pub max_tokens: u64,
    /// Deadline of the request, in milliseconds from its arrival.
    #[serde(default)]
    pub deadline_ms: Option<u64>,
    /// Requests with a higher priority go first within the organisation and in the
    /// engines.
    #[serde(default)]
    pub priority: u8,
    /// Set when the caller resumes a response that another entry host started.
    #[serde(default)]
    pub resume: Option<ResumeToken>,
}

/// State that a caller needs to resume a stream on another entry host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ResumeToken {
    /// Id of the request to resume.
    pub request: RequestId,
    /// Model version that the response started with.
    pub version: String,
    /// Tokens that the caller has received, in order from number zero.
    pub delivered: Vec<TokenValue>,
}

/// Events of the stream that responds to `POST /v1/generate`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum StreamEvent {
    /// First event: what the caller needs to resume on another entry host.
    Started {
        /// Id of the request.
        request: RequestId,
        /// Model version that serves it.
        version: String,
    },
    /// One token.
    Token {
        /// Number of the token in the response, from zero, without gaps.
        number: u64,
        /// Value of the token.
        token: TokenValue,
    },
    /// Last event of a complete response.
    Done {
        /// Number of tokens in the response.
        count: u64,
    },
    /// Last event of an interrupted response.
    Error(RefusalBody),
}

/// Body of every refusal, and of the last event of an interrupted stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct RefusalBody {
    /// Whether the request may have run.
    pub verdict: RunVerdict,
    /// Reason of the refusal.
    pub reason: RefusalReason,
    /// Human-readable description.
    pub message: String,
    /// Time after which to retry, in milliseconds; absent if a retry is useless.
    pub retry_after_ms: Option<u64>,
    /// Id of the request.
    pub request: Option<RequestId>,
}

/// Body of `PUT /v1/resources/{kind}/{name}` on the operators' listener.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ApplyBody {
    /// Spec of the resource.
    pub spec: ResourceSpec,
    /// Offset of the last change that the operator saw; `None` for a new resource.
    pub based_on: Option<LogOffset>,
}

/// A declared resource in its current version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct ResourceView {
    /// Kind and name.
    pub key: ResourceKey,
    /// Spec of the resource.
    pub spec: ResourceSpec,
    /// Offset of the accepted change: its version.
    pub version: LogOffset,
    /// Operator who made the change.
    pub operator: OperatorId,
}

/// Response to an accepted change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct AcceptedBody {
    /// Offset of the accepted change.
    pub version: LogOffset,
}

/// Response (409) to a change that is based on an outdated version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct ConflictBody {
    /// Offset of the change that is in effect; `None` if the resource does not exist.
    pub winner: Option<LogOffset>,
    /// Operator who made that change.
    pub operator: Option<OperatorId>,
    /// Human-readable hint on how to proceed.
    pub message: String,
}

/// Progress of hosts in applying the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct ForceView {
    /// Lowest applied end offset of all reachable hosts.
    pub in_force: LogOffset,
    /// Every known host, with the offset that it has applied.
    pub hosts: Vec<HostForceView>,
}

/// One host of a [`ForceView`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct HostForceView {
    /// The host.
    pub host: HostId,
    /// Offset after the last record that the host has applied, as last reported.
    pub applied: LogOffset,
    /// Whether the host is reachable now.
    pub reachable: bool,
    /// Whether the host is shutting down.
    pub draining: bool,
}

/// Decisions about one request or resource, with their reasons.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct ExplainView {
    /// The request or resource.
    pub subject: String,
    /// Decisions, oldest first.
    pub entries: Vec<ExplainEntry>,
}

/// One decision of an [`ExplainView`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct ExplainEntry {
    /// Time of the decision, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Subject of the decision.
    pub subject: String,
    /// Human-readable decision with its reason.
    pub text: String,
}

/// State of a host and its view of the targets.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct StatusView {
    /// The host that responds.
    pub host: HostId,
    /// Availability zone of the host.
    pub zone: ZoneId,
    /// Whether the host accepts new work.
    pub ready: bool,
    /// Whether the host is shutting down.
    pub draining: bool,
    /// Offset after the last record that the host has applied.
    pub applied: LogOffset,
    /// The declared targets as this host sees them.
    pub targets: Vec<TargetStatusView>,
}

/// One target of a [`StatusView`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct TargetStatusView {
    /// The target.
    pub target: TargetId,
    /// Availability zone of the target.
    pub zone: ZoneId,
    /// Whether this host sends new work to the target.
    pub usable: bool,
    /// Human-readable condition of the target: why it is unusable, or its current state.
    pub condition: String,
    /// Steps and calls of this host that are in flight on the target.
    pub in_flight: u64,
}
