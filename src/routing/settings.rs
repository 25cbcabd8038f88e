//! Settings of routing.

use std::time::Duration;

use crate::ids::ZoneId;
use crate::retry::EjectionSettings;

use super::RoutePolicy;

/// Settings of a [`super::RouteTable`].
#[derive(Debug, Clone, PartialEq)]
pub struct RouteSettings {
    /// Availability zone of this host.
    pub zone: ZoneId,
    /// How targets are chosen.
    pub policy: RoutePolicy,
    /// Time after which a reported load has the weight 1/e.
    pub load_decay: Duration,
    /// Length of a window of which the shortest step determines a target's rate.
    pub rate_window: Duration,
    /// Time after which the declared rate replaces a measured one.
    pub rate_memory: Duration,
    /// Time after which a measured prompt or link time has the weight 1/e against the
    /// declared one.
    pub rate_decay: Duration,
    /// Time after which a cache event has the weight 1/e.
    pub cache_decay: Duration,
    /// Number of candidates up to which all are scored; above it, two random ones are.
    pub score_all: usize,
    /// Round trip assumed to a target of the same zone until it is measured.
    pub near_link: Duration,
    /// Round trip assumed to a target of another zone until it is measured.
    pub far_link: Duration,
    /// When targets are ejected.
    pub ejection: EjectionSettings,
    /// Time after which a caller should retry if there is no route.
    pub retry_after: Duration,
}

impl RouteSettings {
    /// Returns the defaults for a host in `zone`.
    pub fn new(zone: ZoneId) -> Self {
        Self {
            zone,
            policy: RoutePolicy::default(),
            load_decay: Duration::from_millis(100),
            rate_window: Duration::from_millis(250),
            rate_memory: Duration::from_secs(4),
            rate_decay: Duration::from_secs(10),
            cache_decay: Duration::from_secs(60),
            score_all: 2,
            near_link: Duration::from_micros(200),
            far_link: Duration::from_millis(1),
            ejection: EjectionSettings::default(),
            retry_after: Duration::from_secs(1),
        }
    }
}
