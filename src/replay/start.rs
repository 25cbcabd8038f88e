//! Finds the state to start from in a log whose old records have expired.

use std::collections::BTreeMap;

use super::judgement::ApplyError;
use super::table::{DeclarationTable, WindowRules};
use crate::ids::LogOffset;
use crate::platform::wire::ReadResponse;
use crate::records::{DeclarationBody, LogRecord, StateCheckpoint};

/// Next step of a start.
#[derive(Debug)]
pub enum StartDecision {
    /// Read the log from this offset and pass the response to the planner.
    ReadFrom(LogOffset),
    /// The state after all records up to the end of the log in the last response.
    Started(Box<DeclarationTable>),
    /// The log contains no usable state. Peers may have one, and so may the log once
    /// another host has appended a checkpoint.
    NotReady(StartError),
}

/// Why the log contains no usable state.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum StartError {
    /// Records have expired and no checkpoint covers them.
    #[error("records below {first_offset} have expired and no checkpoint covers them")]
    NoUsableCheckpoint {
        /// Oldest offset that the log retains.
        first_offset: LogOffset,
    },
    /// A record cannot be applied.
    #[error(transparent)]
    Stopped(#[from] ApplyError),
}

/// Reads the log backwards from its end, in growing steps, until it has a usable
/// checkpoint and all records from the state of that checkpoint on.
///
/// A checkpoint is usable if it is undamaged and every record from its `as_of` on is
/// available. The record of the checkpoint comes later in the log than `as_of`; a start
/// that continued after that record would lose the changes in between, and the host would
/// serve a reverted configuration.
#[derive(Debug, Clone)]
pub struct StartPlanner {
    windows: WindowRules,
    lookback: u64,
    scan_from: Option<LogOffset>,
    bodies: BTreeMap<LogOffset, String>,
}

impl StartPlanner {
    /// Creates a planner that starts `lookback` records before the end of the log:
    /// slightly more than the number of records between two checkpoints, at least one.
    pub fn new(windows: WindowRules, lookback: u64) -> Self {
        Self {
            windows,
            lookback: lookback.max(1),
            scan_from: None,
            bodies: BTreeMap::new(),
        }
    }

    /// Processes a response of the log and returns the next step. The first response may
    /// start at any offset, because only its bounds are needed.
    pub fn on_read(&mut self, response: &ReadResponse) -> StartDecision {
        for record in &response.records {
            self.bodies.insert(record.offset, record.body.clone());
        }
        let mut scan_from = match self.scan_from {
            Some(scan_from) => scan_from,
            None => self.lookback_start(response),
        };
        if let Some(missing) = self.first_missing(scan_from, response.end_offset) {
            if missing >= response.first_offset {
                self.scan_from = Some(scan_from);
                return StartDecision::ReadFrom(missing);
            }
            // The missing records have expired in the meantime, so the records below them
            // are no longer contiguous with what can be read.
            scan_from = response.first_offset;
        }
        self.scan_from = Some(scan_from);
        match self.first_missing(scan_from, response.end_offset) {
            Some(missing) => StartDecision::ReadFrom(missing),
            None => self.decide(scan_from, response),
        }
    }

    /// Returns the next step when all records from `scan_from` to the end are available.
    fn decide(&mut self, scan_from: LogOffset, response: &ReadResponse) -> StartDecision {
        if let Some(table) = self.restore_newest_checkpoint(scan_from) {
            return self.replay(table);
        }
        if scan_from == 0 {
            return self.replay(DeclarationTable::new(self.windows));
        }
        if scan_from <= response.first_offset {
            return StartDecision::NotReady(StartError::NoUsableCheckpoint {
                first_offset: response.first_offset,
            });
        }
        self.lookback = self.lookback.saturating_mul(2);
        let scan_from = self.lookback_start(response);
        self.scan_from = Some(scan_from);
        StartDecision::ReadFrom(scan_from)
    }

    fn lookback_start(&self, response: &ReadResponse) -> LogOffset {
        let wanted = response.end_offset.saturating_sub(self.lookback);
        wanted.max(response.first_offset)
    }

    fn first_missing(&self, from: LogOffset, end: LogOffset) -> Option<LogOffset> {
        let mut next = from;
        for offset in self
            .bodies
            .range(from..end.max(from))
            .map(|(offset, _)| *offset)
        {
            if offset != next {
                return Some(next);
            }
            next += 1;
        }
        (next < end).then_some(next)
    }

    fn restore_newest_checkpoint(&self, scan_from: LogOffset) -> Option<DeclarationTable> {
        let mut newest_first = self.bodies.range(scan_from..).rev();
        newest_first.find_map(|(offset, body)| {
            let checkpoint = read_checkpoint(body)?;
            let covered = scan_from <= checkpoint.as_of && checkpoint.as_of <= *offset;
            let restored = DeclarationTable::restore(self.windows, &checkpoint);
            restored.ok().filter(|_| covered)
        })
    }

    fn replay(&self, mut table: DeclarationTable) -> StartDecision {
        for (offset, body) in self.bodies.range(table.applied()..) {
            if let Err(error) = table.apply_raw(*offset, body) {
                return StartDecision::NotReady(StartError::Stopped(error));
            }
        }
        StartDecision::Started(Box::new(table))
    }
}

fn read_checkpoint(body: &str) -> Option<StateCheckpoint> {
    let record: LogRecord<DeclarationBody> = serde_json::from_str(body).ok()?;
    match record.body {
        DeclarationBody::Checkpoint(checkpoint) => Some(checkpoint),
        DeclarationBody::Change(_) => None,
    }
}
