//! Handing a stream of events over in memory.
//!
//! The listener in front opens a slot before it passes a request on and names
//! it in a header; the endpoint puts its stream there instead of writing it.
//! Written over the loopback connection, each token would cost two more system
//! calls and a wake-up.

use std::sync::Arc;

use parking_lot::Mutex;
use uuid::Uuid;

use crate::api::backend::GenerateStream;
use crate::collections::FastMap;

/// Header that names the slot, between the two listeners only.
pub(in crate::api) const SLOT_HEADER: &str = "x-stream-slot";

/// The slots that are open.
#[derive(Debug, Clone, Default)]
pub(in crate::api) struct StreamSlots {
    open: Arc<Mutex<FastMap<Uuid, Option<GenerateStream>>>>,
}

impl StreamSlots {
    /// Opens a slot. Its name cannot be guessed, so a caller that reaches the
    /// inner listener cannot put anything into the slot of another one.
    pub(super) fn open(&self) -> StreamSlot {
        let id = Uuid::new_v4();
        self.open.lock().insert(id, None);
        StreamSlot {
            id,
            slots: self.clone(),
        }
    }

    /// Puts a stream into a slot.
    ///
    /// # Errors
    /// The stream itself, if no such slot is open.
    pub(in crate::api) fn put(
        &self,
        name: Option<&str>,
        stream: GenerateStream,
    ) -> Result<(), GenerateStream> {
        let id = name.and_then(|name| Uuid::try_parse(name).ok());
        let mut open = self.open.lock();
        match id.and_then(|id| open.get_mut(&id)) {
            Some(slot) => {
                *slot = Some(stream);
                Ok(())
            }
            None => Err(stream),
        }
    }
}

/// An open slot; dropping it closes it, and with it the stream in it. So a
/// caller that goes away before its stream was taken leaves none behind.
#[derive(Debug)]
pub(super) struct StreamSlot {
    id: Uuid,
    slots: StreamSlots,
}

impl StreamSlot {
    /// The slot's name.
    pub(super) fn name(&self) -> String {
        self.id.to_string()
    }

    /// Takes the stream, if one was put there.
    pub(super) fn take(&self) -> Option<GenerateStream> {
        self.slots.open.lock().get_mut(&self.id)?.take()
    }
}

impl Drop for StreamSlot {
    fn drop(&mut self) {
        let stream = self.slots.open.lock().remove(&self.id);
        // Dropped here, outside the lock.
        drop(stream);
    }
}
