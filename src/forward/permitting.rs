//! Permits of one request for the targets that limit their rate.

use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::future::{BoxFuture, join_all};

use super::answer::Refusal;
use super::choice::ChosenTarget;
use super::exchange::Exchange;
use super::tables::{InFlightGuard, ServingTables};
use crate::fleet::target_key;
use crate::ids::{TargetId, TargetKey};
use crate::permits::{PermitAnswer, PermitQuestion, permit_patience};
use crate::reason::RefusalReason;

/// Asks the host that hands out the permits for a target.
pub type PermitSource =
    Arc<dyn Fn(PermitQuestion) -> BoxFuture<'static, PermitAnswer> + Send + Sync>;

/// How often another target is chosen for want of a permit.
const MOST_CHOICES: u32 = 6;
/// How long a request that has another way waits for a permit.
const SHORT_WAIT: Duration = Duration::from_millis(30);
/// How long a stream that has begun waits for one.
const STREAM_WAIT: Duration = Duration::from_secs(1);

/// A target for which there is no permit in time.
#[derive(Debug)]
struct WithheldTarget {
    id: TargetId,
    retry_after: Duration,
}

/// A permit that a request holds.
#[derive(Debug)]
struct HeldPermit {
    target: TargetKey,
    from: Instant,
}

impl Exchange {
    /// Chooses where the next attempt goes, and waits until it may be sent there.
    /// `started` tells whether the caller has a part of the answer.
    pub(super) async fn place(
        &self,
        avoid: &[TargetId],
        started: bool,
    ) -> Result<(ChosenTarget, InFlightGuard), Refusal> {
        let mut passed = avoid.to_vec();
        let mut retry_after: Option<Duration> = None;
        for _ in 0..MOST_CHOICES {
            let chosen = match self.choose(&passed, started) {
                Ok(chosen) => chosen,
                Err(refusal) if retry_after.is_none() => return Err(refusal),
                Err(_) => break,
            };
            let now = Instant::now();
            let longest = self.longest_wait(started, now);
            let wait = self.tables.fleet.lock().longest_wait(chosen.ids(), now);
            let withheld = match wait {
                _ if wait > longest => Err(wait),
                // What is cheapest although it has to be waited for has no substitute.
                Duration::ZERO => self.permit(chosen.ids(), SHORT_WAIT.min(longest)).await,
                _ => self.permit(chosen.ids(), longest).await,
            };
            let Err(withheld) = withheld else {
                return Ok(self.commit(chosen, avoid.len()));
            };
            retry_after = Some(retry_after.map_or(withheld, |after| after.min(withheld)));
            if !wait.is_zero() {
                passed.extend(self.withheld_among(chosen.ids()));
            }
        }
        self.tables.metrics.permit("refused");
        let retry_after = retry_after.unwrap_or_default();
        Err(Refusal::not_run(RefusalReason::NoPermit, retry_after))
    }

    /// The targets for which there is no permit now.
    pub(super) fn withheld_among<'a, I>(&self, targets: I) -> Vec<TargetId>
    where
        I: Iterator<Item = &'a TargetId>,
    {
        let now = Instant::now();
        let fleet = self.tables.fleet.lock();
        let is_withheld = |id: &&TargetId| {
            let state = fleet.get(id);
            state.is_some_and(|state| !state.permit_wait(now).is_zero())
        };
        targets.filter(is_withheld).cloned().collect()
    }

    /// How long the request can wait for a permit and still be in time.
    fn longest_wait(&self, started: bool, now: Instant) -> Duration {
        let matched = &self.matched;
        let aim = matched.route.latency_aim;
        let longest = match started {
            true => STREAM_WAIT,
            false => permit_patience(matched.priority, aim, rand::random()),
        };
        longest.min(self.deadline.saturating_duration_since(now) / 2)
    }

    /// Waits until a request may be sent to targets, at most for `wait`; else gives the
    /// time after which it may be tried again.
    pub(super) async fn permit<'a, I>(&self, targets: I, wait: Duration) -> Result<(), Duration>
    where
        I: Iterator<Item = &'a TargetId>,
    {
        let (limited, free) = self.tables.divide_by_limit(targets);
        let asked = limited.iter().map(|id| self.tables.permit(id, wait));
        let (permits, withheld) = split(join_all(asked).await);
        if !withheld.is_empty() {
            self.tables.give_back(permits);
            return Err(self.tables.note_withheld(withheld, Instant::now()));
        }
        let from = permits.iter().map(|permit| permit.from).max();
        if let Some(from) = from.filter(|from| *from > Instant::now()) {
            tokio::time::sleep_until(from.into()).await;
        }
        self.tables.count_unpermitted(&free, Instant::now());
        Ok(())
    }
}

fn split(asked: Vec<Result<HeldPermit, WithheldTarget>>) -> (Vec<HeldPermit>, Vec<WithheldTarget>) {
    let mut permits = Vec::new();
    let mut withheld = Vec::new();
    for answer in asked {
        match answer {
            Ok(permit) => permits.push(permit),
            Err(target) => withheld.push(target),
        }
    }
    (permits, withheld)
}

