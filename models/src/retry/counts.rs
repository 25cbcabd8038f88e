//! Requests and retries of a game, by step, compared with the bound in each sliding window.

use jackdawwick::retry::RetryBounds;

/// Requests, and arrivals of retries, by step.
#[derive(Debug, Clone)]
pub struct RetryCounts {
    /// Steps in a window.
    window: usize,
    bounds: RetryBounds,
    requests: Vec<u32>,
    arrivals: Vec<u32>,
}

/// What arrives in a window and what is allowed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FullWindow {
    /// Step at which it begins.
    pub first_step: usize,
    /// Retries that arrive in it.
    pub arrivals: u32,
    /// Retries that the bound allows.
    pub allowed: f64,
}

impl FullWindow {
    /// Returns the part of what is allowed that arrives.
    pub fn used(&self) -> f64 {
        f64::from(self.arrivals) / self.allowed
    }
}

impl RetryCounts {
    /// Creates counts for windows of this many steps.
    pub fn new(window: usize, bounds: RetryBounds) -> Self {
        Self {
            window,
            bounds,
            requests: Vec::new(),
            arrivals: Vec::new(),
        }
    }

    /// Begins a step and returns its number.
    pub fn begin_step(&mut self) -> usize {
        self.requests.push(0);
        self.arrivals.push(0);
        self.requests.len() - 1
    }

    /// Returns the number of steps.
    pub fn steps(&self) -> usize {
        self.requests.len()
    }

    /// Counts requests of callers in the current step.
    ///
    /// # Panics
    ///
    /// If no step has begun.
    pub fn count_requests(&mut self, count: u32) {
        *self.requests.last_mut().expect("a step has begun") += count;
    }

    /// Counts retries that arrive at targets in the current step.
    ///
    /// # Panics
    ///
    /// If no step has begun.
    pub fn count_arrivals(&mut self, count: u32) {
        *self.arrivals.last_mut().expect("a step has begun") += count;
    }

    /// Removes all steps.
    pub fn clear(&mut self) {
        self.requests.clear();
        self.arrivals.clear();
    }

    /// Returns what arrives in the window from a step on, and what is allowed: the requests
    /// count of this window, the one before it, or the one half a window before it.
    pub fn window(&self, first: usize) -> FullWindow {
        // A window may begin before the game.
        let sum = |counts: &[u32], earlier: usize| {
            let to = (first + self.window).saturating_sub(earlier);
            let to = to.min(counts.len());
            let from = first.saturating_sub(earlier).min(to);
            counts[from..to].iter().sum::<u32>()
        };
        let requests = [0, self.window / 2, self.window];
        let requests = requests.map(|earlier| sum(&self.requests, earlier));
        let requests = requests.into_iter().max().unwrap_or(0);
        FullWindow {
            first_step: first,
            arrivals: sum(&self.arrivals, 0),
            allowed: self.bounds.ratio * f64::from(requests) + self.bounds.slack,
        }
    }

    /// Returns the window that is nearest to its bound or the furthest beyond it.
    ///
    /// # Panics
    ///
    /// If no step has begun.
    pub fn fullest(&self) -> FullWindow {
        let windows = (0..self.arrivals.len()).map(|first| self.window(first));
        let fullest = windows.max_by(|left, right| left.used().total_cmp(&right.used()));
        fullest.expect("a game has steps")
    }

    /// Checks that no window exceeds its bound.
    ///
    /// # Panics
    ///
    /// If one does.
    pub fn assert_bound(&self, name: &str) {
        let fullest = self.fullest();
        assert!(
            f64::from(fullest.arrivals) <= fullest.allowed,
            "{name}: {fullest:?}"
        );
    }
}
