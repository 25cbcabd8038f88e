//! Which start of a target is the one that runs.

use crate::collections::FastMap;
use crate::fleet::TargetEntry;
use crate::ids::TargetId;

/// Records of an earlier start in a row after which it is taken to be the one
/// that runs. A heartbeat that was under way when its target crashed can be
/// written seconds late, between those of the new start; a target whose clock
/// was set back before it started again writes nothing else.
const MAX_EARLIER_RECORDS: u32 = 3;

/// What a record says of a target's start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StartVerdict {
    /// The start that is known, or the first one.
    Current,
    /// A new start in the place of this one, which has ended.
    Replaces(TargetId),
    /// A late record of an earlier start, which has ended.
    Ended,
}

#[derive(Debug)]
struct KnownStart {
    id: TargetId,
    started_ms: Option<u64>,
    /// Records of an earlier start since the last one of this start.
    earlier_records: u32,
}

/// The newest start of each target, by the platform's id of the target.
///
/// A target may start again under its id and knows nothing of before. A late
/// record of the start before would bring back layers that nobody holds, and
/// every request over them would be refused until the next heartbeat.
#[derive(Debug, Default)]
pub struct TargetStarts {
    known: FastMap<TargetId, KnownStart>,
}

impl TargetStarts {
    /// Takes in a record; `name` is the platform's id of its target.
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

    /// The newest start of a target.
    pub fn newest(&self, name: &str) -> Option<&TargetId> {
        self.known.get(name).map(|known| &known.id)
    }

    /// The target is gone; gives its newest start.
    pub fn remove(&mut self, name: &str) -> Option<TargetId> {
        self.known.remove(name).map(|known| known.id)
    }
}
