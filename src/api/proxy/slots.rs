//! In-memory transfer of event streams from endpoints to the proxy.
//!
//! The proxy opens a slot before it forwards a request and names the slot in a header;
//! the endpoint stores its stream there instead of writing it. Sending the events over
//! the loopback connection would cost two more system calls and a wake-up per token.

use std::sync::Arc;

use parking_lot::Mutex;
use uuid::Uuid;

use crate::api::backend::GenerateStream;
use crate::collections::FastMap;

/// Header that names the slot; used between the two listeners only.
pub(in crate::api) const SLOT_HEADER: &str = "x-stream-slot";

/// The open slots.
#[derive(Debug, Clone, Default)]
pub(in crate::api) struct StreamSlots {
    open: Arc<Mutex<FastMap<Uuid, Option<GenerateStream>>>>,
}

impl StreamSlots {
    /// Opens a slot. Its name cannot be guessed, so a caller that reaches the inner
    /// listener cannot store anything in another caller's slot.
    pub(super) fn open(&self) -> StreamSlot {
        let id = Uuid::new_v4();
        self.open.lock().insert(id, None);
        StreamSlot {
            id,
            slots: self.clone(),
        }
    }

    /// Stores a stream in a slot.
    ///
    /// # Errors
    /// Returns the stream if no slot of that name is open.
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

/// An open slot. Dropping it closes it together with the stream that it holds, so a
/// caller that disconnects before its stream was taken leaves none behind.
#[derive(Debug)]
pub(super) struct StreamSlot {
    id: Uuid,
    slots: StreamSlots,
}

impl StreamSlot {
    /// Returns the name of the slot.
    pub(super) fn name(&self) -> String {
        self.id.to_string()
    }

    /// Takes the stream, if the endpoint stored one.
    pub(super) fn take(&self) -> Option<GenerateStream> {
        self.slots.open.lock().get_mut(&self.id)?.take()
    }
}

impl Drop for StreamSlot {
    fn drop(&mut self) {
        let stream = self.slots.open.lock().remove(&self.id);
        // Dropped after the lock is released.
        drop(stream);
    }
}
