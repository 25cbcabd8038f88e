//! Expected size of a request, and the load of requests on a target.

/// Expected size of a request, in tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestSize {
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Expected tokens of the response.
    pub answer: u32,
}

impl RequestSize {
    /// Returns the number of tokens that the request holds in memory at its end.
    pub fn tokens(self) -> f64 {
        f64::from(self.prompt) + f64::from(self.answer)
    }

    /// Returns the load of one request on an engine that runs `layers` layers and has
    /// processed none of the prompt yet.
    pub fn load(self, layers: u32) -> TargetLoad {
        TargetLoad {
            requests: 1,
            reserved: f64::from(layers) * self.tokens(),
            unread: f64::from(layers) * f64::from(self.prompt),
        }
    }
}

/// Requests on a target and the load that they cause.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct TargetLoad {
    /// Requests in flight.
    pub requests: u32,
    /// Memory that they are expected to need, in tokens times layers.
    pub reserved: f64,
    /// Prompt processing left before their first events, in tokens times layers.
    pub unread: f64,
}

impl TargetLoad {
    /// Adds the load of further requests.
    pub fn add(&mut self, other: Self) {
        self.requests += other.requests;
        self.reserved += other.reserved;
        self.unread += other.unread;
    }

    /// Removes the load of requests that was added before.
    pub fn remove(&mut self, other: Self) {
        self.requests = self.requests.saturating_sub(other.requests);
        self.reserved = (self.reserved - other.reserved).max(0.0);
        self.unread = (self.unread - other.unread).max(0.0);
    }
}
