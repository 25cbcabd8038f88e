//! Where an attempt goes.

use std::net::SocketAddr;
use std::time::Instant;

use crate::fleet::{
    EnginePath, FleetTable, PathQuery, RequestSize, TargetLoad, choose_path, choose_target,
};
use crate::ids::TargetId;
use crate::ingress::{RouteRule, ServiceShare, ServiceSpec};

/// A target, or a path of engines, for one attempt.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct ChosenTarget {
    /// The target that is sent the request.
    pub(super) id: TargetId,
    /// Its address.
    pub(super) address: SocketAddr,
    /// The path, for model engines.
    pub(super) path: Option<EnginePath>,
    /// Size that is counted while the request is under way.
    pub(super) size: RequestSize,
}

impl ChosenTarget {
    /// The targets that the request passes.
    pub(super) fn ids(&self) -> impl Iterator<Item = &TargetId> {
        let hops = self.path.iter().flat_map(|path| &path.hops);
        let single = self.path.is_none().then_some(&self.id);
        single.into_iter().chain(hops.map(|hop| &hop.target))
    }

    /// The targets and what the request asks of each.
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

    /// The same once the request was moved here from `before`: targets that
    /// were on that path have read it.
    pub(super) fn loads_after_move(&self, before: &EnginePath) -> Vec<(TargetId, TargetLoad)> {
        let stays = |id: &TargetId| before.hops.iter().any(|hop| hop.target == *id);
        let mut loads = self.loads();
        for (id, load) in &mut loads {
            if stays(id) {
                load.unread = 0.0;
            }
        }
        loads
    }

    /// The target on the path that listens at `address`.
    pub(super) fn target_at(&self, address: SocketAddr) -> Option<TargetId> {
        let hops = self.path.iter().flat_map(|path| &path.hops);
        let mut hops = hops.filter(|hop| hop.address == address);
        hops.next().map(|hop| hop.target.clone())
    }
}

/// Draws a service of a route by the weights of its shares.
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

/// Chooses a target of a service, or a path over its engines.
pub(super) fn choose<D>(
    fleet: &FleetTable,
    service: &ServiceSpec,
    zone: &str,
    size: RequestSize,
    avoid: &[TargetId],
    now: Instant,
    mut draw: D,
) -> Option<ChosenTarget>
where
    D: FnMut() -> f64,
{
    let members = fleet.members(&service.name)?;
    match &service.engine {
        None => {
            let id = choose_target(members, zone, avoid, now, draw())?;
            let address = members.get(&id)?.entry.address;
            let size = RequestSize {
                prompt: 0,
                answer: 0,
            };
            Some(ChosenTarget {
                id,
                address,
                path: None,
                size,
            })
        }
        Some(model) => {
            let query = PathQuery {
                model,
                size,
                zone,
                avoid,
            };
            let path = choose_path(members, query, now, draw)?;
            let first = path.hops.first()?;
            Some(ChosenTarget {
                id: first.target.clone(),
                address: first.address,
                size,
                path: Some(path),
            })
        }
    }
}
