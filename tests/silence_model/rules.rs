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

/// Which attempts beside a running one may spend all retries that are left.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BudgetRule {
    /// Those that the product allows to.
    Product,
    /// Those beside targets that accept no connections of this host, from the first check on.
    OutOfReach,
}

#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct RuleSettings {
    pub(crate) spread: Spread,
    pub(crate) budget: BudgetRule,
}

impl RuleSettings {
    pub(crate) const PRODUCT: Self = Self {
        spread: Spread::Members,
        budget: BudgetRule::Product,
    };
    pub(crate) const BY_CAUSE: Self = Self {
        spread: Spread::InUse,
        budget: BudgetRule::OutOfReach,
    };
}
