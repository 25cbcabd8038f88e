//! Gathering what targets and the platform's list say about targets.

use std::sync::Arc;
use std::time::Instant;

use futures::future::join_all;

use super::core::DaemonCore;
use crate::ids::TargetId;

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
        (Err(_), Ok(state)) if state.leaving => note_leaving(core, target, now),
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
pub(super) fn note_leaving(core: &DaemonCore, target: &TargetId, now: Instant) {
    let mut watch = core.tables.watch.lock();
    watch.observe_refusal(target, now);
    let mut routes = core.tables.routes.write();
    routes.set_leaving(target, true);
}

/// Reads the platform's list of hosts and targets, again and again.
pub(super) async fn run_host_list(core: Arc<DaemonCore>) {
    let mut ticks = tokio::time::interval(core.options.timing.host_list_interval);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        match core.platform.hosts().await {
            Ok(list) => {
                let mut membership = core.tables.membership.lock();
                membership.observe_host_list(&list, Instant::now());
                let mut watch = core.tables.watch.lock();
                watch.observe_host_list(&list);
            }
            Err(error) => log::debug!("the platform's host list cannot be read: {error}"),
        }
    }
}
