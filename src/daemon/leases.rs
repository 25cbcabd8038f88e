//! Follows the lease stream and competes for the leases of this host's zone.

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

/// Time between two checks of the leases.
const LEASE_TICK: Duration = Duration::from_millis(100);
/// Maximum time that a shutdown waits for its records to be replayed.
const REPLAY_TIMEOUT: Duration = Duration::from_secs(1);
/// Time between two checks whether the records of a shutdown have been replayed.
const REPLAY_POLL: Duration = Duration::from_millis(10);
/// Renewals within one lease duration.
const RENEWALS_PER_DURATION: u32 = 3;

/// The lease table and this host's lease machines, under one lock.
pub(super) struct LeaseState {
    pub(super) table: LeaseTable,
    machines: Vec<NamedMachine>,
}

struct NamedMachine {
    name: LeaseName,
    machine: LeaseMachine,
}

impl LeaseState {
    /// Creates the state without any lease machines.
    pub(super) fn new(table: LeaseTable) -> Self {
        Self {
            table,
            machines: Vec::new(),
        }
    }

    /// Returns the fencing number under which this host may now begin an action that
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
        // Ids are unique, so only the machine that sent the record recognises it.
        for named in &mut self.machines {
            named
                .machine
                .observe_judgement(&id, record.offset, judged.judgement);
        }
    }
}

/// Returns the name of the lease on ordering a zone's targets.
pub(super) fn orders_lease(zone: &ZoneId) -> LeaseName {
    format!("orders/{zone}").into()
}

/// Returns the name of the lease on dividing a zone's shares.
pub(super) fn shares_lease(zone: &ZoneId) -> LeaseName {
    format!("zone-shares/{zone}").into()
}

/// Returns the name of the lease on splitting capacity over zones.
pub(super) fn allotments_lease() -> LeaseName {
    "allotments".into()
}

/// Follows the stream and competes for the zone's leases, until the daemon ends.
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
            // Random per host, so that the hosts do not all try at once.
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
            state.table.observe_read(first_offset, now);
            for record in &records {
                state.apply(record, now);
            }
        }
        TailEvent::Expired { first_offset, .. } => state.table.observe_read(first_offset, now),
        // Without the log no lease can be renewed or acquired.
        TailEvent::Unreachable { .. } => {}
    }
}

/// Lets each lease machine decide, and appends the resulting records.
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
                LeaseDecision::StepDown => log::warn!("lease {} was lost", named.name),
                LeaseDecision::Hold { .. } | LeaseDecision::Wait { .. } => {}
            }
        }
    }
    for record in records {
        tokio::spawn(append(Arc::clone(core), Arc::clone(appends), record));
    }
}

/// Releases the leases, so that another host can acquire them at once, and returns when
/// this host has read back that they are free. Must be called after the daemon has begun
/// to drain.
///
/// A worker task could not do this reliably: if nothing is in flight, the process would
/// end first, and no host would order the zone's targets until the leases expire.
pub(super) async fn release_leases(core: &Arc<DaemonCore>, appends: &Arc<AppendQueue>) {
    wait_for_judgements(core).await;
    // If a lease were released while an order is open, the next holder could send orders
    // at the same time.
    let order_lock = core.lock_orders().await;
    let released = release_all(core);
    drop(order_lock);
    let released = released
        .into_iter()
        .map(|record| release(core, appends, record));
    join_all(released).await;
}

/// Waits until the records that are already submitted are judged.
///
/// A lease that is acquired but not read back yet cannot be released, and a renewal that
/// is stored before the release invalidates it. In both cases a host that has shut down
/// would keep the lease.
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

/// Appends a release until the log shows that it has taken effect.
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

/// Returns whether the log still shows the record's writer as the holder of the lease.
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
            named
                .machine
                .observe_append_failure(&record.id, error.verdict);
        }
    }
}
