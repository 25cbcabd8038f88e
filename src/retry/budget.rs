//! How many retries may be sent in all.

/// Limits of a [`RetryBudget`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetSettings {
    /// Retries earned by each request, from 0 to 1.
    pub fraction: f64,
    /// Retries that can be saved up, and that a new budget starts with.
    pub burst: f64,
}

impl Default for BudgetSettings {
    fn default() -> Self {
        Self {
            fraction: 0.1,
            burst: 10.0,
        }
    }
}

/// Retries earned and not yet spent.
///
/// Without it, a target that fails everything turns each request into
/// several, and the retries keep the other targets overloaded after the fault
/// has passed. One notices by a retry counter that grows faster than the
/// requests. Because a retry has to be earned by requests, the extra load
/// stays at the fraction.
#[derive(Debug, Clone, PartialEq)]
pub struct RetryBudget {
    settings: BudgetSettings,
    saved: f64,
}

impl RetryBudget {
    /// A full budget.
    pub fn new(settings: BudgetSettings) -> Self {
        Self {
            settings,
            saved: settings.burst,
        }
    }

    /// Counts a request, which earns a part of a retry.
    pub fn request_started(&mut self) {
        let earned = self.saved + self.settings.fraction;
        self.saved = earned.min(self.settings.burst);
    }

    /// Spends one retry; `false` if none is left, and nothing may be sent.
    #[must_use]
    pub fn spend(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }

    /// Whole retries that could be spent now.
    pub fn available(&self) -> u64 {
        self.saved as u64
    }
}
