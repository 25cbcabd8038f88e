//! Entries of the journal and their subjects.

use std::fmt;
use std::time::SystemTime;

use super::event::JournalEvent;
use crate::ids::RequestId;
use crate::resources::{ResourceKey, ResourceKind};

/// The subject of a decision.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum JournalSubject {
    /// A caller's request.
    Request(RequestId),
    /// A declared resource.
    Resource(ResourceKey),
}

impl JournalSubject {
    /// Parses a subject: `KIND/NAME` of a resource, otherwise the id of a request.
    pub fn from_text(text: &str) -> Self {
        let named = text.split_once('/').and_then(|(prefix, name)| {
            let kind = ResourceKind::ALL
                .into_iter()
                .find(|kind| kind.name() == prefix)?;
            Some(ResourceKey::new(kind, name))
        });
        match named {
            Some(key) => Self::Resource(key),
            None => Self::Request(text.into()),
        }
    }
}

impl fmt::Display for JournalSubject {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Request(request) => formatter.write_str(request),
            Self::Resource(key) => key.fmt(formatter),
        }
    }
}

/// One decision.
#[derive(Debug, Clone, PartialEq)]
pub struct JournalEntry {
    /// Time of the decision.
    pub at: SystemTime,
    /// Subject of the decision.
    pub subject: JournalSubject,
    /// The decision with its reason.
    pub event: JournalEvent,
}
