//! Whether a request has just begun to run on a target.

use std::time::{Duration, Instant};

use crate::ids::TargetId;

/// How long a request has to run on a target before the target's end says nothing
/// about it.
///
/// An engine crashes in its first passes of a poison request: it ended 50 to 170 ms
/// after it was sent one, before the first event. Streams run for three seconds on
/// average, so that of the requests on an engine that is lost for another reason most
/// are not even suspected. Two seconds leave ten times the time to engines that are
/// slow by the factors on the users' pages.
const START: Duration = Duration::from_secs(2);

/// Since when a request runs on the targets of its path.
#[derive(Debug, Clone, Default)]
pub struct RunStart {
    first_event: Option<Instant>,
    /// Targets that ran the request before it was moved to its present path.
    survivors: Vec<TargetId>,
    told: bool,
}

impl RunStart {
    /// Something of the answer came.
    pub fn observe_event(&mut self, now: Instant) {
        self.first_event.get_or_insert(now);
    }

    /// The request goes on over other targets; those in `stays` ran it before.
    pub fn observe_move<I>(&mut self, stays: I)
    where
        I: IntoIterator<Item = TargetId>,
    {
        let ran = self.first_event.is_some();
        self.survivors = match ran {
            true => stays.into_iter().collect(),
            false => Vec::new(),
        };
        self.first_event = None;
    }

    /// Whether the end of a target now may be this request's doing.
    pub fn is_suspect(&self, target: &TargetId, now: Instant) -> bool {
        let runs_long = self.first_event.is_some_and(|first| now >= first + START);
        !runs_long && !self.survivors.contains(target)
    }

    /// Whether the targets have just been found to survive the request; told once.
    pub fn has_survived(&mut self, now: Instant) -> bool {
        let survived = self.first_event.is_some_and(|first| now >= first + START);
        survived && !std::mem::replace(&mut self.told, true)
    }
}
