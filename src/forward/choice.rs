//! Selects the target or path of an attempt.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::fleet::{
    EnginePath, FleetTable, PathQuery, RequestSize, TargetLoad, choose_path, choose_target,
};
use crate::ids::{TargetId, ZoneId};
use crate::ingress::{RouteRule, ServiceShare, ServiceSpec};

/// The target, or the path of engines, of one attempt.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct ChosenTarget {
    /// The target that receives the request; the first engine of a path.
    pub(super) id: TargetId,
    /// Its address.
    pub(super) address: SocketAddr,
    /// The path, if the service runs on model engines.
    pub(super) path: Option<EnginePath>,
    /// Size that is counted while the request is in flight.
    pub(super) size: RequestSize,
    /// The availability zone of the target that receives the request.
    pub(super) zone: ZoneId,
    /// The other zone that the request was drawn for.
    pub(super) preferred_zone: Option<ZoneId>,
}

impl ChosenTarget {
    /// Returns the targets that the request passes.
    pub(super) fn ids(&self) -> impl Iterator<Item = &TargetId> {
        let hops = self.path.iter().flat_map(|path| &path.hops);
        let single = self.path.is_none().then_some(&self.id);
        single.into_iter().chain(hops.map(|hop| &hop.target))
    }

    /// Returns the targets and the load that the request puts on each.
    pub(super) fn loads(&self) -> Vec<(TargetId, TargetLoad)> {
        match &self.path {
            None => vec![(self.id.clone(), self.size.load(1))],
            Some(path) => {
                let hops = path.hops.iter();
                hops.map(|hop| (hop.target.clone(), self.size.load(hop.layers.width())))
                    .collect()
            }
        }
    }

    /// Returns the loads after a move from the path `before`. Targets of that path have
    /// processed the prompt already.
    pub(super) fn loads_after_move(&self, before: &EnginePath) -> Vec<(TargetId, TargetLoad)> {
        let was_passed = |id: &TargetId| before.hops.iter().any(|hop| hop.target == *id);
        let mut loads = self.loads();
        for (id, load) in &mut loads {
            if was_passed(id) {
                load.unread = 0.0;
            }
        }
        loads
    }

    /// Returns the target of the path that listens at `address`.
    pub(super) fn target_at(&self, address: SocketAddr) -> Option<TargetId> {
        let hops = self.path.iter().flat_map(|path| &path.hops);
        let mut hops = hops.filter(|hop| hop.address == address);
        hops.next().map(|hop| hop.target.clone())
    }
}

/// Selects a service of a route at random by the weights of its shares. `draw` is from 0
/// to 1.
pub(super) fn draw_service(route: &RouteRule, draw: f64) -> Option<&ServiceShare> {
    let total = route
        .services
        .iter()
        .map(|share| u64::from(share.weight))
        .sum::<u64>();
    let mut left = (draw * total as f64) as u64;
    for share in &route.services {
        let weight = u64::from(share.weight);
        if left < weight {
            return Some(share);
        }
        left -= weight;
    }
    route.services.last()
}

/// What a choice has to consider besides the targets.
#[derive(Debug, Clone, Copy)]
pub(super) struct ChoiceQuery<'a> {
    pub(super) service: &'a ServiceSpec,
    /// The availability zone of this host.
    pub(super) zone: &'a str,
    pub(super) size: RequestSize,
    /// Targets not to use.
    pub(super) avoid: &'a [TargetId],
    /// Longest pause of a target that may be chosen; zero for a request that is sent now.
    pub(super) max_pause: Duration,
    /// The other availability zone that the request was drawn for.
    pub(super) preferred_zone: Option<&'a ZoneId>,
}

/// Selects a target of a service, or a path over its engines.
pub(super) fn choose<D>(
    fleet: &FleetTable,
    query: ChoiceQuery<'_>,
    now: Instant,
    mut draw: D,
) -> Option<ChosenTarget>
where
    D: FnMut() -> f64,
{
    let ChoiceQuery {
        service,
        zone,
        size,
        avoid,
        max_pause,
        preferred_zone,
    } = query;
    let members = fleet.members(&service.name)?;
    match &service.engine {
        None => {
            let id = choose_target(members, zone, avoid, max_pause, now, draw())?;
            let entry = &members.get(&id)?.entry;
            let (address, zone) = (entry.address, entry.zone.clone());
            let size = RequestSize {
                prompt: 0,
                answer: 0,
            };
            Some(ChosenTarget {
                id,
                address,
                path: None,
                size,
                zone,
                preferred_zone: None,
            })
        }
        Some(model) => {
            let query = PathQuery {
                model,
                size,
                zone,
                avoid,
                max_pause,
                preferred_zone: preferred_zone.map(AsRef::as_ref),
            };
            let path = choose_path(members, query, now, draw)?;
            let first = path.hops.first()?;
            Some(ChosenTarget {
                id: first.target.clone(),
                address: first.address,
                size,
                zone: members.get(&first.target)?.entry.zone.clone(),
                preferred_zone: preferred_zone.cloned(),
                path: Some(path),
            })
        }
    }
}
