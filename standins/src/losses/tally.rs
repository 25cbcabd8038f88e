//! Counts of requests by outcome and second.

use std::collections::BTreeMap;
use std::fmt;
use std::time::SystemTime;

use super::line::{DecisionLine, RequestOutcome};

/// Counts of one cause.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
struct CauseCount {
    all: u64,
    /// Counts by seconds since the first counted line.
    seconds: BTreeMap<u64, u64>,
}

/// Outcomes of the requests of a run.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct LossTally {
    first: Option<SystemTime>,
    causes: BTreeMap<RequestOutcome, CauseCount>,
}

impl LossTally {
    /// Counts lines in the order of their times.
    pub fn of<L>(lines: L) -> Self
    where
        L: IntoIterator<Item = DecisionLine>,
    {
        let mut lines = lines.into_iter().collect::<Vec<_>>();
        lines.sort_by_key(|line| line.at);
        let mut tally = Self::default();
        for line in lines {
            tally.count(line);
        }
        tally
    }

    fn count(&mut self, line: DecisionLine) {
        let first = *self.first.get_or_insert(line.at);
        let since = line.at.duration_since(first).unwrap_or_default();
        let count = self.causes.entry(line.outcome).or_default();
        count.all += 1;
        *count.seconds.entry(since.as_secs()).or_default() += 1;
    }

    /// Returns the number of requests with this outcome.
    pub fn count_of(&self, outcome: &RequestOutcome) -> u64 {
        self.causes.get(outcome).map_or(0, |count| count.all)
    }

    fn last_second(&self) -> u64 {
        let seconds = self.causes.values().flat_map(|count| count.seconds.keys());
        seconds.max().copied().unwrap_or(0)
    }
}

impl fmt::Display for LossTally {
    /// Writes one row per cause: the total, then the count of each second.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let last = self.last_second();
        write!(formatter, "{:<24} {:>7}", "cause", "all")?;
        for second in 0..=last {
            write!(formatter, " {second:>4}")?;
        }
        writeln!(formatter)?;
        for (outcome, count) in &self.causes {
            write!(formatter, "{:<24} {:>7}", outcome.cause(), count.all)?;
            for second in 0..=last {
                match count.seconds.get(&second) {
                    Some(requests) => write!(formatter, " {requests:>4}")?,
                    None => write!(formatter, "    .")?,
                }
            }
            writeln!(formatter)?;
        }
        Ok(())
    }
}
