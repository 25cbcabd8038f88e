//! The permits of this host, and the questions for them.

use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::future::BoxFuture;

use super::tables::ServingTables;
use crate::fleet::target_key;
use crate::ids::{TargetId, TargetKey};
use crate::permits::{PermitReply, PermitRequest};

/// Asks the host that hands out the permits for a target.
pub type PermitSource = Arc<dyn Fn(PermitRequest) -> BoxFuture<'static, PermitReply> + Send + Sync>;

/// Pause before permits for a target are asked for again that could not be had for
/// another reason than its limit.
const ODD_PAUSE: Duration = Duration::from_millis(30);

/// A target for which there is no permit in time.
#[derive(Debug)]
pub(super) struct WithheldTarget {
    id: TargetId,
    retry_after: Duration,
}

/// A permit that a request holds.
#[derive(Debug)]
pub(super) struct HeldPermit {
    target: TargetKey,
    pub(super) from: Instant,
}

/// The targets that a request is about to be sent to.
#[derive(Debug, Default)]
pub(super) struct PassedTargets {
    /// Those that limit their rate.
    pub(super) limited: Vec<TargetId>,
    /// Keys of the others.
    pub(super) free: Vec<TargetKey>,
    /// Time until there may be permits for all of them, as far as this host knows.
    pub(super) wait: Duration,
}

impl ServingTables {
    /// Sets whom this host asks for permits. Without it, it hands them out itself.
    pub fn set_permit_source(&self, source: PermitSource) {
        if self.permit_source.set(source).is_err() {
            log::error!("the source of permits was set before");
        }
    }

    /// Looks at the targets that a request is about to be sent to.
    pub(super) fn passed_targets<'a, I>(&self, targets: I, now: Instant) -> PassedTargets
    where
        I: Iterator<Item = &'a TargetId>,
    {
        let mut passed = PassedTargets::default();
        let known = {
            let fleet = self.fleet.lock();
            let known = targets.filter_map(|id| {
                let state = fleet.get(id)?;
                passed.wait = passed.wait.max(state.permit_wait(now));
                Some((id, state.key))
            });
            known.collect::<Vec<_>>()
        };
        let limits = self.limits.lock();
        for (id, key) in known {
            match limits.limit(key) {
                Some(_) => passed.limited.push(id.clone()),
                None => passed.free.push(key),
            }
        }
        passed
    }

    /// Requests are sent to targets that name no limit.
    pub(super) fn count_unpermitted(&self, targets: &[TargetKey], now: Instant) {
        let mut pool = self.permits.lock();
        for target in targets {
            pool.count_unpermitted(*target, now);
        }
    }

    /// There are no permits for these targets for a while; gives the longest time.
    pub(super) fn note_withheld(&self, withheld: Vec<WithheldTarget>, now: Instant) -> Duration {
        let mut fleet = self.fleet.lock();
        let mut longest = Duration::ZERO;
        for target in withheld {
            fleet.observe_withheld(&target.id, now + target.retry_after);
            longest = longest.max(target.retry_after);
        }
        longest
    }

    /// A permit for a target that may be used within `wait`.
    pub(super) async fn permit(
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
            return Err(withheld(ODD_PAUSE));
        };
        match self.ask_permit(question).await {
            PermitReply::Withheld { retry_after } => {
                self.metrics.permit("withheld");
                Err(withheld(retry_after))
            }
            PermitReply::Unlimited => Ok(HeldPermit {
                target,
                from: Instant::now(),
            }),
            granted => {
                self.metrics.permit("granted");
                self.permits.lock().put(target, granted, Instant::now());
                take().ok_or_else(|| withheld(ODD_PAUSE))
            }
        }
    }

    /// Tells the host that hands out the permits for a target what was sent there before
    /// its limit was known.
    pub(super) async fn tell_sends(self: &Arc<Self>, id: &TargetId) {
        let question = self.permit_question(id, Duration::ZERO);
        let sends = question.filter(|question| !question.unpermitted.is_empty());
        if let Some(question) = sends {
            self.ask_permit(PermitRequest {
                wanted: 0,
                ..question
            })
            .await;
        }
    }

    fn permit_question(&self, id: &TargetId, max_wait: Duration) -> Option<PermitRequest> {
        let now = Instant::now();
        let target = target_key(id);
        let zone = self.fleet.lock().get(id)?.entry.zone.clone();
        let limit = self.limits.lock().record(target, now)?;
        let pool = self.permits.lock();
        Some(PermitRequest {
            host: self.host.clone(),
            zone,
            limit,
            wanted: pool.wanted(target, now),
            max_wait,
            unpermitted: pool.unpermitted(target, now),
            relayed: false,
        })
    }

    async fn ask_permit(self: &Arc<Self>, question: PermitRequest) -> PermitReply {
        match self.permit_source.get() {
            Some(source) => source(question).await,
            None => self.issue_permits(&question, 1.0, Instant::now()),
        }
    }

    /// Hands out permits for a target, of which this host may hand out a part.
    pub fn issue_permits(
        self: &Arc<Self>,
        question: &PermitRequest,
        part: f64,
        now: Instant,
    ) -> PermitReply {
        let target = question.limit.target;
        let told = question.limit.observation(now);
        let change = self.limits.lock().observe(target, told);
        if let Some(change) = change {
            self.apply_reported_limit(target, change, &question.host);
        }
        let limit = self.limits.lock().limit(target);
        match limit {
            None => PermitReply::Unlimited,
            Some(limit) => self.issuer.lock().answer(question, limit, part, now),
        }
    }

    pub(super) fn give_back(&self, permits: Vec<HeldPermit>) {
        let mut pool = self.permits.lock();
        for permit in permits {
            pool.give_back(permit.target, permit.from);
        }
    }
}
