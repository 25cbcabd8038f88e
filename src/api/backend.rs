//! Functions that the HTTP interfaces need from the daemon: closures over typed calls.

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

/// Asynchronous function shared by all connections.
pub type AsyncCall<C, R> = Arc<dyn Fn(C) -> BoxFuture<'static, R> + Send + Sync>;

/// Synchronous function that returns data from memory.
pub type SyncQuery<R> = Arc<dyn Fn() -> R + Send + Sync>;

/// Returns the owner of a token, found by the token's digest.
pub type IdentityLookup = Arc<dyn Fn(&TokenDigest) -> Option<Arc<str>> + Send + Sync>;

/// Events of one response, in order. The receiver is dropped as soon as the caller
/// disconnects, so a failed send means that no one receives the events.
pub type GenerateStream = mpsc::Receiver<StreamEvent>;

/// A validated `POST /v1/generate`.
#[derive(Debug, Clone)]
pub struct GenerateCall {
    /// Request id given by the caller, or a new one.
    pub request: RequestId,
    /// Organisation that is charged for the request.
    pub organisation: OrganisationId,
    /// Body of the request.
    pub body: GenerateBody,
    /// Whether the request may run at most once.
    pub non_idempotent: bool,
    /// Key that identifies repeats of the request.
    pub key: Option<IdempotencyKey>,
    /// Time at which the head had been read.
    pub received: Instant,
}

/// A validated `POST /v1/services/{service}/{operation}`.
#[derive(Debug, Clone)]
pub struct ServiceCall {
    /// Request id given by the caller, or a new one.
    pub request: RequestId,
    /// Organisation that is charged for the request.
    pub organisation: OrganisationId,
    /// Service to call.
    pub service: ServiceId,
    /// Operation of the service.
    pub operation: Arc<str>,
    /// Body for the service, forwarded unchanged.
    pub body: Bytes,
    /// Whether the request may run at most once.
    pub non_idempotent: bool,
    /// Key that identifies repeats of the request.
    pub key: Option<IdempotencyKey>,
    /// Time at which the head had been read.
    pub received: Instant,
    /// Cancelled when the caller disconnects before the response.
    pub caller_disconnected: CancellationToken,
}

/// Response of a service, forwarded unchanged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceResponse {
    /// HTTP status returned by the service.
    pub status: u16,
    /// Body of the response.
    pub body: Bytes,
    /// Media type of the body, if the service set one.
    pub content_type: Option<String>,
    /// Whether this is the stored response to an earlier call with the same idempotency
    /// key.
    pub replayed: bool,
}

/// Backend of the callers' listener.
#[derive(Clone)]
pub struct CallerBackend {
    /// Returns the organisation that a token belongs to.
    pub organisation_of: IdentityLookup,
    /// Starts a generation. The future is dropped if the caller disconnects before the
    /// first event.
    pub generate: AsyncCall<GenerateCall, Result<GenerateStream, RefusalBody>>,
    /// Calls a service. The future runs to its end even if the caller disconnects; the
    /// token in the call is cancelled then, for a backend that can still stop.
    pub call_service: AsyncCall<ServiceCall, Result<ServiceResponse, RefusalBody>>,
    /// Returns whether the daemon accepts new work; `false` while it is draining.
    pub ready: SyncQuery<bool>,
    /// Returns whether the daemon's components are alive.
    pub healthy: SyncQuery<bool>,
}

/// A change declared by an operator.
#[derive(Debug, Clone)]
pub struct ApplyCall {
    /// Operator who declares the change.
    pub operator: OperatorId,
    /// Resource to create or change.
    pub key: ResourceKey,
    /// Spec and the version that it is based on.
    pub body: ApplyBody,
}

/// A removal declared by an operator.
#[derive(Debug, Clone)]
pub struct DeleteCall {
    /// Operator who declares the removal.
    pub operator: OperatorId,
    /// Resource to remove.
    pub key: ResourceKey,
    /// Offset of the last change that the operator saw.
    pub based_on: LogOffset,
}

/// Reason why a change was not accepted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangeRefusal {
    /// The change is based on an outdated version.
    Conflict(ConflictBody),
    /// The change was refused.
    Refused(RefusalBody),
}

/// Backend of the operators' listener.
#[derive(Clone)]
pub struct OperatorBackend {
    /// Returns the operator to whom a token was issued.
    pub operator_of: IdentityLookup,
    /// Returns every declared resource.
    pub list: AsyncCall<(), Result<Vec<ResourceView>, RefusalBody>>,
    /// Returns one declared resource.
    pub get: AsyncCall<ResourceKey, Result<ResourceView, RefusalBody>>,
    /// Creates or changes a resource.
    pub apply: AsyncCall<ApplyCall, Result<AcceptedBody, ChangeRefusal>>,
    /// Removes a resource.
    pub delete: AsyncCall<DeleteCall, Result<AcceptedBody, ChangeRefusal>>,
    /// Returns which hosts have applied the configuration.
    pub force: AsyncCall<(), Result<ForceView, RefusalBody>>,
    /// Returns the decisions about a request with their reasons.
    pub explain: AsyncCall<RequestId, Result<ExplainView, RefusalBody>>,
    /// Returns this host's state and its view of the targets.
    pub status: AsyncCall<(), Result<StatusView, RefusalBody>>,
    /// Returns the metrics in the text format.
    pub metrics: SyncQuery<String>,
}
