//! Pauses that targets request: a target that refuses a request may state for how long it
//! wants no further ones from this host.
//!
//! A pause holds until its end, whatever happens in the meantime, and no request is sent
//! during it: the choice of targets leaves paused ones out, and
//! [`ServingTables::check_available`] checks again at the moment of sending.

use std::sync::Arc;
use std::time::{Duration, Instant};

use http::{HeaderMap, StatusCode, header};

use super::attempt::{AttemptFailure, FailureCause};
use super::attempt_policy::AttemptPurpose;
use super::choice::ChosenTarget;
use super::exchange::Exchange;
use super::notices::ObservedResponse;
use super::response::Refusal;
use super::tables::ServingTables;
use crate::ids::TargetId;
use crate::platform::number_header::NumberHeader;
use crate::platform::target_notice::TargetNotice;
use crate::reason::RefusalReason;
use crate::verdict::RunVerdict;

/// Longest pause that a target can request. A target that states an absurd time, such as
/// 1e9 seconds, is tried again after this one.
const MAX_PAUSE: Duration = Duration::from_secs(3600);
/// Largest part of a pause that is added to it, and the longest time that is: hosts that a
/// target refused together must not return together.
const MAX_JITTER: f64 = 0.1;
const MAX_JITTER_TIME: Duration = Duration::from_secs(1);
/// Longest time over which the requests of a host that wait for the same pause are spread
/// after its end.
const MAX_SPREAD: Duration = Duration::from_millis(100);
/// Largest number of paused targets that a log line names.
const MAX_NAMES: usize = 4;

impl ServingTables {
    /// Records the pause that the head of a response requests, and returns its end.
    pub(super) fn observe_pause(
        self: &Arc<Self>,
        observed: ObservedResponse<'_>,
        status: StatusCode,
        notice: &TargetNotice<'_>,
        headers: &HeaderMap,
    ) -> Option<Instant> {
        let requested = match notice.retry_after {
            // Other responses with this header do not concern further requests.
            _ if !is_refusal(status) => return None,
            NumberHeader::Absent => return None,
            NumberHeader::Number(seconds) => usable_pause(seconds),
            NumberHeader::Unreadable => None,
        };
        let Some(pause) = requested else {
            self.record_unusable_pause(observed, headers);
            return None;
        };
        let until = observed.received + pause + jitter(pause, rand::random());
        self.metrics.pause_observed("requested");
        log::info!(
            target_id:% = observed.target,
            request:% = observed.request,
            value:? = headers.get(header::RETRY_AFTER),
            pause_ms = pause.as_millis() as u64;
            "target requests a pause"
        );
        self.fleet.lock().observe_pause(observed.target, until);
        self.log_end(observed.target, until);
        Some(until)
    }

    /// Logs and counts a pause that is not a time.
    fn record_unusable_pause(&self, observed: ObservedResponse<'_>, headers: &HeaderMap) {
        self.metrics.pause_observed("unusable");
        log::warn!(
            target_id:% = observed.target,
            request:% = observed.request,
            value:? = headers.get(header::RETRY_AFTER);
            "unusable pause"
        );
    }

    /// Waits for the end of a pause and logs it, unless the target has requested a later end
    /// by then.
    fn log_end(self: &Arc<Self>, target: &TargetId, until: Instant) {
        let (tables, target) = (self.clone(), target.clone());
        tokio::spawn(async move {
            tokio::time::sleep_until(until.into()).await;
            let last = tables.fleet.lock().get(&target)?.paused_until;
            if last == Some(until) {
                tables.metrics.pause_observed("ended");
                log::info!(target_id:% = target; "pause ended");
            }
            Some(())
        });
    }

    /// Returns the ids of the targets of a service that are left out for a pause, at most
    /// [`MAX_NAMES`], separated by commas.
    pub(super) fn paused_names(&self, service: &str, now: Instant) -> String {
        let fleet = self.fleet.lock();
        let paused = fleet.paused(service, now).take(MAX_NAMES);
        let names = paused.map(|state| &*state.entry.id).collect::<Vec<_>>();
        names.join(",")
    }

