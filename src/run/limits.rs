//! Limits on the recovery of a run.

use std::time::Duration;

use crate::ids::AttemptNumber;

/// How a stage gets its KV cache back after its target was replaced.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum RecoveryMode {
    /// Move the cache if the old target still responds, or else replay the stage.
    #[default]
    MoveCache,
    /// Replay the stage: earlier stages return their recorded outputs, and only the new
    /// target computes.
    ReplayStage,
    /// Run all stages again over the prompt and the tokens generated so far.
    NewAttempt,
}

/// Limits on the recovery of one run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunLimits {
    /// Number of attempts that may follow the first one, over all stages.
    pub max_repairs: AttemptNumber,
    /// How often one step is sent again to the same target.
    pub resends_per_step: u32,
    /// How often one step is sent again to the same target after a timeout. Each resend
    /// costs another timeout if the target is frozen, so another target is chosen first;
    /// if there is none, `resends_per_step` applies.
    pub resends_after_timeout: u32,
    /// Delay before the first resend; doubled for each further one.
    pub backoff_base: Duration,
    /// Longest delay before a resend.
    pub backoff_cap: Duration,
    /// How a replaced stage gets its KV cache back.
    pub recovery: RecoveryMode,
    /// Seed for the jitter of the delays.
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
