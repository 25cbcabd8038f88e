//! What is asked of admission and what it answers.

use std::time::{Duration, Instant};

use crate::ids::{OrganisationId, RequestId};
use crate::reason::RefusalReason;

/// A request that asks to be started.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// The request.
    pub request: RequestId,
    /// Organisation that pays for it.
    pub organisation: OrganisationId,
    /// Estimated time to serve it once started.
    pub service_time: Duration,
    /// When the answer is worthless.
    pub deadline: Instant,
    /// Priority within the organisation; higher goes first.
    pub priority: u8,
}

/// What admission decides about one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// Start it now; the caller of `admit` must release it when it ends.
    Start {
        /// The request.
        request: RequestId,
    },
    /// It waits in its organisation's queue; a later decision names it.
    Wait {
        /// The request.
        request: RequestId,
    },
    /// It is refused, at once and for good.
    Refuse {
        /// The request.
        request: RequestId,
        /// The reason, as counted.
        reason: RefusalReason,
        /// When the caller should come back.
        retry_after: Duration,
    },
}

/// What this host may use of an organisation's bought capacity.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ShareLimit {
    /// Requests in flight at once.
    pub concurrent_requests: u32,
    /// Requests started per minute.
    pub requests_per_minute: u32,
}

/// How a started request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReleaseCause {
    /// It was served to its end.
    Completed,
    /// It failed, was given up or its caller went away.
    Abandoned,
}
