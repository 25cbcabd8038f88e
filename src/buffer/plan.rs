//! Divides the memory and the descriptors of a host.

use crate::admission::ConnectionLimits;

/// What a host may use for bytes of others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BufferPlan {
    /// Memory for bodies of requests, in bytes.
    pub request_bytes: usize,
    /// Memory for bodies of responses that are passed on as a whole, in bytes.
    pub response_bytes: usize,
    /// Memory for heads of callers' requests, in bytes.
    pub head_bytes: usize,
    /// Largest number of connections of callers.
    pub connections: usize,
    /// Largest number of connections of other hosts.
    pub gateway_connections: usize,
}

/// Memory of a host whose settings are not known, in bytes.
const DEFAULT_MEMORY: u64 = 260 << 20;
/// Descriptors of a host whose settings are not known.
const DEFAULT_DESCRIPTORS: usize = 4100;
/// Descriptors that the platform reserves for files.
const FILE_DESCRIPTORS: usize = 200;
/// Largest number of connections of other hosts, each of which costs two descriptors.
const MAX_GATEWAY_CONNECTIONS: usize = 512;

impl BufferPlan {
    /// Divides `memory` bytes and the `descriptors` of a process.
    ///
    /// Bodies of requests, of responses and heads get a fifth of the memory each, and the process
    /// itself the rest. Nine in twenty of the sockets are for callers, as many for the targets of
    /// their requests, and the rest is for other hosts, the log and health checks.
    pub fn divide(memory: u64, descriptors: usize) -> Self {
        let part = usize::try_from(memory / 5).unwrap_or(usize::MAX);
        let sockets = descriptors.saturating_sub(FILE_DESCRIPTORS);
        Self {
            request_bytes: part,
            response_bytes: part,
            head_bytes: part,
            connections: (sockets / 20 * 9).max(1),
            gateway_connections: (sockets / 4).clamp(1, MAX_GATEWAY_CONNECTIONS),
        }
    }

    /// Returns the limits on connections of callers if each that waits for its caller may hold
    /// `bytes` of an incomplete head.
    pub fn caller_connections(&self, bytes: usize) -> ConnectionLimits {
        ConnectionLimits {
            open: self.connections,
            waiting: (self.head_bytes / bytes.max(1)).max(1),
        }
    }
}

impl Default for BufferPlan {
    fn default() -> Self {
        Self::divide(DEFAULT_MEMORY, DEFAULT_DESCRIPTORS)
    }
}
