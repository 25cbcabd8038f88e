//! Starting from the log, and following it.
//!
//! A daemon starts from the log if that can be read, else from its peers, the
//! one with the highest offset first; until then it takes no work. Once it
//! serves, what it has replayed stays in force whatever happens to the log.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::activation::activate_declarations;
use super::core::{DaemonCore, DaemonPhase};
use super::relaying::catch_up_from_peers;
use super::tails::{READ_LIMIT, open_tail};
use crate::platform::log_tail::TailEvent;
use crate::platform::wire::StoredRecord;
use crate::records::DECLARATION_STREAM;
use crate::replay::{
    ApplyError, DeclarationTable, Judgement, StartDecision, StartPlanner, WindowRules,
};

/// Pause after a start that found no usable state.
const START_RETRY: Duration = Duration::from_millis(200);

/// Why the tail was left.
enum TailEnd {
    /// Records were missed: start again from a checkpoint.
    Missed,
    /// The daemon is ending.
    Closed,
}

/// Starts and follows, again and again, until the daemon ends.
pub(super) async fn run_declarations(core: Arc<DaemonCore>, seed: u64) {
    loop {
        start(&core).await;
        if let TailEnd::Closed = follow(&core, seed).await {
            return;
        }
    }
}

/// Returns once the log or a peer has given a state that the log can be
/// followed from.
async fn start(core: &Arc<DaemonCore>) {
    let began = Instant::now();
    loop {
        if let Some(table) = start_from_log(core).await {
            install(core, table);
            core.readiness.confirm();
            return;
        }
        catch_up_from_peers(core).await;
        // Peers that have not been heard by then cannot be reached.
        if core.all_peers_live() || began.elapsed() >= core.options.timing.peer_timeout {
            core.readiness.confirm();
        }
        if can_follow(core) {
            return;
        }
        tokio::time::sleep(START_RETRY).await;
    }
}

/// Whether the next record is, as far as is known, still kept by the log.
fn can_follow(core: &DaemonCore) -> bool {
    let declarations = core.tables.declarations.read();
    let is_confirmed = core.phase() != DaemonPhase::Starting;
    is_confirmed && !declarations.missed_records(core.log_horizon())
}

/// Reads the log until the planner has found a state; `None` if the log can't
/// be read or holds no usable state.
async fn start_from_log(core: &DaemonCore) -> Option<DeclarationTable> {
    let mut planner = StartPlanner::new(
        WindowRules::CURRENT,
        core.options.platform.checkpoint_records,
    );
    let mut from = 0;
    loop {
        let read = core
            .platform
            .read(DECLARATION_STREAM, from, READ_LIMIT, Duration::ZERO)
            .await;
        let response = match read {
            Ok(response) => response,
            Err(error) => {
                log::warn!("the log cannot be read at the start: {error}");
                return None;
            }
        };
        core.set_log_horizon(response.first_offset);
        core.readiness.learn(response.end_offset, Instant::now());
        match planner.on_read(&response) {
            StartDecision::ReadFrom(offset) => from = offset,
            StartDecision::Started(table) => return Some(*table),
            StartDecision::NotReady(obstacle) => {
                log::error!("the log gives no usable state: {obstacle}");
                return None;
            }
        }
    }
}

/// Puts a state from the log in force, unless a newer one stands already.
fn install(core: &DaemonCore, table: DeclarationTable) {
    let superseded = {
        let mut declarations = core.tables.declarations.write();
        match declarations.applied() {
            0 => {
                *declarations = table;
                Ok(())
            }
            _ => declarations.supersede(table),
        }
    };
    match superseded {
        Ok(()) => activate_declarations(core),
        Err(error) => log::debug!("the state in force stays: {error}"),
    }
}

async fn follow(core: &DaemonCore, seed: u64) -> TailEnd {
    let from = core.tables.declarations.read().applied();
    let mut tail = open_tail(core, DECLARATION_STREAM, from, seed);
    while let Some(event) = tail.next().await {
        match event {
            TailEvent::Records {
                records,
                first_offset,
                end_offset,
            } => {
                core.set_log_horizon(first_offset);
                core.readiness.learn(end_offset, Instant::now());
                if let Err(ApplyError::Gap { .. }) = apply_records(core, &records) {
                    return TailEnd::Missed;
                }
            }
            TailEvent::Unreachable { .. } => {
                log::warn!("the platform's log cannot be read; what is in force stays in force");
            }
            TailEvent::Expired { first_offset, .. } => {
                core.set_log_horizon(first_offset);
                let missed = core.tables.declarations.read().missed_records(first_offset);
                if missed {
                    log::error!("records before offset {first_offset} expired unread");
                    return TailEnd::Missed;
                }
            }
        }
    }
    TailEnd::Closed
}

/// Applies records of the log or of a peer, in order.
///
/// # Errors
/// The first record that could not be applied; those before it are in force.
pub(super) fn apply_records(core: &DaemonCore, records: &[StoredRecord]) -> Result<(), ApplyError> {
    if records.is_empty() {
        return Ok(());
    }
    let applied = {
        let mut declarations = core.tables.declarations.write();
        records
            .iter()
            .try_for_each(|record| apply_record(core, &mut declarations, record))
    };
    activate_declarations(core);
    applied
}

/// Applies one record, counts what its judgement is worth and keeps its text
/// for peers.
pub(super) fn apply_record(
    core: &DaemonCore,
    declarations: &mut DeclarationTable,
    record: &StoredRecord,
) -> Result<(), ApplyError> {
    let judgement = declarations.apply_raw(record.offset, &record.body)?;
    match &judgement {
        Judgement::AlreadyApplied => return Ok(()),
        Judgement::CheckpointDiffers { .. } | Judgement::CheckpointDamaged { .. } => {
            core.metrics.checkpoint_differed();
            log::error!("record {}: {judgement:?}", record.offset);
        }
        Judgement::CheckpointMatched => core.record_checkpoint_read(),
        _ => log::debug!("record {}: {judgement:?}", record.offset),
    }
    let mut relay = core.tables.relay.lock();
    relay.push(record.offset, record.body.clone());
    Ok(())
}
