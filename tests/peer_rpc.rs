//! Peer calls over loopback: replies, hanging and restarted peers, and size limits.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::FutureExt;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use jackdawwick::peer::{
    self, ClaimQuery, ClaimQueryReply, PeerDemand, PeerError, PeerGrant, PeerHandle, PeerHandlers,
    PeerHeartbeat, PeerLoad, PeerReply, PeerSettings, RecordsRequest, RelayedRange, ZoneDigest,
};
use jackdawwick::platform::wire::StoredRecord;
use jackdawwick::verdict::RunVerdict;

const WAIT_LIMIT: Duration = Duration::from_secs(20);

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn beat(host: &str, incarnation: u64) -> PeerHeartbeat {
    PeerHeartbeat {
        host: host.into(),
        zone: "vake".into(),
        incarnation,
        sequence: 7,
        applied_offset: 41,
        draining: true,
        peer_address: loopback(9),
        loads: Vec::new(),
        demands: Vec::new(),
        demands_for: None,
        digest: None,
    }
}

fn load(name: &str) -> PeerLoad {
    PeerLoad {
        target: name.into(),
        running: 3,
        waiting: 4,
        tokens_per_second: 55.5,
        age: Duration::from_millis(120),
        leaving: true,
    }
}

fn demand(name: &str) -> PeerDemand {
    PeerDemand {
        organisation: name.into(),
        in_flight: 1,
        waiting: 2,
        wanted_rate: 3,
        held_grant: 4,
        held_rate: 5,
        grant_number: 6,
        grant_lease: Some(0),
    }
}

fn grant(name: &str) -> PeerGrant {
    PeerGrant {
        organisation: name.into(),
        concurrent_requests: 9,
        requests_per_minute: 8,
        number: 7,
        expires_after: Some(Duration::from_millis(1500)),
    }
}

fn full_beat(host: &str) -> PeerHeartbeat {
    PeerHeartbeat {
        loads: vec![load("engine-1"), load("engine-2")],
        demands: vec![demand("acme")],
        demands_for: Some(12),
        digest: Some(ZoneDigest {
            zone: "vake".into(),
            live_hosts: 3,
            lowest_applied_offset: 40,
            slowest_host: "vake-2".into(),
            unreachable: vec!["vake-3".into()],
            unreachable_count: 2,
        }),
        ..beat(host, 5)
    }
}

/// Returns handlers that echo parts of the caller's heartbeat in an otherwise fixed
/// reply.
fn handlers(host: &'static str, incarnation: u64) -> PeerHandlers {
    PeerHandlers {
        heartbeat: Arc::new(move |received: PeerHeartbeat| PeerReply {
            heartbeat: PeerHeartbeat {
                loads: received.loads,
                digest: received.digest,
                ..beat(host, incarnation)
            },
            lease_offset: received.demands_for,
            grants: received
                .demands
                .iter()
                .map(|demand| grant(&demand.organisation))
                .collect(),
        }),
        records: Arc::new(|request| RelayedRange {
            first_offset: request.from,
            end_offset: request.from + 2,
            records: vec![StoredRecord {
                offset: request.from,
                body: "{}".to_owned(),
            }],
            checkpoint: Some(request.stream),
        }),
        claim_outcome: Arc::new(|request| {
            let outcome = ClaimQueryReply::Known {
                verdict: RunVerdict::Ran,
                status: 200,
                body: Bytes::copy_from_slice(request.key.as_bytes()),
            };
            async move { outcome }.boxed()
        }),
    }
}

fn settings(port: u16) -> PeerSettings {
    PeerSettings {
        first_backoff: Duration::from_millis(5),
        last_backoff: Duration::from_millis(20),
        call_timeout: WAIT_LIMIT,
        ..PeerSettings::new(loopback(port))
    }
}

fn spawn(host: &'static str, incarnation: u64) -> PeerHandle {
    peer::spawn(settings(0), handlers(host, incarnation)).expect("a peer")
}

