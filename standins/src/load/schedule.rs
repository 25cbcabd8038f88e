//! Planned arrivals of a run.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::{HardwareBound, LoadOptions, TrafficMix};
use crate::fleet::FleetLayout;

/// Number of token values from which prompts are drawn.
const PROMPT_VALUES: u64 = 50_000;

/// A request to send.
#[derive(Debug, Clone, PartialEq)]
pub struct PlannedRequest {
    /// Intended start, relative to the beginning of the run.
    pub at: Duration,
    /// Request id.
    pub request: String,
    /// Index of the organisation.
    pub organisation: usize,
    /// Index of the entry host that the load balancer chooses.
    pub host: usize,
    /// Kind of request.
    pub kind: PlannedKind,
}

/// Kind of a request.
#[derive(Debug, Clone, PartialEq)]
pub enum PlannedKind {
    /// A generation.
    Generate {
        /// The prompt.
        prompt: Vec<u64>,
    },
    /// An idempotent call.
    Plain,
    /// A non-idempotent call.
    Keyed {
        /// Random part of its idempotency key.
        random: [u8; 10],
        /// Whether it is sent to two hosts at the same time.
        doubled: bool,
    },
}

/// Plans the arrivals of a run: independent, at a constant mean rate, with organisations
/// in proportion to their capacity.
pub fn plan_arrivals(
    options: &LoadOptions,
    layout: &FleetLayout,
    mix: &TrafficMix,
) -> Vec<PlannedRequest> {
    let mut rng = StdRng::seed_from_u64(options.seed);
    let hosts = layout.zones.iter().map(|zone| zone.entry_hosts).sum();
    let weights = organisation_weights(layout, options.large_factor);
    let plain_weights = organisation_weights(layout, 1.0);
    let growth = weights.iter().sum::<f64>() / plain_weights.iter().sum::<f64>();
    let bound = HardwareBound::new(layout, mix);
    let generations = bound.requests_per_second * options.rate_factor * growth;
    let rate = generations * (1.0 + mix.calls_per_generation);
    let mut at = Duration::ZERO;
    let mut planned = Vec::new();
    loop {
        let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
        at += Duration::from_secs_f64(-uniform.ln() / rate);
        if at >= options.length {
            return planned;
        }
        planned.push(PlannedRequest {
            at,
            request: format!("load-{}", planned.len()),
            organisation: pick(&weights, &mut rng),
            host: rng.random_range(0..hosts),
            kind: pick_kind(mix, &mut rng),
        });
    }
}

fn organisation_weights(layout: &FleetLayout, large_factor: f64) -> Vec<f64> {
    let organisations = layout.organisations.iter();
    let mut weights: Vec<f64> = organisations
        .map(|organisation| f64::from(organisation.requests_per_second))
        .collect();
    if let Some(large) = weights.first_mut() {
        *large *= large_factor;
    }
    weights
}

fn pick(weights: &[f64], rng: &mut StdRng) -> usize {
    let mut left = rng.random_range(0.0..weights.iter().sum::<f64>());
    for (index, weight) in weights.iter().enumerate() {
        if left < *weight {
            return index;
        }
        left -= weight;
    }
    weights.len() - 1
}

fn pick_kind(mix: &TrafficMix, rng: &mut StdRng) -> PlannedKind {
    let call_fraction = mix.calls_per_generation / (1.0 + mix.calls_per_generation);
    if !rng.random_bool(call_fraction) {
        let prompt = (0..mix.prompt_tokens).map(|_| rng.random_range(0..PROMPT_VALUES));
        return PlannedKind::Generate {
            prompt: prompt.collect(),
        };
    }
    match rng.random_bool(mix.keyed_fraction) {
        true => PlannedKind::Keyed {
            random: rng.random(),
            doubled: rng.random_bool(mix.doubled_fraction),
        },
        false => PlannedKind::Plain,
    }
}
