//! Planning routes.

use std::cmp::Reverse;
use std::time::Instant;

use rand::{Rng, RngExt};

use crate::ids::{ModelId, TargetId, VersionId};
use crate::reason::RefusalReason;
use crate::run::PlannedStage;

use super::entry::TargetEntry;
use super::estimate::{StageEstimate, route_score};
use super::policy::{lowest, two_of};
use super::table::DeclaredPipeline;
use super::{PlannedRoute, RoutePolicy, RouteRefusal, RouteRequest, RouteScore, RouteTable};

/// Asks for another target of one stage of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplaceRequest {
    /// Model of the run.
    pub model: ModelId,
    /// Version of the run.
    pub version: VersionId,
    /// The stage as planned so far; the layer range is kept.
    pub stage: PlannedStage,
    /// Targets not to be used, beside the one planned so far.
    pub excluded: Vec<TargetId>,
}

/// Pipelines of one version that are compared for one request.
const PIPELINES_COMPARED: usize = 4;

/// A usable target of a stage.
#[derive(Clone, Copy)]
struct StageCandidate<'t> {
    id: &'t TargetId,
    entry: &'t TargetEntry,
}

impl RouteTable {
    /// Chooses a pipeline and a target for each of its stages.
    ///
    /// # Errors
    /// `Unknown` without such a model, `NoRoute` if every pipeline has a stage
    /// without a usable target, `DeadlineUnreachable` if the estimate of the
    /// chosen route passes the deadline.
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
            .compared(pipelines, rng)
            .into_iter()
            .filter_map(|pipeline| self.plan_pipeline(pipeline, version, request, now, rng))
            .min_by_key(|route| route.score.total());
        match best {
            None => Err(self.refusal(RefusalReason::NoRoute)),
            Some(route) if now + route.score.total() > request.deadline => Err(RouteRefusal {
                reason: RefusalReason::DeadlineUnreachable,
                retry_after: route.score.queue.max(self.settings.retry_after),
            }),
            Some(route) => Ok(route),
        }
    }

    /// Chooses another target that holds exactly the stage's layer range of
    /// the same version; `None` if none is usable.
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

    /// Chooses one of a service's targets; `None` if none is usable.
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

    /// The estimate for given targets, whether or not they are usable; `None`
    /// if one is not declared.
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

    /// Whether a target is leaving, by declaration, list, peers or itself.
    pub fn is_leaving(&self, target: &TargetId) -> bool {
        let entry = self.targets.get(target);
        self.leaving.contains(target) || entry.is_some_and(|entry| !entry.is_serving())
    }

    /// Steps and calls of this host in flight on a target.
    pub fn steps_in_flight(&self, target: &TargetId) -> u32 {
        self.targets.get(target).map_or(0, |entry| entry.steps)
    }

    /// The targets of a group that may get new work now.
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

    fn stage_estimate(
        &self,
        entry: &TargetEntry,
        request: &RouteRequest,
        stages: usize,
        now: Instant,
    ) -> StageEstimate {
        let part = self.load_sums.local_part();
        StageEstimate::new(entry, request, stages, part, &self.settings, now)
    }

    fn refusal(&self, reason: RefusalReason) -> RouteRefusal {
        RouteRefusal {
            reason,
            retry_after: self.settings.retry_after,
        }
    }

    fn compared<'t, R>(
        &self,
        pipelines: &'t [DeclaredPipeline],
        rng: &mut R,
    ) -> Vec<&'t DeclaredPipeline>
    where
        R: Rng + ?Sized,
    {
        let count = pipelines.len();
        match self.settings.policy {
            _ if count <= 1 => pipelines.iter().collect(),
            RoutePolicy::Random => vec![&pipelines[rng.random_range(0..count)]],
            RoutePolicy::RoundRobin => {
                vec![&pipelines[(self.started % count as u64) as usize]]
            }
            _ if count <= PIPELINES_COMPARED => pipelines.iter().collect(),
            _ => two_of(&vec![1.0; count], rng)
                .map(|index| &pipelines[index])
                .to_vec(),
        }
    }

    fn plan_pipeline<R>(
        &self,
        pipeline: &DeclaredPipeline,
        version: &VersionId,
        request: &RouteRequest,
        now: Instant,
        rng: &mut R,
    ) -> Option<PlannedRoute>
    where
        R: Rng + ?Sized,
    {
        let count = pipeline.stages.len();
        let mut stages = Vec::with_capacity(count);
        let mut estimates = Vec::with_capacity(count);
        for stage in &pipeline.stages {
            let candidates = self.usable(&stage.targets, &request.excluded, now);
            let chosen = self.choose(&candidates, request, count, now, rng)?;
            stages.push(PlannedStage {
                target: chosen.id.clone(),
                first_layer: stage.first_layer,
                last_layer: stage.last_layer,
            });
            let estimate = self.stage_estimate(chosen.entry, request, count, now);
            estimates.push(estimate);
        }
        Some(PlannedRoute {
            pipeline: pipeline.id.clone(),
            version: version.clone(),
            stages,
            score: route_score(&estimates, request.max_tokens),
        })
    }

    fn choose<'t, R>(
        &self,
        candidates: &[StageCandidate<'t>],
        request: &RouteRequest,
        stages: usize,
        now: Instant,
        rng: &mut R,
    ) -> Option<StageCandidate<'t>>
    where
        R: Rng + ?Sized,
    {
        let count = candidates.len();
        if count == 0 {
            return None;
        }
        let outstanding = |index: usize| {
            let entry = candidates[index].entry;
            f64::from(entry.runs.max(entry.steps))
        };
        let estimate = |index: usize| {
            let entry = candidates[index].entry;
            self.stage_estimate(entry, request, stages, now)
                .cost(request.max_tokens)
        };
        let index = match self.settings.policy {
            RoutePolicy::Random => rng.random_range(0..count),
            RoutePolicy::RoundRobin => (self.started % count as u64) as usize,
            RoutePolicy::LeastOutstanding => lowest(count, outstanding, rng)?,
            RoutePolicy::Estimate if count <= self.settings.score_all => {
                lowest(count, estimate, rng)?
            }
            RoutePolicy::Estimate => {
                let weights: Vec<_> = candidates
                    .iter()
                    .map(|candidate| candidate.entry.trusted_rate(&self.settings, now))
                    .collect();
                let pair = two_of(&weights, rng);
                pair[lowest(2, |nth| estimate(pair[nth]), rng)?]
            }
        };
        Some(candidates[index])
    }

    /// Every target that holds the range for the version, in one pipeline or
    /// another.
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

    /// The members of a group that may get new work.
    ///
    /// Ejected members stay out, those ejected first before the others, up to
    /// the cap on those that are left; leaving and excluded ones never come in.
    fn usable<'t>(
        &'t self,
        group: &'t [TargetId],
        excluded: &[TargetId],
        now: Instant,
    ) -> Vec<StageCandidate<'t>> {
        let mut candidates: Vec<_> = group
            .iter()
            .filter(|id| !excluded.contains(id) && !self.leaving.contains(*id))
            .filter_map(|id| {
                self.targets
                    .get(id)
                    .map(|entry| StageCandidate { id, entry })
            })
            .filter(|candidate| candidate.entry.is_serving())
            .collect();
        let allowed = self.settings.ejection.allowed_out(candidates.len());
        let mut ejected: Vec<_> = candidates
            .iter()
            .filter(|candidate| candidate.entry.health.is_ejected(now))
            .map(|candidate| (Reverse(candidate.entry.health.ejected_at()), candidate.id))
            .collect();
        // Latest first, so that what is cut off at the end stays out.
        ejected.sort();
        let back_in = ejected.len().saturating_sub(allowed);
        let out: Vec<_> = ejected.split_off(back_in);
        candidates.retain(|candidate| !out.iter().any(|(_, id)| *id == candidate.id));
        candidates
    }
}

/// A request for one step, by which single targets are compared.
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
