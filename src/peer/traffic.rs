//! Counters of the network traffic of peer calls.

use std::sync::atomic::{AtomicU64, Ordering};

/// Bytes, calls and connections since the start; readable from any thread.
#[derive(Debug, Default)]
pub struct PeerTraffic {
    sent_bytes: AtomicU64,
    received_bytes: AtomicU64,
    calls: AtomicU64,
    failed_calls: AtomicU64,
    connections: AtomicU64,
    refused_connections: AtomicU64,
}

impl PeerTraffic {
    /// Returns the bytes written to peers.
    pub fn sent_bytes(&self) -> u64 {
        self.sent_bytes.load(Ordering::Relaxed)
    }

    /// Returns the bytes read from peers.
    pub fn received_bytes(&self) -> u64 {
        self.received_bytes.load(Ordering::Relaxed)
    }

    /// Returns the number of calls made to peers.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    /// Returns the number of calls that failed.
    pub fn failed_calls(&self) -> u64 {
        self.failed_calls.load(Ordering::Relaxed)
    }

    /// Returns the number of connections made or accepted.
    pub fn connections(&self) -> u64 {
        self.connections.load(Ordering::Relaxed)
    }

    /// Returns the number of incoming connections that were closed because too many were
    /// open.
    pub fn refused_connections(&self) -> u64 {
        self.refused_connections.load(Ordering::Relaxed)
    }
}

impl PeerTraffic {
    pub(super) fn count_sent(&self, bytes: usize) {
        self.sent_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub(super) fn count_received(&self, bytes: usize) {
        self.received_bytes
            .fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub(super) fn count_call(&self, failed: bool) {
        self.calls.fetch_add(1, Ordering::Relaxed);
        self.failed_calls
            .fetch_add(u64::from(failed), Ordering::Relaxed);
    }

    pub(super) fn count_connection(&self) {
        self.connections.fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn count_refused_connection(&self) {
        self.refused_connections.fetch_add(1, Ordering::Relaxed);
    }
}
