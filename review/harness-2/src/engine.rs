//! Servers of a plain service, each with its entry in the store.

use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Connection, Request};
use crate::store::Store;

/// The seal that the stand-ins put on their answers.
pub const SEAL: &str = "3e1b.07.5a2.600.0.c9f2a4d1";

/// What a server does with a request; it writes the response itself. Returns whether the
/// connection goes on.
pub type Work = Arc<dyn Fn(&Server, &Request, &mut Connection) -> bool + Send + Sync>;

pub struct Server {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    /// Unix millisecond of its start.
    pub born: u128,
    pub draining: AtomicBool,
    /// Whether its writes reach the store.
    pub reaches_store: AtomicBool,
    /// By how much the store carries out its writes late, and doesn't answer them.
    pub late: Mutex<Option<Duration>>,
    /// Number of such writes.
    pub late_writes: AtomicU64,
    pub alive: AtomicBool,
    sequence: AtomicU64,
    last_write: Mutex<Instant>,
    listed: AtomicBool,
    /// Whether `end` is to close its connections.
    pub keeps_connections: AtomicBool,
    open: Mutex<Vec<TcpStream>>,
    store: Store,
}

impl Server {
    /// Starts a server that writes its entry every `beat`.
    pub fn start(
        store: &Store,
        service: &str,
        id: &str,
        zone: &str,
        beat: Duration,
        work: Work,
    ) -> Arc<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port for a server");
        let server = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address: listener.local_addr().expect("an address"),
            born: SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .map_or(0, |since| since.as_millis()),
            draining: AtomicBool::new(false),
            reaches_store: AtomicBool::new(true),
            late: Mutex::new(None),
            late_writes: AtomicU64::new(0),
            alive: AtomicBool::new(true),
            sequence: AtomicU64::new(0),
            last_write: Mutex::new(Instant::now()),
            listed: AtomicBool::new(false),
            keeps_connections: AtomicBool::new(true),
            open: Mutex::default(),
            store: store.clone(),
        });
        let serving = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if !serving.alive.load(Ordering::Relaxed) {
                    return;
                }
                if serving.keeps_connections.load(Ordering::Relaxed)
                    && let Ok(kept) = stream.try_clone()
                {
                    serving.open.lock().expect("the connections").push(kept);
                }
                let (server, work) = (serving.clone(), work.clone());
                thread::spawn(move || server.serve(stream, &work));
            }
        });
        let beating = server.clone();
        thread::spawn(move || {
            while beating.alive.load(Ordering::Relaxed) {
                if beating.reaches_store.load(Ordering::Relaxed) {
                    let late = *beating.late.lock().expect("the delay");
                    match late {
                        None => beating.write(),
                        Some(late) => beating.write_late(late),
                    }
                }
                thread::sleep(beat);
            }
        });
        // The platform removes an entry after three intervals of silence.
        let expiring = server.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(50));
                let silent = expiring.last_write.lock().expect("the moment").elapsed();
                if silent >= beat * 3 && expiring.listed.swap(false, Ordering::Relaxed) {
                    expiring.store.put("keyed.servers", &expiring.id, &[]);
                }
            }
        });
        server
    }

    /// Writes the entry as it is now.
    pub fn write(&self) {
        self.put(&self.entry());
    }

    /// Writes the entry as it is now, which the store carries out after `late`.
    fn write_late(self: &Arc<Self>, late: Duration) {
        let (server, entry) = (self.clone(), self.entry());
        self.late_writes.fetch_add(1, Ordering::Relaxed);
        thread::spawn(move || {
            thread::sleep(late);
            server.put(&entry);
        });
    }

    fn entry(&self) -> String {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let state = if self.draining.load(Ordering::Relaxed) {
            "draining"
        } else {
            "ready"
        };
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":64,\
\"state\":\"{state}\",\"cold_remaining_ms\":0,\"sequence\":{sequence},\"born\":{}}}",
            self.service, self.address, self.zone, self.born
        )
    }

    fn put(&self, entry: &str) {
        *self.last_write.lock().expect("the moment") = Instant::now();
        self.listed.store(true, Ordering::Relaxed);
        self.store.put("keyed.servers", &self.id, entry.as_bytes());
    }

    /// Ends the process: nothing listens any more, and open connections are closed.
    pub fn end(&self) {
        self.alive.store(false, Ordering::Relaxed);
        // Wakes the listener.
        let _ = TcpStream::connect(self.address);
        for stream in self.open.lock().expect("the connections").drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    pub fn is_listed(&self) -> bool {
        self.listed.load(Ordering::Relaxed)
    }

    /// Removes the entry, as a server that leaves does.
    pub fn unlist(&self) {
        self.reaches_store.store(false, Ordering::Relaxed);
        self.listed.store(false, Ordering::Relaxed);
        self.store.put("keyed.servers", &self.id, &[]);
    }

    fn serve(&self, stream: TcpStream, work: &Work) {
        let mut connection = Connection::new(stream);
        self.serve_requests(&mut connection, work);
        let _ = connection.stream.shutdown(Shutdown::Both);
        let port = connection.stream.peer_addr().ok();
        let mut open = self.open.lock().expect("the connections");
        open.retain(|kept| kept.peer_addr().ok() != port);
    }

    fn serve_requests(&self, connection: &mut Connection, work: &Work) {
        while let Ok(Some(request)) = connection.read_request() {
            let named = request.head.get("x-jackdawwick-target-instance");
            if named.is_some_and(|named| named != self.id) {
                let headers = [("X-Jackdawwick-Instance-Id", &*self.id)];
                if connection.respond(421, &headers, b"").is_err() {
                    return;
                }
                continue;
            }
            if request.path() == "/health" {
                let headers = [("X-Jackdawwick-Instance-Id", &*self.id)];
                if connection.respond(200, &headers, b"ok").is_err() {
                    return;
                }
                continue;
            }
            if !work(self, &request, connection) {
                return;
            }
        }
    }
}

/// Returns the id of the client attempt that a request belongs to.
pub fn attempt_id(request: &Request) -> &str {
    request.head.get("x-jackdawwick-attempt-id").unwrap_or("")
}
