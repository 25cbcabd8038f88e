//! Dividing the capacity that organisations bought, over zones and hosts.
//!
//! This host reports what it holds and wants to the holder of the lease on its
//! zone's shares, in its heartbeats; grants come in the answers. Admission
//! keeps to them.

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

/// Pause between two rounds.
const SHARES_TICK: Duration = Duration::from_millis(100);
/// Rounds between two reports of the holder to itself; others report with
/// their heartbeats.
const ROUNDS_PER_OWN_REPORT: u64 = 2;
/// Pause between two looks at whether splits over zones are due.
const SPLIT_INTERVAL: Duration = Duration::from_secs(2);
/// Records after which the stream gets a checkpoint.
const CHECKPOINT_RECORDS: u64 = 2_000;
/// Requests a minute that a host asks for while something waits there.
const MIN_WANTED_RATE: u32 = 60;
/// Longest time for which writing a split may take effect.
const MAX_APPEND_TIME: Duration = Duration::from_secs(2);

/// This host's part in the zone's shares, and who divides them.
pub(super) struct SharesState {
    pub(super) shares: ZoneShares,
    /// The host that divides; `None` if unknown, or if it is this one.
    pub(super) holder: Option<HostId>,
}

/// What a heartbeat carries for the holder of the zone's shares.
pub(super) struct OutgoingReport {
    pub(super) report: ShareReport,
    pub(super) sent_at: Instant,
}

/// Follows the stream, reports, and keeps admission to the grants, until the
/// daemon ends.
pub(super) async fn run_sharing(core: Arc<DaemonCore>, appends: Arc<AppendQueue>, seed: u64) {
    let mut tail = open_tail(&core, ALLOTMENT_STREAM, 0, seed);
    let mut ticks = tokio::time::interval(SHARES_TICK);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut rounds = 0;
    let mut split_at = Instant::now();
    // A new holder writes a checkpoint first: it cannot know how long ago the
    // last one was written.
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

/// Gives up this host's grants once it drains and nothing waits any more: what
/// waits could not be started without a grant.
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

/// Tells the shares who holds the zone's lease, and whom to call for grants.
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

/// Takes in who divides the zone's shares, unless a later holder is known.
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

/// Takes in that a peer says that it divides the zone's shares.
///
/// A host that starts while the log is down can't read there who does, and
/// without any grant it would take no work until the outage is over.
pub(super) fn observe_holder(core: &DaemonCore, host: &HostId, lease: LogOffset) {
    update_holder(core, host, lease, false);
}

/// The lease under which this host divides the zone's shares, for its answers
/// to heartbeats.
///
/// It may have lapsed or been followed by another without this host knowing.
/// That does no harm: the next holder divides only what it has been handed in
/// until this host too has reported to it, after which this one divides
/// nothing. So no clock has to be trusted, and dividing goes on while the log
/// is down.
pub(super) fn dividing_lease(core: &DaemonCore) -> Option<LogOffset> {
    let state = core.tables.shares.lock();
    let table = state.shares.table()?;
    match table.phase(Instant::now()) {
        TablePhase::Collecting | TablePhase::Dividing => Some(table.lease()),
        TablePhase::Opening | TablePhase::Closed => None,
    }
}

/// Takes in what is declared: what was bought, and the zones with targets.
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
                // What has waited for longer than rates are counted over still
                // needs some rate to start.
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

/// The report for a heartbeat to `to`, if that host divides the shares.
pub(super) fn outgoing_report(core: &DaemonCore, to: &HostId) -> Option<OutgoingReport> {
    if core.tables.shares.lock().holder.as_ref() != Some(to) {
        return None;
    }
    let usage = usage(core);
    let sent_at = Instant::now();
    let report = core.tables.shares.lock().shares.report(&usage, sent_at)?;
    Some(OutgoingReport { report, sent_at })
}

/// Grants for a host of this zone that has just reported.
pub(super) fn grants_for_report(core: &DaemonCore, beat: &PeerHeartbeat) -> Option<Vec<PeerGrant>> {
    let lease = beat.demands_for?;
    let from = GrantHolder {
        host: beat.host.clone(),
        incarnation: beat.incarnation,
    };
    let report = ShareReport {
        lease,
        demands: beat.demands.clone(),
    };
    // What waits on a host that drains is still to be served there, and needs
    // grants as before.
    let is_waiting = report.demands.iter().any(|demand| demand.waiting > 0);
    let is_drained = beat.draining && !is_waiting;
    let mut state = core.tables.shares.lock();
    state
        .shares
        .observe_report(&from, beat.sequence, &report, is_drained, Instant::now())
}

/// Takes in the grants that came in answer to a report; says whether to report
/// again at once, because somebody waits for what was lowered.
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

/// Takes in that a host's incarnation has ended.
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

/// Tells the division of incarnations that ended before they were heard here.
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

/// Writes what the split over zones should be, as the one host of the system
/// that may.
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

/// Appends a record. One that is lost is decided upon again.
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
        log::warn!("too many allotment records wait to be appended");
    }
}

/// Sets what admission may start for each organisation.
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
