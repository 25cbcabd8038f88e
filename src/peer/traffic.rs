//! Counters of what peer calls cost on the network.

use std::sync::atomic::{AtomicU64, Ordering};

/// Bytes and calls since the start; read at any time from any thread.
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
    /// Bytes written to peers.
    pub fn sent_bytes(&self) -> u64 {
        self.sent_bytes.load(Ordering::Relaxed)
    }

    /// Bytes read from peers.
    pub fn received_bytes(&self) -> u64 {
        self.received_bytes.load(Ordering::Relaxed)
    }

    /// Calls made to peers.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    /// Calls that brought no answer.
    pub fn failed_calls(&self) -> u64 {
        self.failed_calls.load(Ordering::Relaxed)
    }

    /// Connections made or taken in.
    pub fn connections(&self) -> u64 {
        self.connections.load(Ordering::Relaxed)
    }

    /// Incoming connections that were closed because too many were open.
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
