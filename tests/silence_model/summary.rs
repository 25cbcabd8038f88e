//! What became of the requests of a game.

use std::fmt;

use crate::game::{Game, SECOND};
use crate::streams::Outcome;

/// Numbers of requests, unless a field says otherwise.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct GameSummary {
    pub(crate) requests: usize,
    pub(crate) complete: usize,
    pub(crate) cut_silent: usize,
    pub(crate) cut_broken: usize,
    pub(crate) left: usize,
    pub(crate) deadline: usize,
    pub(crate) failed: usize,
    pub(crate) refused: usize,
    pub(crate) retries: usize,
    pub(crate) beside: usize,
    pub(crate) useless: usize,
    pub(crate) given_up: usize,
    /// Streams of engines that went dark or stopped, and those of them that completed.
    pub(crate) dark: usize,
    pub(crate) dark_complete: usize,
    pub(crate) stopped: usize,
    pub(crate) stopped_complete: usize,
    /// Streams that completed with a pause of more than one second.
    pub(crate) paused: usize,
    pub(crate) fullest: f64,
    /// Seconds that streams of dark engines waited for another attempt, and how many got one.
    pub(crate) repeat_wait: f64,
    pub(crate) repeated: usize,
    pub(crate) longest_repeat_wait: f64,
}

impl GameSummary {
    /// Returns the sum of two games.
    pub(crate) fn add(self, other: Self) -> Self {
        Self {
            requests: self.requests + other.requests,
            complete: self.complete + other.complete,
            cut_silent: self.cut_silent + other.cut_silent,
            cut_broken: self.cut_broken + other.cut_broken,
            left: self.left + other.left,
            deadline: self.deadline + other.deadline,
            failed: self.failed + other.failed,
            refused: self.refused + other.refused,
            retries: self.retries + other.retries,
            beside: self.beside + other.beside,
            useless: self.useless + other.useless,
            given_up: self.given_up + other.given_up,
            dark: self.dark + other.dark,
            dark_complete: self.dark_complete + other.dark_complete,
            stopped: self.stopped + other.stopped,
            stopped_complete: self.stopped_complete + other.stopped_complete,
            paused: self.paused + other.paused,
            fullest: self.fullest.max(other.fullest),
            repeat_wait: self.repeat_wait + other.repeat_wait,
            repeated: self.repeated + other.repeated,
            longest_repeat_wait: self.longest_repeat_wait.max(other.longest_repeat_wait),
        }
    }

    /// Returns what became of the requests of a game that is over.
    pub(crate) fn of(game: &Game) -> Self {
        let mut summary = Self {
            requests: game.ended.len(),
            beside: game.beside,
            useless: game.useless,
            given_up: game.given_up.len(),
            fullest: game.counts.fullest().used(),
            ..Self::default()
        };
        for stream in &game.ended {
            let outcome = stream.outcome.expect("ended");
            let is_complete = outcome == Outcome::Complete;
            summary.retries += stream.runs.len().saturating_sub(1);
            match outcome {
                Outcome::Complete => summary.complete += 1,
                Outcome::Refused => summary.refused += 1,
                Outcome::Failed => summary.failed += 1,
                Outcome::CutSilent => summary.cut_silent += 1,
                Outcome::CutBroken => summary.cut_broken += 1,
                Outcome::Left => summary.left += 1,
                Outcome::Deadline => summary.deadline += 1,
                Outcome::HostKilled => {}
            }
            match stream.lost {
                Some(lost) if lost.accepts => {
                    summary.stopped += 1;
                    summary.stopped_complete += usize::from(is_complete);
                }
                Some(lost) => {
                    if let Some(at) = stream.repeated_at {
                        let wait = (at - lost.at) as f64 / SECOND as f64;
                        summary.repeat_wait += wait;
                        summary.repeated += 1;
                        summary.longest_repeat_wait = summary.longest_repeat_wait.max(wait);
                    }
                    summary.dark += 1;
                    summary.dark_complete += usize::from(is_complete);
                }
                None => {}
            }
            summary.paused += usize::from(is_complete && stream.longest_pause > SECOND);
        }
        summary
    }
}

impl fmt::Display for GameSummary {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let waited = self.repeat_wait / self.repeated.max(1) as f64;
        write!(
            formatter,
            "{} requests, {} complete, {} of them with a pause above 1 s, {} cut as silent, {} \
             cut as broken, {} given up, {} left, {} at the deadline, {} failed, {} refused, {} \
             retries, {} beside, {} of them useless, {:.2} of the bound, dark {} of {}, stopped \
             {} of {}, repeated after {waited:.2} s, at most {:.2} s",
            self.requests,
            self.complete,
            self.paused,
            self.cut_silent,
            self.cut_broken,
            self.given_up,
            self.left,
            self.deadline,
            self.failed,
            self.refused,
            self.retries,
            self.beside,
            self.useless,
            self.fullest,
            self.dark_complete,
            self.dark,
            self.stopped_complete,
            self.stopped,
            self.longest_repeat_wait,
        )
    }
}
