//! Resources that one daemon uses, measured while one parameter is varied at a time.
//!
//! Real daemons run in front of small stand-ins. Every connection of theirs passes a
//! proxy that counts its bytes. The slopes are used to extrapolate to a larger size.

mod control;
mod counting_proxy;
mod data_path;
mod decisions;
mod fleet;
mod report;
mod shape;
mod usage;

pub use report::markdown_report;
pub use shape::{SERIES, SlopeShape};

use std::collections::BTreeMap;
use std::fs;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::json_client::CallError;

/// Figures of one run by name, which includes the unit.
pub type SlopeFigures = BTreeMap<String, f64>;

/// One run of one value of a series.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SlopeRun {
    /// Name of the parameter that was varied.
    pub series: String,
    /// Its value in this run.
    pub value: u64,
    /// Load average of the machine over the last minute, at the end of the run.
    pub load_average: f64,
    /// The measured figures.
    pub figures: SlopeFigures,
}

/// Runs one value of a series once.
///
/// # Errors
/// If the series is unknown, or the daemons or stand-ins do not start.
pub async fn run_once(
    series: &str,
    value: u64,
    window: Duration,
    after_start: bool,
) -> Result<SlopeRun, CallError> {
    let count = usize::try_from(value)?;
    let mut figures = match series {
        "stages" => data_path::measure(count, data_path::DEFAULT_TOKENS, window).await?,
        "tokens" => data_path::measure(data_path::DEFAULT_STAGES, value, window).await?,
        "replay" => decisions::replay(count)?,
        "admission" => decisions::admission(count),
        "routing" => decisions::routing(count),
        _ => control::measure(&SlopeShape::varied(series, count)?, window).await?,
    };
    if !after_start {
        // Memory that an earlier run of this process has freed is reused, so the growth
        // would be measured too small.
        figures.retain(|name, _| !name.starts_with("memory"));
    }
    Ok(SlopeRun {
        series: series.to_owned(),
        value,
        load_average: load_average(),
        figures,
    })
}

fn load_average() -> f64 {
    let text = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let first = text.split_whitespace().next();
    first.and_then(|word| word.parse().ok()).unwrap_or_default()
}
