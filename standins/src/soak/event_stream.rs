//! A stream of events through a path of engines.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;

use super::configuration::STALL_MS;
use super::engines::{PathPart, TargetRegistry};
use super::responses::{event_count, event_text};
use super::target::TargetBody;

/// Interval of the events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(20);
/// Interval at which a stalled stream checks its path.
const STALL_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A running stream.
struct EventStream {
    registry: Arc<TargetRegistry>,
    /// Address of the engine that sends the events.
    address: SocketAddr,
    id: String,
    number: u64,
    next: u64,
    behavior: StreamBehavior,
}

/// How a stream continues.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StreamBehavior {
    Complete,
    /// Ends in the middle of the next event whose number is a multiple of five.
    TruncatesSoon,
    Truncated,
    /// Sends no event.
    NeverStarts,
}

impl Drop for EventStream {
    fn drop(&mut self) {
        self.registry.end_stream(&self.id, self.number);
    }
}

pub(super) fn stream_events(
    registry: Arc<TargetRegistry>,
    address: SocketAddr,
    id: String,
    path: Vec<PathPart>,
    last_event: u64,
    behavior: StreamBehavior,
) -> TargetBody {
    let number = registry.begin_stream(&id, path);
    let events = EventStream {
        registry,
        address,
        id,
        number,
        next: last_event + 1,
        behavior,
    };
    let frames = stream::unfold(Some(events), |events| async move {
        let mut events = events?;
        match events.next_event().await {
            Ok(Some(text)) => Some((Ok(Frame::data(text)), Some(events))),
            Ok(None) => None,
            Err(error) => {
                events.registry.record_break(&events.id);
                Some((Err(error), None))
            }
        }
    });
    StreamBody::new(frames).boxed_unsync()
}

impl EventStream {
    async fn next_event(&mut self) -> io::Result<Option<Bytes>> {
        if self.behavior == StreamBehavior::Truncated {
            return Err(io::Error::other("stream truncated"));
        }
        if self.behavior == StreamBehavior::NeverStarts {
            return std::future::pending().await;
        }
        if self.next > event_count(&self.id) {
            return Ok(None);
        }
        tokio::time::sleep(EVENT_INTERVAL).await;
        self.wait_for_path().await?;
        let text = event_text(&self.id, self.next);
        if self.behavior == StreamBehavior::TruncatesSoon && self.next.is_multiple_of(5) {
            self.behavior = StreamBehavior::Truncated;
            let half = text.len() / 2;
            return Ok(Some(Bytes::from(text).slice(..half)));
        }
        self.next += 1;
        Ok(Some(text.into()))
    }

    /// Waits while the own engine stands still, and while another one of the path is dead or
    /// stands still; fails after the stall time of the latter.
    async fn wait_for_path(&self) -> io::Result<()> {
        let stall_time = Duration::from_millis(STALL_MS);
        let mut until = Instant::now() + stall_time;
        loop {
            if self.registry.state(self.address).still {
                until = Instant::now() + stall_time;
            } else if self.registry.stalled_at(&self.id, self.number).is_none() {
                return Ok(());
            }
            if Instant::now() >= until {
                return Err(io::Error::other("stalled"));
            }
            tokio::time::sleep(STALL_POLL_INTERVAL).await;
        }
    }
}
