//! Requests and decisions of admission control.

use std::time::{Duration, Instant};

use crate::ids::{OrganisationId, RequestId};
use crate::reason::RefusalReason;

/// A request that asks for admission.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// Id of the request.
    pub request: RequestId,
    /// Organisation that is charged for it.
    pub organisation: OrganisationId,
    /// Estimated time to serve the request once started.
    pub service_time: Duration,
    /// Time after which a response is useless.
    pub deadline: Instant,
    /// Priority within the organisation; higher priorities start first.
    pub priority: u8,
}

/// Decision about one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The request starts now. The caller of `admit` must release it when it ends.
    Start {
        /// Id of the request.
        request: RequestId,
    },
    /// The request waits in its organisation's queue; a later decision names it.
    Wait {
        /// Id of the request.
        request: RequestId,
    },
    /// The request is refused at once and permanently.
    Refuse {
        /// Id of the request.
        request: RequestId,
        /// The reason, as counted in metrics.
        reason: RefusalReason,
        /// How long the caller should wait before it comes back.
        retry_after: Duration,
    },
}

/// What this host may use of an organisation's bought capacity.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ShareLimit {
    /// Maximum number of requests in flight.
    pub concurrent_requests: u32,
    /// Maximum number of starts per minute.
    pub requests_per_minute: u32,
}

/// How a started request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReleaseCause {
    /// The request was served to its end.
    Completed,
    /// The request failed, was dropped, or its caller disconnected.
    Abandoned,
}
