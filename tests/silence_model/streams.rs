//! Requests of a game and their attempts.

use jackdawwick::silence::SilenceLimits;

use crate::game::MAX_ATTEMPTS;

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Outcome {
    Complete,
    /// It was never sent.
    Refused,
    /// Its target returned a failure.
    Failed,
    /// The host ended it for a silence.
    CutSilent,
    /// The host ended it after its connection broke.
    CutBroken,
    Left,
    Deadline,
    HostKilled,
}

/// One sent attempt.
#[derive(Debug, Clone)]
pub(crate) struct SimAttempt {
    pub(crate) engine: usize,
    pub(crate) process: u32,
    /// Step at which the engine sends the next event.
    pub(crate) next_at: usize,
    /// Last event that the engine has sent, and that the host has received.
    pub(crate) emitted: u32,
    pub(crate) received: u32,
    /// Step of the last progress.
    pub(crate) progress: usize,
    pub(crate) check_at: usize,
    /// Step at which the running check ends.
    pub(crate) checked_at: Option<usize>,
    /// Whether the engine returns a failure in place of events.
    pub(crate) fails: bool,
}

/// An attempt that is being connected.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SimDial {
    pub(crate) engine: usize,
    pub(crate) ready_at: usize,
}

#[derive(Debug, Clone)]
pub(crate) struct SimStream {
    pub(crate) host: usize,
    pub(crate) is_repeatable: bool,
    pub(crate) arrived: usize,
    pub(crate) deadline: usize,
    pub(crate) patience: usize,
    pub(crate) silence_limit: usize,
    pub(crate) limits: SilenceLimits,
    pub(crate) events: u32,
    pub(crate) interval: f64,
    pub(crate) prefill: usize,
    pub(crate) fails: [bool; MAX_ATTEMPTS],
    /// Last event that the caller has, and when it came.
    pub(crate) passed: u32,
    pub(crate) passed_at: usize,
    pub(crate) longest_pause: usize,
    pub(crate) attempts: Vec<SimAttempt>,
    pub(crate) dial: Option<SimDial>,
    /// Until when the request waits for a target.
    pub(crate) waits_until: Option<usize>,
    /// Engines that got the request.
    pub(crate) runs: Vec<usize>,
    /// Engines that the next attempt avoids.
    pub(crate) avoid: Vec<usize>,
    /// Set if the engine of its first attempt ended without a sign, and it may be repeated.
    pub(crate) lost: Option<LostEngine>,
    /// When the first attempt after that was sent.
    pub(crate) repeated_at: Option<usize>,
    pub(crate) outcome: Option<Outcome>,
}

#[derive(Debug, Clone, Copy)]
pub(crate) struct LostEngine {
    pub(crate) at: usize,
    pub(crate) accepts: bool,
}
