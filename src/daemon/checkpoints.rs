//! Appending checkpoints before the records that they cover expire.

use std::sync::Arc;
use std::time::Duration;

use rand::{RngExt, SeedableRng, rngs::StdRng};
use uuid::Uuid;

use super::core::DaemonCore;
use crate::ids::RecordId;
use crate::records::{DeclarationBody, JUDGING_RULES, LogRecord};
use crate::replay::{CheckpointSchedule, LogHorizon};

/// Pause between two looks at whether a checkpoint is due.
const CHECKPOINT_TICK: Duration = Duration::from_secs(1);
/// Longest extra wait of one host, so that another may be first.
const MAX_STAGGER: Duration = Duration::from_secs(2);
/// Age after which a checkpoint is written anew although nothing changed.
const MAX_CHECKPOINT_AGE: Duration = Duration::from_secs(6 * 3600);

/// Appends a checkpoint whenever one is due, until the daemon ends.
///
/// No lease is needed: a second checkpoint of the same state does no harm, and
/// the random wait lets one host be first, whose record the others then see.
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
    // A lost or failed append shows as a checkpoint that is still due.
    if let Ok(appended) = core.declaration_appends.submit(text) {
        let _ = appended.await;
    }
}
