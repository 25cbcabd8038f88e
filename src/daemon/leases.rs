//! Following the stream of leases, and trying to hold this host's.

use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::future::join_all;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use uuid::Uuid;

use super::core::DaemonCore;
use super::tails::open_tail;
use crate::ids::{RecordId, ZoneId};
use crate::lease::machine::{LeaseDecision, LeaseMachine, LeaseTerms};
use crate::lease::record::{FencingNumber, LeaseBody, LeaseName, LeaseOwner};
use crate::lease::table::LeaseTable;
use crate::platform::append_queue::AppendQueue;
use crate::platform::log_tail::TailEvent;
use crate::platform::wire::StoredRecord;
use crate::records::{LEASE_STREAM, LogRecord};

/// Pause between two looks at the leases.
const LEASE_TICK: Duration = Duration::from_millis(100);
/// How long a shutdown waits until what it wrote is read back.
const REPLAY_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause between two looks at that.
const REPLAY_POLL: Duration = Duration::from_millis(10);
/// Renewals within one duration.
const RENEWALS_PER_DURATION: u32 = 3;

/// The table of leases with this host's part in them, under one lock.
pub(super) struct LeaseState {
    pub(super) table: LeaseTable,
    machines: Vec<NamedMachine>,
}

struct NamedMachine {
    name: LeaseName,
    machine: LeaseMachine,
}

impl LeaseState {
    /// A desk on which no lease is tried for yet.
    pub(super) fn new(table: LeaseTable) -> Self {
        Self {
            table,
            machines: Vec::new(),
        }
    }

    /// The fencing number under which this host may begin something now that
    /// takes at most `max_duration`.
    pub(super) fn may_act(
        &self,
        name: &str,
        now: Instant,
        max_duration: Duration,
    ) -> Option<FencingNumber> {
        let named = self.machines.iter().find(|named| &*named.name == name)?;
        named.machine.may_act(now, max_duration)
    }

    fn apply(&mut self, record: &StoredRecord, seen_at: Instant) {
        let judged = self.table.apply_raw(record.offset, &record.body, seen_at);
        let Some(id) = judged.id else {
            return;
        };
        // Ids are unique: only the machine that sent the record knows it.
        for named in &mut self.machines {
            named
                .machine
                .take_judgement(&id, record.offset, judged.judgement);
        }
    }
}

/// Name of the lease on ordering a zone's targets.
pub(super) fn orders_lease(zone: &ZoneId) -> LeaseName {
    format!("orders/{zone}").into()
}

/// Name of the lease on dividing a zone's shares.
pub(super) fn shares_lease(zone: &ZoneId) -> LeaseName {
    format!("zone-shares/{zone}").into()
}

/// Name of the lease on splitting capacity over zones.
pub(super) fn allotments_lease() -> LeaseName {
    "allotments".into()
}

/// Follows the stream and tries to hold the zone's leases, until the daemon
/// ends.
pub(super) async fn run_leases(core: Arc<DaemonCore>, appends: Arc<AppendQueue>, seed: u64) {
    add_machines(&core, seed);
    let mut tail = open_tail(&core, LEASE_STREAM, 0, seed);
    let mut ticks = tokio::time::interval(LEASE_TICK);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            event = tail.next() => match event {
                Some(event) => handle_tail_event(&core, event),
                None => return,
            },
            _ = ticks.tick() => decide_all(&core, &appends),
        }
    }
}

fn add_machines(core: &DaemonCore, seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    let duration = core.options.timing.lease_duration;
    let owner = owner(core);
    let now = Instant::now();
    let mut state = core.tables.leases.lock();
    for name in [
        orders_lease(core.zone()),
        shares_lease(core.zone()),
        allotments_lease(),
    ] {
        let terms = LeaseTerms {
            duration,
            renew_after: duration / RENEWALS_PER_DURATION,
            // Drawn anew for each host, so that they do not all try at once.
            retry_after: duration.mul_f64(random.random_range(0.2..0.4)),
        };
        let first_attempt = now + duration.mul_f64(random.random_range(0.0..0.2));
        let machine = LeaseMachine::new(name.clone(), owner.clone(), terms, first_attempt);
        state.machines.push(NamedMachine { name, machine });
    }
}

fn owner(core: &DaemonCore) -> LeaseOwner {
    LeaseOwner {
        host: core.host().clone(),
        incarnation: core.incarnation,
    }
}

