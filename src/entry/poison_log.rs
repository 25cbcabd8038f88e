//! Poison requests as other hosts tell of them.

use crate::forward::ServingTables;
use crate::ids::RequestKey;

/// One line a request that is refused from now on, on word of `source`.
pub(super) fn note_poison(tables: &ServingTables, refused: &[RequestKey], source: &str) {
    for request in refused {
        log::info!(key:% = format_args!("{request:016x}"), source:% = source; "poison request");
    }
    if !refused.is_empty() {
        tables.poison_news.notify_waiters();
    }
}
