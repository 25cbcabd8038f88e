//! Acquires the permits of one request for targets that limit their rate.

use std::time::{Duration, Instant};

use futures::future::join_all;

use super::attempt_policy::AttemptPurpose;
use super::choice::ChosenTarget;
use super::exchange::{Exchange, TriedTargets};
use super::permits::{AttemptTargets, HeldPermit, WithheldTarget};
use super::response::Refusal;
use super::tables::InFlightGuard;
use crate::ids::TargetId;
use crate::permits::max_permit_wait;
use crate::reason::RefusalReason;

/// Largest number of targets or paths that are tried for lack of a permit.
const MAX_CHOICES: u32 = 6;
/// Longest wait for a permit of a request that has another choice.
const SHORT_WAIT: Duration = Duration::from_millis(30);
/// Largest relative delay that is added to `Retry-After`, so that callers that were
/// refused together come back one after the other.
const RETRY_JITTER: f64 = 0.5;
/// Longest wait for a permit of a stream that has begun.
const STREAM_WAIT: Duration = Duration::from_secs(1);

impl Exchange {
    /// Selects the target or path of the next attempt, and waits until the request may be
    /// sent there.
    pub(super) async fn choose_permitted(
        &self,
        tried: &TriedTargets,
        purpose: AttemptPurpose,
    ) -> Result<(ChosenTarget, InFlightGuard), Refusal> {
        let mut excluded = self.avoided(tried);
        let mut retry_after: Option<Duration> = None;
        let mut pause_allowance = self.longest_wait(purpose, Instant::now());
        for _ in 0..MAX_CHOICES {
            let chosen = self
                .choose_after_wait(&excluded, purpose, &mut pause_allowance)
                .await;
            let chosen = match chosen {
                Ok(chosen) => chosen,
                Err(refusal) if retry_after.is_none() => return Err(refusal),
                Err(_) => break,
            };
            let now = Instant::now();
            let longest = self.longest_wait(purpose, now);
            let targets = self.tables.attempt_targets(chosen.ids(), now);
            let withheld = match targets.wait {
                wait if wait > longest => Err(wait),
                // A choice without a known wait usually has alternatives. A path that is
                // cheapest despite its wait has none, so the request waits longer for it.
                Duration::ZERO => {
                    self.acquire_permits(&targets, SHORT_WAIT.min(longest))
                        .await
                }
                _ => self.acquire_permits(&targets, longest).await,
            };
            let Err(withheld) = withheld else {
                return Ok(self.commit(chosen, tried.len()));
            };
            retry_after = Some(retry_after.map_or(withheld, |after| after.min(withheld)));
            pause_allowance = Duration::ZERO;
            if !targets.wait.is_zero() {
                excluded.extend(self.withheld_targets(chosen.ids()));
            }
        }
        self.tables.metrics.permit_requested("refused");
        let jitter = 1.0 + RETRY_JITTER * rand::random::<f64>();
        let retry_after = retry_after.unwrap_or_default().mul_f64(jitter);
        Err(Refusal::not_run(RefusalReason::NoPermit, retry_after))
    }

    /// Returns the targets that give no permit now.
    pub(super) fn withheld_targets<'a, I>(&self, targets: I) -> Vec<TargetId>
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

    /// Returns how long the request can wait for a permit, or for the end of a pause,
    /// without missing its deadline.
    pub(super) fn longest_wait(&self, purpose: AttemptPurpose, now: Instant) -> Duration {
        let matched = &self.matched;
        let aim = matched.route.latency_aim;
        let longest = match purpose {
            AttemptPurpose::Resume => STREAM_WAIT,
            AttemptPurpose::Start | AttemptPurpose::Beside => {
                max_permit_wait(matched.priority, aim, rand::random())
            }
        };
        longest.min(self.deadline.saturating_duration_since(now) / 2)
    }

    /// Waits at most for `wait` until the request may be sent to the targets. Otherwise
    /// returns the time after which to try again.
    pub(super) async fn acquire_permits(
        &self,
        targets: &AttemptTargets,
        wait: Duration,
    ) -> Result<(), Duration> {
        let limited = targets.limited.iter();
        let acquired = limited.map(|id| self.tables.acquire_permit(id, wait));
        let (permits, withheld) = split(join_all(acquired).await);
        if !withheld.is_empty() {
            self.tables.give_back(permits);
            return Err(self.tables.record_withheld(withheld, Instant::now()));
        }
        let from = permits.iter().map(|permit| permit.from).max();
        if let Some(from) = from.filter(|from| *from > Instant::now()) {
            tokio::time::sleep_until(from.into()).await;
        }
        self.tables
            .count_unpermitted(&targets.unlimited, Instant::now());
        Ok(())
    }
}

fn split(
    acquired: Vec<Result<HeldPermit, WithheldTarget>>,
) -> (Vec<HeldPermit>, Vec<WithheldTarget>) {
    let mut permits = Vec::new();
    let mut withheld = Vec::new();
    for result in acquired {
        match result {
            Ok(permit) => permits.push(permit),
            Err(target) => withheld.push(target),
        }
    }
    (permits, withheld)
}
