//! Finding the state to start from in a log whose old records have expired.

use std::collections::BTreeMap;

use super::judgement::ApplyError;
use super::table::{DeclarationTable, WindowRules};
use crate::ids::LogOffset;
use crate::platform::wire::ReadResponse;
use crate::records::{DeclarationBody, LogRecord, StateCheckpoint};

/// What to do next to start.
#[derive(Debug)]
pub enum StartDecision {
    /// Read from an offset and hand over the answer.
    ReadFrom(LogOffset),
    /// The state after every record up to the end of the last answer.
    Started(Box<DeclarationTable>),
    /// The log does not give a usable state. Peers may; so may the log later,
    /// when another host has appended a checkpoint.
    NotReady(StartObstacle),
}

/// Why the log does not give a usable state.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum StartObstacle {
    /// Records have expired and no checkpoint covers them.
    #[error("records below {first_offset} have expired and no checkpoint covers them")]
    NoUsableCheckpoint {
        /// Oldest offset that the log keeps.
        first_offset: LogOffset,
    },
    /// A record that cannot be judged.
    #[error(transparent)]
    Stopped(#[from] ApplyError),
}

/// Reads the end of the log, further and further back, until it holds a
/// usable checkpoint and every record after its state.
///
/// A checkpoint is usable if it is whole and every record from its `as_of`
/// on is held. The record of the checkpoint itself comes later than `as_of`;
/// to take the state and go on behind that record would lose the changes in
/// between, and the host would serve a reverted configuration.
#[derive(Debug, Clone)]
pub struct StartPlanner {
    windows: WindowRules,
    lookback: u64,
    scan_from: Option<LogOffset>,
    held: BTreeMap<LogOffset, String>,
}

impl StartPlanner {
    /// A planner that first looks `lookback` records back from the end: a
    /// little more than the records between two checkpoints, at least one.
    pub fn new(windows: WindowRules, lookback: u64) -> Self {
        Self {
            windows,
            lookback: lookback.max(1),
            scan_from: None,
            held: BTreeMap::new(),
        }
    }

    /// Takes an answer of the log. The first may be of any offset, since it
    /// is needed for its bounds.
    pub fn on_read(&mut self, answer: &ReadResponse) -> StartDecision {
        for record in &answer.records {
            self.held.insert(record.offset, record.body.clone());
        }
        let mut scan_from = match self.scan_from {
            Some(scan_from) => scan_from,
            None => self.look_back(answer),
        };
        if let Some(missing) = self.first_missing(scan_from, answer.end_offset) {
            if missing >= answer.first_offset {
                self.scan_from = Some(scan_from);
                return StartDecision::ReadFrom(missing);
            }
            // What is missing has expired meanwhile. What is held below it
            // no longer joins what can be read.
            scan_from = answer.first_offset;
        }
        self.scan_from = Some(scan_from);
        match self.first_missing(scan_from, answer.end_offset) {
            Some(missing) => StartDecision::ReadFrom(missing),
            None => self.decide(scan_from, answer),
        }
    }

    /// Decides when every record from `scan_from` to the end is held.
    fn decide(&mut self, scan_from: LogOffset, answer: &ReadResponse) -> StartDecision {
        if let Some(table) = self.newest_usable(scan_from) {
            return self.replay(table);
        }
        if scan_from == 0 {
            return self.replay(DeclarationTable::new(self.windows));
        }
        if scan_from <= answer.first_offset {
            return StartDecision::NotReady(StartObstacle::NoUsableCheckpoint {
                first_offset: answer.first_offset,
            });
        }
        self.lookback = self.lookback.saturating_mul(2);
        let scan_from = self.look_back(answer);
        self.scan_from = Some(scan_from);
        StartDecision::ReadFrom(scan_from)
    }

    fn look_back(&self, answer: &ReadResponse) -> LogOffset {
        let wanted = answer.end_offset.saturating_sub(self.lookback);
        wanted.max(answer.first_offset)
    }

    fn first_missing(&self, from: LogOffset, end: LogOffset) -> Option<LogOffset> {
        let mut next = from;
        for offset in self
            .held
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

    fn newest_usable(&self, scan_from: LogOffset) -> Option<DeclarationTable> {
        let mut newest_first = self.held.range(scan_from..).rev();
        newest_first.find_map(|(offset, body)| {
            let checkpoint = read_checkpoint(body)?;
            let covered = scan_from <= checkpoint.as_of && checkpoint.as_of <= *offset;
            let restored = DeclarationTable::restore(self.windows, &checkpoint);
            restored.ok().filter(|_| covered)
        })
    }

    fn replay(&self, mut table: DeclarationTable) -> StartDecision {
        for (offset, body) in self.held.range(table.applied()..) {
            if let Err(error) = table.apply_raw(*offset, body) {
                return StartDecision::NotReady(StartObstacle::Stopped(error));
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
