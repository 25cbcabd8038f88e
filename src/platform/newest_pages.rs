//! The newest record of each key of a topic, read page by page.

use crate::ids::LogOffset;
use crate::platform::log_calls::{KeyedRead, KeyedRecord, LogClient, LogError};

/// Some of the newest records of a topic, as one answer holds them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NewestPage {
    /// The records, in the order of their keys.
    pub records: Vec<KeyedRecord>,
    /// Whether there are more after the last one.
    pub has_more: bool,
    /// End of the partition at that moment.
    pub end: LogOffset,
}

/// The pages that were read so far.
///
/// A page that fails is read again, and not those before it: where every host of a
/// large fleet reads thousands of records at once, some page fails most of the time.
#[derive(Debug, Default)]
pub struct NewestPages {
    records: Vec<KeyedRecord>,
    /// End of the partition at the first page. Pages are no snapshot: reading on
    /// from there repeats what later pages hold already, and misses nothing.
    next: Option<LogOffset>,
}

impl NewestPages {
    /// Reads the pages that are missing; gives all records, and begins anew.
    ///
    /// # Errors
    ///
    /// If a page fails; those before it are kept.
    pub async fn read(
        &mut self,
        client: &mut LogClient,
        topic: &str,
    ) -> Result<KeyedRead, LogError> {
        loop {
            let after = self.records.last().map(|record| record.key.as_str());
            let page = client.newest_page(topic, after).await?;
            let is_last = !page.has_more || page.records.is_empty();
            self.next.get_or_insert(page.end);
            self.records.extend(page.records);
            if is_last {
                break;
            }
        }
        let whole = std::mem::take(self);
        Ok(KeyedRead {
            next: whole.next.unwrap_or(0),
            records: whole.records,
        })
    }
}
