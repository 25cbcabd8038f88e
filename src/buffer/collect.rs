//! Reads a whole body into one buffer.
//!
//! Frames are copied and dropped. A frame that is kept also keeps the read buffer that it was
//! cut from, so that a body of tiny frames would hold many times its length.

use std::pin::{Pin, pin};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;

use super::budget::{BufferDenied, BufferLease};
use super::table::SMALL_BYTES;

/// Capacity of the first buffer of a body of unknown length, in bytes.
const FIRST_BYTES: usize = 4 * 1024;
/// Least growth of a buffer above [`SMALL_BYTES`], in bytes; a larger buffer grows by a quarter of
/// its capacity.
const STEP_BYTES: usize = 64 * 1024;

/// Why a body was not read to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum CollectError<E> {
    /// It is longer than its limit.
    #[error("the body is too long")]
    TooLong,
    /// There is no memory for it.
    #[error("the memory for bodies is used up")]
    Denied,
    /// It made no progress while others needed its memory.
    #[error("the body made way for others")]
    Evicted,
    /// Its connection failed, or it is malformed.
    #[error("{0}")]
    Body(E),
}

/// The bytes of a body, and their memory.
#[derive(Debug)]
struct HeldBytes {
    bytes: Vec<u8>,
    lease: Option<BufferLease>,
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Reads a body of at most `limit` bytes, whose memory is that of `lease` until the last clone
/// of the returned bytes is dropped.
///
/// # Errors
///
/// If it is too long, cannot be read, or gets no memory.
pub async fn collect_body<B>(
    body: B,
    limit: usize,
    lease: BufferLease,
) -> Result<Bytes, CollectError<B::Error>>
where
    B: Body<Data = Bytes>,
{
    collect(body, limit, Some(lease)).await
}

/// Reads a body of at most `limit` bytes. The number of bodies that are read at a time has to be
/// bounded otherwise.
///
/// # Errors
///
/// If it is too long or cannot be read.
pub async fn collect_limited<B>(body: B, limit: usize) -> Result<Bytes, CollectError<B::Error>>
where
    B: Body<Data = Bytes>,
{
    collect(body, limit, None).await
}

async fn collect<B>(
    body: B,
    limit: usize,
    lease: Option<BufferLease>,
) -> Result<Bytes, CollectError<B::Error>>
where
    B: Body<Data = Bytes>,
{
    let mut body = pin!(body);
    let length = body.size_hint();
    if usize::try_from(length.lower()).map_or(true, |least| least > limit) {
        return Err(CollectError::TooLong);
    }
    let announced = length.exact().and_then(|bytes| usize::try_from(bytes).ok());
    let mut held = HeldBytes {
        bytes: Vec::new(),
        lease,
    };
    while let Some(data) = next_data(body.as_mut(), held.lease.as_ref()).await? {
        held.extend(&data, limit, announced).await?;
    }
    if let Some(lease) = &held.lease {
        lease.complete().map_err(|_| CollectError::Evicted)?;
    }
    Ok(Bytes::from_owner(held))
}

/// Returns the next bytes of a body, or `None` at its end.
async fn next_data<B>(
    mut body: Pin<&mut B>,
    lease: Option<&BufferLease>,
) -> Result<Option<Bytes>, CollectError<B::Error>>
where
    B: Body<Data = Bytes>,
{
    loop {
        let frame = match lease {
            None => body.frame().await,
            Some(lease) => tokio::select! {
                biased;
                () = lease.evicted() => return Err(CollectError::Evicted),
                frame = body.frame() => frame,
            },
        };
        match frame.map(|frame| frame.map(|frame| frame.into_data())) {
            None => return Ok(None),
            Some(Ok(Ok(data))) => return Ok(Some(data)),
            // Trailers are dropped.
            Some(Ok(Err(_))) => {}
            Some(Err(error)) => return Err(CollectError::Body(error)),
        }
    }
}

impl HeldBytes {
    async fn extend<E>(
        &mut self,
        data: &[u8],
        limit: usize,
        announced: Option<usize>,
    ) -> Result<(), CollectError<E>> {
        let length = self.bytes.len() + data.len();
        if length > limit {
            return Err(CollectError::TooLong);
        }
        if length > self.bytes.capacity() {
            let most = announced.unwrap_or(limit).max(length);
            let capacity = next_capacity(self.bytes.capacity(), length).min(most);
            if let Some(lease) = &mut self.lease {
                let grown = lease.grow(capacity).await;
                grown.map_err(|BufferDenied| CollectError::Denied)?;
            }
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(data);
        Ok(())
    }
}

/// Returns the next capacity of a buffer that has to hold `length` bytes. The step is small
/// beside what is held, so that little memory is charged for bytes that never arrive.
fn next_capacity(capacity: usize, length: usize) -> usize {
    let next = match capacity {
        0 => FIRST_BYTES,
        small if small < SMALL_BYTES => (2 * small).min(SMALL_BYTES),
        large => large + (large / 4).max(STEP_BYTES),
    };
    next.max(length)
}
