//! Starts from the declaration log and follows it.
//!
//! A daemon starts from the log if it can be read, otherwise from its peers, beginning
//! with the one with the highest offset. Until then it accepts no work. Once it serves,
//! the replayed state stays in effect even if the log fails.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::activation::activate_declarations;
use super::core::{DaemonCore, DaemonPhase};
use super::record_relay::catch_up_from_peers;
use super::tails::{READ_LIMIT, open_tail};
use crate::platform::log_tail::TailEvent;
use crate::platform::wire::StoredRecord;
use crate::records::DECLARATION_STREAM;
use crate::replay::{
    ApplyError, DeclarationTable, Judgement, StartDecision, StartPlanner, WindowRules,
};

/// Pause after a start attempt that found no usable state.
const START_RETRY: Duration = Duration::from_millis(200);

/// Reason why the tail is no longer followed.
enum TailEnd {
    /// Records were missed, so the daemon starts again from a checkpoint.
    Missed,
    /// The daemon is ending.
    Closed,
}

/// Starts from the log or from peers and follows the log, until the daemon ends. Starts
/// again when records were missed.
pub(super) async fn run_declarations(core: Arc<DaemonCore>, seed: u64) {
    loop {
        start(&core).await;
        if let TailEnd::Closed = follow(&core, seed).await {
            return;
        }
    }
}

/// Returns once the log or a peer has provided a state from which the log can be
/// followed.
async fn start(core: &Arc<DaemonCore>) {
    let began = Instant::now();
    loop {
        if let Some(table) = start_from_log(core).await {
            install(core, table);
            core.readiness.confirm();
            return;
        }
        catch_up_from_peers(core).await;
        // Peers without a heartbeat by then are unreachable.
        if core.all_peers_live() || began.elapsed() >= core.options.timing.peer_timeout {
            core.readiness.confirm();
        }
        if can_follow(core) {
            return;
        }
        tokio::time::sleep(START_RETRY).await;
    }
}

/// Returns whether the log, as far as is known, still keeps the next record.
fn can_follow(core: &DaemonCore) -> bool {
    let declarations = core.tables.declarations.read();
    let is_confirmed = core.phase() != DaemonPhase::Starting;
    is_confirmed && !declarations.missed_records(core.log_horizon())
}

/// Reads the log until the planner finds a state. Returns `None` if the log cannot be
/// read or holds no usable state.
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
                log::warn!("the declaration log cannot be read at startup: {error}");
                return None;
            }
        };
        core.set_log_horizon(response.first_offset);
        core.readiness
            .observe_end_offset(response.end_offset, Instant::now());
        match planner.on_read(&response) {
            StartDecision::ReadFrom(offset) => from = offset,
            StartDecision::Started(table) => return Some(*table),
            StartDecision::NotReady(obstacle) => {
                log::error!("the declaration log holds no usable state: {obstacle}");
                return None;
            }
        }
    }
}

/// Activates a state from the log, unless a newer one is already in effect.
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
        Err(error) => log::debug!("the current state is kept: {error}"),
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
                core.readiness
                    .observe_end_offset(end_offset, Instant::now());
                if let Err(ApplyError::Gap { .. }) = apply_records(core, &records) {
                    return TailEnd::Missed;
                }
            }
            TailEvent::Unreachable { .. } => {
                log::warn!(
                    "the declaration log cannot be read; the current configuration stays in effect"
                );
            }
            TailEvent::Expired { first_offset, .. } => {
                core.set_log_horizon(first_offset);
                let missed = core.tables.declarations.read().missed_records(first_offset);
                if missed {
                    log::error!(
                        "declaration records before offset {first_offset} expired before they were read"
                    );
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
/// Returns the error of the first record that could not be applied. The records before it
/// are in effect.
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

/// Applies one record, counts its judgement in the metrics and keeps its text for peers.
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
            log::error!("declaration record {}: {judgement:?}", record.offset);
        }
        Judgement::CheckpointMatched => core.record_checkpoint_read(),
        _ => log::debug!("declaration record {}: {judgement:?}", record.offset),
    }
    let mut relay = core.tables.relay.lock();
    relay.push(record.offset, record.body.clone());
    Ok(())
}
