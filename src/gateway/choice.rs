//! Choice of a gateway.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::headers::GatewayResult;
use crate::collections::{FastMap, FastSet};
use crate::ids::{HostId, ZoneId};

/// Cost of a gateway in another availability zone, in requests in flight.
const ZONE_PENALTY: f64 = 4.0;
/// Cost of a gateway that has not reached a target for this host lately, and the time
/// after which a proof is outdated. When a whole zone is cut off, requests to most of its
/// hosts fail.
const UNPROVEN_PENALTY: f64 = 2.0;
const PROOF_AGE: Duration = Duration::from_secs(5);
/// Time for which a gateway is avoided that did not accept a connection, or broke one.
const FAILURE_AVOIDANCE: Duration = Duration::from_secs(1);

/// Number of hosts that are no candidates and are kept.
const MAX_FORMER_HOSTS: usize = 64;

/// A host that may serve as a gateway.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GatewayCandidate {
    /// Its name.
    pub host: HostId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Address on which it listens to other hosts' requests.
    pub address: SocketAddr,
}

#[derive(Debug, Clone, Copy, Default)]
struct GatewayState {
    in_flight: u32,
    avoided_until: Option<Instant>,
    last_proof: Option<Instant>,
}

/// What this host knows of the gateways that it has used.
#[derive(Debug, Default)]
pub struct GatewayTable {
    states: FastMap<HostId, GatewayState>,
}

impl GatewayTable {
    /// Chooses the cheapest candidate that is not in `tried` and not avoided. `draw` gives
    /// random numbers from 0 to 1, which break ties.
    pub fn choose<D>(
        &self,
        candidates: &[GatewayCandidate],
        zone: &str,
        tried: &[HostId],
        now: Instant,
        mut draw: D,
    ) -> Option<GatewayCandidate>
    where
        D: FnMut() -> f64,
    {
        let is_usable = |candidate: &&GatewayCandidate| {
            let state = self.state(&candidate.host);
            let is_avoided = state.avoided_until.is_some_and(|until| now < until);
            !is_avoided && !tried.contains(&candidate.host)
        };
        let usable = candidates.iter().filter(is_usable);
        let costs = usable.map(|candidate| (self.cost(candidate, zone, now) + draw(), candidate));
        let cheapest = costs.min_by(|(one, _), (other, _)| one.total_cmp(other));
        cheapest.map(|(_, candidate)| candidate.clone())
    }

    fn state(&self, host: &HostId) -> GatewayState {
        self.states.get(host).copied().unwrap_or_default()
    }

    fn cost(&self, candidate: &GatewayCandidate, zone: &str, now: Instant) -> f64 {
        let state = self.state(&candidate.host);
        let is_proven = state.last_proof.is_some_and(|at| now < at + PROOF_AGE);
        let far = if *candidate.zone == *zone {
            0.0
        } else {
            ZONE_PENALTY
        };
        let unproven = if is_proven { 0.0 } else { UNPROVEN_PENALTY };
        f64::from(state.in_flight) + far + unproven
    }

    /// Records that a request was sent through a gateway.
    pub fn observe_start(&mut self, host: &HostId) {
        self.states.entry(host.clone()).or_default().in_flight += 1;
    }

    /// Records that a request through a gateway has ended.
    pub fn observe_end(&mut self, host: &HostId) {
        if let Some(state) = self.states.get_mut(host) {
            state.in_flight = state.in_flight.saturating_sub(1);
        }
    }

    /// Records that a gateway reached a target.
    pub fn observe_proof(&mut self, host: &HostId, now: Instant) {
        let state = self.states.entry(host.clone()).or_default();
        state.last_proof = Some(now);
        state.avoided_until = None;
    }

    /// Records a result that a gateway stated instead of passing a request on.
    pub fn observe_result(&mut self, host: &HostId, result: GatewayResult, now: Instant) {
        match result.avoidance() {
            Some(time) => self.avoid(host, now + time),
            None if result == GatewayResult::Reachable => self.observe_proof(host, now),
            None => {}
        }
    }

    /// Records that a gateway accepted no connection, or broke one.
    pub fn observe_failure(&mut self, host: &HostId, now: Instant) {
        self.avoid(host, now + FAILURE_AVOIDANCE);
    }

    fn avoid(&mut self, host: &HostId, until: Instant) {
        let state = self.states.entry(host.clone()).or_default();
        state.avoided_until = Some(until);
        state.last_proof = None;
    }

    /// Forgets hosts that are no longer candidates and have no request in flight, once
    /// there are many.
    pub fn retain(&mut self, candidates: &[GatewayCandidate]) {
        if self.states.len() <= candidates.len() + MAX_FORMER_HOSTS {
            return;
        }
        let known = candidates.iter().map(|candidate| &candidate.host);
        let known = known.collect::<FastSet<_>>();
        self.states
            .retain(|host, state| state.in_flight > 0 || known.contains(host));
    }
}