#[tokio::test]
async fn every_field_of_every_call_arrives() {
    let caller = spawn("vake-1", 1);
    let callee = spawn("vake-2", 2);
    let address = callee.local_address();
    let sent = full_beat("vake-1");

    let reply = caller
        .heartbeat(address, sent.clone())
        .await
        .expect("a reply");
    let expected = PeerReply {
        heartbeat: PeerHeartbeat {
            loads: sent.loads,
            digest: sent.digest,
            ..beat("vake-2", 2)
        },
        lease_offset: Some(12),
        grants: vec![grant("acme")],
    };
    assert_eq!(reply, expected);

    let request = RecordsRequest {
        stream: "declarations".to_owned(),
        from: 3,
        limit: 10,
    };
    let range = caller.records(address, request).await.expect("a range");
    assert_eq!((range.first_offset, range.end_offset), (3, 5));
    assert_eq!(range.records[0].body, "{}");
    assert_eq!(range.checkpoint.as_deref(), Some("declarations"));

    let request = ClaimQuery {
        request: "r".into(),
        service: "ledger".into(),
        operation: "settle".to_owned(),
        key: "k-1".into(),
        organisation: "acme".into(),
    };
    let outcome = caller
        .claim_outcome(address, request, WAIT_LIMIT)
        .await
        .expect("an outcome");
    let expected = ClaimQueryReply::Known {
        verdict: RunVerdict::Ran,
        status: 200,
        body: Bytes::from_static(b"k-1"),
    };
    assert_eq!(outcome, expected);
    caller.shutdown().await;
    callee.shutdown().await;
}

/// Guards against a hanging host that makes all hosts of its zone look dead, because
/// calls run one after another. One peer accepts the connection and never replies while
/// another one is called.
#[tokio::test]
async fn hanging_peer_delays_no_call_to_another() {
    let hanging_peer = tokio::net::TcpListener::bind(loopback(0))
        .await
        .expect("a socket");
    let hanging_address = hanging_peer.local_addr().expect("an address");
    let callee = spawn("vake-2", 2);
    let caller = spawn("vake-1", 1);

    let mut pending = Box::pin(caller.heartbeat(hanging_address, beat("vake-1", 1)));
    assert!(pending.as_mut().now_or_never().is_none());
    let (_held, _) = hanging_peer
        .accept()
        .await
        .expect("the caller's connection");
    for _ in 0..20 {
        caller
            .heartbeat(callee.local_address(), beat("vake-1", 1))
            .await
            .expect("a reply of the other peer");
    }
    assert!(pending.as_mut().now_or_never().is_none());
    caller.shutdown().await;
    callee.shutdown().await;
}

/// Guards against a host that stays unreachable after it hung for a while, because the
/// connection without replies is reused. A call times out, and the peer accepts a second
/// connection.
#[tokio::test]
async fn call_timeout_closes_the_connection() {
    let hanging_peer = tokio::net::TcpListener::bind(loopback(0))
        .await
        .expect("a socket");
    let address = hanging_peer.local_addr().expect("an address");
    let short_timeout = PeerSettings {
        call_timeout: Duration::from_millis(30),
        ..settings(0)
    };
    let caller = peer::spawn(short_timeout, handlers("vake-1", 1)).expect("a peer");

    let failed = caller.heartbeat(address, beat("vake-1", 1)).await;
    assert!(
        matches!(failed, Err(PeerError::Timeout { .. })),
        "{failed:?}"
    );
    let (mut first, _) = hanging_peer.accept().await.expect("a connection");
    let mut rest = Vec::new();
    tokio::time::timeout(WAIT_LIMIT, first.read_to_end(&mut rest))
        .await
        .expect("the first connection is closed")
        .expect("by an orderly end");

    let second = tokio::time::timeout(WAIT_LIMIT, async {
        loop {
            let _ = caller.heartbeat(address, beat("vake-1", 1)).await;
            if let Some(accepted) = hanging_peer.accept().now_or_never() {
                return accepted;
            }
        }
    });
    assert!(second.await.is_ok(), "a second connection is made");
    caller.shutdown().await;
}

