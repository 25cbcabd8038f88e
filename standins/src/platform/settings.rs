//! Settings and faults of the platform.

use std::time::Duration;

use jackdawwick::platform::wire::HostList;
use serde::{Deserialize, Serialize};

/// How the platform behaves when nothing fails.
#[derive(Debug, Clone)]
pub struct PlatformSettings {
    /// Records kept in each stream.
    pub retention: u64,
    /// Time after which a newly set host list can be read.
    pub hosts_delay: Duration,
    /// Host list that can be read from the start.
    pub hosts: HostList,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        Self {
            retention: u64::MAX,
            hosts_delay: Duration::ZERO,
            hosts: HostList::default(),
        }
    }
}

/// Faults of the platform.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Connections are refused; only the handle can undo this.
    pub dead: bool,
    /// Every call is refused with 503.
    pub outage: bool,
    /// Calls are accepted, and answered only when this ends.
    pub hanging: bool,
    /// Delay before each call takes effect, in milliseconds.
    pub delay_ms: u64,
    /// The next appends take effect, then the connection is closed.
    pub lose_append_answers: u32,
    /// The next appends have no effect, and the connection is closed.
    pub lose_appends: u32,
}
