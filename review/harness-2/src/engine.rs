//! Servers of a plain service, each with its entry in the store.

use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

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
    pub born: Option<u64>,
    pub draining: AtomicBool,
    /// Whether its writes reach the store.
    pub reaches_store: AtomicBool,
    pub alive: AtomicBool,
    sequence: AtomicU64,
    last_write: Mutex<Instant>,
    listed: AtomicBool,
    store: Store,
}

impl Server {
    /// Starts a server that writes its entry every `beat`.
    pub fn start(store: &Store, service: &str, id: &str, zone: &str, beat: Duration, work: Work) -> Arc<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port for a server");
        let server = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address: listener.local_addr().expect("an address"),
            born: None,
            draining: AtomicBool::new(false),
            reaches_store: AtomicBool::new(true),
            alive: AtomicBool::new(true),
            sequence: AtomicU64::new(0),
            last_write: Mutex::new(Instant::now()),
            listed: AtomicBool::new(false),
            store: store.clone(),
        });
        let serving = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if !serving.alive.load(Ordering::Relaxed) {
                    return;
                }
                let (server, work) = (serving.clone(), work.clone());
                thread::spawn(move || server.serve(stream, &work));
            }
        });
        let beating = server.clone();
        thread::spawn(move || {
            while beating.alive.load(Ordering::Relaxed) {
                if beating.reaches_store.load(Ordering::Relaxed) {
                    beating.write();
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
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let state = if self.draining.load(Ordering::Relaxed) { "draining" } else { "ready" };
        let text = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":64,\
\"state\":\"{state}\",\"cold_remaining_ms\":0,\"sequence\":{sequence}}}",
            self.service, self.address, self.zone
        );
        *self.last_write.lock().expect("the moment") = Instant::now();
        self.listed.store(true, Ordering::Relaxed);
        self.store.put("keyed.servers", &self.id, text.as_bytes());
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
            if !work(self, &request, &mut connection) {
                return;
            }
        }
    }
}

/// Returns the id of the client attempt that a request belongs to.
pub fn attempt_id(request: &Request) -> &str {
    request.head.get("x-jackdawwick-attempt-id").unwrap_or("")
}
