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
            organisation: Some(holder.organisation.clone()),
            route,
        }),
        None if route.public || configuration.keys.is_none() => Ok(MatchedRequest {
            priority: route.priority,
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
