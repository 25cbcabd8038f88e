//! Tracks which start of a target is the running one.

use crate::collections::FastMap;
use crate::fleet::TargetEntry;
use crate::ids::TargetId;

/// Consecutive records of an earlier start after which that start counts as the running
/// one. A heartbeat that is in flight when its target crashes can be written seconds late,
/// between those of the new start; a target whose clock was set back before it restarted
/// writes only records that look earlier.
const MAX_EARLIER_RECORDS: u32 = 3;

/// Conclusion from a record on the start of its target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StartVerdict {
    /// The known start, or the first one.
    Current,
    /// A new start, which replaces this one.
    Replaces(TargetId),
    /// A late record of an earlier start, which has ended.
    Ended,
}

#[derive(Debug)]
struct KnownStart {
    id: TargetId,
    started_ms: Option<u64>,
    /// Records of an earlier start since the last record of this start.
    earlier_records: u32,
}

/// The newest start of each target, by the platform's id of the target.
///
/// A target may restart under its id without any state. A late record of the previous start
/// would restore layers that no engine holds, and every request over them would be refused
/// until the next heartbeat.
#[derive(Debug, Default)]
pub struct TargetStarts {
    known: FastMap<TargetId, KnownStart>,
}

impl TargetStarts {
    /// Applies a record; `name` is the platform's id of its target.
    pub fn observe(&mut self, name: &str, entry: &TargetEntry) -> StartVerdict {
        let start = KnownStart {
            id: entry.id.clone(),
            started_ms: entry.started_ms,
            earlier_records: 0,
        };
        let Some(known) = self.known.get_mut(name) else {
            self.known.insert(name.into(), start);
            return StartVerdict::Current;
        };
        if known.id == entry.id {
            known.earlier_records = 0;
            return StartVerdict::Current;
        }
        if entry.started_ms < known.started_ms {
            known.earlier_records += 1;
            if known.earlier_records < MAX_EARLIER_RECORDS {
                return StartVerdict::Ended;
            }
        }
        let before = std::mem::replace(known, start);
        StartVerdict::Replaces(before.id)
    }

    /// Returns the newest start of a target.
    pub fn newest(&self, name: &str) -> Option<&TargetId> {
        self.known.get(name).map(|known| &known.id)
    }

    /// Removes a target that has left; returns its newest start.
    pub fn remove(&mut self, name: &str) -> Option<TargetId> {
        self.known.remove(name).map(|known| known.id)
    }
}
