//! Reads a whole body.
//!
//! Frames are copied and dropped. A frame that is kept also keeps the read buffer that it was
//! cut from, so that a body of tiny frames would hold many times its length.

use std::pin::{Pin, pin};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;

use super::blocks::{BodyBlocks, HeldBlocks};
use super::budget::BufferLease;

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

/// Reads a body of at most `limit` bytes, whose memory is that of `lease` until the last clone
/// of the returned body is dropped.
///
/// # Errors
///
/// If it is too long, cannot be read, or gets no memory.
pub async fn collect_body<B>(
    body: B,
    limit: usize,
    lease: BufferLease,
) -> Result<BodyBlocks, CollectError<B::Error>>
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
    let body = collect(body, limit, None).await?;
    Ok(body.into_bytes())
}

async fn collect<B>(
    body: B,
    limit: usize,
    lease: Option<BufferLease>,
) -> Result<BodyBlocks, CollectError<B::Error>>
where
    B: Body<Data = Bytes>,
{
    let mut body = pin!(body);
    let length = body.size_hint();
    if usize::try_from(length.lower()).map_or(true, |least| least > limit) {
        return Err(CollectError::TooLong);
    }
    let announced = length.exact().and_then(|bytes| usize::try_from(bytes).ok());
    let mut held = HeldBlocks::new(lease);
    while let Some(data) = next_data(body.as_mut(), held.lease.as_ref()).await? {
        held.extend(&data, limit, announced).await?;
    }
    if let Some(lease) = &held.lease {
        lease.complete().map_err(|_| CollectError::Evicted)?;
    }
    Ok(held.finish())
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
