//! What became of each request.

use std::time::Instant;

use jackdawwick::api::wire::StreamEvent;

use crate::check::{CallHistory, GenerationHistory};

/// A generation that was asked for.
#[derive(Debug)]
pub(super) struct GenerationOutcome {
    /// Intended start.
    pub(super) intended: Instant,
    /// Index of the organisation.
    pub(super) organisation: usize,
    /// Index of the entry host asked first.
    pub(super) host: usize,
    /// What the caller heard.
    pub(super) history: GenerationHistory,
}

impl GenerationOutcome {
    /// When the last answer ended.
    pub(super) fn ended(&self) -> Option<Instant> {
        self.history.answers.last().map(|answer| answer.ended)
    }

    /// Whether the answer is whole.
    pub(super) fn is_whole(&self) -> bool {
        self.history.closing_count().is_some()
    }

    /// When each token was heard, in order.
    pub(super) fn token_times(&self) -> Vec<Instant> {
        let answers = self.history.answers.iter();
        let events = answers.flat_map(|answer| &answer.events);
        events
            .filter(|received| matches!(received.event, StreamEvent::Token { .. }))
            .map(|received| received.at)
            .collect()
    }
}

/// A call of the plain service.
#[derive(Debug)]
pub(super) struct CallOutcome {
    /// Intended start.
    pub(super) intended: Instant,
    /// When the last answer came.
    pub(super) ended: Instant,
    /// What the caller heard.
    pub(super) history: CallHistory,
}

/// Outcomes of a run, in the order in which they ended.
#[derive(Debug, Default)]
pub(super) struct LoadOutcomes {
    /// Generations.
    pub(super) generations: Vec<GenerationOutcome>,
    /// Calls of the plain service.
    pub(super) calls: Vec<CallOutcome>,
}
