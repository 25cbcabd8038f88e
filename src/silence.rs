//! What is known about targets that have fallen silent.

/// What is known about a target that sends nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SilenceCause {
    /// The target reports and names no engine at fault.
    Working,
    /// It accepts connections and does not respond on them.
    Still,
    /// It accepts no connections.
    Unreachable,
    /// It refuses connections and keeps the open ones: it is shutting down.
    Closing,
    /// It reports that the request waits for a later engine of its path.
    Stalled,
    /// Other hosts reach it, and this host has lost its link to it.
    LostLink,
}

impl SilenceCause {
    /// Returns the name used in metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Working => "working",
            Self::Still => "still",
            Self::Unreachable => "unreachable",
            Self::Closing => "closing",
            Self::Stalled => "stalled",
            Self::LostLink => "lost_link",
        }
    }
}
