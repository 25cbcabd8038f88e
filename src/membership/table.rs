//! The table of hosts.

use std::collections::BTreeMap;
use std::time::Instant;

use super::member::HostMember;
use super::settings::MembershipSettings;
use crate::ids::{HostId, LogOffset};

/// The other hosts that this host knows, and what it reports about itself.
#[derive(Debug)]
pub struct MembershipTable {
    pub(super) settings: MembershipSettings,
    pub(super) members: BTreeMap<HostId, HostMember>,
    pub(super) applied_offset: LogOffset,
    pub(super) draining: bool,
    pub(super) share_holder: Option<HostId>,
    pub(super) sequence: u64,
    /// Time since which this process has run without a pause.
    pub(super) awake_since: Instant,
    pub(super) last_tick: Instant,
    pub(super) last_list: Option<Instant>,
    pub(super) started: Instant,
}

impl MembershipTable {
    /// Creates a table without other hosts.
    pub fn new(settings: MembershipSettings, now: Instant) -> Self {
        Self {
            settings,
            members: BTreeMap::new(),
            applied_offset: 0,
            draining: false,
            share_holder: None,
            sequence: 0,
            awake_since: now,
            last_tick: now,
            last_list: None,
            started: now,
        }
    }
}
