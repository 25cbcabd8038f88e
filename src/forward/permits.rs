//! Permits that this host holds and issues, and its requests for them.

use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::future::BoxFuture;

use super::tables::ServingTables;
use crate::fleet::target_key;
use crate::ids::{TargetId, TargetKey};
use crate::permits::{PermitReply, PermitRequest};

/// Requests permits from the host that issues them for a target.
pub type PermitSource = Arc<dyn Fn(PermitRequest) -> BoxFuture<'static, PermitReply> + Send + Sync>;

/// Pause before the next request for permits after one that failed for another reason
/// than the limit.
const RETRY_PAUSE: Duration = Duration::from_millis(30);

/// A target that gives no permit in time.
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
    /// Targets that limit their rate.
    pub(super) limited: Vec<TargetId>,
    /// Keys of the targets without a limit.
    pub(super) unlimited: Vec<TargetKey>,
    /// Time until all of them may have permits, as far as this host knows.
    pub(super) wait: Duration,
}

impl ServingTables {
    /// Sets the source that this host requests permits from. Without one, the host issues
    /// them itself.
    pub fn set_permit_source(&self, source: PermitSource) {
        if self.permit_source.set(source).is_err() {
            log::error!("permit source is already set");
        }
    }

    /// Classifies the targets that a request is about to be sent to by whether they limit
    /// their rate.
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

    /// Counts requests that are sent to targets without a limit.
    pub(super) fn count_unpermitted(&self, targets: &[TargetKey], now: Instant) {
        let mut pool = self.permits.lock();
        for target in targets {
            pool.count_unpermitted(*target, now);
        }
    }

    /// Records that targets give no permits for a while, and returns the longest of these
    /// times.
    pub(super) fn record_withheld(&self, withheld: Vec<WithheldTarget>, now: Instant) -> Duration {
        let mut fleet = self.fleet.lock();
        let mut longest = Duration::ZERO;
        for target in withheld {
            fleet.observe_withheld(&target.id, now + target.retry_after);
            longest = longest.max(target.retry_after);
        }
        longest
    }

    /// Acquires a permit for a target that may be used within `wait`, from the pool or
    /// from the issuing host.
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
            // The target has left the fleet meanwhile.
            return Err(withheld(RETRY_PAUSE));
        };
        match self.request_permits(request).await {
            PermitReply::Withheld { retry_after } => {
                self.metrics.permit_requested("withheld");
                Err(withheld(retry_after))
            }
            PermitReply::Unlimited => Ok(HeldPermit {
                target,
                from: Instant::now(),
            }),
            granted => {
                self.metrics.permit_requested("granted");
                self.permits.lock().put(target, granted, Instant::now());
                take().ok_or_else(|| withheld(RETRY_PAUSE))
            }
        }
    }

    /// Reports to the issuing host what was sent to a target before its limit was known.
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

    /// Issues permits for a target on behalf of its zone. `share` is the share of the
    /// limit that this host may issue.
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
