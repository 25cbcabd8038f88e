//! A budget that limits the total number of retries.

/// Limits of a [`RetryBudget`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetSettings {
    /// Retries earned by each request, from 0 to 1.
    pub fraction: f64,
    /// Maximum number of saved retries, with which a new budget starts.
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

/// Retries that have been earned and not yet spent.
///
/// Without a budget, a target that fails everything turns each request into several, and
/// the retries keep the other targets overloaded after the fault has passed; the symptom is
/// a retry counter that grows faster than the requests. Because requests have to earn the
/// retries, the extra load stays at `fraction`.
#[derive(Debug, Clone, PartialEq)]
pub struct RetryBudget {
    settings: BudgetSettings,
    saved: f64,
}

impl RetryBudget {
    /// Creates a full budget.
    pub fn new(settings: BudgetSettings) -> Self {
        Self {
            settings,
            saved: settings.burst,
        }
    }

    /// Counts a request, which earns `fraction` of a retry.
    pub fn request_started(&mut self) {
        let earned = self.saved + self.settings.fraction;
        self.saved = earned.min(self.settings.burst);
    }

    /// Spends one retry; returns `false` if none is left and nothing may be sent.
    #[must_use]
    pub fn spend(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }

    /// Returns the number of whole retries that can be spent now.
    pub fn available(&self) -> u64 {
        self.saved as u64
    }
}
