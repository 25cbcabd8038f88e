//! The link of one host to one target, which the host can lose.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::{SockFilter, SockRef};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Bytes that are forwarded at a time.
const CHUNK_BYTES: usize = 16 * 1024;
/// Pause before a port that is still in use is bound again.
const BIND_PAUSE: Duration = Duration::from_millis(20);
/// Length of the accept queue.
const BACKLOG: u32 = 1024;

/// How a host loses its links to the targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkLoss {
    /// All packets of the host are dropped: open connections hang, and new ones are not
    /// established.
    Silent,
    /// Open connections are reset, and new ones are refused.
    Reset,
    /// Open connections continue, and new ones are refused.
    NewRefused,
}

/// A running link; dropping it resets its connections.
#[derive(Debug)]
pub(super) struct HostLink {
    task: JoinHandle<()>,
}

impl HostLink {
    /// Opens a link from `address` to a target. `loss` tells when it is lost.
    ///
    /// # Errors
    ///
    /// If the address cannot be listened on.
    pub(super) fn open(
        address: SocketAddr,
        target: SocketAddr,
        loss: watch::Receiver<Option<LinkLoss>>,
    ) -> io::Result<Self> {
        let listener = listen(address)?;
        let task = tokio::spawn(run_link(listener, address, target, loss));
        Ok(Self { task })
    }
}

impl Drop for HostLink {
    fn drop(&mut self) {
        self.task.abort();
    }
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

async fn run_link(
    mut listener: TcpListener,
    address: SocketAddr,
    target: SocketAddr,
    mut loss: watch::Receiver<Option<LinkLoss>>,
) {
    let for_connections = loss.clone();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((client, _)) => {
                    tokio::spawn(relay(client, target, for_connections.clone()));
                    continue;
                }
                Err(error) => {
                    log::warn!("link cannot accept a connection: {error}");
                    tokio::time::sleep(BIND_PAUSE).await;
                    continue;
                }
            },
            is_lost = async { loss.wait_for(Option::is_some).await.is_ok() } => {
                if !is_lost {
                    return;
                }
            }
        }
        let is_silent = *loss.borrow() == Some(LinkLoss::Silent);
        if is_silent && let Err(error) = drop_packets(&SockRef::from(&listener)) {
            log::error!("cannot drop the packets of a link: {error}");
        }
        // Without a listener, the system refuses connections.
        let silent = is_silent.then_some(listener);
        if loss.wait_for(Option::is_none).await.is_err() {
            return;
        }
        drop(silent);
        listener = loop {
            match listen(address) {
                Ok(listener) => break listener,
                Err(error) => log::warn!("link cannot listen again: {error}"),
            }
            tokio::time::sleep(BIND_PAUSE).await;
        };
    }
}

/// Drops all packets that a socket receives, so that its peer gets no acknowledgement.
fn drop_packets(socket: &SockRef<'_>) -> io::Result<()> {
    const RETURN_CONSTANT: u16 = 0x06;
    socket.attach_filter(&[SockFilter::new(RETURN_CONSTANT, 0, 0, 0)])
}

async fn relay(client: TcpStream, target: SocketAddr, mut loss: watch::Receiver<Option<LinkLoss>>) {
    let Ok(upstream) = TcpStream::connect(target).await else {
        return;
    };
    let options = [client.set_nodelay(true), upstream.set_nodelay(true)];
    let lingers = [client.set_zero_linger(), upstream.set_zero_linger()];
    if options.into_iter().chain(lingers).any(|set| set.is_err()) {
        return;
    }
    // The socket is used twice: for the filter, and to forward.
    let Ok(filtered) = SockRef::from(&client).try_clone() else {
        return;
    };
    let (client_read, client_write) = client.into_split();
    let (upstream_read, upstream_write) = upstream.into_split();
    let to_target = copy_direction(client_read, upstream_write, loss.clone());
    let to_host = copy_direction(upstream_read, client_write, loss.clone());
    let mut resets = loss.clone();
    let filter = async {
        while loss
            .wait_for(|loss| *loss == Some(LinkLoss::Silent))
            .await
            .is_ok()
        {
            if drop_packets(&SockRef::from(&filtered)).is_err() {
                return;
            }
            let back = loss.wait_for(|loss| *loss != Some(LinkLoss::Silent));
            if back.await.is_err() || filtered.detach_filter().is_err() {
                return;
            }
        }
    };
    tokio::select! {
        _ = async { tokio::try_join!(to_target, to_host) } => {}
        _ = resets.wait_for(|loss| *loss == Some(LinkLoss::Reset)) => {}
        () = filter => {}
    }
}

async fn copy_direction(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut loss: watch::Receiver<Option<LinkLoss>>,
) -> io::Result<()> {
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let count = from.read(&mut chunk).await?;
        let gone = |_| io::Error::from(io::ErrorKind::ConnectionReset);
        let passes = |loss: &Option<LinkLoss>| *loss != Some(LinkLoss::Silent);
        loss.wait_for(passes).await.map_err(gone)?;
        if count == 0 {
            return to.shutdown().await;
        }
        to.write_all(&chunk[..count]).await?;
    }
}