impl ServingTables {
    /// Sets whom this host asks for permits. Without it, it hands them out itself.
    pub fn set_permit_source(&self, source: PermitSource) {
        if self.permit_source.set(source).is_err() {
            log::error!("the source of permits was set before");
        }
    }

    /// The targets that limit their rate, and the keys of the others.
    fn divide_by_limit<'a, I>(&self, targets: I) -> (Vec<TargetId>, Vec<TargetKey>)
    where
        I: Iterator<Item = &'a TargetId>,
    {
        let known = {
            let fleet = self.fleet.lock();
            let known = targets.filter_map(|id| Some((id, fleet.get(id)?.key)));
            known.collect::<Vec<_>>()
        };
        let limits = self.limits.lock();
        let mut limited = Vec::new();
        let mut free = Vec::new();
        for (id, key) in known {
            match limits.limit(key) {
                Some(_) => limited.push(id.clone()),
                None => free.push(key),
            }
        }
        (limited, free)
    }

    /// Requests are sent to targets that name no limit.
    fn count_unpermitted(&self, targets: &[TargetKey], now: Instant) {
        let mut pool = self.permits.lock();
        for target in targets {
            pool.count_unpermitted(*target, now);
        }
    }

    /// There are no permits for these targets for a while; gives the longest time.
    fn note_withheld(&self, withheld: Vec<WithheldTarget>, now: Instant) -> Duration {
        let mut fleet = self.fleet.lock();
        let mut longest = Duration::ZERO;
        for target in withheld {
            fleet.observe_withheld(&target.id, now + target.retry_after);
            longest = longest.max(target.retry_after);
        }
        longest
    }

    /// A permit for a target that may be used within `wait`.
    async fn permit(
        self: &Arc<Self>,
        id: &TargetId,
        wait: Duration,
    ) -> Result<HeldPermit, WithheldTarget> {
        let target = target_key(id);
        let take = || {
            let from = self.permits.lock().take(target, wait, Instant::now())?;
            Some(HeldPermit { target, from })
        };
        if let Some(permit) = take() {
            return Ok(permit);
        }
        let withheld = |retry_after| WithheldTarget {
            id: id.clone(),
            retry_after,
        };
        let Some(question) = self.permit_question(id, wait) else {
            // It has left meanwhile.
            return Err(withheld(SHORT_WAIT));
        };
        match self.ask_permit(question).await {
            PermitAnswer::Withheld { retry_after } => {
                self.metrics.permit("withheld");
                Err(withheld(retry_after))
            }
            PermitAnswer::Unlimited => Ok(HeldPermit {
                target,
                from: Instant::now(),
            }),
            granted => {
                self.metrics.permit("granted");
                self.permits.lock().put(target, granted, Instant::now());
                take().ok_or_else(|| withheld(SHORT_WAIT))
            }
        }
    }

    /// Tells the host that hands out the permits for a target what was sent there before
    /// its limit was known.
    pub(super) async fn tell_sends(self: &Arc<Self>, id: &TargetId) {
        let question = self.permit_question(id, Duration::ZERO);
        let sends = question.filter(|question| !question.unpermitted.is_empty());
        if let Some(question) = sends {
            self.ask_permit(PermitQuestion {
                wanted: 0,
                ..question
            })
            .await;
        }
    }

    fn permit_question(&self, id: &TargetId, patience: Duration) -> Option<PermitQuestion> {
        let now = Instant::now();
        let target = target_key(id);
        let zone = self.fleet.lock().get(id)?.entry.zone.clone();
        let limit = self.limits.lock().word(target, now)?;
        let pool = self.permits.lock();
        Some(PermitQuestion {
            host: self.host.clone(),
            zone,
            limit,
            wanted: pool.wanted(target, now),
            patience,
            unpermitted: pool.unpermitted(target, now),
            relayed: false,
        })
    }

    async fn ask_permit(self: &Arc<Self>, question: PermitQuestion) -> PermitAnswer {
        match self.permit_source.get() {
            Some(source) => source(question).await,
            None => self.issue_permits(&question, 1.0, Instant::now()),
        }
    }

    /// Hands out permits for a target, of which this host may hand out a part.
    pub fn issue_permits(
        self: &Arc<Self>,
        question: &PermitQuestion,
        part: f64,
        now: Instant,
    ) -> PermitAnswer {
        let target = question.limit.target;
        let told = question.limit.observation(now);
        let change = self.limits.lock().observe(target, told);
        if let Some(change) = change {
            self.hear_limit_change(target, change, &question.host);
        }
        let limit = self.limits.lock().limit(target);
        match limit {
            None => PermitAnswer::Unlimited,
            Some(limit) => self.issuer.lock().answer(question, limit, part, now),
        }
    }

    fn give_back(&self, permits: Vec<HeldPermit>) {
        let mut pool = self.permits.lock();
        for permit in permits {
            pool.give_back(permit.target, permit.from);
        }
    }
}
