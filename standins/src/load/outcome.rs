//! Outcomes of requests.

use std::time::Instant;

use jackdawwick::api::wire::StreamEvent;

use crate::check::{CallHistory, GenerationHistory};

/// Outcome of a generation request.
#[derive(Debug)]
pub(super) struct GenerationOutcome {
    /// Intended start.
    pub(super) intended: Instant,
    /// Index of the organisation.
    pub(super) organisation: usize,
    /// Index of the entry host to which the request was sent first.
    pub(super) host: usize,
    /// History of the caller.
    pub(super) history: GenerationHistory,
}

impl GenerationOutcome {
    /// Returns the time at which the last response ended.
    pub(super) fn ended(&self) -> Option<Instant> {
        self.history.responses.last().map(|response| response.ended)
    }

    /// Returns whether the response is complete.
    pub(super) fn is_complete(&self) -> bool {
        self.history.closing_count().is_some()
    }

    /// Returns the time at which each token was received, in order.
    pub(super) fn token_times(&self) -> Vec<Instant> {
        let responses = self.history.responses.iter();
        let events = responses.flat_map(|response| &response.events);
        events
            .filter(|received| matches!(received.event, StreamEvent::Token { .. }))
            .map(|received| received.at)
            .collect()
    }
}

/// Outcome of a call of the plain service.
#[derive(Debug)]
pub(super) struct CallOutcome {
    /// Intended start.
    pub(super) intended: Instant,
    /// Time of the last response.
    pub(super) ended: Instant,
    /// History of the caller.
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
