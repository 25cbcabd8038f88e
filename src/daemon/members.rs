//! Exchanging heartbeats with the other entry hosts.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::core::{DaemonCore, DaemonPhase};
use super::sharing::{
    OutgoingReport, answer_report, dividing_lease, hear_holder, note_gone, outgoing_report,
    take_grants,
};
use crate::ids::HostId;
use crate::membership::MembershipDecision;
use crate::peer::{PeerHeartbeat, PeerReply};
use crate::shares::GrantHolder;
use crate::target::wire::LoadReport;

/// Heartbeats sent in a row, when the first one has to be answered at once.
const MOST_EXCHANGES: usize = 2;
/// Pause between two looks at who is due for a heartbeat.
const MEMBERSHIP_TICK: Duration = Duration::from_millis(50);

/// Sends heartbeats when they are due, until the daemon ends.
pub(super) async fn run_members(core: Arc<DaemonCore>) {
    meet_seeds(&core);
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
        carry_out(&core, decisions);
        share_out_watching(&core);
    }
}

/// Bytes of peer calls that the metrics have counted already.
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

fn meet_seeds(core: &DaemonCore) {
    let mut membership = core.tables.membership.lock();
    let now = Instant::now();
    for seed in &core.options.peers.seeds {
        membership.observe_known_host(seed.host.clone(), seed.zone.clone(), seed.address, now);
    }
}

fn carry_out(core: &Arc<DaemonCore>, decisions: Vec<MembershipDecision>) {
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
                log::warn!("host {host} is silent");
            }
            MembershipDecision::HostRecovered { host } => {
                log::info!("host {host} is heard again");
            }
            MembershipDecision::HostRemoved {
                host,
                incarnation,
                cause,
            } => {
                log::info!("host {host} is gone: {cause:?}");
                if let Some(incarnation) = incarnation {
                    note_gone(core, &GrantHolder { host, incarnation });
                }
            }
        }
    }
}

async fn exchange(core: Arc<DaemonCore>, to: HostId, address: std::net::SocketAddr, remote: bool) {
    let Some(peers) = core.peers() else {
        return;
    };
    for _ in 0..MOST_EXCHANGES {
        let mut beat = own_beat(&core, remote);
        let sent = outgoing_report(&core, &to);
        if let Some(sent) = &sent {
            beat.demands_for = Some(sent.report.lease);
            beat.demands.clone_from(&sent.report.demands);
        }
        let again = match peers.heartbeat(address, beat).await {
            // An address may have passed to another host.
            Ok(reply) if reply.heartbeat.host == to => take_reply(&core, &reply, sent.as_ref()),
            Ok(reply) => {
                log::warn!("{address} is {} and not {to}", reply.heartbeat.host);
                false
            }
            Err(error) => {
                log::debug!("no heartbeat from {to}: {error}");
                false
            }
        };
        if !again {
            return;
        }
    }
}

fn own_beat(core: &DaemonCore, remote: bool) -> PeerHeartbeat {
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

/// Takes in an answer; says whether to send another heartbeat at once.
fn take_reply(core: &Arc<DaemonCore>, reply: &PeerReply, sent: Option<&OutgoingReport>) -> bool {
    take_beat(core, &reply.heartbeat);
    let Some(lease) = reply.lease_offset else {
        return false;
    };
    match sent {
        Some(sent) if sent.report.lease == lease => {
            take_grants(core, lease, &reply.grants, sent.sent_at)
        }
        _ => {
            hear_holder(core, &reply.heartbeat.host, lease);
            false
        }
    }
}

/// Answers a peer's heartbeat with this host's own.
pub(super) fn answer_beat(core: &Arc<DaemonCore>, beat: &PeerHeartbeat) -> PeerReply {
    take_beat(core, beat);
    let remote = beat.zone != *core.zone();
    let grants = answer_report(core, beat);
    PeerReply {
        heartbeat: own_beat(core, remote),
        lease_offset: dividing_lease(core).filter(|_| !remote),
        grants: grants.unwrap_or_default(),
    }
}

fn take_beat(core: &Arc<DaemonCore>, beat: &PeerHeartbeat) {
    let now = Instant::now();
    let decisions = {
        let mut membership = core.tables.membership.lock();
        membership.observe_heartbeat(beat, now)
    };
    carry_out(core, decisions);
    let mut watch = core.tables.watch.lock();
    watch.observe_peer_loads(&beat.host, &beat.loads, now);
    let mut routes = core.tables.routes.write();
    for load in &beat.loads {
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
    core.readiness.learn(beat.applied_offset, now);
    if beat.applied_offset > *core.applied.borrow() {
        core.peer_ahead.notify_one();
    }
}

/// Divides the watching of targets over the hosts that are live now, and
/// takes targets that are known to leave out of rotation.
fn share_out_watching(core: &DaemonCore) {
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
