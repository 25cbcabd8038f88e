//! The cases.

mod cut_short;
mod late_beat;
mod lost_together;
mod missed_version;
mod old_copy;

use std::io;

/// Plays a case; returns whether its rule held.
pub fn play(name: &str, folder: &str, has_trouble: bool) -> io::Result<bool> {
    match name {
        "late-beat" => late_beat::play(folder, has_trouble),
        "lost-together" => lost_together::play(folder, has_trouble),
        "cut-short" => cut_short::play(folder, has_trouble),
        "missed-version" => missed_version::play(folder, has_trouble),
        "old-copy" => old_copy::play(folder, has_trouble),
        _ => Err(io::Error::other("no such case")),
    }
}
