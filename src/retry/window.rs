//! A budget that limits the retries within a time window.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::collections::FastMap;

/// Fraction of the allowed retries that accrues evenly over a window; the rest may be spent
/// at once. A process in its first window has the former alone.
const STEADY_SHARE: f64 = 0.7;
/// Part of what may be spent that hedges of running attempts use. The rest is for requests
/// that would fail without a retry.
const SPARE_SHARE: f64 = 0.5;
/// Time after which the rounding of a budget changes, so that a host with a small share is
/// not left without retries for good.
const ROUNDING_PERIOD: Duration = Duration::from_secs(60);
/// Step of the rounding from period to period: multiples of the golden ratio are spread
/// evenly between 0 and 1.
const ROUNDING_STEP: f64 = 0.618_033_988_749_895;
/// Time from the sending after which a retry has arrived or never will: unacknowledged bytes end
/// their connection by then, and a target that stands still for longer is not sound.
const MAX_ARRIVAL_TIME: Duration = Duration::from_secs(3);

/// Number of a granted retry within its budget.
pub type GrantId = u64;

/// What a retry is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryUse {
    /// The request would fail without it.
    Replacement,
    /// The request may succeed without it.
    Spare,
}

/// Limits of a [`WindowBudget`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WindowSettings {
    /// Length of the window.
    pub window: Duration,
    /// Retries that each request in the window earns, from 0 to 1.
    pub ratio: f64,
    /// Retries allowed in each window beyond the earned ones.
    pub slack: f64,
    /// Start of the process. What earlier processes of the host have spent is unknown.
    pub opened: Instant,
}

/// What a [`WindowBudget`] has counted in the last window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WindowUsage {
    /// Requests that earn retries.
    pub requests: usize,
    /// Retries that were spent.
    pub spent: usize,
    /// Those of them that may not have arrived yet.
    pub unsettled: usize,
    /// Retries that may be spent in all.
    pub allowed: f64,
}

/// Requests and retries of the last window.
///
/// The platform counts the retries of all hosts, and of all processes of a host, within any
/// window at the targets. When the processes of each host together keep to the host's share
/// of that bound, the sum does too, without coordination.
///
/// A granted retry counts until a window after the latest moment at which it can have
/// arrived. Retries that arrive within one window are therefore counted together when the
/// last of them is granted, however long each waits before it is sent, or at its target.
///
/// A process spends at most `1 - STEADY_SHARE` of its share beyond what accrues evenly, and
/// one that may have had a predecessor within the window only what accrues since its own
/// start: both together stay within the share, at whatever moment the predecessor ended and
/// however many there were.
#[derive(Debug, Clone)]
pub struct WindowBudget {
    requests: VecDeque<Instant>,
    /// Granted retries that may not have arrived yet, with the moment of their sending.
    unsettled: FastMap<GrantId, Option<Instant>>,
    /// Latest moments at which the others can have arrived, in ascending order.
    arrivals: VecDeque<Instant>,
    last_grant: GrantId,
    rounding: f64,
}

impl WindowBudget {
    /// Creates a budget without history. `rounding`, drawn from 0 to 1, decides whether a
    /// fraction of a retry counts as a whole one; over many hosts the fractions add up.
    pub fn new(rounding: f64) -> Self {
        Self {
            requests: VecDeque::new(),
            unsettled: FastMap::default(),
            arrivals: VecDeque::new(),
            last_grant: 0,
            rounding,
        }
    }

    /// Counts a request, which earns `ratio` of a retry.
    pub fn count_request(&mut self, settings: WindowSettings, now: Instant) {
        remove_expired(&mut self.requests, settings.window, now);
        self.requests.push_back(now);
    }

    /// Grants one retry; returns `None` if none is left for this use. A grant has to be
    /// released unless it is sent.
    #[must_use]
    pub fn grant(
        &mut self,
        settings: WindowSettings,
        retry_use: RetryUse,
        now: Instant,
    ) -> Option<GrantId> {
        self.has_left(settings, retry_use, now).then(|| {
            self.last_grant += 1;
            self.unsettled.insert(self.last_grant, None);
            self.last_grant
        })
    }

    /// Returns whether a granted retry still fits the budget, and counts it as sent if so.
    /// Otherwise it is released: what was allowed when it was granted may have expired while
    /// it waited.
    #[must_use]
    pub fn send(&mut self, id: GrantId, settings: WindowSettings, now: Instant) -> bool {
        let is_allowed = self.unsettled.contains_key(&id) && self.fits(settings, 0, 1.0, now);
        match is_allowed {
            true => self.unsettled.insert(id, Some(now)),
            false => self.unsettled.remove(&id),
        };
        is_allowed
    }

