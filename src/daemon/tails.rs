//! Tails of the platform's log streams.

use super::core::DaemonCore;
use crate::ids::LogOffset;
use crate::platform::backoff::BackoffPolicy;
use crate::platform::log_tail::{LogTail, TailOptions};

/// Maximum number of records in one read of the log.
pub(super) const READ_LIMIT: usize = 512;
/// Number of reads that may be buffered before they are applied.
const READ_AHEAD: usize = 4;

/// Opens the tail of a stream at an offset, with the daemon's settings.
pub(super) fn open_tail(core: &DaemonCore, stream: &str, from: LogOffset, seed: u64) -> LogTail {
    let options = TailOptions {
        stream: stream.to_owned(),
        from,
        limit: READ_LIMIT,
        wait: core.options.timing.log_wait,
        backoff: BackoffPolicy::default(),
        seed,
        capacity: READ_AHEAD,
    };
    LogTail::spawn(core.platform.clone(), options)
}
