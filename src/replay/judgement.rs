//! The outcomes of applying a record.

use crate::ids::{LogOffset, OperatorId};
use crate::records::{RecordResult, StateHash};
use crate::resources::{ResourceKey, ResourceKind, SpecError};

/// The result of applying a record of the log under the program's rules. All readers
/// judge a record alike, except for the comparison of a checkpoint with their own state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Judgement {
    /// The change is in effect.
    Accepted,
    /// Another change of the resource came first in the log.
    Lost {
        /// The latest change; `None` if the resource has none.
        winner: Option<LogOffset>,
        /// Operator who made the latest change.
        operator: Option<OperatorId>,
    },
    /// An earlier record has the same id; this one has no effect.
    Duplicate {
        /// Offset of the earlier record.
        first: LogOffset,
    },
    /// The change is not valid.
    Invalid(InvalidChange),
    /// The record cannot be parsed; it has no effect.
    Malformed,
    /// The checkpoint equals this reader's state at the same offset.
    CheckpointMatched,
    /// The checkpoint differs from this reader's state at the same offset: one of the two
    /// hosts has a wrong state, which an operator must investigate.
    CheckpointDiffers {
        /// Offset of the state compared.
        as_of: LogOffset,
        /// Hash of this reader's state.
        ours: StateHash,
        /// Hash in the checkpoint.
        theirs: StateHash,
    },
    /// The content of the checkpoint does not match its hash; no host can start from it.
    CheckpointDamaged {
        /// Offset of the state.
        as_of: LogOffset,
    },
    /// The checkpoint is for an offset whose hash this reader does not keep.
    CheckpointSkipped {
        /// Offset of the state.
        as_of: LogOffset,
    },
    /// The record was already applied; nothing changed.
    AlreadyApplied,
}

/// Why a change is not valid.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum InvalidChange {
    /// A value is outside its allowed range.
    #[error(transparent)]
    Spec(#[from] SpecError),
    /// The resource is declared under a key of another kind.
    #[error("a {found} cannot be declared under the key of a {expected}", found = found.name(), expected = expected.name())]
    KindMismatch {
        /// Kind in the key.
        expected: ResourceKind,
        /// Kind of the declared resource.
        found: ResourceKind,
    },
    /// The name is empty, too long or contains a character that is not allowed.
    #[error("name {name:?}: 1 to 128 ASCII letters, digits, '-', '_' or '.' are allowed")]
    BadName {
        /// The name.
        name: String,
    },
    /// A referenced resource is not declared.
    #[error("{missing} is not declared")]
    Missing {
        /// The missing resource.
        missing: ResourceKey,
    },
    /// The model has no such version.
    #[error("model {model} has no version {version}")]
    MissingVersion {
        /// The model.
        model: String,
        /// The version.
        version: String,
    },
    /// The last stage does not end with the model's last layer.
    #[error("the stages end with layer {found}, the version ends with layer {expected}")]
    LayersUncovered {
        /// Last layer of the version.
        expected: u32,
        /// Last layer of the last stage.
        found: u32,
    },
    /// The referenced target is of the wrong kind.
    #[error("{target} is of the wrong kind for this reference")]
    WrongTargetKind {
        /// The target.
        target: ResourceKey,
    },
    /// Another organisation is declared with the same token digest, so that the two could
    /// not be distinguished by their tokens.
    #[error("the token digest belongs to {owner}")]
    DigestTaken {
        /// The other organisation.
        owner: ResourceKey,
    },
    /// Another resource depends on what the change removes.
    #[error("in use by {user}")]
    InUse {
        /// A resource that depends on it.
        user: ResourceKey,
    },
    /// The resource to delete is not declared.
    #[error("{key} is not declared")]
    NotDeclared {
        /// The resource to delete.
        key: ResourceKey,
    },
    /// The reason is unknown: the state was restored from a checkpoint, which records
    /// only that the change was invalid.
    #[error("the change was invalid; the reason is no longer known")]
    ReasonUnknown,
}

/// Why a record was not applied. The table is unchanged, except that it applies nothing
/// more after [`ApplyError::UnknownRules`].
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ApplyError {
    /// Records between the last applied one and this one are missing.
    #[error("record {found} cannot be applied: the next offset is {expected}")]
    Gap {
        /// Next offset to apply.
        expected: LogOffset,
        /// Offset of the given record.
        found: LogOffset,
    },
    /// The record requires the rules of a newer program. Applying it under other rules
    /// would make this host's state diverge from the others'.
    #[error("record {offset} requires judging rules {rules}, this program supports up to {known}")]
    UnknownRules {
        /// Offset of the record.
        offset: LogOffset,
        /// Rules version that the record requires.
        rules: u32,
        /// Highest rules version that this program supports.
        known: u32,
    },
}

/// Offset and judgement of the first appearance of a record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordOutcome {
    /// Offset of its first appearance; the version of the resource, if the change was
    /// accepted.
    pub offset: LogOffset,
    /// Judgement at that offset.
    pub judgement: Judgement,
}

impl Judgement {
    /// Returns the part on which all readers agree and which checkpoints contain.
    pub(super) fn result(&self) -> RecordResult {
        match self {
            Self::Accepted => RecordResult::Accepted,
            Self::Lost { winner, operator } => RecordResult::Lost {
                winner: *winner,
                operator: operator.clone(),
            },
            Self::Invalid(_) => RecordResult::Invalid,
            Self::Malformed | Self::Duplicate { .. } | Self::AlreadyApplied => {
                RecordResult::Malformed
            }
            Self::CheckpointMatched
            | Self::CheckpointDiffers { .. }
            | Self::CheckpointDamaged { .. }
            | Self::CheckpointSkipped { .. } => RecordResult::Checkpoint,
        }
    }

    /// Restores a judgement from the part that a checkpoint contains.
    pub(super) fn from_result(offset: LogOffset, result: &RecordResult) -> Self {
        match result {
            RecordResult::Accepted => Self::Accepted,
            RecordResult::Lost { winner, operator } => Self::Lost {
                winner: *winner,
                operator: operator.clone(),
            },
            RecordResult::Invalid => Self::Invalid(InvalidChange::ReasonUnknown),
            RecordResult::Malformed => Self::Malformed,
            RecordResult::Checkpoint => Self::CheckpointSkipped { as_of: offset },
        }
    }
}
