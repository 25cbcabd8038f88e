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
const RETRY_PAUSE: Duration = Duration::from_millis(30);

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
pub(super) struct AttemptTargets {
    /// Those that limit their rate.
    pub(super) limited: Vec<TargetId>,
    /// Keys of the others.
    pub(super) unlimited: Vec<TargetKey>,
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
    pub(super) fn attempt_targets<'a, I>(&self, targets: I, now: Instant) -> AttemptTargets
    where
        I: Iterator<Item = &'a TargetId>,
    {
        let mut classified = AttemptTargets::default();
        let known = {
            let fleet = self.fleet.lock();
            let known = targets.filter_map(|id| {
                let state = fleet.get(id)?;
                classified.wait = classified.wait.max(state.permit_wait(now));
                Some((id, state.key))
            });
            known.collect::<Vec<_>>()
        };
        let limits = self.limits.lock();
        for (id, key) in known {
            match limits.limit(key) {
                Some(_) => classified.limited.push(id.clone()),
                None => classified.unlimited.push(key),
            }
        }
        classified
    }

    /// Requests are sent to targets that name no limit.
    pub(super) fn count_unpermitted(&self, targets: &[TargetKey], now: Instant) {
        let mut pool = self.permits.lock();
        for target in targets {
            pool.count_unpermitted(*target, now);
        }
    }

    /// There are no permits for these targets for a while; gives the longest time.
    pub(super) fn record_withheld(&self, withheld: Vec<WithheldTarget>, now: Instant) -> Duration {
        let mut fleet = self.fleet.lock();
        let mut longest = Duration::ZERO;
        for target in withheld {
            fleet.observe_withheld(&target.id, now + target.retry_after);
            longest = longest.max(target.retry_after);
        }
        longest
    }

    /// A permit for a target that may be used within `wait`.
    pub(super) async fn acquire_permit(
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
        let Some(request) = self.permit_request(id, wait) else {
            // It has left meanwhile.
            return Err(withheld(RETRY_PAUSE));
        };
        match self.request_permits(request).await {
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
                take().ok_or_else(|| withheld(RETRY_PAUSE))
            }
        }
    }

    /// Tells the host that hands out the permits for a target what was sent there before
    /// its limit was known.
    pub(super) async fn report_sends(self: &Arc<Self>, id: &TargetId) {
        let request = self.permit_request(id, Duration::ZERO);
        let sends = request.filter(|request| !request.unpermitted.is_empty());
        if let Some(request) = sends {
            self.request_permits(PermitRequest {
                wanted: 0,
                ..request
            })
            .await;
        }
    }

    fn permit_request(&self, id: &TargetId, max_wait: Duration) -> Option<PermitRequest> {
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

    async fn request_permits(self: &Arc<Self>, request: PermitRequest) -> PermitReply {
        match self.permit_source.get() {
            Some(source) => source(request).await,
            None => self.issue_permits(&request, 1.0, Instant::now()),
        }
    }

    /// Hands out permits for a target, of which this host may hand out a part.
    pub fn issue_permits(
        self: &Arc<Self>,
        request: &PermitRequest,
        share: f64,
        now: Instant,
    ) -> PermitReply {
        let target = request.limit.target;
        let reported = request.limit.observation(now);
        let change = self.limits.lock().observe(target, reported);
        if let Some(change) = change {
            self.apply_reported_limit(target, change, &request.host);
        }
        let limit = self.limits.lock().limit(target);
        match limit {
            None => PermitReply::Unlimited,
            Some(limit) => self
                .issuer
                .lock()
                .handle_request(request, limit, share, now),
        }
    }

    pub(super) fn give_back(&self, permits: Vec<HeldPermit>) {
        let mut pool = self.permits.lock();
        for permit in permits {
            pool.give_back(permit.target, permit.from);
        }
    }
}
