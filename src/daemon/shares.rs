//! Divides the capacity that organisations bought, over zones and hosts.
//!
//! In its heartbeats this host reports its usage and demand to the holder of the lease on
//! its zone's shares. The replies carry grants, which limit admission.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use uuid::Uuid;

use super::core::DaemonCore;
use super::leases::{allotments_lease, shares_lease};
use super::tails::open_tail;
use crate::admission::ShareLimit;
use crate::ids::{HostId, LogOffset, OrganisationId, RecordId};
use crate::peer::{PeerGrant, PeerHeartbeat};
use crate::platform::append_queue::AppendQueue;
use crate::platform::log_tail::TailEvent;
use crate::platform::wire::StoredRecord;
use crate::records::{ALLOTMENT_STREAM, JUDGING_RULES, LogRecord, RawRecord};
use crate::resources::{ResourceKey, ResourceKind};
use crate::shares::{
    AllotmentBody, GrantHolder, ShareReport, ShareUnits, ShareUsage, TablePhase, ZoneShares,
};

/// Time between two rounds.
const SHARES_TICK: Duration = Duration::from_millis(100);
/// Rounds between two reports of the lease holder to itself. Other hosts report with
/// their heartbeats.
const ROUNDS_PER_OWN_REPORT: u64 = 2;
/// Time between two checks whether splits over zones are due.
const SPLIT_INTERVAL: Duration = Duration::from_secs(2);
/// Number of records after which the stream gets a checkpoint.
const CHECKPOINT_RECORDS: u64 = 2_000;
/// Minimum rate in requests per minute that a host reports as demand while requests wait
/// on it.
const MIN_WANTED_RATE: u32 = 60;
/// Maximum time until an appended split takes effect.
const MAX_APPEND_TIME: Duration = Duration::from_secs(2);

/// This host's part of the zone's shares, and the host that divides them.
pub(super) struct SharesState {
    pub(super) shares: ZoneShares,
    /// The host that divides the shares; `None` if it is unknown or this host.
    pub(super) holder: Option<HostId>,
}

/// Report in a heartbeat to the host that divides the zone's shares.
pub(super) struct OutgoingReport {
    pub(super) report: ShareReport,
    pub(super) sent_at: Instant,
}

/// Follows the stream, reports demand and applies the grants to admission, until the
/// daemon ends.
pub(super) async fn run_shares(core: Arc<DaemonCore>, appends: Arc<AppendQueue>, seed: u64) {
    let mut tail = open_tail(&core, ALLOTMENT_STREAM, 0, seed);
    let mut ticks = tokio::time::interval(SHARES_TICK);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut rounds = 0;
    let mut split_at = Instant::now();
    // A new holder first writes a checkpoint, because it does not know when the last one
    // was written.
    let mut checkpoint_at = 0;
    loop {
        tokio::select! {
            event = tail.next() => match event {
                Some(TailEvent::Records { records, .. }) => apply_records(&core, &records),
                Some(_) => {}
                None => return,
            },
            _ = ticks.tick() => {
                rounds += 1;
                observe_lease(&core);
                release_grants_when_drained(&core);
                if rounds % ROUNDS_PER_OWN_REPORT == 0 {
                    report_to_self(&core);
                }
                tick(&core, &appends);
                if Instant::now() >= split_at {
                    split_at = Instant::now() + SPLIT_INTERVAL;
                    write_splits(&core, &appends, &mut checkpoint_at);
                }
                apply_grants(&core);
            }
        }
    }
}

fn apply_records(core: &DaemonCore, records: &[StoredRecord]) {
    let now = Instant::now();
    let mut state = core.tables.shares.lock();
    for record in records {
        match RawRecord::<AllotmentBody>::read(&record.body) {
            RawRecord::Known(known) => {
                state.shares.apply(record.offset, &known.body, now);
            }
            RawRecord::NewerRules | RawRecord::Malformed => state.shares.skip(record.offset),
        }
    }
}

/// Releases this host's grants once it drains and no request waits any more: a waiting
/// request could not start without a grant.
fn release_grants_when_drained(core: &DaemonCore) {
    if !core.is_draining() {
        return;
    }
    let is_waiting = {
        let state = core.tables.admission.lock();
        !state.waiters.is_empty()
    };
    if !is_waiting {
        core.tables.shares.lock().shares.hand_back();
    }
}

