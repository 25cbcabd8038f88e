//! What callers may request: the active configuration, and how a request is matched
//! against it. Pure; the formats of the platform are converted in [`crate::platform`].

mod configuration;
mod matching;

pub use configuration::{
    AcceleratorKind, CallerLimits, EngineModel, IngressConfiguration, KeyHolder, RequestKind,
    RouteRule, ServiceShare, ServiceSpec,
};
pub use matching::{
    CombinedPriority, MatchedRequest, RejectReason, combined_priority,
    has_same_organisation_priority, match_request,
};
