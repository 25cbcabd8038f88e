//! Tracks whether a request has only just begun to run on a target.

use std::time::{Duration, Instant};

/// Time since the first event of a request after which the end of its target is no evidence
/// against the request.
///
/// An engine crashes in its first passes of a poison request: 50 to 170 ms after it
/// receives one, before the first event. Half a second is three times that and more than
/// two of the longest pauses that callers are promised. Streams run for three seconds on
/// average, so that most requests on an engine that is lost for another reason are not
/// suspected.
const SUSPECT_TIME: Duration = Duration::from_millis(500);
/// Time since the first event of a request after which its target has survived it, which
/// clears earlier evidence. Between [`SUSPECT_TIME`] and this a request is neither
/// suspected nor cleared.
const SURVIVAL_TIME: Duration = Duration::from_secs(2);

/// Time since the first event of a request after which its target has survived the parts of
/// its prompt.
const PART_SURVIVAL_TIME: Duration = Duration::from_secs(1);

/// Tracks since when a request runs on the first target of its path.
///
/// Only the first target counts: it begins to run a request before the others of the path
/// and so crashes before they do. A request depends on up to a dozen targets. When the end
/// of any of them counted, up to 5 of 4,000 attempts of healthy requests were refused while
/// a fifth of the engines crashed each second for eight seconds; with the first target
/// alone none was.
#[derive(Debug, Clone, Default)]
pub struct RunStart {
    first_event: Option<Instant>,
    survival_reported: bool,
    part_survival_reported: bool,
}

impl RunStart {
    /// Records that an event of the response arrived.
    pub fn observe_event(&mut self, now: Instant) {
        self.first_event.get_or_insert(now);
    }

    /// Returns whether the request may have caused the target to end now.
    pub fn is_suspect(&self, now: Instant) -> bool {
        self.first_event
            .is_none_or(|first| now < first + SUSPECT_TIME)
    }

    /// Returns when the target began to run the request, once, when it has survived the parts
    /// of the prompt.
    pub fn survived_parts_since(&mut self, now: Instant) -> Option<Instant> {
        let began = self.first_event?;
        let survived = now >= began + PART_SURVIVAL_TIME;
        let is_new = survived && !std::mem::replace(&mut self.part_survival_reported, true);
        is_new.then_some(began)
    }

    /// Returns `true` once, when the target has survived the request.
    pub fn has_survived(&mut self, now: Instant) -> bool {
        let survived = self
            .first_event
            .is_some_and(|first| now >= first + SURVIVAL_TIME);
        survived && !std::mem::replace(&mut self.survival_reported, true)
    }
}
