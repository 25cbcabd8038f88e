//! Requests for permits between hosts, and their replies.

use std::time::Duration;

use super::table::LimitRecord;
use crate::ids::{HostId, ZoneId};

/// A request for permits to send to a target.
#[derive(Debug, Clone, PartialEq)]
pub struct PermitRequest {
    /// The requesting host.
    pub host: HostId,
    /// Availability zone of the target, whose hosts issue the permits.
    pub zone: ZoneId,
    /// The target, and what the requesting host knows of its limit.
    pub limit: LimitRecord,
    /// Number of permits that the host can use; 0 if it only reports what it sent.
    pub wanted: u32,
    /// How long the host's requests can wait for the first permit.
    pub max_wait: Duration,
    /// Requests that the host sent without permits, by half seconds of age, the newest
    /// first.
    pub unpermitted: Vec<u16>,
    /// Whether another host relays the request; it is relayed at most once.
    pub relayed: bool,
}

/// The reply to a [`PermitRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PermitReply {
    /// Permits are granted.
    Granted {
        /// Number of permits.
        permits: u32,
        /// Time until the first permit may be used.
        delay: Duration,
        /// Time from one permit to the next.
        spacing: Duration,
    },
    /// No permit is granted.
    Withheld {
        /// Time after which the host may request again.
        retry_after: Duration,
    },
    /// The target no longer names a limit.
    Unlimited,
}
