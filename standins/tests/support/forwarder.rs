//! A TCP forwarder that serves as the link to one server and can be cut.

use std::net::SocketAddr;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use super::TestError;

/// State of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkState {
    Open,
    /// New connections are accepted but transfer no data until the state changes.
    Held,
    /// Every connection is closed, and new ones are closed at once.
    Cut,
}

/// A link to one server. Dropping it cuts the link.
pub struct TestLink {
    pub address: SocketAddr,
    state: watch::Sender<LinkState>,
    server: watch::Sender<Option<SocketAddr>>,
}

impl TestLink {
    /// Opens a link; [`Self::forward_to`] sets its server.
    pub async fn bind() -> Result<Self, TestError> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (state, states) = watch::channel(LinkState::Open);
        let (server, servers) = watch::channel(None);
        tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                tokio::spawn(forward_connection(client, states.clone(), servers.clone()));
            }
        });
        Ok(Self {
            address,
            state,
            server,
        })
    }

    pub fn forward_to(&self, server: SocketAddr) {
        self.server.send_replace(Some(server));
    }

    pub fn set(&self, state: LinkState) {
        self.state.send_replace(state);
    }
}

async fn forward_connection(
    mut client: TcpStream,
    mut states: watch::Receiver<LinkState>,
    mut servers: watch::Receiver<Option<SocketAddr>>,
) -> Option<()> {
    let state = *states
        .wait_for(|state| *state != LinkState::Held)
        .await
        .ok()?;
    let server = (*servers.wait_for(Option::is_some).await.ok()?)?;
    if state == LinkState::Cut {
        return None;
    }
    let mut server = TcpStream::connect(server).await.ok()?;
    tokio::select! {
        _ = tokio::io::copy_bidirectional(&mut client, &mut server) => {}
        _ = states.wait_for(|state| *state == LinkState::Cut) => {}
    }
    Some(())
}