    /// Checks that no target of an attempt has requested a pause, stated that it is leaving
    /// or left since it was chosen.
    ///
    /// # Errors
    ///
    /// If one has; the request must not be sent there.
    pub(super) fn check_available(
        &self,
        chosen: &ChosenTarget,
        now: Instant,
    ) -> Result<(), AttemptFailure> {
        let fleet = self.fleet.lock();
        let Some(id) = fleet.find_unavailable(chosen.ids(), now) else {
            return Ok(());
        };
        let failure = AttemptFailure::new(RunVerdict::NotRun, FailureCause::Unavailable);
        Err(AttemptFailure {
            at: fleet.get(id).map(|state| state.entry.address),
            ..failure
        })
    }
}

impl Exchange {
    /// Selects the target or path of the next attempt, and waits for pauses to end if they
    /// leave no choice. `allowance` is the time that the request may spend on that, and is
    /// reduced by the time spent.
    pub(super) async fn choose_after_pauses(
        &self,
        excluded: &[TargetId],
        purpose: AttemptPurpose,
        allowance: &mut Duration,
    ) -> Result<ChosenTarget, Refusal> {
        loop {
            let refusal = match self.choose(excluded, purpose) {
                Ok(chosen) => return Ok(chosen),
                Err(refusal) => refusal,
            };
            let waited = self.await_pause(excluded, *allowance, refusal).await?;
            *allowance = allowance.saturating_sub(waited);
        }
    }

    /// Waits until the first pause ends that leaves the request without a choice, and
    /// returns how long that took. `refusal` says why there is none.
    ///
    /// # Errors
    ///
    /// If no pause is the reason, or none ends within `longest`.
    async fn await_pause(
        &self,
        excluded: &[TargetId],
        longest: Duration,
        refusal: Refusal,
    ) -> Result<Duration, Refusal> {
        let now = Instant::now();
        let chosen = match refusal.reason {
            // A request that is held back for more urgent ones gains nothing from a pause's end.
            _ if self.is_held_back() => None,
            RefusalReason::NoRoute | RefusalReason::NoRoom if self.has_paused_target(now) => {
                self.choose_with_pause(excluded, Duration::MAX, now)
            }
            _ => None,
        };
        let has_room = |chosen: &ChosenTarget| chosen.path.as_ref().is_none_or(|path| !path.full);
        let Some(chosen) = chosen.filter(has_room) else {
            return Err(refusal);
        };
        let pause = self.tables.fleet.lock().longest_pause(chosen.ids(), now);
        match longest.checked_sub(pause) {
            Some(slack) => {
                // Requests that wait for the same target are not sent at the same moment.
                let spread = slack.min(MAX_SPREAD).mul_f64(rand::random());
                tokio::time::sleep(pause + spread).await;
                Ok(pause + spread)
            }
            // Other targets are left, which will have room again.
            None if refusal.reason == RefusalReason::NoRoom => Err(refusal),
            None => {
                let after = self.tables.count_paused_refusal(pause, now);
                Err(Refusal::not_run(RefusalReason::TargetsPaused, after))
            }
        }
    }

    fn has_paused_target(&self, now: Instant) -> bool {
        let fleet = self.tables.fleet.lock();
        let mut paused = fleet.paused(&self.service.name, now);
        paused.next().is_some()
    }
}

fn is_refusal(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
    )
}

/// Converts the seconds of a pause, bounded by [`MAX_PAUSE`]; `None` if they are not a time.
fn usable_pause(seconds: f64) -> Option<Duration> {
    let is_time = seconds.is_finite() && seconds >= 0.0;
    is_time.then(|| Duration::from_secs_f64(seconds.min(MAX_PAUSE.as_secs_f64())))
}

/// Returns the jitter of a pause. `draw` is from 0 to 1.
fn jitter(pause: Duration, draw: f64) -> Duration {
    pause.mul_f64(MAX_JITTER * draw).min(MAX_JITTER_TIME)
}
