//! The retry budgets of the services that this host forwards to.

use std::sync::Arc;
use std::time::Instant;

use parking_lot::Mutex;

use super::retry_grant::RetryGrant;
use super::tables::ServingTables;
use crate::collections::FastMap;
use crate::ids::ServiceId;
use crate::retry::{GrantId, RetryUse, WindowBudget, WindowSettings, WindowUsage};

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

    /// Takes one retry for a request from its service's budget, if there is one.
    pub(super) fn grant_retry(
        self: &Arc<Self>,
        service: &ServiceId,
        request: &str,
        retry_use: RetryUse,
        now: Instant,
    ) -> Option<RetryGrant> {
        let settings = *self.retries.settings.lock();
        let mut budgets = self.retries.budgets.lock();
        let budget = budgets.get_mut(service)?;
        let granted = budget.window.grant(settings, retry_use, now);
        let was_denied = std::mem::replace(&mut budget.is_denied, granted.is_none());
        let usage = budget.window.usage(settings, now);
        drop(budgets);
        self.metrics.retry_decided(granted.is_some());
        match granted {
            Some(id) => log::info!(
                request:% = request,
                service:% = service,
                grant = id,
                retry_use:? = retry_use,
                spent = usage.spent,
                unsettled = usage.unsettled,
                allowed = usage.allowed;
                "retry granted"
            ),
            None if !was_denied => log::info!(
                service:% = service,
                requests = usage.requests,
                spent = usage.spent,
                unsettled = usage.unsettled,
                allowed = usage.allowed;
                "no retry left"
            ),
            None => {}
        }
        let (tables, service) = (self.clone(), service.clone());
        granted.map(|id| RetryGrant::new(tables, service, request.to_owned(), id, now))
    }

    /// Returns whether a granted retry may be sent now, and counts it as sent if so.
    pub(super) fn send_retry(&self, service: &ServiceId, id: GrantId, now: Instant) -> bool {
        let settings = *self.retries.settings.lock();
        let mut budgets = self.retries.budgets.lock();
        let budget = budgets.get_mut(service);
        budget.is_some_and(|budget| budget.window.send(id, settings, now))
    }

    /// Records that a retry that was sent has arrived by `now`.
    pub(super) fn settle_retry(&self, service: &ServiceId, id: GrantId, now: Instant) {
        self.update_budget(service, |window| window.settle(id, now));
    }

    /// Records that a retry that was sent has not arrived and never will.
    pub(super) fn reclaim_retry(&self, service: &ServiceId, id: GrantId) {
        self.update_budget(service, |window| window.reclaim(id));
    }

    /// Returns a retry that was not sent to its budget.
    pub(super) fn release_retry(&self, service: &ServiceId, id: GrantId) {
        self.update_budget(service, |window| window.release(id));
    }

    fn update_budget<U>(&self, service: &ServiceId, update: U)
    where
        U: FnOnce(&mut WindowBudget),
    {
        if let Some(budget) = self.retries.budgets.lock().get_mut(service) {
            update(&mut budget.window);
        }
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
