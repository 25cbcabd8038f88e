//! What is known about the orders sent: the ground of the verdict.

use crate::verdict::RunVerdict;

/// Counts orders sent and those that certainly did not run.
///
/// An order counts as run from the moment it is decided until its failure is
/// reported as `NotRun`. Were it the other way round, a deadline or a caller's
/// leaving while an order is on its way would be answered with `NotRun`
/// although a target may be about to run it; the caller would repeat the
/// request and it would run twice.
#[derive(Debug)]
pub(super) struct OrderCounts {
    sent: u64,
    not_run: u64,
    ran_before: bool,
}

impl OrderCounts {
    /// `ran_before` if an earlier entry host already ran part of the request.
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

    /// Verdict of a run that is given up now.
    pub(super) fn verdict(&self) -> RunVerdict {
        match self.sent == self.not_run && !self.ran_before {
            true => RunVerdict::NotRun,
            false => RunVerdict::MayHaveRun,
        }
    }
}
