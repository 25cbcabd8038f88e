//! Section `[limits]`: bounds on requests and on data kept in memory.

use super::range::NumberRange;
use super::section::SectionReader;

const MAX_BODY_BYTES: NumberRange<usize> = NumberRange::new(1024, 1 << 30, 1 << 20);
const MAX_HEADER_COUNT: NumberRange<usize> = NumberRange::new(8, 1000, 64);
const MAX_HEADER_BYTES: NumberRange<usize> = NumberRange::new(1024, 1 << 20, 16 << 10);
const MAX_CONNECTIONS: NumberRange<usize> = NumberRange::new(1, 1_000_000, 1024);
const MAX_BUFFERED_BYTES: NumberRange<usize> = NumberRange::new(1 << 20, 1 << 40, 64 << 20);
const MAX_QUEUED: NumberRange<usize> = NumberRange::new(0, 1_000_000, 256);
const JOURNAL_ENTRIES: NumberRange<usize> = NumberRange::new(1, 10_000_000, 10_000);

/// Bounds on requests and on data kept in memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitOptions {
    /// Maximum length of the body of a request, in bytes.
    pub max_body_bytes: usize,
    /// Maximum number of headers of a request.
    pub max_header_count: usize,
    /// Maximum length of the header section of a request, in bytes.
    pub max_header_bytes: usize,
    /// Maximum number of simultaneous connections of callers.
    pub max_connections: usize,
    /// Memory for the bodies of all requests that a listener has read or is reading, in bytes.
    pub max_buffered_bytes: usize,
    /// Maximum number of waiting requests per organisation on this host.
    pub max_queued_per_organisation: usize,
    /// Number of decisions kept for `explain`; the oldest are dropped first.
    pub journal_entries: usize,
}

pub(super) fn read(section: &mut SectionReader<'_>) -> Option<LimitOptions> {
    let max_body_bytes = section.integer("max_body_bytes", MAX_BODY_BYTES);
    let max_header_count = section.integer("max_header_count", MAX_HEADER_COUNT);
    let max_header_bytes = section.integer("max_header_bytes", MAX_HEADER_BYTES);
    let max_connections = section.integer("max_connections", MAX_CONNECTIONS);
    let max_buffered_bytes = section.integer("max_buffered_bytes", MAX_BUFFERED_BYTES);
    let max_queued_per_organisation = section.integer("max_queued_per_organisation", MAX_QUEUED);
    let journal_entries = section.integer("journal_entries", JOURNAL_ENTRIES);
    Some(LimitOptions {
        max_body_bytes: max_body_bytes?,
        max_header_count: max_header_count?,
        max_header_bytes: max_header_bytes?,
        max_connections: max_connections?,
        max_buffered_bytes: max_buffered_bytes?,
        max_queued_per_organisation: max_queued_per_organisation?,
        journal_entries: journal_entries?,
    })
}