/// Passes the holder of the zone's lease to the shares and to the membership table.
fn observe_lease(core: &DaemonCore) {
    let holder = {
        let state = core.tables.leases.lock();
        state.table.holder(&shares_lease(core.zone())).cloned()
    };
    let Some(holder) = holder else {
        return;
    };
    let is_own = holder.owner.host == *core.host() && holder.owner.incarnation == core.incarnation;
    update_holder(core, &holder.owner.host, holder.fencing, is_own);
}

/// Updates the host that divides the zone's shares, unless a later lease is known.
fn update_holder(core: &DaemonCore, host: &HostId, lease: LogOffset, is_own: bool) {
    let mut membership = core.tables.membership.lock();
    let mut state = core.tables.shares.lock();
    if state.shares.lease().is_some_and(|known| known >= lease) {
        return;
    }
    state.shares.observe_lease(lease, is_own);
    let other = Some(host.clone()).filter(|_| !is_own);
    state.holder.clone_from(&other);
    membership.set_share_holder(other);
}

/// Records a peer's statement that it divides the zone's shares.
///
/// A host that starts during an outage of the log cannot read the lease there, and
/// without a grant it would accept no work until the outage ends.
pub(super) fn observe_holder(core: &DaemonCore, host: &HostId, lease: LogOffset) {
    update_holder(core, host, lease, false);
}

/// Returns the lease under which this host divides the zone's shares, for its replies to
/// heartbeats.
///
/// The lease may have expired or have a later holder without this host knowing. That is
/// harmless: the next holder divides only what has been returned to it until this host
/// has reported to it as well, and after that report this host divides nothing. Safety
/// therefore depends on no clock, and division continues while the log is unavailable.
pub(super) fn dividing_lease(core: &DaemonCore) -> Option<LogOffset> {
    let state = core.tables.shares.lock();
    let table = state.shares.table()?;
    match table.phase(Instant::now()) {
        TablePhase::Collecting | TablePhase::Dividing => Some(table.lease()),
        TablePhase::Opening | TablePhase::Closed => None,
    }
}

/// Sets the bought capacity of each declared organisation, and the zones with targets.
pub(super) fn declare_shares(
    core: &DaemonCore,
    bought: BTreeMap<OrganisationId, ShareUnits>,
    zones: BTreeSet<crate::ids::ZoneId>,
) {
    let mut state = core.tables.shares.lock();
    state.shares.set_declared(bought, zones);
}

fn usage(core: &DaemonCore) -> BTreeMap<OrganisationId, ShareUsage> {
    let now = Instant::now();
    let state = core.tables.admission.lock();
    state
        .table
        .organisations()
        .map(|organisation| {
            let in_flight = state.table.in_flight(organisation);
            let demand = state.table.demand(organisation, now);
            let waiting = demand.saturating_sub(in_flight);
            let wanted_rate = state.table.wanted_rate(organisation, now);
            let usage = ShareUsage {
                in_flight,
                waiting,
                // Requests that have waited for longer than the period over which rates
                // are measured still need some rate to start.
                wanted_rate: wanted_rate.max(waiting.min(MIN_WANTED_RATE)),
            };
            (organisation.clone(), usage)
        })
        .collect()
}

fn report_to_self(core: &DaemonCore) {
    let usage = usage(core);
    let mut state = core.tables.shares.lock();
    state.shares.report_to_self(&usage, Instant::now());
}

/// Returns the report for a heartbeat to `to`, if that host divides the shares.
pub(super) fn outgoing_report(core: &DaemonCore, to: &HostId) -> Option<OutgoingReport> {
    if core.tables.shares.lock().holder.as_ref() != Some(to) {
        return None;
    }
    let usage = usage(core);
    let sent_at = Instant::now();
    let report = core.tables.shares.lock().shares.report(&usage, sent_at)?;
    Some(OutgoingReport { report, sent_at })
}

/// Returns the grants for a host of this zone that has just reported.
pub(super) fn grants_for_report(
    core: &DaemonCore,
    heartbeat: &PeerHeartbeat,
) -> Option<Vec<PeerGrant>> {
    let lease = heartbeat.demands_for?;
    let from = GrantHolder {
        host: heartbeat.host.clone(),
        incarnation: heartbeat.incarnation,
    };
    let report = ShareReport {
        lease,
        demands: heartbeat.demands.clone(),
    };
    // Requests that wait on a draining host are still served there, and need grants as
    // before.
    let is_waiting = report.demands.iter().any(|demand| demand.waiting > 0);
    let is_drained = heartbeat.draining && !is_waiting;
    let mut state = core.tables.shares.lock();
    state.shares.observe_report(
        &from,
        heartbeat.sequence,
        &report,
        is_drained,
        Instant::now(),
    )
}