    /// Records that a retry that was sent has arrived by `now`.
    pub fn settle(&mut self, id: GrantId, now: Instant) {
        if self.unsettled.remove(&id).is_some() {
            self.count_arrival(now);
        }
    }

    /// Records that a retry that was sent has not arrived and never will.
    pub fn reclaim(&mut self, id: GrantId) {
        if let Some(sent) = self.unsettled.get_mut(&id) {
            *sent = None;
        }
    }

    /// Returns a retry that was not sent.
    pub fn release(&mut self, id: GrantId) {
        self.unsettled.remove(&id);
    }

    /// Returns whether a retry is left for this use.
    pub fn has_left(
        &mut self,
        settings: WindowSettings,
        retry_use: RetryUse,
        now: Instant,
    ) -> bool {
        let part = match retry_use {
            RetryUse::Replacement => 1.0,
            RetryUse::Spare => SPARE_SHARE,
        };
        self.fits(settings, 1, part, now)
    }

    /// Returns what the window holds, without what has expired.
    pub fn usage(&mut self, settings: WindowSettings, now: Instant) -> WindowUsage {
        self.settle_late(now);
        remove_expired(&mut self.requests, settings.window, now);
        remove_expired(&mut self.arrivals, settings.window, now);
        let earned = self.earned(settings);
        let age = now.saturating_duration_since(settings.opened);
        let allowed = match age >= settings.window {
            true => earned + settings.slack,
            false => STEADY_SHARE * (earned + settings.slack * fraction(age, settings.window)),
        };
        WindowUsage {
            requests: self.requests.len(),
            spent: self.unsettled.len() + self.arrivals.len(),
            unsettled: self.unsettled.len(),
            allowed,
        }
    }

    /// Settles retries that were sent too long ago to be on their way.
    fn settle_late(&mut self, now: Instant) {
        let late = self.unsettled.extract_if(|_, sent| {
            sent.is_some_and(|sent| now.saturating_duration_since(sent) >= MAX_ARRIVAL_TIME)
        });
        let late = late.filter_map(|(_, sent)| Some(sent? + MAX_ARRIVAL_TIME));
        for at in late.collect::<Vec<_>>() {
            self.count_arrival(at);
        }
    }

    fn count_arrival(&mut self, at: Instant) {
        let index = self.arrivals.partition_point(|other| *other <= at);
        self.arrivals.insert(index, at);
    }

    fn earned(&self, settings: WindowSettings) -> f64 {
        settings.ratio * self.requests.len() as f64
    }

    /// Returns whether the budget holds `added` more retries within `part` of what may be
    /// spent.
    fn fits(&mut self, settings: WindowSettings, added: usize, part: f64, now: Instant) -> bool {
        let usage = self.usage(settings, now);
        let rounding = self.rounding_at(settings, now);
        let spent = (usage.spent + added) as f64;
        spent <= part * usage.allowed + rounding
            && self.is_spread(settings, added, part, rounding, now)
    }

    /// Returns whether the latest retries and `added` more, however many of them are taken, are
    /// within `part` of what may be spent at once and what has accrued since the first of them
    /// arrived. Those under way count as arriving now.
    fn is_spread(
        &self,
        settings: WindowSettings,
        added: usize,
        part: f64,
        rounding: f64,
        now: Instant,
    ) -> bool {
        let share = part * (self.earned(settings) + settings.slack);
        let unsettled = std::iter::repeat_n(Duration::ZERO, added + self.unsettled.len());
        let latest = self.arrivals.iter().rev();
        let spans = latest.map(|at| now.saturating_duration_since(*at));
        unsettled.chain(spans).zip(1_u32..).all(|(span, spent)| {
            let accrued = STEADY_SHARE * fraction(span, settings.window);
            f64::from(spent) <= (1.0 - STEADY_SHARE + accrued) * share + rounding
        })
    }

    fn rounding_at(&self, settings: WindowSettings, now: Instant) -> f64 {
        let age = now.saturating_duration_since(settings.opened);
        let periods = age.as_secs() / ROUNDING_PERIOD.as_secs();
        (self.rounding + ROUNDING_STEP * periods as f64).fract()
    }
}

fn fraction(time: Duration, window: Duration) -> f64 {
    time.as_secs_f64() / window.as_secs_f64()
}

fn remove_expired(moments: &mut VecDeque<Instant>, window: Duration, now: Instant) {
    while moments
        .front()
        .is_some_and(|at| now.saturating_duration_since(*at) >= window)
    {
        moments.pop_front();
    }
}
