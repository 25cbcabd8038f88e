//! Clients that send plain requests at a steady rate, each on a new connection.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Connection, Seen, exchange};

/// One client attempt.
#[derive(Debug, Clone)]
pub struct Attempt {
    pub id: String,
    pub host: usize,
    pub sent: Instant,
    pub ended: Instant,
    pub seen: Seen,
}

/// What all attempts send besides their id.
#[derive(Debug, Clone)]
pub struct Plan {
    pub method: &'static str,
    pub path: String,
    pub key: String,
    pub body: Vec<u8>,
    pub deadline_ms: u64,
}

static NEXT: AtomicU64 = AtomicU64::new(1);

/// Draws an id that no other attempt of this run has.
pub fn new_id() -> String {
    format!(
        "{:08x}{:08x}",
        std::process::id(),
        NEXT.fetch_add(1, Ordering::Relaxed)
    )
}

pub fn request_bytes(plan: &Plan, id: &str) -> Vec<u8> {
    let mut text = format!(
        "{} {} HTTP/1.1\r\nHost: review.example\r\nX-Jackdawwick-Attempt-Id: {id}\r\n\
X-Jackdawwick-Deadline-Ms: {}\r\nAuthorization: Bearer {}\r\n",
        plan.method, plan.path, plan.deadline_ms, plan.key
    );
    if !plan.body.is_empty() {
        text.push_str(&format!("Content-Length: {}\r\n", plan.body.len()));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(&plan.body);
    bytes
}

/// Sends one request on a new connection.
pub fn send(host: usize, address: SocketAddr, plan: &Plan) -> Attempt {
    let id = new_id();
    let sent = Instant::now();
    let seen = match Connection::connect(address, Duration::from_secs(1)) {
        Ok(mut connection) => {
            let limit = Duration::from_millis(plan.deadline_ms + 500);
            exchange(&mut connection, &request_bytes(plan, &id), limit)
        }
        Err(error) => Seen {
            error: format!("connect: {error}"),
            ..Seen::default()
        },
    };
    Attempt {
        id,
        host,
        sent,
        ended: Instant::now(),
        seen,
    }
}

/// A running load.
pub struct Load {
    stop: Arc<AtomicBool>,
    pub attempts: Arc<Mutex<Vec<Attempt>>>,
    open: Arc<AtomicU64>,
}

impl Load {
    /// Sends `rate` requests a second to each host.
    pub fn start(fronts: &[SocketAddr], rate: f64, plan: &Plan) -> Self {
        let load = Self {
            stop: Arc::default(),
            attempts: Arc::default(),
            open: Arc::default(),
        };
        for (host, address) in fronts.iter().copied().enumerate() {
            let (stop, attempts, open, plan) = (
                load.stop.clone(),
                load.attempts.clone(),
                load.open.clone(),
                plan.clone(),
            );
            thread::spawn(move || {
                let start = Instant::now();
                let mut number = 0_u32;
                while !stop.load(Ordering::Relaxed) {
                    let due = start + Duration::from_secs_f64(f64::from(number) / rate);
                    thread::sleep(due.saturating_duration_since(Instant::now()));
                    number += 1;
                    let (attempts, open, plan) = (attempts.clone(), open.clone(), plan.clone());
                    open.fetch_add(1, Ordering::Relaxed);
                    thread::spawn(move || {
                        let attempt = send(host, address, &plan);
                        attempts.lock().expect("the attempts").push(attempt);
                        open.fetch_sub(1, Ordering::Relaxed);
                    });
                }
            });
        }
        load
    }

    /// Ends the load and returns all attempts.
    pub fn stop(self, limit: Duration) -> Vec<Attempt> {
        self.stop.store(true, Ordering::Relaxed);
        let until = Instant::now() + limit;
        thread::sleep(Duration::from_millis(200));
        while self.open.load(Ordering::Relaxed) > 0 && Instant::now() < until {
            thread::sleep(Duration::from_millis(20));
        }
        self.attempts.lock().expect("the attempts").clone()
    }
}
