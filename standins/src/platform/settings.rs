//! Settings and faults of the platform.

use std::time::Duration;

use jackdawwick::platform::wire::HostList;
use serde::{Deserialize, Serialize};

/// Behaviour of the platform without faults.
#[derive(Debug, Clone)]
pub struct PlatformSettings {
    /// Number of records kept in each stream.
    pub retention: u64,
    /// Delay after which a new host list becomes visible.
    pub hosts_delay: Duration,
    /// Host list that is visible from the start.
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
    /// Calls are accepted, but get no response until this is reset.
    pub hanging: bool,
    /// Delay before each call takes effect, in milliseconds.
    pub delay_ms: u64,
    /// The next appends take effect, then the connection is closed without a response.
    pub lose_append_answers: u32,
    /// The next appends have no effect, and the connection is closed.
    pub lose_appends: u32,
}
