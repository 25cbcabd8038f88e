//! The connection to one peer, opened on demand and reopened after a backoff.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::{RpcSystem, twoparty};
use futures::AsyncReadExt;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use tokio::time::Instant;
use tokio_util::compat::TokioAsyncReadCompatExt;

use super::error::PeerError;
use super::server::{connect, reader_options};
use super::settings::PeerSettings;
use super::traffic::PeerTraffic;
use crate::peer_capnp::peer;

/// Timeout of a call and its effect on the connection.
#[derive(Debug, Clone, Copy)]
pub(super) enum TimeoutPolicy {
    /// Applies the default timeout and closes the connection: the peer replies to such
    /// calls at once, so it hangs. Further calls on the connection would also wait until
    /// their timeout, and keep their memory until then.
    CloseLink,
    /// Applies this timeout and keeps the connection: the peer may wait before it
    /// replies.
    KeepLink(Duration),
}

/// An established connection.
struct OpenLink {
    client: peer::Client,
    generation: u64,
    driver: tokio::task::AbortHandle,
}

/// The link to one peer, connected or not.
pub(super) struct PeerLink {
    address: SocketAddr,
    settings: Rc<PeerSettings>,
    traffic: Arc<PeerTraffic>,
    open: RefCell<Option<OpenLink>>,
    connect_lock: tokio::sync::Mutex<()>,
    generation: Cell<u64>,
    failures: Cell<u32>,
    retry_at: Cell<Option<Instant>>,
    pending: Cell<usize>,
    last_used: Cell<Instant>,
    jitter: RefCell<SmallRng>,
}

impl PeerLink {
    /// Creates a link to `address` without connecting.
    pub(super) fn new(
        address: SocketAddr,
        settings: Rc<PeerSettings>,
        traffic: Arc<PeerTraffic>,
    ) -> Self {
        let seed = settings.seed ^ u64::from(address.port());
        Self {
            address,
            settings,
            traffic,
            open: RefCell::new(None),
            connect_lock: tokio::sync::Mutex::new(()),
            generation: Cell::new(0),
            failures: Cell::new(0),
            retry_at: Cell::new(None),
            pending: Cell::new(0),
            last_used: Cell::new(Instant::now()),
            jitter: RefCell::new(SmallRng::seed_from_u64(seed)),
        }
    }

    /// Returns whether a call is pending or began at `limit` or later.
    pub(super) fn is_used_since(&self, limit: Instant) -> bool {
        self.pending.get() > 0 || self.last_used.get() >= limit
    }

    /// Makes one call: connects if needed, sends, and waits for the reply.
    ///
    /// # Errors
    /// Fails if connecting fails or is held back by the backoff, if too many calls are
    /// pending, or if the call returns no reply.
    pub(super) async fn call<F, R, T>(&self, policy: TimeoutPolicy, send: F) -> Result<T, PeerError>
    where
        F: FnOnce(&peer::Client) -> R,
        R: Future<Output = capnp::Result<T>>,
    {
        if self.pending.get() >= self.settings.pending_limit {
            return Err(PeerError::Busy {
                address: self.address,
            });
        }
        let _pending = PendingCall::new(&self.pending);
        self.last_used.set(Instant::now());
        let (client, generation) = self.client().await?;
        let timeout = match policy {
            TimeoutPolicy::CloseLink => self.settings.call_timeout,
            TimeoutPolicy::KeepLink(wait) => wait,
        };
        match tokio::time::timeout(timeout, send(&client)).await {
            Ok(Ok(reply)) => {
                self.failures.set(0);
                Ok(reply)
            }
            Ok(Err(cause)) => {
                if cause.kind == capnp::ErrorKind::Disconnected {
                    self.close(generation);
                }
                Err(PeerError::Call {
                    address: self.address,
                    cause,
                })
            }
            Err(_) => {
                if matches!(policy, TimeoutPolicy::CloseLink) {
                    self.close(generation);
                    self.back_off();
                }
                Err(PeerError::Timeout {
                    address: self.address,
                    timeout,
                })
            }
        }
    }

    async fn client(&self) -> Result<(peer::Client, u64), PeerError> {
        // Concurrent calls wait here while one of them connects, so that a peer that
        // accepts slowly gets one connection attempt and not one per call.
        let _guard = self.connect_lock.lock().await;
        if let Some(open) = &*self.open.borrow() {
            return Ok((open.client.clone(), open.generation));
        }
        self.check_backoff()?;
        let connected = tokio::time::timeout(
            self.settings.connect_timeout,
            connect(self.address, Arc::clone(&self.traffic)),
        )
        .await;
        let cause = match connected {
            Ok(Ok(stream)) => return Ok(self.open(stream)),
            Ok(Err(cause)) => cause.to_string(),
            Err(_) => format!("no response within {:?}", self.settings.connect_timeout),
        };
        self.back_off();
        Err(PeerError::Connect {
            address: self.address,
            cause,
        })
    }

    fn check_backoff(&self) -> Result<(), PeerError> {
        let now = Instant::now();
        match self.retry_at.get() {
            Some(retry_at) if retry_at > now => Err(PeerError::BackedOff {
                address: self.address,
                remaining: retry_at - now,
            }),
            _ => Ok(()),
        }
    }

    fn open(&self, stream: super::stream::CountedStream) -> (peer::Client, u64) {
        let generation = self.generation.get() + 1;
        self.generation.set(generation);
        let (reader, writer) = stream.compat().split();
        let options = reader_options(&self.settings);
        let network = twoparty::VatNetwork::new(reader, writer, Side::Client, options);
        let mut system = RpcSystem::new(Box::new(network), None);
        let client: peer::Client = system.bootstrap(Side::Server);
        let driver = tokio::task::spawn_local(system).abort_handle();
        *self.open.borrow_mut() = Some(OpenLink {
            client: client.clone(),
            generation,
            driver,
        });
        (client, generation)
    }

    /// Closes the connection that a failed call used, unless a newer one has already
    /// replaced it.
    fn close(&self, generation: u64) {
        let mut open = self.open.borrow_mut();
        match &*open {
            Some(link) if link.generation == generation => link.driver.abort(),
            _ => return,
        }
        *open = None;
    }

    fn back_off(&self) {
        let failures = self.failures.get();
        self.failures.set(failures.saturating_add(1));
        let backoff = backoff_after(&self.settings, failures);
        // Half of the backoff is random; otherwise hosts that lost the same peer at the
        // same moment would all reconnect at once.
        let fraction = self.jitter.borrow_mut().random_range(0.5..=1.0);
        self.retry_at
            .set(Some(Instant::now() + backoff.mul_f64(fraction)));
    }
}

impl Drop for PeerLink {
    fn drop(&mut self) {
        if let Some(open) = self.open.get_mut() {
            open.driver.abort();
        }
    }
}

/// Returns the backoff after `failures` earlier consecutive failures.
fn backoff_after(settings: &PeerSettings, failures: u32) -> Duration {
    let factor = 2_u32.saturating_pow(failures.min(16));
    settings
        .first_backoff
        .saturating_mul(factor)
        .min(settings.last_backoff)
}

/// Counts a call while it is pending, even if its task is dropped.
struct PendingCall<'a> {
    pending: &'a Cell<usize>,
}

impl<'a> PendingCall<'a> {
    fn new(pending: &'a Cell<usize>) -> Self {
        pending.set(pending.get() + 1);
        Self { pending }
    }
}

impl Drop for PendingCall<'_> {
    fn drop(&mut self) {
        self.pending.set(self.pending.get() - 1);
    }
}
