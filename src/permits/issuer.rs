//! The host that hands out the permits for a target.

use std::time::{Duration, Instant};

use super::rate::RateLimit;
use super::request::{PermitReply, PermitRequest};
use super::send_counts::{SEND_WINDOW, SendCounts};
use crate::collections::FastMap;
use crate::ids::{HostId, TargetKey};

/// Permits that may be saved up, as time at the limit; one besides that which is due at
/// the least: hosts that were sent away come back a little later than it is.
const MAX_SAVED_TIME: Duration = Duration::from_millis(250);
/// Rate at which even a target that takes less, or nothing, is sent requests:
/// only its answers tell that its limit is over.
const PROBE_RATE: f64 = 0.25;
/// What a target may get in a window, in times of its limit and in requests
/// besides, together with what was sent before its limit was known.
const WINDOW_FACTOR: f64 = 1.25;
const WINDOW_SLACK: f64 = 3.0;
/// How long a host that was sent away counts as one that wants a permit.
const WAITING_TTL: Duration = Duration::from_secs(2);
/// Shortest time after which a host may ask again.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Questions a permit while more hosts want some than there are.
const REQUESTS_PER_PERMIT: f64 = 2.0;
/// Time from the first request about a target to its first permit: other hosts tell
/// meanwhile what they have sent there.
const INITIAL_DELAY: Duration = Duration::from_secs(1);
/// How long a target that nobody asks about is remembered.
const ACCOUNT_TTL: Duration = Duration::from_secs(10);

/// What was handed out for one target.
#[derive(Debug)]
struct PermitAccount {
    /// When the next permit is due at the limit, with nothing saved up.
    due: Instant,
    opened: Instant,
    issued: SendCounts,
    /// What hosts sent without permits.
    reported: FastMap<HostId, SendCounts>,
    /// Hosts that were sent away, and when.
    waiting: FastMap<HostId, Instant>,
    last_request: Instant,
}

/// Hands out permits for targets, each at its limit.
///
/// One host does it for each target, so that what is sent in all stays at the limit
/// whatever hosts have to send, and without a word between them. An account begins
/// empty: a host that takes over hands out nothing that another one may have saved.
#[derive(Debug, Default)]
pub struct PermitIssuer {
    accounts: FastMap<TargetKey, PermitAccount>,
}

impl PermitIssuer {
    /// Answers a request about a target with a limit. `share` is the part of the limit
    /// that this host may hand out, from 0 to 1.
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
            // The host has only told what it sent.
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
    /// An account with nothing saved up.
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

    /// Takes in what a host sent without permits, in place of what it said before.
    fn record_report(&mut self, request: &PermitRequest, now: Instant) {
        self.reported.retain(|_, sends| sends.total(now) > 0);
        self.waiting.retain(|_, at| now < *at + WAITING_TTL);
        if request.unpermitted.is_empty() {
            return;
        }
        let sends = SendCounts::from_ages(&request.unpermitted, now);
        self.reported.insert(request.host.clone(), sends);
    }

    /// When the next permit may be used.
    fn next_start(&self, spacing: Duration, now: Instant) -> Instant {
        let saved = MAX_SAVED_TIME.max(spacing);
        let start = self.due.checked_sub(saved).unwrap_or(now);
        start.max(self.opened + INITIAL_DELAY).max(now)
    }

    /// Permits that the window still has room for.
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

    /// Hosts that want permits come back in turn: how often they ask in all depends on
    /// the limit, and not on how many they are.
    fn withhold(&mut self, request: &PermitRequest, pause: Duration, now: Instant) -> PermitReply {
        self.waiting.insert(request.host.clone(), now);
        PermitReply::Withheld {
            retry_after: pause.max(MIN_RETRY_AFTER),
        }
    }
}
