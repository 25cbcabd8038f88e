//! What hosts of a game do about silences.

/// When a host takes a silence for one of most targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Spread {
    /// More than half of all targets are known to be silent.
    Members,
    /// More than half of the targets on which it runs requests have sent nothing for as long
    /// as it takes to check them.
    InUse,
}

/// What a host does about silences.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum SilenceRule {
    /// It gives an attempt up at the first check that finds its target silent.
    GiveUp,
    Accompany(RuleSettings),
}

#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct RuleSettings {
    pub(crate) spread: Spread,
    /// Part of the budget that attempts beside a running one may spend.
    pub(crate) spare: f64,
    /// The same for targets that accept no connections of this host.
    pub(crate) urgent: f64,
}

impl RuleSettings {
    /// One part of the budget for all causes, and a silence that is widespread once most
    /// targets of the service are known to be silent.
    pub(crate) const UNIFORM: Self = Self {
        spread: Spread::Members,
        spare: 0.5,
        urgent: 0.5,
    };
    /// The whole budget for targets out of reach, and a silence that is widespread once most
    /// targets in use are silent.
    pub(crate) const BY_CAUSE: Self = Self {
        spread: Spread::InUse,
        urgent: 1.0,
        ..Self::UNIFORM
    };
}
