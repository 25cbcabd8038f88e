//! Read-only queries of the table.

use std::time::{Duration, Instant};

use crate::ids::OrganisationId;

use super::{AdmissionTable, ShareLimit};

/// Unit of time of the reported rates.
const MINUTE: Duration = Duration::from_secs(60);

/// Number of demand windows over which the wanted rate is averaged.
pub(super) const RATE_WINDOWS: u32 = 10;
/// Minimum number of arrivals in one window that counts as a burst.
const MIN_BURST_ARRIVALS: u32 = 6;

impl AdmissionTable {
    /// Returns the organisations that have a share on this host, by name.
    pub fn organisations(&self) -> impl Iterator<Item = &OrganisationId> {
        self.organisations
            .iter()
            .filter(|(_, state)| !state.is_removed)
            .map(|(organisation, _)| organisation)
    }

    /// Returns what this host may use of an organisation's capacity; zero for an unknown
    /// organisation.
    pub fn share(&self, organisation: &OrganisationId) -> ShareLimit {
        let state = self.organisations.get(organisation);
        state.map(|state| state.limit).unwrap_or_default()
    }

    /// Returns the number of an organisation's requests that run, wait, or were recently
    /// refused for lack of capacity. The division of shares follows this demand.
    pub fn demand(&self, organisation: &OrganisationId, now: Instant) -> u32 {
        let Some(state) = self.organisations.get(organisation) else {
            return 0;
        };
        let waiting = u32::try_from(state.queue.len()).unwrap_or(u32::MAX);
        let refused = state.refusals.recent(self.settings.demand_window, now);
        state
            .in_flight
            .saturating_add(waiting)
            .saturating_add(refused)
    }

    /// Returns the rate, in requests per minute, that an organisation wants on this host.
    ///
    /// The rate is averaged over several windows: the few arrivals of a small
    /// organisation come unevenly, and a rate that followed each of them would constantly
    /// move grants and leave a host without any at the next arrival. A burst too large to
    /// be random counts at once.
    pub fn wanted_rate(&self, organisation: &OrganisationId, now: Instant) -> u32 {
        let Some(state) = self.organisations.get(organisation) else {
            return 0;
        };
        let window = self.settings.demand_window;
        let long = window * RATE_WINDOWS;
        let average = per_minute(state.arrivals_long.peak(long, now), long);
        match state.arrivals.peak(window, now) {
            burst if burst >= MIN_BURST_ARRIVALS => average.max(per_minute(burst, window)),
            _ => average,
        }
    }

    /// Returns the number of running requests of an organisation.
    pub fn in_flight(&self, organisation: &OrganisationId) -> u32 {
        self.organisations
            .get(organisation)
            .map_or(0, |state| state.in_flight)
    }

    /// Returns the number of waiting requests of an organisation.
    pub fn waiting(&self, organisation: &OrganisationId) -> usize {
        self.organisations
            .get(organisation)
            .map_or(0, |state| state.queue.len())
    }

    /// Returns when `tick` is due if nothing else happens: at the latest start that still
    /// meets a request's deadline, or at the next token of a rate limit. Returns `None`
    /// if no request waits.
    ///
    /// Only a token that is not yet available sets a time. With a token available, the
    /// queue waits for the host's capacity or for the share, and a release starts the
    /// next request. A time in the past would keep the caller's loop busy on a whole
    /// core.
    pub fn next_tick(&self) -> Option<Instant> {
        self.organisations
            .values()
            .filter(|state| !state.queue.is_empty())
            .flat_map(|state| {
                let latest_starts = state.queue.values().map(|request| {
                    let deadline = request.deadline;
                    deadline
                        .checked_sub(request.service_time)
                        .unwrap_or(deadline)
                });
                let token = match state.in_flight < state.limit.concurrent_requests {
                    true => state.bucket.time_until(1),
                    false => None,
                };
                let token = token.filter(|wait| !wait.is_zero());
                latest_starts.chain(token.map(|wait| state.bucket.last_refill() + wait))
            })
            .min()
    }
}

fn per_minute(count: u32, window: Duration) -> u32 {
    (f64::from(count) * MINUTE.as_secs_f64() / window.as_secs_f64()).ceil() as u32
}
