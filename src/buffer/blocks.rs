//! A whole body in blocks.
//!
//! Blocks of one size are reused as they are. Buffers that grow leave fragments of freed memory
//! behind, which the allocator keeps.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

use super::budget::{BufferDenied, BufferLease};
use super::collect::CollectError;
use super::table::SMALL_BYTES;

/// Capacity of the first block of a body of unknown length, in bytes; it doubles up to
/// [`SMALL_BYTES`].
const FIRST_BYTES: usize = 4 * 1024;
/// Capacity of each further block, in bytes.
const BLOCK_BYTES: usize = 64 * 1024;

/// A whole body, whose memory is returned with its last clone. As the body of a message, it is
/// sent block by block.
#[derive(Debug, Clone)]
pub struct BodyBlocks {
    held: Arc<HeldBlocks>,
    /// Index of the block that is sent next.
    next: usize,
}

/// Blocks that are being filled, or full, and their memory.
#[derive(Debug)]
pub(super) struct HeldBlocks {
    blocks: Vec<Vec<u8>>,
    length: usize,
    capacity: usize,
    pub(super) lease: Option<BufferLease>,
}

/// One block, which keeps the memory of the whole body.
struct HeldBlock {
    held: Arc<HeldBlocks>,
    index: usize,
}

/// All bytes in one buffer.
struct JoinedBytes {
    bytes: Vec<u8>,
    _lease: Option<BufferLease>,
}

impl AsRef<[u8]> for HeldBlock {
    fn as_ref(&self) -> &[u8] {
        &self.held.blocks[self.index]
    }
}

impl AsRef<[u8]> for JoinedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl HeldBlocks {
    pub(super) fn new(lease: Option<BufferLease>) -> Self {
        Self {
            blocks: Vec::new(),
            length: 0,
            capacity: 0,
            lease,
        }
    }

    /// Adds bytes of a body of at most `limit` bytes, and of `announced` ones if that is known.
    pub(super) async fn extend<E>(
        &mut self,
        mut data: &[u8],
        limit: usize,
        announced: Option<usize>,
    ) -> Result<(), CollectError<E>> {
        if data.len() > limit.saturating_sub(self.length) {
            return Err(CollectError::TooLong);
        }
        while !data.is_empty() {
            if self.length == self.capacity {
                self.grow(announced.unwrap_or(limit)).await?;
            }
            let free = (self.capacity - self.length).min(data.len());
            let (part, rest) = data.split_at(free);
            if let Some(last) = self.blocks.last_mut() {
                last.extend_from_slice(part);
            }
            self.length += free;
            data = rest;
        }
        Ok(())
    }

    /// Doubles the first block while it is small, or else adds a block; no more than `most` bytes
    /// in all are expected.
    async fn grow<E>(&mut self, most: usize) -> Result<(), CollectError<E>> {
        let step = match self.capacity {
            0 => FIRST_BYTES,
            small if small < SMALL_BYTES => small,
            _ => BLOCK_BYTES,
        };
        // At least one byte, should more arrive than was announced.
        let step = step.min(most.saturating_sub(self.capacity)).max(1);
        let capacity = self.capacity + step;
        if let Some(lease) = &mut self.lease {
            let grown = lease.grow(capacity).await;
            grown.map_err(|BufferDenied| CollectError::Denied)?;
        }
        match self.blocks.first_mut() {
            Some(first) if self.capacity < SMALL_BYTES => first.reserve_exact(step),
            Some(_) | None => self.blocks.push(Vec::with_capacity(step)),
        }
        self.capacity = capacity;
        Ok(())
    }

    pub(super) fn finish(self) -> BodyBlocks {
        BodyBlocks {
            held: Arc::new(self),
            next: 0,
        }
    }
}

impl BodyBlocks {
    /// Returns the number of bytes.
    pub fn len(&self) -> usize {
        self.held.length
    }

    /// Returns whether there are no bytes.
    pub fn is_empty(&self) -> bool {
        self.held.length == 0
    }

    /// Returns the blocks in order.
    pub fn parts(&self) -> impl Iterator<Item = &[u8]> {
        self.held.blocks.iter().map(Vec::as_slice)
    }

    /// Joins the blocks, each of which is freed once it is copied unless another clone holds it.
    pub fn into_bytes(self) -> Bytes {
        match Arc::try_unwrap(self.held) {
            Ok(mut held) => {
                let mut blocks = held.blocks.into_iter();
                let mut bytes = blocks.next().unwrap_or_default();
                bytes.reserve_exact(held.length - bytes.len());
                for block in blocks {
                    bytes.extend_from_slice(&block);
                }
                let _lease = held.lease.take();
                Bytes::from_owner(JoinedBytes { bytes, _lease })
            }
            Err(held) => held.blocks.concat().into(),
        }
    }
}

impl Body for BodyBlocks {
    type Data = Bytes;
    type Error = std::convert::Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        let index = self.next;
        if self.is_end_stream() {
            return Poll::Ready(None);
        }
        self.next += 1;
        let held = self.held.clone();
        let block = Bytes::from_owner(HeldBlock { held, index });
        Poll::Ready(Some(Ok(Frame::data(block))))
    }

    fn is_end_stream(&self) -> bool {
        self.next >= self.held.blocks.len()
    }

    fn size_hint(&self) -> SizeHint {
        let left = self.held.blocks[self.next..].iter().map(Vec::len);
        SizeHint::with_exact(left.sum::<usize>() as u64)
    }
}
