//! Computes figures from outcomes.

use std::time::{Duration, Instant};

use super::figures::{OrganisationFigures, Quantiles, RequestCounts};
use super::outcome::{CallOutcome, GenerationOutcome};
use super::{HardwareBound, TrafficMix};
use crate::fleet::FleetLayout;

/// The measurement window of a run, with the bound that its figures refer to.
#[derive(Debug, Clone, Copy)]
pub(super) struct SteadyWindow {
    pub(super) begin: Instant,
    pub(super) end: Instant,
    pub(super) mix: TrafficMix,
    pub(super) bound: HardwareBound,
}

/// Outcome of one generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum GenerationEnd {
    InTime,
    Late,
    Refused,
    Cut,
    Unanswered,
}

impl SteadyWindow {
    fn seconds(&self) -> f64 {
        (self.end - self.begin).as_secs_f64()
    }

    fn holds(&self, at: Instant) -> bool {
        (self.begin..self.end).contains(&at)
    }

    fn end_of(&self, outcome: &GenerationOutcome) -> GenerationEnd {
        let time = outcome.ended().map(|ended| ended - outcome.intended);
        let is_in_time = time.is_some_and(|time| time <= self.mix.deadline);
        match outcome.history.refusal() {
            _ if outcome.is_complete() && is_in_time => GenerationEnd::InTime,
            _ if outcome.is_complete() => GenerationEnd::Late,
            Some(_) if outcome.token_times().is_empty() => GenerationEnd::Refused,
            Some(_) => GenerationEnd::Cut,
            None => GenerationEnd::Unanswered,
        }
    }

    /// Returns the generations whose intended start lies in the window.
    pub(super) fn arrived<'a>(
        &self,
        generations: &'a [GenerationOutcome],
    ) -> Vec<&'a GenerationOutcome> {
        let arrived = generations
            .iter()
            .filter(|outcome| self.holds(outcome.intended));
        arrived.collect()
    }

    /// Returns the tokens received per second, as a share of the bound.
    pub(super) fn throughput(&self, tokens: &[Instant]) -> f64 {
        let received = tokens.iter().filter(|at| self.holds(**at)).count();
        received as f64 / self.seconds() / self.bound.tokens_per_second
    }

    /// Returns the responses in time per second, as a share of the bound. Like the tokens
    /// of the throughput, responses count when they are received: if they were counted by
    /// arrival of the request, a shrinking queue would look like lost capacity.
    pub(super) fn goodput(&self, generations: &[GenerationOutcome]) -> f64 {
        let in_time = generations.iter().filter(|outcome| {
            let ended_here = outcome.ended().is_some_and(|ended| self.holds(ended));
            ended_here && self.end_of(outcome) == GenerationEnd::InTime
        });
        in_time.count() as f64 / self.seconds() / self.bound.requests_per_second
    }

    pub(super) fn counts(&self, arrived: &[&GenerationOutcome]) -> RequestCounts {
        let count = |end: GenerationEnd| {
            let ended = arrived.iter().filter(|outcome| self.end_of(outcome) == end);
            ended.count() as u64
        };
        RequestCounts {
            offered: arrived.len() as u64,
            in_time: count(GenerationEnd::InTime),
            late: count(GenerationEnd::Late),
            refused: count(GenerationEnd::Refused),
            cut: count(GenerationEnd::Cut),
            unanswered: count(GenerationEnd::Unanswered),
        }
    }

    /// Returns the quantiles of the times from the intended start to a refusal before any
    /// token.
    pub(super) fn refusal_times(&self, arrived: &[&GenerationOutcome]) -> Quantiles {
        let refused = arrived
            .iter()
            .filter(|outcome| self.end_of(outcome) == GenerationEnd::Refused);
        Quantiles::of(refused.filter_map(|outcome| Some(outcome.ended()? - outcome.intended)))
    }

    pub(super) fn organisations(
        &self,
        layout: &FleetLayout,
        arrived: &[&GenerationOutcome],
    ) -> Vec<OrganisationFigures> {
        let organisations = layout.organisations.iter().enumerate();
        let figures = organisations.map(|(index, organisation)| {
            let own = arrived
                .iter()
                .filter(|outcome| outcome.organisation == index);
            let own: Vec<&GenerationOutcome> = own.copied().collect();
            let counts = self.counts(&own);
            OrganisationFigures {
                name: organisation.name.clone(),
                offered_per_second: counts.offered as f64 / self.seconds(),
                in_time_part: counts.in_time as f64 / counts.offered.max(1) as f64,
                first_token: first_tokens(&own),
            }
        });
        figures.collect()
    }

    /// Returns the quantiles of the times of calls whose intended start lies in the
    /// window.
    pub(super) fn call_times(&self, calls: &[CallOutcome]) -> Quantiles {
        let arrived = calls.iter().filter(|call| self.holds(call.intended));
        Quantiles::of(arrived.map(|call| call.ended - call.intended))
    }
}

/// Returns the times of all tokens received, in order.
pub(super) fn all_tokens(generations: &[GenerationOutcome]) -> Vec<Instant> {
    let tokens = generations.iter().flat_map(GenerationOutcome::token_times);
    let mut tokens: Vec<Instant> = tokens.collect();
    tokens.sort_unstable();
    tokens
}

/// Returns the quantiles of the times from the intended start to the first token.
pub(super) fn first_tokens(generations: &[&GenerationOutcome]) -> Quantiles {
    let first =
        |outcome: &&GenerationOutcome| Some(*outcome.token_times().first()? - outcome.intended);
    Quantiles::of(generations.iter().filter_map(first))
}

/// Returns the quantiles of the times between two tokens of one response.
pub(super) fn token_gaps(generations: &[&GenerationOutcome]) -> Quantiles {
    let gaps = generations.iter().flat_map(|outcome| {
        let times = outcome.token_times();
        let pairs = times.windows(2).map(|pair| pair[1] - pair[0]);
        pairs.collect::<Vec<Duration>>()
    });
    Quantiles::of(gaps)
}

/// Returns the quantiles of the times from the intended start to the end of a complete
/// response.
pub(super) fn complete_responses(generations: &[&GenerationOutcome]) -> Quantiles {
    let complete = generations.iter().filter(|outcome| outcome.is_complete());
    Quantiles::of(complete.filter_map(|outcome| Some(outcome.ended()? - outcome.intended)))
}

/// Returns Jain's index of the shares completed in time: 1 if all are equal, 1/n if one
/// organisation gets everything.
pub(super) fn fairness(organisations: &[OrganisationFigures]) -> f64 {
    let parts = || {
        organisations
            .iter()
            .map(|organisation| organisation.in_time_part)
    };
    let sum: f64 = parts().sum();
    let squares: f64 = parts().map(|part| part * part).sum();
    match squares > 0.0 {
        true => sum * sum / (organisations.len() as f64 * squares),
        false => 1.0,
    }
}
