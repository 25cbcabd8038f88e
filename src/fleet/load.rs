//! How large a request is expected to be.

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
}
