//! The way from one zone to the platform, which can be cut.

use std::io;
use std::net::SocketAddr;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Passes connections of one zone's entry hosts on to the platform; dropping
/// it ends them.
#[derive(Debug)]
pub struct ZoneProxy {
    /// Zone whose hosts go through here.
    pub zone: String,
    local_addr: SocketAddr,
    cut: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl ZoneProxy {
    /// Opens a gate from a zone to the platform.
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

    /// Address that the zone's hosts use as the platform's.
    pub fn local_addr(&self) -> SocketAddr {
        self.local_addr
    }

    /// Cuts the zone off, or joins it again.
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
    // Small bodies would wait for the other side's delayed acknowledgement.
    let _ = (downstream.set_nodelay(true), upstream.set_nodelay(true));
    tokio::select! {
        _ = tokio::io::copy_bidirectional(&mut downstream, &mut upstream) => {}
        // Ends as well when the gate is dropped.
        _ = cut.wait_for(|cut| *cut) => {}
    }
}
