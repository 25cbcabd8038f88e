//! Exchanges heartbeats with the other entry hosts.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::core::{DaemonCore, DaemonPhase};
use super::shares::{
    OutgoingReport, dividing_lease, grants_for_report, observe_holder, outgoing_report,
    receive_grants, record_removed_host,
};
use crate::ids::HostId;
use crate::membership::MembershipDecision;
use crate::peer::{PeerHeartbeat, PeerReply};
use crate::shares::GrantHolder;
use crate::target::wire::LoadReport;

/// Maximum number of heartbeats in a row, when a reply requires another one at once.
const MAX_EXCHANGES: usize = 2;
/// Time between two checks which hosts are due for a heartbeat.
const MEMBERSHIP_TICK: Duration = Duration::from_millis(50);

/// Sends heartbeats when they are due, until the daemon ends.
pub(super) async fn run_members(core: Arc<DaemonCore>) {
    add_seeds(&core);
    let mut ticks = tokio::time::interval(MEMBERSHIP_TICK);
    let mut counted = CountedTraffic::default();
    loop {
        ticks.tick().await;
        counted.count(&core);
        let decisions = {
            let mut membership = core.tables.membership.lock();
            membership.set_applied_offset(*core.applied.borrow());
            membership.set_draining(core.phase() == DaemonPhase::Draining);
            membership.tick(Instant::now())
        };
        execute_decisions(&core, decisions);
        assign_watches(&core);
    }
}

/// Bytes of peer calls that are already counted in the metrics.
#[derive(Default)]
struct CountedTraffic {
    sent: u64,
    received: u64,
}

impl CountedTraffic {
    fn count(&mut self, core: &DaemonCore) {
        let Some(peers) = core.peers() else {
            return;
        };
        let (sent, received) = (
            peers.traffic().sent_bytes(),
            peers.traffic().received_bytes(),
        );
        core.metrics.control_sent(sent - self.sent);
        core.metrics.control_received(received - self.received);
        *self = Self { sent, received };
    }
}

fn add_seeds(core: &DaemonCore) {
    let mut membership = core.tables.membership.lock();
    let now = Instant::now();
    for seed in &core.options.peers.seeds {
        membership.observe_known_host(seed.host.clone(), seed.zone.clone(), seed.address, now);
    }
}

fn execute_decisions(core: &Arc<DaemonCore>, decisions: Vec<MembershipDecision>) {
    for decision in decisions {
        match decision {
            MembershipDecision::SendHeartbeat {
                to,
                address,
                remote,
            } => {
                tokio::spawn(exchange(Arc::clone(core), to, address, remote));
            }
            MembershipDecision::HostJoined { host, zone, .. } => {
                log::info!("host {host} of zone {zone} has joined");
            }
            MembershipDecision::HostSuspected { host } => {
                log::warn!("host {host} is suspected: no recent heartbeat");
            }
            MembershipDecision::HostRecovered { host } => {
                log::info!("host {host} has recovered");
            }
            MembershipDecision::HostRemoved {
                host,
                incarnation,
                cause,
            } => {
                log::info!("host {host} is removed: {cause:?}");
                if let Some(incarnation) = incarnation {
                    record_removed_host(core, &GrantHolder { host, incarnation });
                }
            }
        }
    }
}

async fn exchange(core: Arc<DaemonCore>, to: HostId, address: std::net::SocketAddr, remote: bool) {
    let Some(peers) = core.peers() else {
        return;
    };
    for _ in 0..MAX_EXCHANGES {
        let mut heartbeat = own_heartbeat(&core, remote);
        let sent = outgoing_report(&core, &to);
        if let Some(sent) = &sent {
            heartbeat.demands_for = Some(sent.report.lease);
            heartbeat.demands.clone_from(&sent.report.demands);
        }
        let again = match peers.heartbeat(address, heartbeat).await {
            // The address may have passed to another host.
            Ok(reply) if reply.heartbeat.host == to => apply_reply(&core, &reply, sent.as_ref()),
            Ok(reply) => {
                log::warn!(
                    "heartbeat reply from {address} is of host {} instead of {to}",
                    reply.heartbeat.host
                );
                false
            }
            Err(error) => {
                log::debug!("heartbeat to host {to} failed: {error}");
                false
            }
        };
        if !again {
            return;
        }
    }
}

fn own_heartbeat(core: &DaemonCore, remote: bool) -> PeerHeartbeat {
    let mut membership = core.tables.membership.lock();
    let now = Instant::now();
    let loads = {
        let mut watch = core.tables.watch.lock();
        match remote {
            true => watch.remote_loads(now),
            false => watch.zone_loads(now),
        }
    };
    membership.next_heartbeat(remote, loads)
}

/// Applies a reply. Returns whether to send another heartbeat at once.
fn apply_reply(core: &Arc<DaemonCore>, reply: &PeerReply, sent: Option<&OutgoingReport>) -> bool {
    apply_heartbeat(core, &reply.heartbeat);
    let Some(lease) = reply.lease_offset else {
        return false;
    };
    match sent {
        Some(sent) if sent.report.lease == lease => {
            receive_grants(core, lease, &reply.grants, sent.sent_at)
        }
        _ => {
            observe_holder(core, &reply.heartbeat.host, lease);
            false
        }
    }
}

/// Handles a peer's heartbeat and replies with this host's own.
pub(super) fn handle_heartbeat(core: &Arc<DaemonCore>, heartbeat: &PeerHeartbeat) -> PeerReply {
    apply_heartbeat(core, heartbeat);
    let remote = heartbeat.zone != *core.zone();
    let grants = grants_for_report(core, heartbeat);
    PeerReply {
        heartbeat: own_heartbeat(core, remote),
        lease_offset: dividing_lease(core).filter(|_| !remote),
        grants: grants.unwrap_or_default(),
    }
}

fn apply_heartbeat(core: &Arc<DaemonCore>, heartbeat: &PeerHeartbeat) {
    let now = Instant::now();
    let decisions = {
        let mut membership = core.tables.membership.lock();
        membership.observe_heartbeat(heartbeat, now)
    };
    execute_decisions(core, decisions);
    let mut watch = core.tables.watch.lock();
    watch.observe_peer_loads(&heartbeat.host, &heartbeat.loads, now);
    let mut routes = core.tables.routes.write();
    for load in &heartbeat.loads {
        let report = LoadReport {
            running: load.running,
            waiting: load.waiting,
            tokens_per_second: load.tokens_per_second,
            age_ms: u64::try_from(load.age.as_millis()).unwrap_or(u64::MAX),
        };
        routes.observe_load(&load.target, &report, now);
    }
    drop(routes);
    drop(watch);
    core.readiness
        .observe_end_offset(heartbeat.applied_offset, now);
    if heartbeat.applied_offset > *core.applied.borrow() {
        core.peer_ahead.notify_one();
    }
}

/// Assigns targets to the live hosts for watching, and takes targets that are known to be
/// leaving out of rotation.
fn assign_watches(core: &DaemonCore) {
    let working = core.tables.membership.lock().working_hosts();
    let declarations = core.tables.declarations.read();
    let mut watch = core.tables.watch.lock();
    watch.set_working_hosts(&working);
    let now = Instant::now();
    let mut routes = core.tables.routes.write();
    for target in declarations.targets() {
        let leaving = watch.out_of_rotation(target.name, now).is_some();
        routes.set_leaving(target.name, leaving);
    }
}
