//! One peer's connection, made when needed and made again after a pause.

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

/// How long a call may take and what it means if it takes longer.
#[derive(Debug, Clone, Copy)]
pub(super) enum TimeoutPolicy {
    /// The peer should have answered at once, so it hangs: the connection is
    /// closed. Every further call on it would wait in vain and keep its memory.
    CloseLink,
    /// The peer may have good reason to wait; the connection stays.
    KeepLink(Duration),
}

/// A connection that stands.
struct OpenLink {
    client: peer::Client,
    generation: u64,
    driver: tokio::task::AbortHandle,
}

/// The way to one peer.
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
    /// A link to `address`, not yet connected.
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

    /// Whether a call began or waits after `limit`.
    pub(super) fn is_used_since(&self, limit: Instant) -> bool {
        self.pending.get() > 0 || self.last_used.get() >= limit
    }

    /// Makes one call: connects if needed, sends, waits for the answer.
    ///
    /// # Errors
    /// Connecting failed or is not tried yet, or the call brought no answer.
    pub(super) async fn call<F, R, T>(&self, limit: TimeoutPolicy, send: F) -> Result<T, PeerError>
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
        let timeout = match limit {
            TimeoutPolicy::CloseLink => self.settings.call_timeout,
            TimeoutPolicy::KeepLink(wait) => wait,
        };
        match tokio::time::timeout(timeout, send(&client)).await {
            Ok(Ok(answer)) => {
                self.failures.set(0);
                Ok(answer)
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
                if matches!(limit, TimeoutPolicy::CloseLink) {
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
        // Calls that come while one of them dials wait here, so that a peer
        // which accepts slowly is dialled once and not once for each call.
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
            Err(_) => format!("no answer within {:?}", self.settings.connect_timeout),
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

    /// Closes the connection that a failed call used, unless a newer one has
    /// taken its place already.
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
        // Half of the pause is drawn at random: hosts that lost the same peer
        // at the same moment would otherwise all come back at once.
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

/// Pause after a number of failures in a row.
fn backoff_after(settings: &PeerSettings, failures: u32) -> Duration {
    let factor = 2_u32.saturating_pow(failures.min(16));
    settings
        .first_backoff
        .saturating_mul(factor)
        .min(settings.last_backoff)
}

/// Counts a call while it waits, also when its task is dropped.
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
