//! An entry host, reduced to the parts that track targets.

use std::sync::Arc;
use std::time::{Duration, Instant};

use jackdawwick::entry::{LogCopy, RelayedLog, TargetFollower, TargetTiming};
use jackdawwick::forward::ServingTables;
use jackdawwick::ids::HostId;
use jackdawwick::peer::{FollowReply, FollowRequest};
use jackdawwick::retry::WindowSettings;

use super::world::{DRAIN_MS, HEARTBEAT_MS, ZONES};

/// Age of the last read up to which a host counts as having the log.
const FRESH_MS: u64 = 1100;

/// An entry host without a network.
pub(super) struct SimHost {
    pub(super) name: HostId,
    pub(super) zone: usize,
    tables: Arc<ServingTables>,
    pub(super) copy: Arc<LogCopy>,
    pub(super) follower: TargetFollower,
    pub(super) relayed: RelayedLog,
    /// Whether it follows the leader of its zone.
    pub(super) follows: bool,
    /// Whether it has read the log itself since it applied replies of the leader.
    pub(super) has_passed_replies: bool,
    pub(super) read_ms: Option<u64>,
    pub(super) next_read_ms: u64,
    pub(super) next_ask_ms: u64,
    incarnation: u64,
}

impl SimHost {
    pub(super) fn open(index: usize, incarnation: u64) -> Self {
        let budget = WindowSettings {
            window: Duration::from_secs(1),
            ratio: 0.0,
            slack: 0.0,
            opened: Instant::now(),
        };
        let zone = index % ZONES;
        let tables = Arc::new(ServingTables::new(
            "h".into(),
            zone_name(zone).into(),
            budget,
        ));
        let copy = Arc::new(LogCopy::new(tables.clone()));
        let pace = TargetTiming {
            drain: Duration::from_millis(DRAIN_MS),
            heartbeat: Duration::from_millis(HEARTBEAT_MS),
        };
        Self {
            name: format!("host-{index}").as_str().into(),
            zone,
            follower: TargetFollower::open(copy.clone(), pace),
            relayed: RelayedLog::open(tables.clone(), copy.clone()),
            tables,
            copy,
            follows: false,
            has_passed_replies: false,
            read_ms: None,
            next_read_ms: 0,
            next_ask_ms: 0,
            incarnation,
        }
    }

    pub(super) fn knows(&self, target: &str) -> bool {
        self.tables.fleet.lock().get(target).is_some()
    }

    pub(super) fn is_fresh(&self, now_ms: u64) -> bool {
        self.read_ms.is_some_and(|read| now_ms < read + FRESH_MS)
    }

    pub(super) fn reply(&self, request: FollowRequest, now_ms: u64, now: Instant) -> FollowReply {
        let known = request.incarnation == self.incarnation;
        FollowReply {
            incarnation: self.incarnation,
            fresh: self.is_fresh(now_ms),
            age: self.age(now_ms),
            ..self.copy.reply(request, known, now)
        }
    }

    fn age(&self, now_ms: u64) -> Duration {
        let read = self.read_ms.unwrap_or(0);
        Duration::from_millis(now_ms - read)
    }
}

pub(super) fn zone_name(zone: usize) -> &'static str {
    ["near", "far"][zone]
}
