//! Follows the stream of claims.

use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::desk::ClaimDesk;
use super::feed::{claim_time, feed_desk, note_won, submit};
use crate::claims::machine::ClaimEvent;
use crate::claims::record::{ClaimBody, ClaimEntry};
use crate::claims::table::ClaimJudgement;
use crate::daemon::core::DaemonCore;
use crate::daemon::tails::{READ_LIMIT, open_tail};
use crate::ids::{LogOffset, RecordId};
use crate::platform::log_tail::TailEvent;
use crate::platform::wire::StoredRecord;
use crate::records::{CLAIM_STREAM, JUDGING_RULES, LogRecord};

/// Pause between two looks at the deadlines of claims.
const CLAIM_TICK: Duration = Duration::from_millis(20);
/// Pause between two looks at whether all claims are settled.
const SETTLEMENT_TICK: Duration = Duration::from_millis(10);
/// The part of the window by which hosts spread their time marks.
const STAGGER_PART: u32 = 8;
/// The part of the window after which a lost time mark is appended again.
const MARK_RETRY_PART: u32 = 32;
/// Keeps the randomness drawn here apart from that of other streams.
const CLAIM_SEED: u64 = 0x636c_6169_6d73;

/// Applies records as they come and watches deadlines, until the daemon ends.
pub(in crate::daemon) async fn run_claims(core: Arc<DaemonCore>, seed: u64) {
    let mut marks = MarkWriter::new(&core, seed ^ CLAIM_SEED);
    read_at_once(&core, &mut marks).await;
    let next = core.tables.claims.lock().table.next_offset();
    let mut tail = open_tail(&core, CLAIM_STREAM, next, seed ^ CLAIM_SEED);
    let mut ticks = tokio::time::interval(CLAIM_TICK);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            event = tail.next() => match event {
                Some(event) => take_event(&core, &mut marks, event),
                None => return,
            },
            _ = ticks.tick() => tick(&core, &mut marks),
        }
    }
}

/// Reads the beginning of the stream without waiting for records.
///
/// The tail's first read of a quiet stream takes its whole wait, for which
/// this host would refuse keys although there is nothing to be known.
async fn read_at_once(core: &Arc<DaemonCore>, marks: &mut MarkWriter) {
    let read = core
        .platform
        .read(CLAIM_STREAM, 0, READ_LIMIT, Duration::ZERO);
    if let Ok(answer) = read.await {
        let event = TailEvent::Records {
            records: answer.records,
            end_offset: answer.end_offset,
            first_offset: answer.first_offset,
        };
        take_event(core, marks, event);
    }
}

fn take_event(core: &Arc<DaemonCore>, marks: &mut MarkWriter, event: TailEvent) {
    let mut desk = core.tables.claims.lock();
    match event {
        TailEvent::Records {
            records,
            end_offset,
            first_offset,
        } => {
            desk.log_available = true;
            desk.table.observe_read(first_offset, SystemTime::now());
            for record in &records {
                apply(core, &mut desk, record);
            }
            marks.caught_up = desk.table.next_offset() >= end_offset;
        }
        TailEvent::Unreachable { .. } => {
            desk.log_available = false;
            log::warn!("the stream of claims cannot be read; no key can be claimed");
        }
        TailEvent::Expired { first_offset, .. } => {
            log::error!("claims before offset {first_offset} expired unread");
        }
    }
}

fn apply(core: &Arc<DaemonCore>, desk: &mut ClaimDesk, stored: &StoredRecord) {
    let record = match serde_json::from_str::<LogRecord<ClaimBody>>(&stored.body) {
        Ok(record) => record,
        Err(error) => {
            // The table takes the gap for missed claims and admits no keys
            // until they would have been too old. Passed over in silence, a
            // claim written by a later program could be won a second time.
            log::error!("claim record {} cannot be read: {error}", stored.offset);
            return;
        }
    };
    let judgement = desk.table.apply(stored.offset, &record);
    if let Some(active) = desk.active.get(&record.id) {
        if judgement == ClaimJudgement::Won {
            note_won(core, active, stored.offset);
        }
        let event = ClaimEvent::ClaimReplayed(judgement);
        return feed_desk(core, desk, &record.id, event);
    }
    if let Some(claim) = desk.settlements.get(&record.id).cloned() {
        feed_desk(core, desk, &claim, ClaimEvent::SettlementReplayed);
    }
}

fn tick(core: &Arc<DaemonCore>, marks: &mut MarkWriter) {
    let mut desk = core.tables.claims.lock();
    let now = claim_time();
    desk.table.prune(now.wall);
    desk.forget(now.instant);
    let active: Vec<RecordId> = desk.active.keys().cloned().collect();
    for claim in active {
        feed_desk(core, &mut desk, &claim, ClaimEvent::Tick);
    }
    marks.write_if_due(core, &desk, now.wall);
}

/// Appends a time mark when the stream has had none for long.
struct MarkWriter {
    stagger: Duration,
    /// Whether the whole stream has been read; before that, a mark that
    /// stands further on would be missed and written again.
    caught_up: bool,
    written: Option<Instant>,
    count: LogOffset,
}

impl MarkWriter {
    fn new(core: &DaemonCore, seed: u64) -> Self {
        let longest = core.options.timing.idempotency_window / STAGGER_PART;
        let mut random = StdRng::seed_from_u64(seed);
        Self {
            stagger: longest.mul_f64(random.random_range(0.0..1.0)),
            caught_up: false,
            written: None,
            count: 0,
        }
    }

    fn write_if_due(&mut self, core: &DaemonCore, desk: &ClaimDesk, now: SystemTime) {
        let retry = core.options.timing.idempotency_window / MARK_RETRY_PART;
        let is_pending = self.written.is_some_and(|at| at.elapsed() < retry);
        let is_due = self.caught_up && desk.log_available && !is_pending;
        if !is_due || !desk.table.mark_due(now, self.stagger) {
            return;
        }
        self.written = Some(Instant::now());
        self.count += 1;
        let (host, incarnation) = (core.host(), core.incarnation);
        let record = LogRecord {
            id: format!("{host}/{incarnation:x}/mark-{}", self.count).into(),
            rules: JUDGING_RULES,
            writer: host.clone(),
            incarnation,
            body: ClaimBody {
                mark: desk.table.mark(now),
                entry: ClaimEntry::Mark,
            },
        };
        // Lost or refused, it is tried again after the pause.
        let _ = submit(core, &record);
    }
}

/// Waits until the log shows how every claim of this host ended.
///
/// A daemon that exits before that leaves keys blocked that its callers were
/// told they may use again.
pub(in crate::daemon) async fn wait_for_settlements(core: &DaemonCore) {
    while core.tables.claims.lock().unsettled() > 0 {
        tokio::time::sleep(SETTLEMENT_TICK).await;
    }
}
