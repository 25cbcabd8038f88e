//! Splits a stream into whole events.

use bytes::{Bytes, BytesMut};

/// Largest event that is kept while it arrives, in bytes; events have some
/// hundred.
const MAX_EVENT_BYTES: usize = 64 * 1024;

/// Holds back the event that is still arriving.
///
/// A target may break off in the middle of an event. If its half had been
/// passed on, the events of another target could not follow it.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    last_id: Option<String>,
}

impl EventSplitter {
    /// Takes bytes in; gives the events that are whole now, if any.
    ///
    /// # Errors
    ///
    /// If an event grows beyond all bounds: the target sends something else.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Option<Bytes>, OversizedEvent> {
        self.partial.extend_from_slice(bytes);
        let Some(end) = last_boundary(&self.partial) else {
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

    /// Id of the last whole event.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Whether an event has begun and is not whole.
    pub fn is_partial(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Drops the event that was arriving, when its target has broken off.
    pub fn drop_partial(&mut self) {
        self.partial.clear();
    }
}

/// An event larger than any engine sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("an event exceeds {MAX_EVENT_BYTES} bytes")]
pub struct OversizedEvent;

/// One past the last empty line.
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
