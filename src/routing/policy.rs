//! The ways to choose among a stage's candidates.

use rand::{Rng, RngExt};

/// How a stage's target is chosen among its candidates.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum RoutePolicy {
    /// The lower estimate of two random candidates, or of all if few.
    #[default]
    Estimate,
    /// Any candidate, evenly.
    Random,
    /// The candidate with the fewest runs of this host.
    LeastOutstanding,
    /// Each candidate in turn.
    RoundRobin,
}

impl RoutePolicy {
    /// Every policy, for comparing them.
    pub const ALL: [Self; 4] = [
        Self::Estimate,
        Self::Random,
        Self::LeastOutstanding,
        Self::RoundRobin,
    ];

    /// The name used in settings and tables.
    pub fn name(self) -> &'static str {
        match self {
            Self::Estimate => "estimate",
            Self::Random => "random",
            Self::LeastOutstanding => "least_outstanding",
            Self::RoundRobin => "round_robin",
        }
    }
}

/// Index of the candidate with the lowest cost; ties go to a random start so
/// that hosts which know nothing do not all begin with the first target.
pub(super) fn lowest<C, R>(count: usize, cost: C, rng: &mut R) -> Option<usize>
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

/// Two different random indices below `count`, which is at least two.
pub(super) fn two_of<R>(count: usize, rng: &mut R) -> [usize; 2]
where
    R: Rng + ?Sized,
{
    let first = rng.random_range(0..count);
    let second = rng.random_range(0..count - 1);
    [first, second + usize::from(second >= first)]
}
