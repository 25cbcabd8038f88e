//! Appends checkpoints before the records that they cover expire.

use std::sync::Arc;
use std::time::Duration;

use rand::{RngExt, SeedableRng, rngs::StdRng};
use uuid::Uuid;

use super::core::DaemonCore;
use crate::ids::RecordId;
use crate::records::{DeclarationBody, JUDGING_RULES, LogRecord};
use crate::replay::{CheckpointSchedule, LogHorizon};

/// Time between two checks whether a checkpoint is due.
const CHECKPOINT_TICK: Duration = Duration::from_secs(1);
/// Maximum random delay before a checkpoint, so that one host writes first.
const MAX_STAGGER: Duration = Duration::from_secs(2);
/// Age after which a checkpoint is written again even if nothing has changed.
const MAX_CHECKPOINT_AGE: Duration = Duration::from_secs(6 * 3600);

/// Appends a checkpoint whenever one is due, until the daemon ends.
///
/// This needs no lease: a second checkpoint of the same state is harmless, and the random
/// delay usually lets one host write first, so that the others read its record and skip
/// theirs.
pub(super) async fn run_checkpoints(core: Arc<DaemonCore>, seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    let mut ticks = tokio::time::interval(CHECKPOINT_TICK);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if !is_due(&core) {
            continue;
        }
        tokio::time::sleep(MAX_STAGGER.mul_f64(random.random_range(0.0..1.0))).await;
        if is_due(&core) {
            append_checkpoint(&core).await;
        }
    }
}

fn is_due(core: &DaemonCore) -> bool {
    let schedule = CheckpointSchedule {
        max_records: core.options.platform.checkpoint_records,
        max_age: MAX_CHECKPOINT_AGE,
    };
    let horizon = LogHorizon {
        first_offset: core.log_horizon(),
        newest_age: core.checkpoint_age(),
    };
    let declarations = core.tables.declarations.read();
    declarations.should_checkpoint(&horizon, &schedule)
}

async fn append_checkpoint(core: &DaemonCore) {
    let checkpoint = core.tables.declarations.read().checkpoint();
    let record = LogRecord {
        id: RecordId::from(Uuid::new_v4().to_string()),
        rules: JUDGING_RULES,
        writer: core.host().clone(),
        incarnation: core.incarnation,
        body: DeclarationBody::Checkpoint(checkpoint),
    };
    let Ok(text) = serde_json::to_string(&record) else {
        return;
    };
    // After a lost or failed append the checkpoint is still due and is tried again.
    if let Ok(appended) = core.declaration_appends.submit(text) {
        let _ = appended.await;
    }
}