/// Guards against a restarted host that stays unreachable at its address, because the
/// link keeps the broken connection. The peer ends, calls to it fail, and a new one
/// starts at its address.
#[tokio::test]
async fn restarted_peer_is_reachable_at_its_address() {
    let caller = spawn("vake-1", 1);
    let callee = spawn("vake-2", 2);
    let address = callee.local_address();
    caller
        .heartbeat(address, beat("vake-1", 1))
        .await
        .expect("a reply");
    callee.shutdown().await;
    let failed = caller.heartbeat(address, beat("vake-1", 1)).await;
    assert!(failed.is_err(), "{failed:?}");

    let restarted = peer::spawn(settings(address.port()), handlers("vake-2", 3)).expect("a peer");
    let started = Instant::now();
    let reply = loop {
        match caller.heartbeat(address, beat("vake-1", 1)).await {
            Ok(reply) => break reply,
            Err(cause) => assert!(started.elapsed() < WAIT_LIMIT, "{cause}"),
        }
        tokio::task::yield_now().await;
    };
    assert_eq!(reply.heartbeat.incarnation, 3);
    caller.shutdown().await;
    restarted.shutdown().await;
}

/// Guards against a damaged message that exhausts the memory, because memory is allocated
/// by the announced length. A connection announces a message of 16 GB.
#[tokio::test]
async fn oversized_message_closes_only_its_connection() {
    let callee = spawn("vake-2", 2);
    let caller = spawn("vake-1", 1);
    let mut stream = tokio::net::TcpStream::connect(callee.local_address())
        .await
        .expect("a connection");
    let one_segment = 0_u32.to_le_bytes();
    let words = 0x7fff_ffff_u32.to_le_bytes();
    stream
        .write_all(&[one_segment, words].concat())
        .await
        .expect("a header");
    let mut rest = Vec::new();
    let ended = tokio::time::timeout(WAIT_LIMIT, stream.read_to_end(&mut rest)).await;
    assert!(ended.is_ok(), "the connection is closed");
    caller
        .heartbeat(callee.local_address(), beat("vake-1", 1))
        .await
        .expect("a reply on another connection");
    caller.shutdown().await;
    callee.shutdown().await;
}

/// Returns the bytes on the wire of one heartbeat and its reply.
async fn exchange_bytes(beat: &PeerHeartbeat) -> u64 {
    let caller = spawn("vake-1", 1);
    let callee = spawn("vake-2", 2);
    let address = callee.local_address();
    let count = |caller: &PeerHandle| {
        let traffic = caller.traffic();
        traffic.sent_bytes() + traffic.received_bytes()
    };
    for _ in 0..4 {
        caller
            .heartbeat(address, beat.clone())
            .await
            .expect("a reply");
    }
    let before = count(&caller);
    for _ in 0..16 {
        caller
            .heartbeat(address, beat.clone())
            .await
            .expect("a reply");
    }
    let after = count(&caller);
    caller.shutdown().await;
    callee.shutdown().await;
    (after - before) / 16
}

/// Checks the bytes per item that the budget in `docs/design/membership.md` is based on.
/// Loads and the digest count in both directions because the handlers echo them.
#[tokio::test]
async fn the_bytes_of_a_heartbeat_stay_within_their_slopes() {
    const ITEMS: u64 = 20;
    let names: Vec<String> = (0..ITEMS)
        .map(|index| format!("engine-{index:04}"))
        .collect();
    let empty = exchange_bytes(&beat("vake-1", 1)).await;
    let with_loads = PeerHeartbeat {
        loads: names.iter().map(|name| load(name)).collect(),
        ..beat("vake-1", 1)
    };
    let with_demands = PeerHeartbeat {
        demands: names.iter().map(|name| demand(name)).collect(),
        ..beat("vake-1", 1)
    };
    let with_digest = PeerHeartbeat {
        digest: full_beat("vake-1").digest,
        ..beat("vake-1", 1)
    };
    let by_digest = (exchange_bytes(&with_digest).await - empty) / 2;
    let by_load = (exchange_bytes(&with_loads).await - empty) / (2 * ITEMS);
    let by_demand = (exchange_bytes(&with_demands).await - empty) / ITEMS;
    assert!((500..=524).contains(&empty), "{empty}");
    assert_eq!(by_load, 56);
    assert_eq!(by_digest, 72);
    assert!((108..=112).contains(&by_demand), "{by_demand}");
}
