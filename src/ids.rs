//! Type aliases for the identifiers that cross module boundaries.

use std::sync::Arc;

/// Identifies one request of a caller, unique in the whole system.
pub type RequestId = Arc<str>;
/// Key shared by all attempts of a request and equal on all hosts: see
/// [`crate::poison::request_key`].
pub type RequestKey = u64;
/// Key of a part that the prompts of requests share, equal on all hosts: see
/// [`crate::poison::part_key`].
pub type PartKey = u64;
/// Key of what may crash targets: a [`RequestKey`] or a [`PartKey`], which differ in their
/// first bit.
pub type SuspectKey = u64;
/// The settings' name of one host of this system.
pub type HostId = Arc<str>;
/// Identifies one run of a daemon on a host; a new one is drawn at each start.
pub type IncarnationId = u64;
/// Capacity of a host for work besides its callers' requests, counted in doublings: see
/// [`crate::membership::host_weight`].
pub type HostWeight = u32;
/// Name of an availability zone.
pub type ZoneId = Arc<str>;
/// Name of a declared organisation.
pub type OrganisationId = Arc<str>;
/// Name of a declared target.
pub type TargetId = Arc<str>;
/// Short key of a target's id, equal on all hosts: see [`crate::fleet::target_key`].
pub type TargetKey = u64;
/// Short key of a service's name, equal on all hosts: see [`crate::capacity::service_key`].
pub type ServiceKey = u64;
/// Short key of an organisation's name, equal on all hosts: see
/// [`crate::capacity::organisation_key`].
pub type OrganisationKey = u64;
/// Name of a declared model.
pub type ModelId = Arc<str>;
/// Name of a version of a model.
pub type VersionId = Arc<str>;
/// Name of a declared pipeline.
pub type PipelineId = Arc<str>;
/// Name of a declared plain service.
pub type ServiceId = Arc<str>;
/// Name of an operator, as given by the operator's credentials.
pub type OperatorId = Arc<str>;
/// Unique id of a log record, chosen by the writer before the first append.
pub type RecordId = Arc<str>;
/// Position of a record in one stream of the platform's log.
pub type LogOffset = u64;
/// Number of the restores of the log service from an older copy.
pub type LogEra = u64;

/// Place of a record in a keyed topic of the log service. Offsets start over from an older
/// copy when the log is restored, so that they are comparable only within an era.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct LogPosition {
    /// Era of the log.
    pub era: LogEra,
    /// Offset in the topic.
    pub offset: LogOffset,
}

impl LogPosition {
    /// Returns the last position before this one; the oldest position has none and is
    /// returned itself.
    pub fn before(self) -> Self {
        match self {
            Self { era, offset } if offset > 0 => Self {
                era,
                offset: offset - 1,
            },
            Self { era, .. } if era > 0 => Self {
                era: era - 1,
                offset: LogOffset::MAX,
            },
            oldest => oldest,
        }
    }
}

/// Number of a heartbeat of one start of a target; grows with each.
pub type HeartbeatNumber = u64;
/// Number of an attempt within a run; incremented at each repair.
pub type AttemptNumber = u32;
/// Index of a stage in its pipeline, from zero.
pub type StageIndex = usize;
/// Position of a token in the sequence of prompt and generated tokens, from zero.
pub type TokenPosition = u64;
/// Index of a layer of a model, from zero.
pub type LayerIndex = u32;
/// One token of a model's vocabulary.
pub type TokenValue = u64;
/// Key by which repeats of a caller's non-idempotent request are recognised.
pub type IdempotencyKey = Arc<str>;
