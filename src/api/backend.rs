//! What the HTTP interfaces ask of the daemon: closures over typed calls.

use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use futures::future::BoxFuture;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use super::wire::{
    AcceptedBody, ApplyBody, ConflictBody, ExplainView, ForceView, GenerateBody, RefusalBody,
    ResourceView, StatusView, StreamEvent,
};
use crate::auth::TokenDigest;
use crate::ids::{IdempotencyKey, LogOffset, OperatorId, OrganisationId, RequestId, ServiceId};
use crate::resources::ResourceKey;

/// An asynchronous function shared by all connections.
pub type AsyncCall<C, R> = Arc<dyn Fn(C) -> BoxFuture<'static, R> + Send + Sync>;

/// A function that answers at once from memory.
pub type SyncQuery<R> = Arc<dyn Fn() -> R + Send + Sync>;

/// Finds who declared a token by the token's digest.
pub type IdentityLookup = Arc<dyn Fn(&TokenDigest) -> Option<Arc<str>> + Send + Sync>;

/// Events of one answer, in order. The receiver is dropped as soon as the
/// caller goes away, so a failing send says that nobody listens any more.
pub type GenerateStream = mpsc::Receiver<StreamEvent>;

/// A checked `POST /v1/generate`.
#[derive(Debug, Clone)]
pub struct GenerateCall {
    /// The caller's own id of the request, else a fresh one.
    pub request: RequestId,
    /// Organisation that pays for it.
    pub organisation: OrganisationId,
    /// What is asked for.
    pub body: GenerateBody,
    /// Whether it may run at most once.
    pub non_idempotent: bool,
    /// Key under which repeats of it are recognised.
    pub key: Option<IdempotencyKey>,
    /// When its head had been read.
    pub received: Instant,
}

/// A checked `POST /v1/services/{service}/{operation}`.
#[derive(Debug, Clone)]
pub struct ServiceCall {
    /// The caller's own id of the request, else a fresh one.
    pub request: RequestId,
    /// Organisation that pays for it.
    pub organisation: OrganisationId,
    /// Service called.
    pub service: ServiceId,
    /// Operation of the service.
    pub operation: Arc<str>,
    /// Body for the service, passed on as it is.
    pub body: Bytes,
    /// Whether it may run at most once.
    pub non_idempotent: bool,
    /// Key under which repeats of it are recognised.
    pub key: Option<IdempotencyKey>,
    /// When its head had been read.
    pub received: Instant,
    /// Cancelled when the caller goes away before the answer.
    pub caller_disconnected: CancellationToken,
}

/// A service's answer, passed on as it is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceResponse {
    /// HTTP status of the service.
    pub status: u16,
    /// Body of the answer.
    pub body: Bytes,
    /// Media type of the body, if the service gave one.
    pub content_type: Option<String>,
    /// Whether it is the answer that an earlier call with the same idempotency
    /// key got.
    pub replayed: bool,
}

/// What the callers' listener needs.
#[derive(Clone)]
pub struct CallerBackend {
    /// The organisation that declared a token.
    pub organisation_of: IdentityLookup,
    /// Starts a generation. The future is dropped if the caller goes away
    /// before the first event.
    pub generate: AsyncCall<GenerateCall, Result<GenerateStream, RefusalBody>>,
    /// Calls a service. The future is run to its end even if the caller goes
    /// away; the call's token says so to a backend that can still stop.
    pub call_service: AsyncCall<ServiceCall, Result<ServiceResponse, RefusalBody>>,
    /// Whether the daemon takes new work; `false` while it is draining.
    pub ready: SyncQuery<bool>,
    /// Whether the daemon's own parts are alive.
    pub healthy: SyncQuery<bool>,
}

/// A declared change by an operator.
#[derive(Debug, Clone)]
pub struct ApplyCall {
    /// Who declares it.
    pub operator: OperatorId,
    /// Resource to create or change.
    pub key: ResourceKey,
    /// What is declared.
    pub body: ApplyBody,
}

/// A declared removal by an operator.
#[derive(Debug, Clone)]
pub struct DeleteCall {
    /// Who declares it.
    pub operator: OperatorId,
    /// Resource to remove.
    pub key: ResourceKey,
    /// Offset of the change that the operator saw last.
    pub based_on: LogOffset,
}

/// Why a change was not accepted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangeRefusal {
    /// It lost a race.
    Conflict(ConflictBody),
    /// It was refused.
    Refused(RefusalBody),
}

/// What the operators' listener needs.
#[derive(Clone)]
pub struct OperatorBackend {
    /// The operator to whom a token was given.
    pub operator_of: IdentityLookup,
    /// Every declared resource.
    pub list: AsyncCall<(), Result<Vec<ResourceView>, RefusalBody>>,
    /// One declared resource.
    pub get: AsyncCall<ResourceKey, Result<ResourceView, RefusalBody>>,
    /// Creates or changes a resource.
    pub apply: AsyncCall<ApplyCall, Result<AcceptedBody, ChangeRefusal>>,
    /// Removes a resource.
    pub delete: AsyncCall<DeleteCall, Result<AcceptedBody, ChangeRefusal>>,
    /// How far the configuration is in force.
    pub force: AsyncCall<(), Result<ForceView, RefusalBody>>,
    /// What was decided about a request, and why.
    pub explain: AsyncCall<RequestId, Result<ExplainView, RefusalBody>>,
    /// How this host sees itself and the targets.
    pub status: AsyncCall<(), Result<StatusView, RefusalBody>>,
    /// Metrics in the text format.
    pub metrics: SyncQuery<String>,
}
