//! The priorities that callers of one service have, and their latency objectives.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ingress::IngressConfiguration;

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
    /// all its requests have the same one.
    pub fn declared(configuration: &IngressConfiguration, service: &str) -> Option<Self> {
        let mut objectives = BTreeMap::<u8, Duration>::new();
        let mut add = |priority: u8, objective: Duration| {
            let shortest = objectives.entry(priority).or_insert(objective);
            *shortest = objective.min(*shortest);
        };
        let holders = configuration.keys.iter().flat_map(|keys| keys.values());
        let overrides = holders.map(|holder| holder.priority).collect::<Vec<_>>();
        for route in configuration.routes.values().flatten() {
            if !route.services.iter().any(|part| *part.service == *service) {
                continue;
            }
            let has_own = route.public || overrides.is_empty() || overrides.contains(&None);
            if has_own {
                add(route.priority, route.latency_aim);
            }
            for priority in overrides.iter().flatten() {
                add(*priority, route.latency_aim);
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
    pub fn position(&self, priority: u8) -> usize {
        let more_urgent = |rank: &&RankObjective| rank.priority < priority;
        self.ranks.iter().take_while(more_urgent).count()
    }

    /// Returns the shortest latency objective of the more urgent ranks.
    pub fn urgent_objective(&self, priority: u8) -> Option<Duration> {
        let more_urgent = &self.ranks[..self.position(priority)];
        more_urgent.iter().map(|rank| rank.objective).min()
    }
}

/// Returns the priority that a configuration gives to requests of a route and an
/// organisation, or `None` if it no longer has the route.
pub fn current_priority(
    configuration: &IngressConfiguration,
    route: &str,
    organisation: Option<&str>,
) -> Option<u8> {
    let mut holders = configuration.keys.iter().flat_map(|keys| keys.values());
    let holder = holders.find(|holder| organisation == Some(&*holder.organisation));
    let mut routes = configuration.routes.values().flatten();
    let route = routes.find(|rule| *rule.name == *route)?;
    let own = holder.and_then(|holder| holder.priority);
    Some(own.unwrap_or(route.priority))
}
