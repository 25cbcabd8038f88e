//! What hosts ask each other for, and are answered.

use std::time::Duration;

use super::table::LimitRecord;
use crate::ids::{HostId, ZoneId};

/// A question for permits to send to a target.
#[derive(Debug, Clone, PartialEq)]
pub struct PermitRequest {
    /// The host that asks.
    pub host: HostId,
    /// Availability zone of the target, whose hosts hand out the permits.
    pub zone: ZoneId,
    /// The target, and what the host knows of its limit.
    pub limit: LimitRecord,
    /// Permits that it can use; 0 if it only tells what it sent.
    pub wanted: u32,
    /// How long its requests can wait for the first one.
    pub max_wait: Duration,
    /// What it sent without permits, by half seconds of age, the newest first.
    pub unpermitted: Vec<u16>,
    /// Whether another host passes it on: it is passed on once at the most.
    pub relayed: bool,
}

/// The answer to a [`PermitRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PermitReply {
    /// So many requests may be sent.
    Granted {
        /// How many.
        permits: u32,
        /// Time until the first may be sent.
        delay: Duration,
        /// Time from each to the next one.
        spacing: Duration,
    },
    /// None may be sent.
    Withheld {
        /// Time after which the host may ask again.
        retry_after: Duration,
    },
    /// The target no longer names a limit.
    Unlimited,
}
