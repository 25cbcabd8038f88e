//! How large a request is expected to be, and what requests ask of a target.

/// Expected size of a request, in tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestSize {
    /// Tokens to read.
    pub prompt: u32,
    /// Tokens expected in the answer.
    pub answer: u32,
}

impl RequestSize {
    /// Tokens that the request holds in memory at its end.
    pub fn tokens(self) -> f64 {
        f64::from(self.prompt) + f64::from(self.answer)
    }

    /// What one request asks of an engine that runs `layers` of it and has
    /// read nothing of it yet.
    pub fn load(self, layers: u32) -> TargetLoad {
        TargetLoad {
            requests: 1,
            reserved: f64::from(layers) * self.tokens(),
            unread: f64::from(layers) * f64::from(self.prompt),
        }
    }
}

/// Requests on a target, and what they ask of it.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct TargetLoad {
    /// Requests under way.
    pub requests: u32,
    /// Memory that they are expected to need, in tokens times layers.
    pub reserved: f64,
    /// What the target has to read before their first event, in tokens times
    /// layers.
    pub unread: f64,
}

impl TargetLoad {
    /// Takes in further requests.
    pub fn add(&mut self, other: Self) {
        self.requests += other.requests;
        self.reserved += other.reserved;
        self.unread += other.unread;
    }

    /// Takes requests out that were taken in before.
    pub fn remove(&mut self, other: Self) {
        self.requests = self.requests.saturating_sub(other.requests);
        self.reserved = (self.reserved - other.reserved).max(0.0);
        self.unread = (self.unread - other.unread).max(0.0);
    }
}
