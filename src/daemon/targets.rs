//! Gathering what targets and the platform's list say about targets.

use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::future::join_all;
use rand::{RngExt, SeedableRng, rngs::StdRng};

use super::core::DaemonCore;
use crate::ids::TargetId;
use crate::platform::wire::HostList;

/// Mean time that each entry adds to the pause after reading the list.
const LIST_PAUSE_PER_ENTRY: Duration = Duration::from_millis(10);

/// Reads the loads of the targets that this host watches, again and again.
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
        // That it leaves counts even if it publishes no load any more.
        (Err(_), Ok(state)) if state.leaving => mark_leaving(core, target, now),
        (Err(error), _) | (_, Err(error)) => {
            // Failing polls do not take a target out: the steps on it say
            // sooner and more surely whether it works.
            log::debug!("target {target} cannot be polled: {error}");
        }
    }
}

/// Takes in that a target itself said that it is leaving.
///
/// Only hosts of its zone poll it. A host elsewhere that dropped this word
/// would offer it work again and again, and one would see many steps retried
/// because their target was leaving.
pub(super) fn mark_leaving(core: &DaemonCore, target: &TargetId, now: Instant) {
    let mut watch = core.tables.watch.lock();
    watch.observe_refusal(target, now);
    let mut routes = core.tables.routes.write();
    routes.set_leaving(target, true);
}

/// Reads the platform's list of hosts and targets, again and again.
///
/// A long list is read less often, so that its bytes a second stay bounded.
/// The hosts of a zone read it at different moments, and the first to see a
/// target leave tells the others by heartbeat.
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
        // Drawn anew each time: hosts that were started together would else
        // all read at once, and a target's leaving would be seen late.
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
