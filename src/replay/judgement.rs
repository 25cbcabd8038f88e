//! What applying a record can come to.

use crate::ids::{LogOffset, OperatorId};
use crate::records::{RecordResult, StateHash};
use crate::resources::{ResourceKey, ResourceKind, SpecError};

/// How a record was judged. Apart from the results of comparing a
/// checkpoint, every reader judges a record alike.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Judgement {
    /// The change stands.
    Accepted,
    /// Another change of the resource came first.
    Lost {
        /// The latest change; `None` if the resource has none.
        winner: Option<LogOffset>,
        /// Who made it.
        operator: Option<OperatorId>,
    },
    /// A record with this id came before; this one has no effect.
    Duplicate {
        /// Where it was first.
        first: LogOffset,
    },
    /// The change cannot stand.
    Invalid(InvalidChange),
    /// The record cannot be read; it has no effect.
    Malformed,
    /// The checkpoint says what this reader held at the same offset.
    CheckpointMatched,
    /// The checkpoint differs from what this reader held at the same offset:
    /// one of the two hosts has a wrong state, which must be looked into.
    CheckpointDiffers {
        /// Offset of the state compared.
        as_of: LogOffset,
        /// What this reader held.
        ours: StateHash,
        /// What the checkpoint says.
        theirs: StateHash,
    },
    /// The checkpoint's content does not belong to its hash; no host can
    /// start from it.
    CheckpointDamaged {
        /// Offset of the state.
        as_of: LogOffset,
    },
    /// The checkpoint is of an offset whose hash this reader does not hold.
    CheckpointSkipped {
        /// Offset of the state.
        as_of: LogOffset,
    },
    /// The record was applied before; nothing was done.
    AlreadyApplied,
}

/// Why a change cannot stand.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum InvalidChange {
    /// A value is outside its legal range.
    #[error(transparent)]
    Spec(#[from] SpecError),
    /// The resource is declared under a key of another kind.
    #[error("a {found} cannot be declared under the key of a {expected}", found = found.name(), expected = expected.name())]
    KindMismatch {
        /// Kind in the key.
        expected: ResourceKind,
        /// Kind of what was declared.
        found: ResourceKind,
    },
    /// The name is empty, too long or has characters outside the legal set.
    #[error("name {name:?}: 1 to 128 ASCII letters, digits, '-', '_' or '.' are allowed")]
    BadName {
        /// The name.
        name: String,
    },
    /// A resource that is referred to is not declared.
    #[error("{missing} is not declared")]
    Missing {
        /// What is missing.
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
    /// A target is named where one of the other kind is needed.
    #[error("{target} is not of the kind of target that is needed here")]
    WrongTargetKind {
        /// The target.
        target: ResourceKey,
    },
    /// Another organisation is declared with the same token digest, so a
    /// caller could not be told apart.
    #[error("the token digest belongs to {owner}")]
    DigestTaken {
        /// The other organisation.
        owner: ResourceKey,
    },
    /// Another resource needs what the change takes away.
    #[error("in use by {user}")]
    InUse {
        /// One that needs it.
        user: ResourceKey,
    },
    /// There is nothing to delete.
    #[error("{key} is not declared")]
    NotDeclared {
        /// What was to be deleted.
        key: ResourceKey,
    },
    /// The reason was lost: the state comes from a checkpoint, which says
    /// only that the change was invalid.
    #[error("the change was refused; the reason is no longer known")]
    ReasonUnknown,
}

/// Why a record was not applied. The table is unchanged, but for
/// [`ApplyError::UnknownRules`], after which it applies nothing more.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ApplyError {
    /// Records between the last applied and this one are missing.
    #[error("record {found} cannot be applied: {expected} comes next")]
    Gap {
        /// Offset that comes next.
        expected: LogOffset,
        /// Offset that was given.
        found: LogOffset,
    },
    /// The record is to be judged by rules of a newer program. Guessing would
    /// give this host another state than the others.
    #[error("record {offset} needs judging rules {rules}, this program knows none above {known}")]
    UnknownRules {
        /// Offset of the record.
        offset: LogOffset,
        /// Rules that it needs.
        rules: u32,
        /// Highest rules known.
        known: u32,
    },
}

/// Where a record first appeared and what became of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordOutcome {
    /// Offset of its first appearance; the version, if accepted.
    pub offset: LogOffset,
    /// How it was judged there.
    pub judgement: Judgement,
}

impl Judgement {
    /// The part that all readers judge alike, kept in checkpoints.
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

    /// The judgement as far as a checkpoint tells it.
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
