//! Comparison of pipelines and, within one pipeline, of the targets of each stage.

use std::cmp::Reverse;
use std::time::Instant;

use rand::{Rng, RngExt};

use crate::ids::{TargetId, VersionId};
use crate::resources::StageSpec;
use crate::run::PlannedStage;

use super::entry::TargetEntry;
use super::estimate::{StageEstimate, route_score};
use super::policy::{draw_two, index_of_highest, index_of_lowest};
use super::table::DeclaredPipeline;
use super::{PlannedRoute, RoutePolicy, RouteRequest, RouteTable};

/// A usable target of a stage.
#[derive(Clone, Copy)]
pub(super) struct StageCandidate<'t> {
    pub(super) id: &'t TargetId,
    pub(super) entry: &'t TargetEntry,
}

/// A planned route and the values by which it is compared.
pub(super) struct ComparedRoute {
    pub(super) route: PlannedRoute,
    pub(super) cost: f64,
    is_measured: bool,
}

impl ComparedRoute {
    /// Returns whether the deadline cannot be met.
    ///
    /// If declared rates are far too low, every request would be refused and the rates
    /// never measured: targets would stay idle while requests are refused. Without a
    /// recent measurement the request is therefore accepted.
    pub(super) fn is_too_late(&self, request: &RouteRequest, now: Instant) -> bool {
        let left = request.deadline.saturating_duration_since(now);
        self.is_measured && self.route.score.total() > left
    }
}

impl RouteTable {
    /// Returns the pipelines to plan and compare: all if there are few, else two drawn in
    /// proportion to their rate and the one that caches most of the prompt.
    pub(super) fn compared_pipelines<'t, R>(
        &self,
        pipelines: &'t [DeclaredPipeline],
        request: &RouteRequest,
        now: Instant,
        rng: &mut R,
    ) -> Vec<&'t DeclaredPipeline>
    where
        R: Rng + ?Sized,
    {
        let all: Vec<_> = pipelines
            .iter()
            .filter(|pipeline| self.is_complete(pipeline, request, now))
            .collect();
        match self.settings.policy {
            _ if all.len() <= 1 => all,
            RoutePolicy::Random => vec![all[rng.random_range(0..all.len())]],
            RoutePolicy::RoundRobin => vec![all[self.round_robin_index(all.len())]],
            RoutePolicy::LeastOutstanding => all,
            RoutePolicy::Estimate if all.len() <= self.settings.score_all => all,
            RoutePolicy::Estimate => {
                let weights: Vec<_> = all.iter().map(|pipeline| pipeline.rate).collect();
                let prefix_hit = |index: usize| self.pipeline_prefix_hit(all[index], request, now);
                let mut chosen = draw_two(&weights, rng).to_vec();
                chosen.extend(index_of_highest(all.len(), prefix_hit));
                chosen.into_iter().map(|index| all[index]).collect()
            }
        }
    }

    pub(super) fn plan_pipeline<R>(
        &self,
        pipeline: &DeclaredPipeline,
        version: &VersionId,
        request: &RouteRequest,
        now: Instant,
        rng: &mut R,
    ) -> Option<ComparedRoute>
    where
        R: Rng + ?Sized,
    {
        let count = pipeline.stages.len();
        let mut stages = Vec::with_capacity(count);
        let mut estimates = Vec::with_capacity(count);
        let mut outstanding = 0;
        for stage in &pipeline.stages {
            let candidates = self.usable(&stage.targets, &request.excluded, now);
            let chosen = self.choose(&candidates, request, count, now, rng)?;
            stages.push(PlannedStage {
                target: chosen.id.clone(),
                first_layer: stage.first_layer,
                last_layer: stage.last_layer,
            });
            outstanding = outstanding.max(chosen.entry.runs);
            estimates.push(self.stage_estimate(chosen.entry, request, count, now));
        }
        let cost = match self.settings.policy {
            RoutePolicy::LeastOutstanding => f64::from(outstanding),
            _ => estimates
                .iter()
                .map(|estimate| estimate.cost(request.max_tokens))
                .sum(),
        };
        Some(ComparedRoute {
            route: PlannedRoute {
                pipeline: pipeline.id.clone(),
                version: version.clone(),
                stages,
                score: route_score(&estimates, request.max_tokens),
            },
            cost,
            is_measured: estimates.iter().all(|estimate| estimate.is_measured),
        })
    }

    pub(super) fn choose<'t, R>(
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
            RoutePolicy::RoundRobin => self.round_robin_index(count),
            RoutePolicy::LeastOutstanding => index_of_lowest(count, outstanding, rng)?,
            RoutePolicy::Estimate if count <= self.settings.score_all => {
                index_of_lowest(count, estimate, rng)?
            }
            RoutePolicy::Estimate => {
                let weights: Vec<_> = candidates
                    .iter()
                    .map(|candidate| candidate.entry.trusted_rate(&self.settings, now))
                    .collect();
                let prefix_hit =
                    |index: usize| self.prefix_hit(candidates[index].entry, request, now);
                let mut compared = draw_two(&weights, rng).to_vec();
                compared.extend(index_of_highest(count, prefix_hit));
                compared[index_of_lowest(compared.len(), |nth| estimate(compared[nth]), rng)?]
            }
        };
        Some(candidates[index])
    }

    /// Returns the fraction of the prompt that the target is expected to have cached.
    fn prefix_hit(&self, entry: &TargetEntry, request: &RouteRequest, now: Instant) -> f64 {
        let decay = self.settings.cache_decay;
        entry.prefixes.expected_hit(&request.prefixes, decay, now)
    }

    /// Returns the sum over the stages of the largest fraction of the prompt that a
    /// target of the stage has cached.
    fn pipeline_prefix_hit(
        &self,
        pipeline: &DeclaredPipeline,
        request: &RouteRequest,
        now: Instant,
    ) -> f64 {
        let stage_hit = |stage: &StageSpec| {
            stage
                .targets
                .iter()
                .filter_map(|target| self.targets.get(target))
                .map(|entry| self.prefix_hit(entry, request, now))
                .fold(0.0, f64::max)
        };
        pipeline.stages.iter().map(stage_hit).sum()
    }

    /// Returns whether each stage has a usable target.
    fn is_complete(
        &self,
        pipeline: &DeclaredPipeline,
        request: &RouteRequest,
        now: Instant,
    ) -> bool {
        pipeline.stages.iter().all(|stage| {
            !self
                .usable(&stage.targets, &request.excluded, now)
                .is_empty()
        })
    }

    /// Returns the next index among `count` in round-robin order.
    fn round_robin_index(&self, count: usize) -> usize {
        (self.started % count as u64) as usize
    }

    pub(super) fn stage_estimate(
        &self,
        entry: &TargetEntry,
        request: &RouteRequest,
        stages: usize,
        now: Instant,
    ) -> StageEstimate {
        let share = self.load_sums.local_share();
        StageEstimate::new(entry, request, stages, share, &self.settings, now)
    }

    /// Returns the members of a group that may get new work.
    ///
    /// Ejected members are left out, earliest ejection first, up to the cap on how much
    /// of the group may be ejected. Leaving and excluded members are always left out.
    pub(super) fn usable<'t>(
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
        // Sorts the latest ejection first: the members that are split off at the end stay
        // ejected.
        ejected.sort();
        let back_in = ejected.len().saturating_sub(allowed);
        let out: Vec<_> = ejected.split_off(back_in);
        candidates.retain(|candidate| !out.iter().any(|(_, id)| *id == candidate.id));
        candidates
    }
}
