//! Counts of the orders sent, from which the verdict is derived.

use crate::verdict::RunVerdict;

/// Counts the orders sent, and those among them that certainly did not run.
///
/// An order counts as run from the moment that the decision to send it is made until its
/// failure is reported as `NotRun`. If it counted only once a response arrived, a run
/// that ends while an order is in flight, because of the deadline or of the caller, would
/// be reported as `NotRun` although a target may be about to run it. The caller would
/// repeat the request and it would run twice.
#[derive(Debug)]
pub(super) struct OrderCounts {
    sent: u64,
    not_run: u64,
    ran_before: bool,
}

impl OrderCounts {
    /// Creates empty counts; `ran_before` is set if an earlier entry host ran part of the
    /// request.
    pub(super) fn new(ran_before: bool) -> Self {
        Self {
            sent: 0,
            not_run: 0,
            ran_before,
        }
    }

    pub(super) fn record_sent(&mut self) {
        self.sent += 1;
    }

    pub(super) fn record_failed(&mut self, verdict: RunVerdict) {
        self.not_run += u64::from(verdict == RunVerdict::NotRun);
    }

    /// Returns the verdict of a run that is given up now.
    pub(super) fn verdict(&self) -> RunVerdict {
        match self.sent == self.not_run && !self.ran_before {
            true => RunVerdict::NotRun,
            false => RunVerdict::MayHaveRun,
        }
    }
}
