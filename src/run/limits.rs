//! Bounds on what a run may spend on recovery.

use std::time::Duration;

use crate::ids::AttemptNumber;

/// How a stage gets its KV cache back after its target was replaced.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum RecoveryMode {
    /// Move the cache if the old target still answers, else replay the stage.
    #[default]
    MoveCache,
    /// Replay the stage: earlier stages hand back what they recorded, and only
    /// the new target computes.
    ReplayStage,
    /// Begin all stages anew over the prompt and the tokens generated so far.
    NewAttempt,
}

/// Bounds for one run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunLimits {
    /// Attempts that may be opened after the first, over all stages.
    pub max_repairs: AttemptNumber,
    /// Times that one step is sent again to the same target.
    pub resends_per_step: u32,
    /// The same, after a timeout. Each costs a further timeout if the target
    /// is frozen, so another target is sought first; if there is none,
    /// `resends_per_step` holds.
    pub resends_after_timeout: u32,
    /// Wait before the first resend; doubled for each further one.
    pub backoff_base: Duration,
    /// Longest wait before a resend.
    pub backoff_cap: Duration,
    /// How a replaced stage gets its KV cache back.
    pub recovery: RecoveryMode,
    /// Seed of the jitter on the waits.
    pub jitter_seed: u64,
}

impl Default for RunLimits {
    fn default() -> Self {
        Self {
            max_repairs: 8,
            resends_per_step: 1,
            resends_after_timeout: 0,
            backoff_base: Duration::from_millis(20),
            backoff_cap: Duration::from_millis(500),
            recovery: RecoveryMode::MoveCache,
            jitter_seed: 0,
        }
    }
}
