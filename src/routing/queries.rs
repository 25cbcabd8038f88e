//! Queries that plan routes.

use std::time::{Duration, Instant};

use rand::Rng;

use crate::ids::{ModelId, TargetId, VersionId};
use crate::reason::RefusalReason;
use crate::run::PlannedStage;

use super::estimate::route_score;
use super::{PlannedRoute, RouteRefusal, RouteRequest, RouteScore, RouteTable};

/// A request for another target of one stage of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplaceRequest {
    /// Model of the run.
    pub model: ModelId,
    /// Version of the run.
    pub version: VersionId,
    /// The stage as planned so far; its layer range stays.
    pub stage: PlannedStage,
    /// Targets not to use, besides the one planned so far.
    pub excluded: Vec<TargetId>,
}

impl RouteTable {
    /// Chooses a pipeline and a target for each of its stages.
    ///
    /// # Errors
    /// Returns `Unknown` if there is no such model, `NoRoute` if every pipeline has a
    /// stage without a usable target, and `DeadlineUnreachable` if the estimate of the
    /// chosen route exceeds the deadline and all of its targets were measured recently.
    pub fn plan<R>(
        &self,
        request: &RouteRequest,
        now: Instant,
        rng: &mut R,
    ) -> Result<PlannedRoute, RouteRefusal>
    where
        R: Rng + ?Sized,
    {
        let Some(routes) = self.models.get(&request.model) else {
            return Err(self.refusal(RefusalReason::Unknown));
        };
        let version = request.version.as_ref().unwrap_or(&routes.offered);
        let pipelines = routes.versions.get(version).map_or(&[][..], Vec::as_slice);
        let best = self
            .compared_pipelines(pipelines, request, now, rng)
            .into_iter()
            .filter_map(|pipeline| self.plan_pipeline(pipeline, version, request, now, rng))
            .reduce(|best, next| if next.cost < best.cost { next } else { best });
        match best {
            None => Err(self.refusal(RefusalReason::NoRoute)),
            Some(best) if best.is_too_late(request, now) => Err(RouteRefusal {
                reason: RefusalReason::DeadlineUnreachable,
                retry_after: best.route.score.queue.max(self.settings.retry_after),
            }),
            Some(best) => Ok(best.route),
        }
    }

    /// Chooses another target that holds exactly the stage's layer range of the same
    /// version; returns `None` if none is usable.
    pub fn replace<R>(
        &self,
        request: &ReplaceRequest,
        now: Instant,
        rng: &mut R,
    ) -> Option<TargetId>
    where
        R: Rng + ?Sized,
    {
        let holders = self.holders(request);
        let mut excluded = request.excluded.clone();
        excluded.push(request.stage.target.clone());
        let candidates = self.usable(&holders, &excluded, now);
        let probe = probe_request(&request.model, now);
        let chosen = self.choose(&candidates, &probe, 1, now, rng)?;
        Some(chosen.id.clone())
    }

    /// Chooses one of a service's targets; returns `None` if none is usable.
    pub fn choose_service<R>(
        &self,
        targets: &[TargetId],
        excluded: &[TargetId],
        now: Instant,
        rng: &mut R,
    ) -> Option<TargetId>
    where
        R: Rng + ?Sized,
    {
        let candidates = self.usable(targets, excluded, now);
        let probe = probe_request(&ModelId::from(""), now);
        let chosen = self.choose(&candidates, &probe, 1, now, rng)?;
        Some(chosen.id.clone())
    }

    /// Returns the estimate for given targets, whether or not they are usable; `None` if
    /// one is not declared.
    pub fn estimate(
        &self,
        request: &RouteRequest,
        targets: &[TargetId],
        now: Instant,
    ) -> Option<RouteScore> {
        let stages: Option<Vec<_>> = targets
            .iter()
            .map(|target| self.targets.get(target))
            .map(|entry| entry.map(|entry| self.stage_estimate(entry, request, targets.len(), now)))
            .collect();
        stages.map(|stages| route_score(&stages, request.max_tokens))
    }

    /// Returns whether a target is leaving according to its declaration, the host list,
    /// peers or itself.
    pub fn is_leaving(&self, target: &TargetId) -> bool {
        let entry = self.targets.get(target);
        self.leaving.contains(target) || entry.is_some_and(|entry| !entry.is_serving())
    }

    /// Returns the number of steps and calls of this host in flight on a target.
    pub fn steps_in_flight(&self, target: &TargetId) -> u32 {
        self.targets.get(target).map_or(0, |entry| entry.steps)
    }

    /// Returns the estimated time of the route's run if each stage was measured recently,
    /// else zero.
    ///
    /// The result is meant for admission, which refuses requests that cannot complete in
    /// time: as in [`RouteTable::plan`], declared rates alone must not cause a refusal.
    pub fn known_service_time(&self, route: &PlannedRoute, now: Instant) -> Duration {
        let is_measured = route.stages.iter().all(|stage| {
            let entry = self.targets.get(&stage.target);
            entry.is_some_and(|entry| entry.is_measured(&self.settings, now))
        });
        match is_measured {
            true => route.score.total(),
            false => Duration::ZERO,
        }
    }

    /// Returns the number of steps and calls that all targets which take new work run
    /// concurrently. It counts for the whole system, of which each host admits its share.
    pub fn slots(&self) -> u32 {
        self.targets
            .iter()
            .filter(|(target, entry)| entry.is_serving() && !self.leaving.contains(*target))
            .map(|(_, entry)| entry.spec.concurrency)
            .fold(0, u32::saturating_add)
    }

    /// Returns the targets of a group that may get new work now.
    pub fn usable_targets(
        &self,
        group: &[TargetId],
        excluded: &[TargetId],
        now: Instant,
    ) -> Vec<TargetId> {
        self.usable(group, excluded, now)
            .into_iter()
            .map(|candidate| candidate.id.clone())
            .collect()
    }

    fn refusal(&self, reason: RefusalReason) -> RouteRefusal {
        RouteRefusal {
            reason,
            retry_after: self.settings.retry_after,
        }
    }

    /// Returns every target that holds the layer range of the version in some pipeline.
    fn holders(&self, request: &ReplaceRequest) -> Vec<TargetId> {
        let stage = &request.stage;
        let mut holders: Vec<_> = self
            .models
            .get(&request.model)
            .and_then(|routes| routes.versions.get(&request.version))
            .into_iter()
            .flatten()
            .flat_map(|pipeline| &pipeline.stages)
            .filter(|held| held.first_layer == stage.first_layer)
            .filter(|held| held.last_layer == stage.last_layer)
            .flat_map(|held| held.targets.iter().cloned())
            .collect();
        holders.sort();
        holders.dedup();
        holders
    }
}

/// Returns a request for one step, by which single targets are compared.
fn probe_request(model: &ModelId, now: Instant) -> RouteRequest {
    RouteRequest {
        model: model.clone(),
        version: None,
        prefixes: Vec::new(),
        prompt_tokens: 0,
        max_tokens: 1,
        deadline: now,
        excluded: Vec::new(),
    }
}
