//! Index of the ends under parts, so that the decision on one part need not go through the
//! ends of all others.

use std::time::Instant;

use super::end_source::EndSource;
use super::key::is_part;
use super::record::PoisonRecord;
use crate::collections::{FastMap, FastSet};
use crate::ids::SuspectKey;

/// Number of independent ends from which a part that no target survived is suspected.
const ENDS_OF_SUSPECT: usize = 2;

/// What the decisions on all parts have in common; valid until a record of a part changes.
#[derive(Debug)]
pub(super) struct SuspectIndex {
    /// Suspected parts, those with the most independent ends first.
    suspects: Vec<SuspectedPart>,
    /// Positions in `suspects` of the parts under which a target ended, in the same order.
    by_target: FastMap<u32, Vec<usize>>,
    /// Parts by their sorted sources: those with the same ones cannot be told apart.
    groups: FastMap<Vec<u64>, Vec<SuspectKey>>,
    /// Targets that broke several requests.
    crowded: FastSet<u32>,
}

/// A part that no target is known to have survived and under which several ended.
#[derive(Debug)]
struct SuspectedPart {
    sources: Vec<u64>,
    /// Targets, in order of time, each with the number of independent ends up to there.
    ends: Vec<(u32, Instant, usize)>,
}

impl SuspectIndex {
    pub(super) fn new(records: &FastMap<SuspectKey, PoisonRecord>) -> Self {
        let mut groups: FastMap<Vec<u64>, Vec<SuspectKey>> = FastMap::default();
        let mut request_of: FastMap<u32, u32> = FastMap::default();
        let mut crowded = FastSet::default();
        let mut suspects = Vec::new();
        for (key, record) in records {
            if !is_part(*key) || record.ends.is_empty() {
                continue;
            }
            for end in &record.ends {
                let source = EndSource::from_bits(end.source);
                if *request_of.entry(source.target).or_insert(source.request) != source.request {
                    crowded.insert(source.target);
                }
            }
            let sources = record.sorted_sources();
            if record.survived.is_none() && record.ends.len() >= ENDS_OF_SUSPECT {
                suspects.push(SuspectedPart::new(record, sources.clone()));
            }
            groups.entry(sources).or_default().push(*key);
        }
        suspects.retain(|suspect| suspect.independent() >= ENDS_OF_SUSPECT);
        suspects.sort_by_key(|suspect| std::cmp::Reverse(suspect.independent()));
        let mut by_target: FastMap<u32, Vec<usize>> = FastMap::default();
        for (index, suspect) in suspects.iter().enumerate() {
            for (target, _, _) in &suspect.ends {
                let indices = by_target.entry(*target).or_default();
                if indices.last() != Some(&index) {
                    indices.push(index);
                }
            }
        }
        Self {
            suspects,
            by_target,
            groups,
            crowded,
        }
    }

    /// Returns whether a target broke several requests.
    pub(super) fn is_crowded(&self, target: u32) -> bool {
        self.crowded.contains(&target)
    }

    /// Returns the parts with the same sources, which cannot be told apart.
    pub(super) fn group(&self, sources: &[u64]) -> &[SuspectKey] {
        self.groups.get(sources).map_or(&[], Vec::as_slice)
    }

    /// Returns whether a target ended by `until` under a suspected part with other sources and
    /// with at least `min_ends` independent ends by then.
    pub(super) fn has_ended_under_other(
        &self,
        target: u32,
        sources: &[u64],
        min_ends: usize,
        until: Instant,
    ) -> bool {
        let min_ends = min_ends.max(ENDS_OF_SUSPECT);
        let indices = self.by_target.get(&target).into_iter().flatten();
        let suspects = indices.filter_map(|index| self.suspects.get(*index));
        let mut strong = suspects.take_while(|suspect| suspect.independent() >= min_ends);
        strong.any(|suspect| {
            suspect.independent_by(until) >= min_ends
                && suspect.has_ended(target, until)
                && suspect.sources != sources
        })
    }
}

impl SuspectedPart {
    fn new(record: &PoisonRecord, sources: Vec<u64>) -> Self {
        let mut by_time = record.ends.iter().collect::<Vec<_>>();
        by_time.sort_by_key(|end| end.at);
        let mut targets = Vec::new();
        let mut requests = Vec::new();
        let ends = by_time.into_iter().map(|end| {
            let source = EndSource::from_bits(end.source);
            if !targets.contains(&source.target) {
                targets.push(source.target);
            }
            if !requests.contains(&source.request) {
                requests.push(source.request);
            }
            (source.target, end.at, targets.len().min(requests.len()))
        });
        let ends = ends.collect();
        Self { sources, ends }
    }

    fn independent(&self) -> usize {
        self.ends.last().map_or(0, |(_, _, count)| *count)
    }

    fn independent_by(&self, until: Instant) -> usize {
        let mut newest_first = self.ends.iter().rev();
        let last = newest_first.find(|(_, at, _)| *at <= until);
        last.map_or(0, |(_, _, count)| *count)
    }

    fn has_ended(&self, target: u32, until: Instant) -> bool {
        let mut ends = self.ends.iter();
        ends.any(|(ended, at, _)| *ended == target && *at <= until)
    }
}
