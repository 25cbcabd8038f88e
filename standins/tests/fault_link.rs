//! The links between two sides of the soak.

use std::io;

use standins::soak::FaultLink;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};

/// Guards against a stand-in target whose port still takes connections after its others broke,
/// so that hosts do not notice that its process has ended.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_closed_link_refuses_connections_once_the_open_ones_have_broken() {
    const ROUNDS: usize = 200;
    for round in 0..ROUNDS {
        let server = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = server.local_addr().expect("an address");
        let link = FaultLink::open(Some(address)).await.expect("a link");
        let mut client = TcpStream::connect(link.address).await.expect("connected");
        let (_accepted, _) = server.accept().await.expect("passed on");
        link.close();
        let broken = client.read(&mut [0; 1]).await;
        assert!(matches!(broken, Ok(0) | Err(_)), "{round}: {broken:?}");
        let refused = TcpStream::connect(link.address).await.map(drop);
        let kind = refused.map_err(|error| error.kind());
        assert_eq!(kind, Err(io::ErrorKind::ConnectionRefused), "{round}");
    }
}
