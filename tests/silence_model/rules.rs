//! What hosts of a game do about silences.

/// What a host does about silences.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SilenceRule {
    /// It gives an attempt up at the first check that finds its target silent.
    GiveUp,
    /// It keeps an attempt until another one delivers.
    Accompany,
}
