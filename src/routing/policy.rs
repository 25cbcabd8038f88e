//! The policies to choose among a stage's candidates.

use rand::{Rng, RngExt};

/// How a stage's target is chosen among its candidates.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum RoutePolicy {
    /// The lowest estimate among two random candidates, or among all if there are few.
    #[default]
    Estimate,
    /// A uniformly random candidate.
    Random,
    /// The candidate with the fewest runs of this host.
    LeastOutstanding,
    /// Each candidate in turn.
    RoundRobin,
}

impl RoutePolicy {
    /// Every policy, for comparisons.
    pub const ALL: [Self; 4] = [
        Self::Estimate,
        Self::Random,
        Self::LeastOutstanding,
        Self::RoundRobin,
    ];

    /// Returns the name used in settings and tables.
    pub fn name(self) -> &'static str {
        match self {
            Self::Estimate => "estimate",
            Self::Random => "random",
            Self::LeastOutstanding => "least_outstanding",
            Self::RoundRobin => "round_robin",
        }
    }
}

/// Returns the index of the candidate with the lowest cost. Ties are broken from a random
/// start, so that hosts without measurements do not all begin with the first target.
pub(super) fn index_of_lowest<C, R>(count: usize, cost: C, rng: &mut R) -> Option<usize>
where
    C: Fn(usize) -> f64,
    R: Rng + ?Sized,
{
    if count == 0 {
        return None;
    }
    let start = rng.random_range(0..count);
    (0..count)
        .map(|step| (start + step) % count)
        .map(|index| (index, cost(index)))
        .reduce(|best, next| if next.1 < best.1 { next } else { best })
        .map(|(index, _)| index)
}

/// Returns the index of the highest gain above zero, if there is one.
pub(super) fn index_of_highest<G>(count: usize, gain: G) -> Option<usize>
where
    G: Fn(usize) -> f64,
{
    (0..count)
        .map(|index| (index, gain(index)))
        .filter(|(_, gain)| *gain > 0.0)
        .reduce(|best, next| if next.1 > best.1 { next } else { best })
        .map(|(index, _)| index)
}

/// Draws two different random indices, each in proportion to its weight.
///
/// Drawn uniformly, two slow targets of a mixed group are compared far more often than
/// their share of the work, and the slower of them is overloaded while fast targets are
/// idle, which shows as a long tail at moderate load.
pub(super) fn draw_two<R>(weights: &[f64], rng: &mut R) -> [usize; 2]
where
    R: Rng + ?Sized,
{
    let first = weighted_index(weights.iter().copied(), rng);
    let others = weights.iter().enumerate();
    let others = others.map(|(index, weight)| if index == first { 0.0 } else { *weight });
    [first, weighted_index(others, rng)]
}

/// Draws a random index in proportion to the weights, of which at least one is above
/// zero.
fn weighted_index<W, R>(weights: W, rng: &mut R) -> usize
where
    W: Iterator<Item = f64> + Clone,
    R: Rng + ?Sized,
{
    let total: f64 = weights.clone().sum();
    let mut left = rng.random::<f64>() * total;
    let mut last = 0;
    for (index, weight) in weights.enumerate().filter(|(_, weight)| *weight > 0.0) {
        last = index;
        left -= weight;
        if left < 0.0 {
            break;
        }
    }
    last
}
