//! Section `[routing]`: selection of targets.

use crate::routing::RoutePolicy;

use super::section::SectionReader;

/// Selection of targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RoutingOptions {
    /// Policy that selects the target of a stage among its candidates.
    pub policy: RoutePolicy,
}

pub(super) fn read(section: &mut SectionReader<'_>) -> Option<RoutingOptions> {
    let names = RoutePolicy::ALL.map(|policy| format!("\"{}\"", policy.name()));
    let legal = format!("one of {}", names.join(", "));
    let policy = section.optional("policy", &legal, RoutePolicy::default(), |value| {
        let name = value.as_str()?;
        RoutePolicy::ALL
            .into_iter()
            .find(|policy| policy.name() == name)
    });
    Some(RoutingOptions { policy: policy? })
}
