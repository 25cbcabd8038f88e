//! What records in the stream of declarations say.

use serde::{Deserialize, Serialize};

use super::StateCheckpoint;
use crate::ids::{LogOffset, OperatorId};
use crate::resources::{ResourceKey, ResourceSpec};

/// Body of a record in [`super::DECLARATION_STREAM`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DeclarationBody {
    /// An operator's change of one resource.
    Change(ResourceChange),
    /// The state after a prefix of the stream, kept because records expire.
    Checkpoint(StateCheckpoint),
}

/// An operator's change of one resource.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ResourceChange {
    /// The resource.
    pub key: ResourceKey,
    /// Offset of the resource's latest accepted change that the operator saw,
    /// deletions included; `None` if it saw none.
    pub based_on: Option<LogOffset>,
    /// Who asked for the change.
    pub operator: OperatorId,
    /// What to do.
    pub action: ChangeAction,
}

/// What a change does to its resource.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeAction {
    /// Create or replace it.
    Put(ResourceSpec),
    /// Delete it.
    Delete,
}
