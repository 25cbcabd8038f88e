//! Matches host name, path and API key to a route and an organisation.

use std::sync::Arc;

use crate::ids::OrganisationId;
use crate::ingress::{IngressConfiguration, RouteRule};

/// The route and the organisation of a request.
#[derive(Debug, Clone, PartialEq)]
pub struct MatchedRequest {
    /// The route that applies.
    pub route: Arc<RouteRule>,
    /// Organisation of the caller, if the configuration declares organisations.
    pub organisation: Option<OrganisationId>,
    /// Priority of the request, 0 first.
    pub priority: u8,
    /// Priority among the requests of its service.
    pub combined: CombinedPriority,
}

/// Priority of a request among those of its service, 0 first: the tens are the priority of
/// its organisation, the ones that of its route.
pub type CombinedPriority = u8;

/// Priority of an organisation that declares none: that of a request without an urgency
/// class at an engine.
const DEFAULT_PRIORITY: u8 = 5;
/// Largest priority that is told from others.
const MAX_PRIORITY: u8 = 9;

/// Returns the priority of a route's requests of an organisation. The organisation's own
/// priority goes first; within it, the routes of a service keep theirs.
pub fn combined_priority(organisation: Option<u8>, route: u8) -> CombinedPriority {
    let organisation = organisation.unwrap_or(DEFAULT_PRIORITY);
    organisation.min(MAX_PRIORITY) * 10 + route.min(MAX_PRIORITY)
}

/// Returns whether two priorities belong to organisations of the same priority.
pub fn has_same_organisation_priority(left: CombinedPriority, right: CombinedPriority) -> bool {
    left / 10 == right / 10
}

/// Why the configuration does not allow a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RejectReason {
    /// No route has this host name and path.
    NoRoute,
    /// The API key is missing or unknown.
    UnknownKey,
}

/// Matches a request against the active configuration.
///
/// # Errors
///
/// Returns an error if no route has the host name and a prefix of the path, or if the
/// route needs a key and no organisation holds `key`.
pub fn match_request(
    configuration: &IngressConfiguration,
    host: &str,
    path: &str,
    key: Option<&str>,
) -> Result<MatchedRequest, RejectReason> {
    let route = longest_prefix(configuration, host, path).ok_or(RejectReason::NoRoute)?;
    let holder = match (&configuration.keys, key) {
        (Some(keys), Some(key)) => keys.get(key),
        _ => None,
    };
    match holder {
        Some(holder) => Ok(MatchedRequest {
            priority: holder.priority.unwrap_or(route.priority),
            combined: combined_priority(holder.priority, route.priority),
            organisation: Some(holder.organisation.clone()),
            route,
        }),
        None if route.public || configuration.keys.is_none() => Ok(MatchedRequest {
            priority: route.priority,
            combined: combined_priority(None, route.priority),
            organisation: None,
            route,
        }),
        None => Err(RejectReason::UnknownKey),
    }
}

fn longest_prefix(
    configuration: &IngressConfiguration,
    host: &str,
    path: &str,
) -> Option<Arc<RouteRule>> {
    let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
    let routes = configuration.routes.get(host)?;
    let mut matching = routes.iter();
    matching
        .find(|route| path.starts_with(&*route.path_prefix))
        .cloned()
}
