//! The retry budgets of the services that this host forwards to.

use std::time::Instant;

use parking_lot::Mutex;

use super::tables::ServingTables;
use crate::collections::FastMap;
use crate::ids::ServiceId;
use crate::retry::{RetryUse, WindowBudget, WindowSettings, WindowUsage};

/// One budget for each service, with the same settings. The locks are taken in the order of
/// the fields.
#[derive(Debug)]
pub(super) struct RetryBudgets {
    settings: Mutex<WindowSettings>,
    budgets: Mutex<FastMap<ServiceId, ServiceBudget>>,
}

#[derive(Debug)]
struct ServiceBudget {
    window: WindowBudget,
    /// Whether the last retry was denied.
    is_denied: bool,
}

impl ServiceBudget {
    fn new() -> Self {
        Self {
            window: WindowBudget::new(rand::random()),
            is_denied: false,
        }
    }
}

impl RetryBudgets {
    pub(super) fn new(settings: WindowSettings) -> Self {
        Self {
            settings: Mutex::new(settings),
            budgets: Mutex::default(),
        }
    }
}

impl ServingTables {
    /// Counts a request for a service, which adds a part of a retry to its budget.
    pub(super) fn count_request(&self, service: &ServiceId, now: Instant) {
        let settings = *self.retries.settings.lock();
        let mut budgets = self.retries.budgets.lock();
        let budget = budgets.entry(service.clone());
        let budget = budget.or_insert_with(ServiceBudget::new);
        budget.window.count_request(settings, now);
    }

    /// Sets this host's share of the retries.
    pub fn set_budget(&self, settings: WindowSettings) {
        *self.retries.settings.lock() = settings;
    }

    /// Takes one retry from a service's budget, if there is one.
    pub(super) fn spend_retry(&self, service: &ServiceId, now: Instant) -> bool {
        let settings = *self.retries.settings.lock();
        let mut budgets = self.retries.budgets.lock();
        let Some(budget) = budgets.get_mut(service) else {
            return false;
        };
        let is_granted = budget.window.spend(settings, now);
        let was_denied = std::mem::replace(&mut budget.is_denied, !is_granted);
        let usage = budget.window.usage(settings, now);
        drop(budgets);
        self.metrics.retry_decided(is_granted);
        if !is_granted && !was_denied {
            log::info!(
                service:% = service,
                requests = usage.requests,
                spent = usage.spent,
                allowed = usage.allowed;
                "no retry left"
            );
        }
        is_granted
    }

    /// Returns whether a service's budget has a retry left for this use.
    pub(super) fn has_retry(&self, service: &ServiceId, retry_use: RetryUse, now: Instant) -> bool {
        let settings = *self.retries.settings.lock();
        let mut budgets = self.retries.budgets.lock();
        let budget = budgets.get_mut(service);
        budget.is_some_and(|budget| budget.window.has_left(settings, retry_use, now))
    }

    /// Returns what the budget of each service holds.
    pub fn retry_usage(&self, now: Instant) -> Vec<(ServiceId, WindowUsage)> {
        let settings = *self.retries.settings.lock();
        let mut budgets = self.retries.budgets.lock();
        let usage = budgets.iter_mut().map(|(service, budget)| {
            let usage = budget.window.usage(settings, now);
            (service.clone(), usage)
        });
        usage.collect()
    }
}
