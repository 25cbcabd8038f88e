//! Whether a request has just begun to run on a target.

use std::time::{Duration, Instant};

/// How long events of a request have to come from a target before the target's end says
/// nothing about the request.
///
/// An engine crashes in its first passes of a poison request: it ended 50 to 170 ms
/// after it was sent one, before the first event. Half a second is three times that, and
/// more than two of the longest pauses that callers are promised. Streams run for three
/// seconds on average, so that most of the requests on an engine that is lost for another
/// reason are not even suspected.
const SUSPECT_TIME: Duration = Duration::from_millis(500);
/// How long a request has to run on a target before the target is taken to survive it,
/// so that what spoke against the request is dropped: what is not suspected yet, and not
/// cleared yet either, lies between the two.
const SURVIVAL_TIME: Duration = Duration::from_secs(2);

/// Since when a request runs on the first target of its path.
///
/// Only that one counts: it begins to run a request before all others of the path, and
/// so ends of it before they do. A request depends on up to a dozen targets; with the end
/// of each of them held against it, 0, 0, 4 and 5 attempts of healthy requests were refused
/// on four played days of 4,000 attempts, on which a fifth of the engines crashed each
/// second for eight seconds; with the first ones alone none was.
#[derive(Debug, Clone, Default)]
pub struct RunStart {
    first_event: Option<Instant>,
    survival_reported: bool,
}

impl RunStart {
    /// Something of the answer came.
    pub fn observe_event(&mut self, now: Instant) {
        self.first_event.get_or_insert(now);
    }

    /// Whether the end of the target now may be this request's doing.
    pub fn is_suspect(&self, now: Instant) -> bool {
        self.first_event
            .is_none_or(|first| now < first + SUSPECT_TIME)
    }

    /// Whether the target has just been found to survive the request; told once.
    pub fn has_survived(&mut self, now: Instant) -> bool {
        let survived = self
            .first_event
            .is_some_and(|first| now >= first + SURVIVAL_TIME);
        survived && !std::mem::replace(&mut self.survival_reported, true)
    }
}
