//! A TCP link between two sides of the soak that can inject faults.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Bytes that are forwarded at a time.
const CHUNK_BYTES: usize = 16 * 1024;

/// Fault of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkFault {
    /// Forwards everything.
    None,
    /// Delays each chunk.
    Delay(Duration),
    /// Resets every connection, and new ones at once.
    Reset,
    /// Forwards nothing in either direction and closes nothing.
    Blackhole,
    /// Forwards nothing to the server.
    BlockToServer,
    /// Forwards nothing to the client.
    BlockToClient,
}

impl LinkFault {
    fn holds(self, direction: LinkDirection) -> bool {
        match self {
            Self::Blackhole | Self::Reset => true,
            Self::BlockToServer => direction == LinkDirection::ToServer,
            Self::BlockToClient => direction == LinkDirection::ToClient,
            Self::None | Self::Delay(_) => false,
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LinkDirection {
    ToServer,
    ToClient,
}

/// A running link; dropping it resets its connections.
#[derive(Debug)]
pub struct FaultLink {
    /// Address to which clients connect.
    pub address: SocketAddr,
    fault: watch::Sender<LinkFault>,
    server: watch::Sender<Option<SocketAddr>>,
    closed: watch::Sender<bool>,
}

impl FaultLink {
    /// Opens a link to a server that may be set later.
    ///
    /// # Errors
    ///
    /// If no port can be listened on.
    pub async fn open(server: Option<SocketAddr>) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let fault = watch::Sender::new(LinkFault::None);
        let server = watch::Sender::new(server);
        let closed = watch::Sender::new(false);
        let port = LinkPort {
            listener,
            fault: fault.clone(),
            server: server.subscribe(),
            closed: closed.subscribe(),
        };
        tokio::spawn(port.accept_all());
        Ok(Self {
            address,
            fault,
            server,
            closed,
        })
    }

    /// Sets the server of new connections; with `None` they are reset.
    pub fn set_server(&self, server: Option<SocketAddr>) {
        self.server.send_replace(server);
    }

    /// Closes the port, and then resets all connections, as the system does when a process
    /// ends.
    pub fn close(&self) {
        self.closed.send_replace(true);
    }

    /// Returns the present fault.
    pub(super) fn fault(&self) -> LinkFault {
        *self.fault.borrow()
    }

    /// Switches to a fault, or back to none.
    pub fn set(&self, fault: LinkFault) {
        self.fault.send_replace(fault);
    }
}

impl Drop for FaultLink {
    fn drop(&mut self) {
        self.close();
    }
}

/// The port of a link.
struct LinkPort {
    listener: TcpListener,
    fault: watch::Sender<LinkFault>,
    server: watch::Receiver<Option<SocketAddr>>,
    closed: watch::Receiver<bool>,
}

impl LinkPort {
    /// Accepts connections until the link is closed.
    async fn accept_all(mut self) {
        loop {
            let accepted = tokio::select! {
                biased;
                _ = self.closed.wait_for(|closed| *closed) => break,
                accepted = self.listener.accept() => accepted,
            };
            match accepted {
                Ok((client, _)) => {
                    let server = *self.server.borrow();
                    tokio::spawn(relay(client, server, self.fault.subscribe()));
                }
                Err(error) => {
                    log::warn!("link cannot accept a connection: {error}");
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
            }
        }
        drop(self.listener);
        self.fault.send_replace(LinkFault::Reset);
    }
}

async fn relay(
    client: TcpStream,
    server: Option<SocketAddr>,
    mut faults: watch::Receiver<LinkFault>,
) {
    // Closed ports and killed processes also reset their connections.
    let _ = client.set_zero_linger();
    let Some(server) = server else { return };
    if *faults.borrow() == LinkFault::Reset {
        return;
    }
    // A link that forwards nothing still accepts connections.
    let passes = |fault: &LinkFault| !fault.holds(LinkDirection::ToServer);
    if faults.wait_for(passes).await.is_err() {
        return;
    }
    let Ok(upstream) = TcpStream::connect(server).await else {
        return;
    };
    let _ = (
        client.set_nodelay(true),
        upstream.set_nodelay(true),
        upstream.set_zero_linger(),
    );
    let (client_read, client_write) = client.into_split();
    let (upstream_read, upstream_write) = upstream.into_split();
    let to_server = copy_direction(
        client_read,
        upstream_write,
        LinkDirection::ToServer,
        faults.clone(),
    );
    let to_client = copy_direction(
        upstream_read,
        client_write,
        LinkDirection::ToClient,
        faults.clone(),
    );
    tokio::select! {
        _ = async { tokio::try_join!(to_server, to_client) } => {}
        // Returns as well when the link is dropped.
        _ = faults.wait_for(|fault| *fault == LinkFault::Reset) => {}
    }
}

async fn copy_direction(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    direction: LinkDirection,
    mut faults: watch::Receiver<LinkFault>,
) -> io::Result<()> {
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let count = from.read(&mut chunk).await?;
        let gone = |_| io::Error::from(io::ErrorKind::ConnectionReset);
        let fault = *faults
            .wait_for(|fault| !fault.holds(direction))
            .await
            .map_err(gone)?;
        if let LinkFault::Delay(delay) = fault {
            tokio::time::sleep(delay).await;
        }
        if count == 0 {
            return to.shutdown().await;
        }
        to.write_all(&chunk[..count]).await?;
    }
}
