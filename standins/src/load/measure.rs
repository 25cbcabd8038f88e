//! From outcomes to figures.

use std::time::{Duration, Instant};

use super::figures::{OrganisationFigures, Quantiles, RequestCounts};
use super::outcome::{CallOutcome, GenerationOutcome};
use super::{HardwareBound, TrafficMix};
use crate::fleet::FleetLayout;

/// The part of a run that counts, and what it is measured against.
#[derive(Debug, Clone, Copy)]
pub(super) struct SteadyWindow {
    pub(super) begin: Instant,
    pub(super) end: Instant,
    pub(super) mix: TrafficMix,
    pub(super) bound: HardwareBound,
}

/// How one generation ended.
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
            _ if outcome.is_whole() && is_in_time => GenerationEnd::InTime,
            _ if outcome.is_whole() => GenerationEnd::Late,
            Some(_) if outcome.token_times().is_empty() => GenerationEnd::Refused,
            Some(_) => GenerationEnd::Cut,
            None => GenerationEnd::Unanswered,
        }
    }

    /// Generations whose intended start lies in the steady part.
    pub(super) fn arrived<'a>(
        &self,
        generations: &'a [GenerationOutcome],
    ) -> Vec<&'a GenerationOutcome> {
        let arrived = generations
            .iter()
            .filter(|outcome| self.holds(outcome.intended));
        arrived.collect()
    }

    /// Tokens a second heard, as a share of the bound.
    pub(super) fn throughput(&self, tokens: &[Instant]) -> f64 {
        let received = tokens.iter().filter(|at| self.holds(**at)).count();
        received as f64 / self.seconds() / self.bound.tokens_per_second
    }

    /// Answers in time a second, as a share of the bound. Like the tokens of
    /// the throughput, answers count when they are heard: were those counted
    /// that arrived, a queue that shrinks would seem to be lost capacity.
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

    /// From the intended start to a refusal before any token.
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

    /// Times of calls that began in the steady part.
    pub(super) fn call_times(&self, calls: &[CallOutcome]) -> Quantiles {
        let arrived = calls.iter().filter(|call| self.holds(call.intended));
        Quantiles::of(arrived.map(|call| call.ended - call.intended))
    }
}

/// Every token heard, in the order of time.
pub(super) fn all_tokens(generations: &[GenerationOutcome]) -> Vec<Instant> {
    let tokens = generations.iter().flat_map(GenerationOutcome::token_times);
    let mut tokens: Vec<Instant> = tokens.collect();
    tokens.sort_unstable();
    tokens
}

/// From the intended start to the first token.
pub(super) fn first_tokens(generations: &[&GenerationOutcome]) -> Quantiles {
    let first =
        |outcome: &&GenerationOutcome| Some(*outcome.token_times().first()? - outcome.intended);
    Quantiles::of(generations.iter().filter_map(first))
}

/// Between two tokens of one answer.
pub(super) fn token_gaps(generations: &[&GenerationOutcome]) -> Quantiles {
    let gaps = generations.iter().flat_map(|outcome| {
        let times = outcome.token_times();
        let pairs = times.windows(2).map(|pair| pair[1] - pair[0]);
        pairs.collect::<Vec<Duration>>()
    });
    Quantiles::of(gaps)
}

/// From the intended start to the whole answer.
pub(super) fn whole_answers(generations: &[&GenerationOutcome]) -> Quantiles {
    let whole = generations.iter().filter(|outcome| outcome.is_whole());
    Quantiles::of(whole.filter_map(|outcome| Some(outcome.ended()? - outcome.intended)))
}

/// Jain's index of the parts answered in time: 1 if all fare alike, 1/n if
/// one gets everything.
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
