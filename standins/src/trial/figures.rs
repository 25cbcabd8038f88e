//! Results of a trial, as callers see them.

use std::time::Duration;

/// Results of a trial.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct TrialFigures {
    /// Requests that were sent.
    pub offered: usize,
    /// Complete responses in time.
    pub on_time: usize,
    /// Complete responses with a late event.
    pub late: usize,
    /// Refused requests.
    pub refused: usize,
    /// Streams that were cut.
    pub cut: usize,
    /// Times to the first event.
    pub first: Vec<Duration>,
    /// Longest pause of each complete response.
    pub pauses: Vec<Duration>,
}

impl TrialFigures {
    /// Returns a table row: shares in percent, the 50th and 95th percentile of the time
    /// to the first event, and the 95th percentile of the longest pause, in milliseconds.
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

    /// Returns the complete responses in time as a share of the requests sent.
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

/// Plots shares as text bars, one row per name.
pub fn plot_rows(rows: &[(String, f64)]) -> String {
    const WIDTH: f64 = 50.0;
    let line = |(name, share): &(String, f64)| {
        let bar = "#".repeat((share * WIDTH).round() as usize);
        format!("{name:36} {bar} {:.0}%\n", share * 100.0)
    };
    rows.iter().map(line).collect()
}
