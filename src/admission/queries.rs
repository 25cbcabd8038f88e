//! Reading the table.

use std::time::{Duration, Instant};

use crate::ids::OrganisationId;

use super::{AdmissionTable, ShareLimit};

/// Time over which rates are told.
const MINUTE: Duration = Duration::from_secs(60);

/// Demand windows over which the wanted rate is averaged.
pub(super) const RATE_WINDOWS: u32 = 10;
/// Arrivals within one window that count as a burst.
const MIN_BURST_ARRIVALS: u32 = 6;

impl AdmissionTable {
    /// Organisations that have a share here, by name.
    pub fn organisations(&self) -> impl Iterator<Item = &OrganisationId> {
        self.organisations
            .iter()
            .filter(|(_, state)| !state.is_removed)
            .map(|(organisation, _)| organisation)
    }

    /// What this host may use of an organisation's capacity; nothing if it
    /// knows no such organisation.
    pub fn share(&self, organisation: &OrganisationId) -> ShareLimit {
        let state = self.organisations.get(organisation);
        state.map(|state| state.limit).unwrap_or_default()
    }

    /// Requests of an organisation that run, wait, or were lately refused for
    /// want of capacity: what the division of shares should move towards.
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

    /// Rate, in requests a minute, that an organisation wants on this host.
    ///
    /// Averaged over several windows: the few arrivals of a small organisation
    /// come unevenly, and a rate that followed each of them would move grants
    /// all the time and leave a host without any when the next one comes. A
    /// burst that is large enough to be no accident counts at once.
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

    /// Requests of an organisation that run.
    pub fn in_flight(&self, organisation: &OrganisationId) -> u32 {
        self.organisations
            .get(organisation)
            .map_or(0, |state| state.in_flight)
    }

    /// Requests of an organisation that wait.
    pub fn waiting(&self, organisation: &OrganisationId) -> usize {
        self.organisations
            .get(organisation)
            .map_or(0, |state| state.queue.len())
    }

    /// When `tick` is due next if nothing else happens: a request's last
    /// chance, or the next token of a rate; `None` if nobody waits.
    ///
    /// Only a token that is still to come is waited for. With one at hand it
    /// is the host's capacity or the share that holds the queue up, and its
    /// release starts the next; naming a time that has passed would keep the
    /// caller's loop busy on a whole core.
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
