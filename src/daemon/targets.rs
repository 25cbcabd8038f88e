//! Collects the state of targets from the targets and from the platform's host list.

use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::future::join_all;
use rand::{RngExt, SeedableRng, rngs::StdRng};

use super::core::DaemonCore;
use crate::ids::TargetId;
use crate::platform::wire::HostList;

/// Mean time that each entry of the list adds to the pause after reading it.
const LIST_PAUSE_PER_ENTRY: Duration = Duration::from_millis(10);

/// Polls the load of the targets that this host watches, until the daemon ends.
pub(super) async fn run_load_polls(core: Arc<DaemonCore>) {
    let mut ticks = tokio::time::interval(core.options.timing.load_interval);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let watched: Vec<TargetId> = {
            let watch = core.tables.watch.lock();
            watch.watched().cloned().collect()
        };
        join_all(watched.iter().map(|target| poll_target(&core, target))).await;
    }
}

async fn poll_target(core: &DaemonCore, target: &TargetId) {
    let Some(address) = core.target_address(target) else {
        return;
    };
    let (load, state) = tokio::join!(core.targets.load(address), core.targets.state(address));
    let now = Instant::now();
    match (load, state) {
        (Ok(report), Ok(state)) => {
            let mut watch = core.tables.watch.lock();
            watch.observe_poll(target, &report, state.leaving, now);
            let mut routes = core.tables.routes.write();
            routes.observe_load(target, &report, now);
        }
        // A leaving target is recorded even if it no longer publishes its load.
        (Err(_), Ok(state)) if state.leaving => mark_leaving(core, target, now),
        (Err(error), _) | (_, Err(error)) => {
            // Failed polls do not eject a target: steps on it show sooner and more
            // reliably whether it works.
            log::debug!("target {target} cannot be polled: {error}");
        }
    }
}

/// Records that a target itself has reported that it is leaving.
///
/// Only hosts of its zone poll it. A host elsewhere that ignored the report would send it
/// work repeatedly, and many steps would be retried because their target is leaving.
pub(super) fn mark_leaving(core: &DaemonCore, target: &TargetId, now: Instant) {
    let mut watch = core.tables.watch.lock();
    watch.observe_refusal(target, now);
    let mut routes = core.tables.routes.write();
    routes.set_leaving(target, true);
}

/// Reads the platform's list of hosts and targets, until the daemon ends.
///
/// A long list is read less often, which bounds the bytes read per second. The hosts of a
/// zone read it at different times, and the first to see that a target is leaving reports
/// it to the others by heartbeat.
pub(super) async fn run_host_list(core: Arc<DaemonCore>, seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    let interval = core.options.timing.host_list_interval;
    loop {
        let entries = match core.platform.hosts().await {
            Ok(list) => {
                apply_host_list(&core, &list);
                list.hosts.len() + list.targets.len()
            }
            Err(error) => {
                log::debug!("the platform's host list cannot be read: {error}");
                0
            }
        };
        let list_pause = LIST_PAUSE_PER_ENTRY * u32::try_from(entries).unwrap_or(u32::MAX);
        // Random on each read: otherwise hosts that were started together would all read
        // at once, and a leaving target would be noticed late.
        let randomised_pause = list_pause.mul_f64(random.random_range(0.5..1.5));
        tokio::time::sleep(interval.max(randomised_pause)).await;
    }
}

fn apply_host_list(core: &DaemonCore, list: &HostList) {
    let mut membership = core.tables.membership.lock();
    membership.observe_host_list(list, Instant::now());
    let mut watch = core.tables.watch.lock();
    watch.observe_host_list(list);
}
