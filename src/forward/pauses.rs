//! Pauses that targets request: a target that refuses a request may state for how long it
//! wants no further ones from this host.

use std::time::{Duration, Instant};

use http::{HeaderMap, StatusCode, header};

use super::tables::ServingTables;
use crate::ids::TargetId;
use crate::platform::number_header::{NumberHeader, parse_number_header};

impl ServingTables {
    /// Records the pause that the head of a response requests.
    pub(super) fn observe_pause(
        &self,
        target: &TargetId,
        status: StatusCode,
        headers: &HeaderMap,
        now: Instant,
    ) {
        let pause = match parse_number_header(headers, header::RETRY_AFTER.as_str()) {
            // Other responses with this header do not concern further requests.
            _ if !is_refusal(status) => return,
            NumberHeader::Absent => return,
            NumberHeader::Number(seconds) => Duration::try_from_secs_f64(seconds).ok(),
            NumberHeader::Unreadable => None,
        };
        let Some(until) = pause.and_then(|pause| now.checked_add(pause)) else {
            return self.record_unusable_pause(target, headers);
        };
        self.metrics.pause_observed("requested");
        log::info!(
            target_id:% = target,
            pause_ms = until.saturating_duration_since(now).as_millis() as u64;
            "target requests a pause"
        );
        self.fleet.lock().observe_pause(target, until);
    }

    /// Logs and counts a pause that is not a time.
    fn record_unusable_pause(&self, target: &TargetId, headers: &HeaderMap) {
        self.metrics.pause_observed("unusable");
        log::warn!(
            target_id:% = target,
            value:? = headers.get(header::RETRY_AFTER);
            "unusable pause"
        );
    }

    /// Logs and counts the targets that a request is sent to during a pause that they
    /// requested. `refusals` is 0 if a success has ended this host's own pause.
    pub(super) fn record_sends_during_pause<'a, I>(&self, request: &str, targets: I, tried: usize)
    where
        I: Iterator<Item = &'a TargetId>,
    {
        let now = Instant::now();
        for id in targets {
            let known = self.fleet.lock().get(id).map(|state| {
                let own = state
                    .full_until
                    .map(|until| until.saturating_duration_since(now));
                (state.pause(now), own.unwrap_or_default(), state.refusals)
            });
            let Some((left, own, refusals)) = known.filter(|(left, ..)| !left.is_zero()) else {
                continue;
            };
            self.metrics.pause_observed("ignored");
            log::info!(
                request:% = request,
                target_id:% = id,
                tried = tried,
                left_ms = left.as_millis() as u64,
                own_pause_ms = own.as_millis() as u64,
                refusals = refusals;
                "sent during a pause"
            );
        }
    }
}

fn is_refusal(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
    )
}
