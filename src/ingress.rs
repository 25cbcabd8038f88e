//! What callers may ask for: the configuration in force, and how a request is
//! matched against it. Pure; the platform's spelling is left behind in
//! [`crate::platform`].

mod configuration;
mod matching;

pub use configuration::{
    AcceleratorKind, CallerLimits, EngineModel, IngressConfiguration, KeyHolder, RequestKind,
    RouteRule, ServiceShare, ServiceSpec,
};
pub use matching::{MatchedRequest, RejectReason, match_request};
