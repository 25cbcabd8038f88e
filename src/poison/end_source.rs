//! Identifies the end of a target under a request with a part of a prompt.

use crate::ids::{RequestKey, TargetKey};

/// Bits of a target's key that are kept.
const TARGET_BITS: u32 = 24;
/// Bits of a request's key that are kept.
const REQUEST_BITS: u32 = 24;
/// Bits of an organisation's hash that are kept.
const ORGANISATION_BITS: u32 = 16;

/// Short hash of an organisation's name.
pub type OrganisationHash = u16;

/// The target that ended under a part, and the request and organisation that had the part.
///
/// Each is a short hash. The ends of one part are a handful, of which two are taken for one
/// in one of 10^6 cases, so that one more target ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndSource {
    /// The first bits of the target's key.
    pub target: u32,
    /// The first bits of the request's key.
    pub request: u32,
    /// Hash of the organisation that sent the request.
    pub organisation: OrganisationHash,
}

impl EndSource {
    /// Creates the source of an end that a host observed.
    pub fn new(target: TargetKey, request: RequestKey, organisation: OrganisationHash) -> Self {
        Self {
            target: short_target(target),
            request: (request >> (u64::BITS - REQUEST_BITS)) as u32,
            organisation,
        }
    }

    /// Returns the source as one number, whose first bits are those of the target's key.
    pub fn to_bits(self) -> u64 {
        let target = u64::from(self.target) << (u64::BITS - TARGET_BITS);
        let request = u64::from(self.request) << ORGANISATION_BITS;
        target | request | u64::from(self.organisation)
    }

    /// Returns the source that a number stands for.
    pub fn from_bits(bits: u64) -> Self {
        Self {
            target: short_target(bits),
            request: (bits >> ORGANISATION_BITS) as u32 & ((1 << REQUEST_BITS) - 1),
            organisation: bits as OrganisationHash,
        }
    }
}

/// Returns the first bits of a target's key.
pub(super) fn short_target(target: TargetKey) -> u32 {
    (target >> (u64::BITS - TARGET_BITS)) as u32
}
