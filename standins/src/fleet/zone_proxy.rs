//! A proxy between one zone and the platform, which can be cut off.

use std::io;
use std::net::SocketAddr;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Forwards connections of the entry hosts of a zone to the platform. Dropping it closes
/// them.
#[derive(Debug)]
pub struct ZoneProxy {
    /// Zone whose hosts connect through this proxy.
    pub zone: String,
    local_addr: SocketAddr,
    cut: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl ZoneProxy {
    /// Starts a proxy from a zone to the platform.
    pub(super) async fn bind(zone: &str, platform: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
        let local_addr = listener.local_addr()?;
        let cut = watch::Sender::new(false);
        let task = tokio::spawn(accept_all(listener, platform, cut.subscribe()));
        Ok(Self {
            zone: zone.to_owned(),
            local_addr,
            cut,
            task,
        })
    }

    /// Returns the address that the hosts of the zone use for the platform.
    pub fn local_addr(&self) -> SocketAddr {
        self.local_addr
    }

    /// Cuts the zone off from the platform, or reconnects it.
    pub fn set_cut(&self, cut: bool) {
        self.cut.send_replace(cut);
    }
}

impl Drop for ZoneProxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept_all(listener: TcpListener, platform: SocketAddr, cut: watch::Receiver<bool>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(forward_connection(stream, platform, cut.clone()));
            }
            Err(error) => log::warn!("accept failed: {error}"),
        }
    }
}

async fn forward_connection(
    mut downstream: TcpStream,
    platform: SocketAddr,
    mut cut: watch::Receiver<bool>,
) {
    if *cut.borrow() {
        return;
    }
    let Ok(mut upstream) = TcpStream::connect(platform).await else {
        return;
    };
    // Nagle's algorithm would delay small bodies until the receiver's delayed
    // acknowledgement.
    let _ = (downstream.set_nodelay(true), upstream.set_nodelay(true));
    tokio::select! {
        _ = tokio::io::copy_bidirectional(&mut downstream, &mut upstream) => {}
        // Also completes when the proxy is dropped.
        _ = cut.wait_for(|cut| *cut) => {}
    }
}
