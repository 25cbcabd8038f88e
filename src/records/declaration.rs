//! The bodies of the records in the declaration stream.

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
    /// The state after a prefix of the stream, written because records expire.
    Checkpoint(StateCheckpoint),
}

/// An operator's change of one resource.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ResourceChange {
    /// The changed resource.
    pub key: ResourceKey,
    /// Offset of the latest accepted change of the resource, including a deletion, that
    /// the operator saw; `None` if it saw none.
    pub based_on: Option<LogOffset>,
    /// Operator who requested the change.
    pub operator: OperatorId,
    /// The action.
    pub action: ChangeAction,
}

/// The action of a change on its resource.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeAction {
    /// Creates or replaces the resource.
    Put(ResourceSpec),
    /// Deletes the resource.
    Delete,
}
