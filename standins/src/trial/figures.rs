//! What callers got in a trial.

use std::time::Duration;

/// What callers got.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct TrialFigures {
    /// Requests asked.
    pub offered: usize,
    /// Whole answers, in time.
    pub on_time: usize,
    /// Whole answers with a late event.
    pub late: usize,
    /// Refused.
    pub refused: usize,
    /// Broken off.
    pub cut: usize,
    /// Times to the first event.
    pub first: Vec<Duration>,
    /// Longest pause of each whole answer.
    pub pauses: Vec<Duration>,
}

impl TrialFigures {
    /// A row of a table: shares in 100, first event at 50 and 95 in 100 and
    /// longest pause at 95 in 100, in milliseconds.
    pub fn row(&mut self) -> String {
        let share = |count: usize| 100.0 * count as f64 / self.offered.max(1) as f64;
        let [on_time, late] = [self.on_time, self.late].map(share);
        let [refused, cut] = [self.refused, self.cut].map(share);
        let first = [0.5, 0.95].map(|fraction| quantile(&mut self.first, fraction).as_millis());
        let pause = quantile(&mut self.pauses, 0.95).as_millis();
        format!(
            "{on_time:7.1} {late:6.1} {refused:7.1} {cut:4.1} {:8} {:7} {pause:7}",
            first[0], first[1]
        )
    }

    /// Whole answers in time as a share of what was asked.
    pub fn on_time_share(&self) -> f64 {
        self.on_time as f64 / self.offered.max(1) as f64
    }
}

fn quantile(times: &mut [Duration], fraction: f64) -> Duration {
    times.sort_unstable();
    let index = (times.len() as f64 * fraction) as usize;
    let last = times.len().saturating_sub(1);
    times.get(index.min(last)).copied().unwrap_or_default()
}

/// A plot of shares as bars of text, one row a name.
pub fn plot_rows(rows: &[(String, f64)]) -> String {
    const WIDTH: f64 = 50.0;
    let line = |(name, share): &(String, f64)| {
        let bar = "#".repeat((share * WIDTH).round() as usize);
        format!("{name:36} {bar} {:.0}%\n", share * 100.0)
    };
    rows.iter().map(line).collect()
}
