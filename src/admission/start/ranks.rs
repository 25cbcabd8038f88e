//! The priorities that callers of one service have, and their latency objectives.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::ingress::{
    CombinedPriority, IngressConfiguration, RouteRule, combined_priority,
    has_same_organisation_priority,
};

/// One priority of a service and the shortest latency objective of its routes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RankObjective {
    /// The priority, 0 first.
    pub priority: u8,
    /// The shortest latency objective of the requests with this priority.
    pub objective: Duration,
}

/// The priorities of a service, the most urgent first. There are at least two.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceRanks {
    ranks: Vec<RankObjective>,
}

impl ServiceRanks {
    /// Returns the priorities that the configuration declares for a service, or `None` if
    /// all its routes have the same one.
    pub fn declared(configuration: &IngressConfiguration, service: &str) -> Option<Self> {
        let mut objectives = BTreeMap::<u8, Duration>::new();
        let mut add = |priority: u8, objective: Duration| {
            let shortest = objectives.entry(priority).or_insert(objective);
            *shortest = objective.min(*shortest);
        };
        let holders = configuration.keys.iter().flat_map(|keys| keys.values());
        let mut organisations = holders.map(|holder| holder.priority).collect::<Vec<_>>();
        organisations.sort_unstable();
        organisations.dedup();
        let leads_there =
            |route: &&Arc<RouteRule>| route.services.iter().any(|part| *part.service == *service);
        let routes = configuration.routes.values().flatten();
        let routes = routes.filter(leads_there).collect::<Vec<_>>();
        let first = routes.first()?.priority;
        if routes.iter().all(|route| route.priority == first) {
            return None;
        }
        for route in routes {
            if route.public || organisations.is_empty() {
                add(combined_priority(None, route.priority), route.latency_aim);
            }
            for organisation in &organisations {
                let priority = combined_priority(*organisation, route.priority);
                add(priority, route.latency_aim);
            }
        }
        let ranks = objectives.into_iter();
        let ranks = ranks.map(|(priority, objective)| RankObjective {
            priority,
            objective,
        });
        Self::new(ranks.collect())
    }

    /// Creates ranks from priorities in ascending order; `None` for fewer than two.
    pub fn new(ranks: Vec<RankObjective>) -> Option<Self> {
        (ranks.len() > 1).then_some(Self { ranks })
    }

    /// Returns the number of more urgent ranks.
    pub fn order(&self, priority: CombinedPriority) -> usize {
        let more_urgent = |rank: &&RankObjective| rank.priority < priority;
        self.ranks.iter().take_while(more_urgent).count()
    }

    /// Returns the number of more urgent ranks of organisations of the same priority.
    pub fn position(&self, priority: CombinedPriority) -> usize {
        self.above(priority).count()
    }

    /// Returns the shortest latency objective of the more urgent ranks of organisations of
    /// the same priority.
    pub fn urgent_objective(&self, priority: CombinedPriority) -> Option<Duration> {
        self.above(priority).map(|rank| rank.objective).min()
    }

    fn above(&self, priority: CombinedPriority) -> impl Iterator<Item = &RankObjective> {
        let ranks = self.ranks.iter();
        ranks.filter(move |rank| {
            rank.priority < priority && has_same_organisation_priority(rank.priority, priority)
        })
    }
}

/// Returns the priority that a configuration gives to requests of a route and an
/// organisation, or `None` if it no longer has the route.
pub fn current_priority(
    configuration: &IngressConfiguration,
    route: &str,
    organisation: Option<&str>,
) -> Option<CombinedPriority> {
    let mut holders = configuration.keys.iter().flat_map(|keys| keys.values());
    let holder = holders.find(|holder| organisation == Some(&*holder.organisation));
    let mut routes = configuration.routes.values().flatten();
    let route = routes.find(|rule| *rule.name == *route)?;
    let organisation = holder.and_then(|holder| holder.priority);
    Some(combined_priority(organisation, route.priority))
}
