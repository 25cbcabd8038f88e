//! Applies records to the table.

use std::sync::Arc;

use serde::Deserialize;

use super::check::check_change;
use super::checkpoint::content_hash;
use super::judgement::{ApplyError, Judgement, RecordOutcome};
use super::table::{DeclarationTable, FIRST_RULES};
use crate::ids::{LogOffset, RecordId};
use crate::records::{
    ChangeAction, DeclarationBody, DeclaredResource, JUDGING_RULES, LogRecord, ResourceChange,
    ResourceTombstone, StateCheckpoint,
};

/// The part of a record that every version of the program can read.
///
/// It is parsed before the body: a body of newer rules may contain parts that this
/// program does not know. Such a record must stop the table and must not be treated as
/// malformed.
#[derive(Deserialize)]
struct RecordEnvelope {
    id: RecordId,
    rules: u32,
}

/// Position of a record relative to the next offset to apply.
enum OffsetPosition {
    Next,
    Past,
}

impl DeclarationTable {
    /// Applies the record at an offset.
    ///
    /// # Errors
    /// Returns an error if records before this one are missing, or if it requires rules
    /// that this program does not support.
    pub fn apply(
        &mut self,
        offset: LogOffset,
        record: &LogRecord<DeclarationBody>,
    ) -> Result<Judgement, ApplyError> {
        if let OffsetPosition::Past = self.check_offset(offset)? {
            return Ok(Judgement::AlreadyApplied);
        }
        self.require_known_rules(offset, record.rules)?;
        Ok(self.judge(offset, record.rules, &record.id, Some(&record.body)))
    }

    /// Applies the text of the record at an offset. Every reader judges text that is not
    /// a record as [`Judgement::Malformed`] and skips it.
    ///
    /// # Errors
    /// Returns an error if records before this one are missing, or if it requires rules
    /// that this program does not support.
    pub fn apply_raw(&mut self, offset: LogOffset, body: &str) -> Result<Judgement, ApplyError> {
        if let OffsetPosition::Past = self.check_offset(offset)? {
            return Ok(Judgement::AlreadyApplied);
        }
        let Ok(envelope) = serde_json::from_str::<RecordEnvelope>(body) else {
            self.advance_applied(offset);
            return Ok(Judgement::Malformed);
        };
        self.require_known_rules(offset, envelope.rules)?;
        let record: Option<LogRecord<DeclarationBody>> = serde_json::from_str(body).ok();
        let body = record.as_ref().map(|record| &record.body);
        Ok(self.judge(offset, envelope.rules, &envelope.id, body))
    }

    fn check_offset(&self, offset: LogOffset) -> Result<OffsetPosition, ApplyError> {
        match &self.stopped {
            _ if offset < self.applied => Ok(OffsetPosition::Past),
            Some(error) => Err(error.clone()),
            None if offset > self.applied => Err(ApplyError::Gap {
                expected: self.applied,
                found: offset,
            }),
            None => Ok(OffsetPosition::Next),
        }
    }

    fn require_known_rules(&mut self, offset: LogOffset, rules: u32) -> Result<(), ApplyError> {
        if rules <= JUDGING_RULES {
            return Ok(());
        }
        let error = ApplyError::UnknownRules {
            offset,
            rules,
            known: JUDGING_RULES,
        };
        self.stopped = Some(error.clone());
        Err(error)
    }

    fn judge(
        &mut self,
        offset: LogOffset,
        rules: u32,
        id: &RecordId,
        body: Option<&DeclarationBody>,
    ) -> Judgement {
        if let Some(outcome) = self.recent.outcome(id) {
            let first = outcome.offset;
            self.advance_applied(offset);
            return Judgement::Duplicate { first };
        }
        let judgement = match body {
            Some(_) if rules < FIRST_RULES => Judgement::Malformed,
            None => Judgement::Malformed,
            Some(DeclarationBody::Change(change)) => self.judge_change(offset, change),
            Some(DeclarationBody::Checkpoint(checkpoint)) => self.compare_checkpoint(checkpoint),
        };
        let outcome = RecordOutcome {
            offset,
            judgement: judgement.clone(),
        };
        self.recent.insert(outcome, id, &mut self.sum);
        self.rules = self.rules.max(rules);
        self.advance_applied(offset);
        judgement
    }

    /// Accepts a change only if it is based on the latest version. If two operators
    /// change the same version, the first change in the log wins on every host, and the
    /// judgement of the other one names the winner.
    fn judge_change(&mut self, offset: LogOffset, change: &ResourceChange) -> Judgement {
        let latest = self.latest_change(&change.key);
        if latest.map(|latest| latest.version) != change.based_on {
            return Judgement::Lost {
                winner: latest.map(|latest| latest.version),
                operator: latest.map(|latest| latest.operator.clone()),
            };
        }
        if let Err(error) = check_change(self, change) {
            return Judgement::Invalid(error);
        }
        self.apply_change(offset, change);
        Judgement::Accepted
    }

    fn apply_change(&mut self, version: LogOffset, change: &ResourceChange) {
        let operator = change.operator.clone();
        match &change.action {
            ChangeAction::Put(spec) => {
                let resource = DeclaredResource {
                    spec: spec.clone(),
                    version,
                    operator,
                };
                self.put(&change.key, Arc::new(resource));
            }
            ChangeAction::Delete => {
                self.remove(&change.key);
                self.insert_tombstone(&change.key, ResourceTombstone { version, operator });
            }
        }
    }

    /// Compares a checkpoint in the log with this table and does not adopt its state. A
    /// writer that was paused appends an old state; adopting it would revert active
    /// configuration.
    fn compare_checkpoint(&mut self, checkpoint: &StateCheckpoint) -> Judgement {
        let as_of = checkpoint.as_of;
        let Some(ours) = self.hash_at(as_of) else {
            return Judgement::CheckpointSkipped { as_of };
        };
        // The hash is recomputed: a checkpoint whose hash does not match its content
        // would otherwise pass here and fail only on the host that starts from it.
        if content_hash(checkpoint) != checkpoint.hash {
            return Judgement::CheckpointDamaged { as_of };
        }
        if ours != checkpoint.hash {
            return Judgement::CheckpointDiffers {
                as_of,
                ours,
                theirs: checkpoint.hash,
            };
        }
        self.newest_checkpoint = self.newest_checkpoint.max(Some(as_of));
        Judgement::CheckpointMatched
    }

    fn advance_applied(&mut self, offset: LogOffset) {
        self.applied = offset + 1;
        let floor = self.applied.saturating_sub(self.windows.id_window);
        self.recent.remove_below(floor, &mut self.sum);
        self.push_hash();
    }
}
