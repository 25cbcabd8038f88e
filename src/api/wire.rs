//! Bodies exchanged with callers and operators: JSON and server-sent events.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::ids::{HostId, LogOffset, ModelId, OperatorId, RequestId, TargetId, TokenValue, ZoneId};
use crate::reason::RefusalReason;
use crate::resources::{ResourceKey, ResourceSpec};
use crate::verdict::RunVerdict;

/// Header by which a caller marks a request as non-idempotent (`true`).
pub const NON_IDEMPOTENT_HEADER: &str = "x-non-idempotent";

/// Body of `POST /v1/generate`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct GenerateBody {
    /// Model to use.
    pub model: ModelId,
    /// Prompt as token values; at least one.
    pub prompt: Vec<TokenValue>,
    /// Tokens to generate, at least one.
    pub max_tokens: u64,
    /// Time within which the answer is wanted, in milliseconds.
    #[serde(default)]
    pub deadline_ms: Option<u64>,
    /// Higher goes first within the organisation and in the engines.
    #[serde(default)]
    pub priority: u8,
    /// Given when the caller continues an answer that another entry host began.
    #[serde(default)]
    pub resume: Option<ResumeToken>,
}

/// What a caller needs to continue a stream on another entry host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ResumeToken {
    /// The request that was begun.
    pub request: RequestId,
    /// Version that the answer began on.
    pub version: String,
    /// Tokens that the caller holds, in order from number zero.
    pub delivered: Vec<TokenValue>,
}

/// Events of the stream that answers `POST /v1/generate`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum StreamEvent {
    /// First event: what the caller needs for resuming elsewhere.
    Started {
        /// The request.
        request: RequestId,
        /// Version that serves it.
        version: String,
    },
    /// One token.
    Token {
        /// Number in the answer, from zero, without gaps.
        number: u64,
        /// The token.
        token: TokenValue,
    },
    /// Last event of a whole answer.
    Done {
        /// Number of tokens in the answer.
        count: u64,
    },
    /// Last event of an answer that was cut short.
    Error(RefusalBody),
}

/// Body of every refusal, and of the last event of a stream that broke.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct RefusalBody {
    /// Whether the request may have run.
    pub verdict: RunVerdict,
    /// Why it was refused.
    pub reason: RefusalReason,
    /// What happened, for a person.
    pub message: String,
    /// When to come back, in milliseconds; absent if coming back is useless.
    pub retry_after_ms: Option<u64>,
    /// The request.
    pub request: Option<RequestId>,
}

/// Body of `PUT /v1/resources/{kind}/{name}` on the operators' listener.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ApplyBody {
    /// What is declared.
    pub spec: ResourceSpec,
    /// Offset of the change that the operator saw last; `None` for a new resource.
    pub based_on: Option<LogOffset>,
}

/// A declared resource as it stands.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct ResourceView {
    /// Kind and name.
    pub key: ResourceKey,
    /// What was declared.
    pub spec: ResourceSpec,
    /// Offset of the accepted change: its version.
    pub version: LogOffset,
    /// Operator who made it.
    pub operator: OperatorId,
}

/// Answer to an accepted change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct AcceptedBody {
    /// Offset of the accepted change.
    pub version: LogOffset,
}

/// Answer (409) to a change that lost a race.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct ConflictBody {
    /// Offset of the change that stands; `None` if the resource does not exist.
    pub winner: Option<LogOffset>,
    /// Operator who made it.
    pub operator: Option<OperatorId>,
    /// What to do next.
    pub message: String,
}

/// How far a configuration is in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct ForceView {
    /// Lowest applied end offset over the hosts that can be reached.
    pub in_force: LogOffset,
    /// Every host known, with what it has applied.
    pub hosts: Vec<HostForceView>,
}

/// One host's part of a [`ForceView`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct HostForceView {
    /// The host.
    pub host: HostId,
    /// Offset after the last record that it has applied, as last heard.
    pub applied: LogOffset,
    /// Whether it can be reached now.
    pub reachable: bool,
    /// Whether it is shutting down.
    pub draining: bool,
}

/// What was decided about one request or resource, and why.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct ExplainView {
    /// The request or resource asked about.
    pub subject: String,
    /// Decisions, oldest first.
    pub entries: Vec<ExplainEntry>,
}

/// One decision of an [`ExplainView`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct ExplainEntry {
    /// When it was taken, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// What it was about.
    pub subject: String,
    /// The decision and its reason, for a person.
    pub text: String,
}

/// How a host sees itself and the targets.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct StatusView {
    /// The host that answers.
    pub host: HostId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Whether it takes new work.
    pub ready: bool,
    /// Whether it is shutting down.
    pub draining: bool,
    /// Offset after the last record that it has applied.
    pub applied: LogOffset,
    /// The declared targets as this host sees them.
    pub targets: Vec<TargetStatusView>,
}

/// One target of a [`StatusView`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct TargetStatusView {
    /// The target.
    pub target: TargetId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Whether it gets new work from this host.
    pub usable: bool,
    /// Why not, or how it does, for a person.
    pub condition: String,
    /// Steps and calls of this host in flight there.
    pub in_flight: u64,
}