fn handle_tail_event(core: &DaemonCore, event: TailEvent) {
    let now = Instant::now();
    let mut state = core.tables.leases.lock();
    match event {
        TailEvent::Records {
            records,
            first_offset,
            ..
        } => {
            state.table.note_read(first_offset, now);
            for record in &records {
                state.apply(record, now);
            }
        }
        TailEvent::Expired { first_offset, .. } => state.table.note_read(first_offset, now),
        // Without the log no lease is renewed, and none can be taken.
        TailEvent::Unreachable { .. } => {}
    }
}

/// Decides about each lease, and appends what was decided.
fn decide_all(core: &Arc<DaemonCore>, appends: &Arc<AppendQueue>) {
    if core.is_draining() {
        return;
    }
    let now = Instant::now();
    let mut records = Vec::new();
    {
        let mut state = core.tables.leases.lock();
        let LeaseState { table, machines } = &mut *state;
        for named in machines {
            match named.machine.decide(table, new_id(), now) {
                LeaseDecision::TryAcquire(record) | LeaseDecision::Renew(record) => {
                    records.push(record);
                }
                LeaseDecision::StepDown => log::warn!("lease {} is lost", named.name),
                LeaseDecision::Hold { .. } | LeaseDecision::Wait { .. } => {}
            }
        }
    }
    for record in records {
        tokio::spawn(append(Arc::clone(core), Arc::clone(appends), record));
    }
}

/// Hands the leases back, so that another host may begin at once; ends when
/// this host has read that they are free. To be called once the daemon drains.
///
/// Left to a worker, this would be lost if nothing is in flight: the process
/// would end first, and nobody would order the zone's targets until the leases
/// lapse.
pub(super) async fn release_leases(core: &Arc<DaemonCore>, appends: &Arc<AppendQueue>) {
    wait_for_judgements(core).await;
    // Handed back while an order is under way, a lease would let the next
    // holder order at the same time.
    let order_lock = core.lock_orders().await;
    let released = release_all(core);
    drop(order_lock);
    let released = released
        .into_iter()
        .map(|record| release(core, appends, record));
    join_all(released).await;
}

/// Waits for the judgement of records that are on their way.
///
/// A lease that was acquired but not read back yet could not be released, and
/// a renewal that comes before the release makes that void; in both cases the
/// lease would stay with a host that is gone.
async fn wait_for_judgements(core: &DaemonCore) {
    let deadline = Instant::now() + REPLAY_TIMEOUT;
    while Instant::now() < deadline {
        let is_awaiting = {
            let state = core.tables.leases.lock();
            let mut machines = state.machines.iter();
            machines.any(|named| named.machine.awaits_judgement())
        };
        if !is_awaiting {
            return;
        }
        tokio::time::sleep(REPLAY_POLL).await;
    }
}

/// Appends a release until the log shows that it took effect.
async fn release(
    core: &Arc<DaemonCore>,
    appends: &Arc<AppendQueue>,
    mut record: LogRecord<LeaseBody>,
) {
    loop {
        append(Arc::clone(core), Arc::clone(appends), record.clone()).await;
        let deadline = Instant::now() + REPLAY_TIMEOUT;
        while Instant::now() < deadline {
            if !is_held(core, &record) {
                return;
            }
            tokio::time::sleep(REPLAY_POLL).await;
        }
        record.id = new_id();
        record.body.seen = core.tables.leases.lock().table.next_offset();
    }
}

/// Whether the log still shows the lease as its writer's.
fn is_held(core: &DaemonCore, record: &LogRecord<LeaseBody>) -> bool {
    let state = core.tables.leases.lock();
    let holder = state.table.holder(&record.body.name);
    holder.is_some_and(|holder| holder.owner == LeaseOwner::of(record))
}

fn release_all(core: &DaemonCore) -> Vec<LogRecord<LeaseBody>> {
    let now = Instant::now();
    let mut state = core.tables.leases.lock();
    let LeaseState { table, machines } = &mut *state;
    machines
        .iter_mut()
        .filter_map(|named| named.machine.release(table, new_id(), now))
        .collect()
}

fn new_id() -> RecordId {
    Uuid::new_v4().to_string().into()
}

async fn append(core: Arc<DaemonCore>, appends: Arc<AppendQueue>, record: LogRecord<LeaseBody>) {
    let Ok(text) = serde_json::to_string(&record) else {
        return;
    };
    let Ok(appended) = appends.submit(text) else {
        return;
    };
    if let Ok(Err(error)) = appended.await {
        let mut state = core.tables.leases.lock();
        for named in &mut state.machines {
            named.machine.take_append_failure(&record.id, error.verdict);
        }
    }
}
