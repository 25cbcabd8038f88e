//! Judges a request by the evidence on itself and on the parts of its prompt.

use std::time::Instant;

use super::end_source::{EndSource, OrganisationHash};
use super::evidence::PoisonEvent;
use super::part_rule::PartVerdict;
use super::record::PoisonRecord;
use super::table::{PoisonTable, PoisonVerdict};
use crate::ids::{PartKey, RequestKey, TargetKey};

/// What may be the cause if a target ends under a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestSuspects {
    /// The request itself.
    pub request: RequestKey,
    /// The organisation that sent it.
    pub organisation: OrganisationHash,
    /// The parts of its prompt that other requests may share, each once.
    pub parts: Vec<PartKey>,
}

/// The conclusion on a request that is about to be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PoisonJudgement {
    /// It may be sent.
    Sound,
    /// It has to wait, at the longest until this moment.
    Pending(Instant),
    /// It is refused, for the targets that ended under itself.
    Request,
    /// It is refused, for the targets that ended under requests with this part.
    Part(PartKey),
}

impl PoisonTable {
    /// Returns whether a request may be sent to a target now.
    pub fn judge(&self, suspects: &RequestSuspects, now: Instant) -> PoisonJudgement {
        if self.is_poison(suspects.request, now) {
            return PoisonJudgement::Request;
        }
        let mut pending = None;
        for part in &suspects.parts {
            match self.part_verdict(*part, suspects, now) {
                PartVerdict::Sound => {}
                PartVerdict::Poison => return PoisonJudgement::Part(*part),
                PartVerdict::Pending(until) => pending = pending.max(Some(until)),
            }
        }
        pending.map_or(PoisonJudgement::Sound, PoisonJudgement::Pending)
    }

    /// Returns until when a request, under which a target has just ended, should wait before
    /// it is sent to another one. Other hosts may clear the parts of its prompt meanwhile, or
    /// have seen another target end under one of them.
    pub fn unproven_until(&self, suspects: &RequestSuspects, now: Instant) -> Option<Instant> {
        let records = suspects.parts.iter();
        let records = records.filter_map(|part| self.records.get(part));
        records
            .filter_map(|record| record.unproven_until(now))
            .max()
    }

    /// Records that the process of a target ended as a request began to run there; returns the
    /// conclusion on the request.
    pub fn observe_request_end(
        &mut self,
        suspects: &RequestSuspects,
        target: TargetKey,
        now: Instant,
    ) -> PoisonVerdict {
        let source = EndSource::new(target, suspects.request, suspects.organisation);
        for part in &suspects.parts {
            self.observe(*part, PoisonEvent::Ended(source.to_bits()), now, now);
        }
        self.observe_end(suspects.request, target, now)
    }

    /// Records that a target survives the parts of a request that it began to run at `began`;
    /// returns whether there was evidence against one.
    pub fn observe_part_survival(
        &mut self,
        suspects: &RequestSuspects,
        began: Instant,
        now: Instant,
    ) -> bool {
        if !suspects.parts.is_empty() {
            self.first_survival.get_or_insert(now);
        }
        let mut suspected = false;
        for part in &suspects.parts {
            self.survivors.insert(*part, began);
            let record = self.records.get(part);
            if record.is_some_and(|record| !record.ends.is_empty()) {
                self.observe(*part, PoisonEvent::Survived, began, now);
                suspected = true;
            }
        }
        suspected
    }

    fn part_verdict(&self, part: PartKey, suspects: &RequestSuspects, now: Instant) -> PartVerdict {
        let Some(record) = self.records.get(&part) else {
            return PartVerdict::Sound;
        };
        match record.part_verdict(suspects.organisation, self.part_context(), now) {
            PartVerdict::Sound => PartVerdict::Sound,
            _ if !self.has_whole_group(record, &suspects.parts) => PartVerdict::Sound,
            verdict => verdict,
        }
    }

    /// Returns whether a request has all parts that cannot be told apart from the one of
    /// `record`, because all targets ended under requests that had all of them. One of them
    /// alone is not refused.
    fn has_whole_group(&self, record: &PoisonRecord, parts: &[PartKey]) -> bool {
        let index = self.part_context().index();
        let mut group = index.group(&record.sorted_sources()).iter();
        group.all(|key| parts.contains(key))
    }
}
