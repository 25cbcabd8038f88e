//! Issues the permits for a target.

use std::time::{Duration, Instant};

use super::rate::RateLimit;
use super::request::{PermitReply, PermitRequest};
use super::send_counts::{SEND_WINDOW, SendCounts};
use crate::collections::FastMap;
use crate::ids::{HostId, TargetKey};

/// Unused permits that may accumulate, as time at the limit. At least one accumulates
/// besides the permit that is due, since hosts whose requests were withheld return a
/// little later than it is.
const MAX_SAVED_TIME: Duration = Duration::from_millis(250);
/// Requests per second that are sent even to a target that accepts fewer or none: only
/// its responses show that its limit has ended.
const PROBE_RATE: f64 = 0.25;
/// Most requests to a target in a window, as a multiple of its limit, including those
/// sent before its limit was known.
const WINDOW_FACTOR: f64 = 1.25;
/// Number of requests to a target that a window admits in addition to [`WINDOW_FACTOR`].
const WINDOW_SLACK: f64 = 3.0;
/// How long a host whose request was withheld counts as waiting for a permit.
const WAITING_TTL: Duration = Duration::from_secs(2);
/// Shortest time after which a host may request again.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Requests per permit while more hosts wait than permits are available.
const REQUESTS_PER_PERMIT: f64 = 2.0;
/// Time from the first request for a target to its first permit, in which other hosts
/// report what they have sent there.
const INITIAL_DELAY: Duration = Duration::from_secs(1);
/// How long the account of a target without requests is kept.
const ACCOUNT_TTL: Duration = Duration::from_secs(10);

/// Permits that were issued for one target.
#[derive(Debug)]
struct PermitAccount {
    /// When the next permit is due at the limit, without accumulated permits.
    due: Instant,
    opened: Instant,
    issued: SendCounts,
    /// Requests that hosts sent without permits.
    reported: FastMap<HostId, SendCounts>,
    /// Hosts whose requests were withheld, and when.
    waiting: FastMap<HostId, Instant>,
    last_request: Instant,
}

/// Issues permits for targets, each at its limit.
///
/// One host issues all permits for a target, so that the total stays at the limit
/// whatever the hosts have to send, and without coordination among them. An account
/// starts empty: a host that takes over issues no permits that another host may have
/// accumulated.
#[derive(Debug, Default)]
pub struct PermitIssuer {
    accounts: FastMap<TargetKey, PermitAccount>,
}

impl PermitIssuer {
    /// Replies to a request for permits for a target with a limit. `share` is the share
    /// of the limit that this host may issue, from 0 to 1.
    pub fn handle_request(
        &mut self,
        request: &PermitRequest,
        limit: RateLimit,
        share: f64,
        now: Instant,
    ) -> PermitReply {
        let per_second = (limit.per_second() * share).max(PROBE_RATE);
        let spacing = Duration::from_secs_f64(per_second.recip());
        self.remove_unused(now);
        let account = self.accounts.entry(request.limit.target);
        let account = account.or_insert_with(|| PermitAccount::open(now));
        account.last_request = now;
        account.record_report(request, now);
        let start = account.next_start(spacing, now);
        let delay = start - now;
        let room = account.window_room(per_second, now);
        match room {
            // The host only reports what it sent.
            _ if request.wanted == 0 => PermitReply::Withheld { retry_after: delay },
            0 => account.withhold(request, account.issued.until_next_expiry(now), now),
            _ if delay > request.max_wait => {
                let pause = delay - request.max_wait;
                let others = account.waiting.len() as f64;
                let backlog = Duration::from_secs_f64(others / per_second / REQUESTS_PER_PERMIT);
                account.withhold(request, pause.max(backlog), now)
            }
            _ => {
                let ahead = (request.max_wait - delay).as_secs_f64() * per_second;
                let max_permits = (ahead as u32).saturating_add(1).min(room);
                let permits = request.wanted.clamp(1, max_permits);
                account.issue(permits, start, spacing, now);
                account.waiting.remove(&request.host);
                PermitReply::Granted {
                    permits,
                    delay,
                    spacing,
                }
            }
        }
    }

    fn remove_unused(&mut self, now: Instant) {
        self.accounts
            .retain(|_, account| now < account.last_request + ACCOUNT_TTL);
    }
}

impl PermitAccount {
    /// Creates an account without accumulated permits.
    fn open(now: Instant) -> Self {
        Self {
            due: now + INITIAL_DELAY,
            opened: now,
            issued: SendCounts::new(now),
            reported: FastMap::default(),
            waiting: FastMap::default(),
            last_request: now,
        }
    }

    /// Records what a host sent without permits, which replaces its previous report.
    fn record_report(&mut self, request: &PermitRequest, now: Instant) {
        self.reported.retain(|_, sends| sends.total(now) > 0);
        self.waiting.retain(|_, at| now < *at + WAITING_TTL);
        if request.unpermitted.is_empty() {
            return;
        }
        let sends = SendCounts::from_ages(&request.unpermitted, now);
        self.reported.insert(request.host.clone(), sends);
    }

    /// Returns when the next permit may be used.
    fn next_start(&self, spacing: Duration, now: Instant) -> Instant {
        let saved = MAX_SAVED_TIME.max(spacing);
        let start = self.due.checked_sub(saved).unwrap_or(now);
        start.max(self.opened + INITIAL_DELAY).max(now)
    }

    /// Returns how many more permits fit into the window.
    fn window_room(&self, per_second: f64, now: Instant) -> u32 {
        let window = SEND_WINDOW.as_secs_f64();
        let allowed = WINDOW_FACTOR * per_second * window + WINDOW_SLACK;
        let reported = self.reported.values().map(|sends| sends.total(now));
        let sent = self.issued.total(now) + reported.sum::<u32>();
        (allowed as u32).saturating_sub(sent)
    }

    fn issue(&mut self, permits: u32, start: Instant, spacing: Duration, now: Instant) {
        self.issued.count(permits, now);
        self.due = self.due.max(start) + spacing * permits;
    }

    /// Withholds permits. Waiting hosts return one after the other: how often they
    /// request in total depends on the limit, and not on their number.
    fn withhold(&mut self, request: &PermitRequest, pause: Duration, now: Instant) -> PermitReply {
        self.waiting.insert(request.host.clone(), now);
        PermitReply::Withheld {
            retry_after: pause.max(MIN_RETRY_AFTER),
        }
    }
}
