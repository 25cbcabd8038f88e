//! Splits a stream into complete events.

use bytes::{Bytes, BytesMut};

/// Largest event that is buffered, in bytes; events usually have a few hundred.
const MAX_EVENT_BYTES: usize = 64 * 1024;

/// Longest end of an event, in bytes: two line ends of two bytes.
const BOUNDARY_BYTES: usize = 4;

/// Buffers the event that is still arriving.
///
/// A target may fail in the middle of an event. Had the first half been passed on, events
/// of another target could not follow it.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    last_id: Option<String>,
}

impl EventSplitter {
    /// Adds bytes and returns the events that are now complete, if any.
    ///
    /// # Errors
    ///
    /// If an event exceeds the limit, so that the stream cannot be one of events.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Option<Bytes>, OversizedEvent> {
        // What was there before holds no boundary, but may hold the beginning of one.
        let searched = self.partial.len().saturating_sub(BOUNDARY_BYTES - 1);
        self.partial.extend_from_slice(bytes);
        let Some(end) = last_boundary(&self.partial[searched..]).map(|end| searched + end) else {
            return match self.partial.len() > MAX_EVENT_BYTES {
                true => Err(OversizedEvent),
                false => Ok(None),
            };
        };
        let whole = self.partial.split_to(end).freeze();
        if let Some(id) = last_event_id(&whole) {
            self.last_id = Some(id);
        }
        Ok(Some(whole))
    }

    /// Returns the id of the last complete event.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Returns whether an event has begun and is not complete.
    pub fn is_partial(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Drops the incomplete event after its target has failed.
    pub fn drop_partial(&mut self) {
        self.partial.clear();
    }
}

/// Error of an event that exceeds the limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("an event exceeds {MAX_EVENT_BYTES} bytes")]
pub struct OversizedEvent;

/// Returns the index after the last empty line.
fn last_boundary(bytes: &[u8]) -> Option<usize> {
    let newline = bytes.windows(2).rposition(|pair| pair == b"\n\n");
    let carriage = bytes.windows(4).rposition(|four| four == b"\r\n\r\n");
    let newline = newline.map(|at| at + 2);
    newline.max(carriage.map(|at| at + 4))
}

fn last_event_id(events: &[u8]) -> Option<String> {
    let mut lines = events.rsplit(|byte| *byte == b'\n');
    let line = lines.find(|line| line.starts_with(b"id:"))?;
    let id = std::str::from_utf8(&line[3..]).ok()?;
    Some(id.trim().to_owned())
}
