//! Follows the claim stream.

use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::events::{claim_time, handle_event_locked, record_win, submit};
use super::local_state::ClaimState;
use crate::claims::machine::ClaimEvent;
use crate::claims::record::{ClaimBody, ClaimEntry};
use crate::claims::table::ClaimJudgement;
use crate::daemon::core::DaemonCore;
use crate::daemon::tails::{READ_LIMIT, open_tail};
use crate::ids::{LogOffset, RecordId};
use crate::platform::log_tail::TailEvent;
use crate::platform::wire::StoredRecord;
use crate::records::{CLAIM_STREAM, JUDGING_RULES, LogRecord};

/// Time between two checks of the claims' deadlines.
const CLAIM_TICK: Duration = Duration::from_millis(20);
/// Time between two checks whether all claims are settled.
const SETTLEMENT_TICK: Duration = Duration::from_millis(10);
/// The idempotency window divided by this is the range over which hosts stagger their
/// time marks.
const STAGGER_DIVISOR: u32 = 8;
/// The idempotency window divided by this is the pause before a lost time mark is
/// appended again.
const MARK_RETRY_DIVISOR: u32 = 32;
/// Mixed into the seed, so that claims draw other random numbers than other workers.
const CLAIM_SEED_MASK: u64 = 0x636c_6169_6d73;

/// Applies records as they arrive and checks deadlines, until the daemon ends.
pub(in crate::daemon) async fn run_claims(core: Arc<DaemonCore>, seed: u64) {
    let mut marks = MarkWriter::new(&core, seed ^ CLAIM_SEED_MASK);
    read_without_waiting(&core, &mut marks).await;
    let next = core.tables.claims.lock().table.next_offset();
    let mut tail = open_tail(&core, CLAIM_STREAM, next, seed ^ CLAIM_SEED_MASK);
    let mut ticks = tokio::time::interval(CLAIM_TICK);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            event = tail.next() => match event {
                Some(event) => handle_tail_event(&core, &mut marks, event),
                None => return,
            },
            _ = ticks.tick() => tick(&core, &mut marks),
        }
    }
}

/// Reads the first records of the stream without waiting for new ones.
///
/// The tail's first read of an idle stream lasts for its full wait, and this host would
/// refuse all keys meanwhile although there are no claims to learn of.
async fn read_without_waiting(core: &Arc<DaemonCore>, marks: &mut MarkWriter) {
    let read = core
        .platform
        .read(CLAIM_STREAM, 0, READ_LIMIT, Duration::ZERO);
    if let Ok(response) = read.await {
        let event = TailEvent::Records {
            records: response.records,
            end_offset: response.end_offset,
            first_offset: response.first_offset,
        };
        handle_tail_event(core, marks, event);
    }
}

fn handle_tail_event(core: &Arc<DaemonCore>, marks: &mut MarkWriter, event: TailEvent) {
    let mut state = core.tables.claims.lock();
    match event {
        TailEvent::Records {
            records,
            end_offset,
            first_offset,
        } => {
            state.log_available = true;
            state.table.observe_read(first_offset, SystemTime::now());
            for record in &records {
                apply(core, &mut state, record);
            }
            marks.caught_up = state.table.next_offset() >= end_offset;
        }
        TailEvent::Unreachable { .. } => {
            state.log_available = false;
            log::warn!("the claim stream cannot be read; no idempotency key can be claimed");
        }
        TailEvent::Expired { first_offset, .. } => {
            log::error!("claim records before offset {first_offset} expired before they were read");
        }
    }
}

fn apply(core: &Arc<DaemonCore>, state: &mut ClaimState, stored: &StoredRecord) {
    let record = match serde_json::from_str::<LogRecord<ClaimBody>>(&stored.body) {
        Ok(record) => record,
        Err(error) => {
            // The table treats the gap as missed claims and admits no keys until those
            // claims would have expired. If the record were skipped silently, a claim
            // written by a newer version could be won a second time.
            log::error!("claim record {} cannot be read: {error}", stored.offset);
            return;
        }
    };
    let judgement = state.table.apply(stored.offset, &record);
    if let Some(active) = state.active.get(&record.id) {
        if judgement == ClaimJudgement::Won {
            record_win(core, active, stored.offset);
        }
        let event = ClaimEvent::ClaimReplayed(judgement);
        return handle_event_locked(core, state, &record.id, event);
    }
    if let Some(claim) = state.settlements.get(&record.id).cloned() {
        handle_event_locked(core, state, &claim, ClaimEvent::SettlementReplayed);
    }
}

fn tick(core: &Arc<DaemonCore>, marks: &mut MarkWriter) {
    let mut state = core.tables.claims.lock();
    let now = claim_time();
    state.table.prune(now.wall);
    state.prune_ended(now.instant);
    let active: Vec<RecordId> = state.active.keys().cloned().collect();
    for claim in active {
        handle_event_locked(core, &mut state, &claim, ClaimEvent::Tick);
    }
    marks.write_if_due(core, &state, now.wall);
}

/// Appends a time mark when the stream has had none for a long time.
struct MarkWriter {
    stagger: Duration,
    /// Whether the whole stream has been read. Before that, a later mark in the stream
    /// would be missed and written again.
    caught_up: bool,
    written_at: Option<Instant>,
    count: LogOffset,
}

impl MarkWriter {
    fn new(core: &DaemonCore, seed: u64) -> Self {
        let max_stagger = core.options.timing.idempotency_window / STAGGER_DIVISOR;
        let mut random = StdRng::seed_from_u64(seed);
        Self {
            stagger: max_stagger.mul_f64(random.random_range(0.0..1.0)),
            caught_up: false,
            written_at: None,
            count: 0,
        }
    }

    fn write_if_due(&mut self, core: &DaemonCore, state: &ClaimState, now: SystemTime) {
        let retry = core.options.timing.idempotency_window / MARK_RETRY_DIVISOR;
        let is_pending = self.written_at.is_some_and(|at| at.elapsed() < retry);
        let is_due = self.caught_up && state.log_available && !is_pending;
        if !is_due || !state.table.mark_due(now, self.stagger) {
            return;
        }
        self.written_at = Some(Instant::now());
        self.count += 1;
        let (host, incarnation) = (core.host(), core.incarnation);
        let record = LogRecord {
            id: format!("{host}/{incarnation:x}/mark-{}", self.count).into(),
            rules: JUDGING_RULES,
            writer: host.clone(),
            incarnation,
            body: ClaimBody {
                mark: state.table.mark(now),
                entry: ClaimEntry::Mark,
            },
        };
        // A lost or rejected mark is appended again after the pause.
        let _ = submit(core, &record);
    }
}

/// Waits until the log shows the outcome of every claim of this host.
///
/// If the daemon exits earlier, keys stay blocked although their callers have received
/// responses that allow a retry with the same key.
pub(in crate::daemon) async fn wait_for_settlements(core: &DaemonCore) {
    while core.tables.claims.lock().unsettled() > 0 {
        tokio::time::sleep(SETTLEMENT_TICK).await;
    }
}
