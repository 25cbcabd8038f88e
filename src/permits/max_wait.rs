//! Determines how long a request waits for a permit.

use std::time::Duration;

/// Part of its latency aim that a request may spend on waiting.
const AIM_SHARE: f64 = 0.5;
/// Part of that time for requests that do not have the highest priority.
const LESS_URGENT_SHARE: f64 = 0.5;
/// Probability that one of these requests waits as long as an urgent one. With a lower
/// one they would get no permit at all while there are enough urgent requests.
const EQUAL_CHANCE: f64 = 0.25;

/// Returns how long a request that has not begun waits for a permit. Permits are granted
/// that far ahead, so requests that may wait longer come first. `priority` is 0 for the
/// most urgent requests; `draw` is from 0 to 1.
pub fn max_permit_wait(priority: u8, latency_aim: Duration, draw: f64) -> Duration {
    let longest = latency_aim.mul_f64(AIM_SHARE);
    match priority {
        0 => longest,
        _ if draw < EQUAL_CHANCE => longest,
        _ => longest.mul_f64(LESS_URGENT_SHARE),
    }
}