/// Applies the grants of a reply. Returns whether to report again at once, because
/// another host waits for capacity that was lowered here.
pub(super) fn receive_grants(
    core: &DaemonCore,
    lease: LogOffset,
    grants: &[PeerGrant],
    sent_at: Instant,
) -> bool {
    let was_lowered = {
        let mut state = core.tables.shares.lock();
        state.shares.observe_reply(lease, grants, sent_at)
    };
    apply_grants(core);
    was_lowered
}

/// Records that a host's incarnation has ended.
pub(super) fn record_removed_host(core: &DaemonCore, holder: &GrantHolder) {
    core.tables
        .shares
        .lock()
        .shares
        .observe_removed(holder, Instant::now());
}

fn tick(core: &Arc<DaemonCore>, appends: &Arc<AppendQueue>) {
    remove_ended_holders(core);
    let bodies = core.tables.shares.lock().shares.tick(Instant::now());
    for body in bodies {
        append(core, appends, body);
    }
}

/// Removes from the division the incarnations that had ended before this host learned of
/// them.
fn remove_ended_holders(core: &DaemonCore) {
    let now = Instant::now();
    let membership = core.tables.membership.lock();
    let mut state = core.tables.shares.lock();
    let Some(table) = state.shares.table() else {
        return;
    };
    let ended: Vec<GrantHolder> = table
        .awaited()
        .filter(|holder| membership.has_ended(&holder.host, holder.incarnation))
        .cloned()
        .collect();
    for holder in &ended {
        state.shares.observe_removed(holder, now);
    }
}

/// Writes the due splits over zones, if this host holds the lease for that.
fn write_splits(core: &Arc<DaemonCore>, appends: &Arc<AppendQueue>, checkpoint_at: &mut LogOffset) {
    let may_write = {
        let state = core.tables.leases.lock();
        state.may_act(&allotments_lease(), Instant::now(), MAX_APPEND_TIME)
    };
    if may_write.is_none() {
        return;
    }
    let declarations = core.tables.declarations.read();
    let version = |organisation: &OrganisationId| {
        let key = ResourceKey::new(ResourceKind::Organisation, organisation.clone());
        let latest = declarations.latest_change(&key);
        latest.map_or(0, |latest| latest.version)
    };
    let mut bodies: Vec<AllotmentBody> = Vec::new();
    {
        let state = core.tables.shares.lock();
        let ledger = state.shares.ledger();
        bodies.extend(
            ledger
                .due_splits(version)
                .into_iter()
                .map(AllotmentBody::Split),
        );
        let next = ledger.next_offset();
        if next >= *checkpoint_at && next > 0 {
            *checkpoint_at = next + CHECKPOINT_RECORDS;
            bodies.push(ledger.checkpoint());
        }
    }
    drop(declarations);
    for body in bodies {
        append(core, appends, body);
    }
}

/// Appends a record. If it is lost, a later round decides on it again.
fn append(core: &Arc<DaemonCore>, appends: &Arc<AppendQueue>, body: AllotmentBody) {
    let record = LogRecord {
        id: RecordId::from(Uuid::new_v4().to_string()),
        rules: JUDGING_RULES,
        writer: core.host().clone(),
        incarnation: core.incarnation,
        body,
    };
    let Ok(text) = serde_json::to_string(&record) else {
        return;
    };
    if appends.submit(text).is_err() {
        log::warn!("an allotment record could not be queued for appending");
    }
}

/// Sets the limit that admission applies to each organisation.
fn apply_grants(core: &DaemonCore) {
    let now = Instant::now();
    let shares_state = core.tables.shares.lock();
    let mut state = core.tables.admission.lock();
    let organisations: Vec<OrganisationId> = state.table.organisations().cloned().collect();
    for organisation in organisations {
        let units = shares_state.shares.limit(&organisation, now);
        let limit = ShareLimit {
            concurrent_requests: units.concurrent_requests,
            requests_per_minute: units.requests_per_minute,
        };
        state.table.set_share(organisation, limit, now);
    }
    drop(state);
    drop(shares_state);
    core.admission_changed.notify_one();
}
