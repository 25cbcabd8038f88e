//! The host that hands out the permits for a target.

use std::time::{Duration, Instant};

use super::rate::RateLimit;
use super::request::{PermitReply, PermitRequest};
use super::send_counts::{SEND_WINDOW, SendCounts};
use crate::collections::FastMap;
use crate::ids::{HostId, TargetKey};

/// Permits that may be saved up, as time at the limit; one besides that which is due at
/// the least: hosts that were sent away come back a little later than it is.
const SAVED_TIME: Duration = Duration::from_millis(250);
/// Rate at which even a target that takes less, or nothing, is sent requests:
/// only its answers tell that its limit is over.
const TRIAL_RATE: f64 = 0.25;
/// What a target may get in a window, in times of its limit and in requests
/// besides, together with what was sent before its limit was known.
const WINDOW_FACTOR: f64 = 1.25;
const WINDOW_SLACK: f64 = 3.0;
/// How long a host that was sent away counts as one that wants a permit.
const WANTED_FOR: Duration = Duration::from_secs(2);
/// Shortest time after which a host may ask again.
const LEAST_PAUSE: Duration = Duration::from_millis(50);
/// Questions a permit while more hosts want some than there are.
const QUESTIONS_PER_PERMIT: f64 = 2.0;
/// Time from the first question about a target to its first permit: other hosts tell
/// meanwhile what they have sent there.
const FIRST_PAUSE: Duration = Duration::from_secs(1);
/// How long a target that nobody asks about is remembered.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(10);

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
    wanting: FastMap<HostId, Instant>,
    asked: Instant,
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
    /// Answers a question about a target with a limit. `part` is the part of the limit
    /// that this host may hand out, from 0 to 1.
    pub fn answer(
        &mut self,
        question: &PermitRequest,
        limit: RateLimit,
        part: f64,
        now: Instant,
    ) -> PermitReply {
        let per_second = (limit.per_second() * part).max(TRIAL_RATE);
        let spacing = Duration::from_secs_f64(per_second.recip());
        self.forget_unused(now);
        let account = self.accounts.entry(question.limit.target);
        let account = account.or_insert_with(|| PermitAccount::open(now));
        account.asked = now;
        account.report(question, now);
        let start = account.next_start(spacing, now);
        let delay = start - now;
        let room = account.window_room(per_second, now);
        match room {
            // The host has only told what it sent.
            _ if question.wanted == 0 => PermitReply::Withheld { retry_after: delay },
            0 => account.send_away(question, account.issued.until_next_lapse(now), now),
            _ if delay > question.max_wait => {
                let pause = delay - question.max_wait;
                let others = account.wanting.len() as f64;
                let turn = Duration::from_secs_f64(others / per_second / QUESTIONS_PER_PERMIT);
                account.send_away(question, pause.max(turn), now)
            }
            _ => {
                let ahead = (question.max_wait - delay).as_secs_f64() * per_second;
                let most = (ahead as u32).saturating_add(1).min(room);
                let permits = question.wanted.clamp(1, most);
                account.issue(permits, start, spacing, now);
                account.wanting.remove(&question.host);
                PermitReply::Granted {
                    permits,
                    delay,
                    spacing,
                }
            }
        }
    }

    fn forget_unused(&mut self, now: Instant) {
        self.accounts
            .retain(|_, account| now < account.asked + FORGOTTEN_AFTER);
    }
}

impl PermitAccount {
    /// An account with nothing saved up.
    fn open(now: Instant) -> Self {
        Self {
            due: now + FIRST_PAUSE,
            opened: now,
            issued: SendCounts::new(now),
            reported: FastMap::default(),
            wanting: FastMap::default(),
            asked: now,
        }
    }

    /// Takes in what a host sent without permits, in place of what it said before.
    fn report(&mut self, question: &PermitRequest, now: Instant) {
        self.reported.retain(|_, sends| sends.total(now) > 0);
        self.wanting.retain(|_, at| now < *at + WANTED_FOR);
        if question.unpermitted.is_empty() {
            return;
        }
        let sends = SendCounts::from_ages(&question.unpermitted, now);
        self.reported.insert(question.host.clone(), sends);
    }

    /// When the next permit may be used.
    fn next_start(&self, spacing: Duration, now: Instant) -> Instant {
        let saved = SAVED_TIME.max(spacing);
        let start = self.due.checked_sub(saved).unwrap_or(now);
        start.max(self.opened + FIRST_PAUSE).max(now)
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
    fn send_away(
        &mut self,
        question: &PermitRequest,
        pause: Duration,
        now: Instant,
    ) -> PermitReply {
        self.wanting.insert(question.host.clone(), now);
        PermitReply::Withheld {
            retry_after: pause.max(LEAST_PAUSE),
        }
    }
}
