//! The processes of a case: the project's daemons and the engines.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::process::{Child, ChildStdin, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, mpsc};
use std::thread;
use std::time::{Duration, Instant};

use crate::record::Record;
use crate::store::{Store, TARGETS};

/// Interval of the heartbeats of an engine.
pub const HEARTBEAT: Duration = Duration::from_millis(1200);
/// Time in which a process has to listen.
const START_TIME: Duration = Duration::from_secs(10);

/// Returns a port that is free on an address.
pub fn free_port(ip: &str) -> io::Result<u16> {
    let listener = TcpListener::bind((ip, 0))?;
    Ok(listener.local_addr()?.port())
}

/// A request that reached an engine, as the engine printed it.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub at: Instant,
    pub engine: String,
    pub request: String,
}

/// A heartbeat that gets no answer and that the store takes later.
#[derive(Debug, Default)]
struct LateBeat {
    is_wanted: bool,
    sent: Option<(Instant, Vec<u8>)>,
}

/// An engine and its entry in the store.
pub struct Engine {
    pub id: String,
    pub address: SocketAddr,
    service: &'static str,
    zone: &'static str,
    input: ChildStdin,
    pub child: Child,
    pub is_draining: Arc<AtomicBool>,
    has_entry: Arc<AtomicBool>,
    /// Whether the store is to take the next heartbeat late, and that heartbeat.
    late_beat: Arc<Mutex<LateBeat>>,
    beats: Arc<Mutex<u64>>,
    store: Arc<Store>,
    record: Record,
}

/// What is told of an engine at its start.
#[derive(Debug, Clone, Copy)]
pub struct EngineSpec {
    pub id: &'static str,
    pub service: &'static str,
    pub zone: &'static str,
    /// What is special about it: `unframed` or nothing.
    pub traits: &'static str,
}

impl Engine {
    /// Starts an engine, which writes heartbeats from then on.
    pub fn start(
        spec: EngineSpec,
        store: &Arc<Store>,
        record: &Record,
        arrivals: &Arc<Mutex<Vec<Arrival>>>,
    ) -> io::Result<Self> {
        let mut child = Command::new(std::env::current_exe()?)
            .args(["engine", spec.id, "127.0.0.1:0", spec.traits])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()?;
        let input = child.stdin.take().ok_or(io::ErrorKind::BrokenPipe)?;
        let output = child.stdout.take().ok_or(io::ErrorKind::BrokenPipe)?;
        let (sender, receiver) = mpsc::channel();
        let (kept, arrivals) = (record.clone(), arrivals.clone());
        thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                let at = Instant::now();
                kept.add_at(at, format!("engine {}: {line}", spec.id));
                if let Some(address) = line.strip_prefix("listening ") {
                    let _ = sender.send(address.parse::<SocketAddr>());
                }
                if let Some(request) = line.strip_prefix("reached ") {
                    let mut arrivals = arrivals.lock().unwrap_or_else(|e| e.into_inner());
                    arrivals.push(Arrival {
                        at,
                        engine: spec.id.to_owned(),
                        request: request.to_owned(),
                    });
                }
            }
            kept.add(format!("engine {}: its process has ended", spec.id));
        });
        let address = receiver
            .recv_timeout(START_TIME)
            .map_err(io::Error::other)?;
        let engine = Self {
            id: spec.id.to_owned(),
            address: address.map_err(io::Error::other)?,
            service: spec.service,
            zone: spec.zone,
            input,
            child,
            is_draining: Arc::default(),
            has_entry: Arc::new(AtomicBool::new(true)),
            late_beat: Arc::default(),
            beats: Arc::default(),
            store: store.clone(),
            record: record.clone(),
        };
        engine.beat();
        let entry = engine.entry_function();
        let (has_entry, late_beat) = (engine.has_entry.clone(), engine.late_beat.clone());
        let (store, id) = (store.clone(), engine.id.clone());
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT);
                if !has_entry.load(Ordering::SeqCst) {
                    return;
                }
                let entry = entry();
                let mut late = late_beat.lock().unwrap_or_else(|error| error.into_inner());
                match std::mem::take(&mut late.is_wanted) {
                    true => late.sent = Some((Instant::now(), entry)),
                    false => drop(store.append(TARGETS, &id, Some(entry))),
                }
            }
        });
        Ok(engine)
    }

    /// Lets the next heartbeat get no answer; returns when it was sent.
    pub fn lose_next_beat(&self) -> Instant {
        let late = || {
            let late = self.late_beat.lock();
            late.unwrap_or_else(|error| error.into_inner())
        };
        late().is_wanted = true;
        loop {
            if let Some((at, _)) = late().sent {
                self.record.add_at(
                    at,
                    format!("engine {}: a heartbeat, `ready`, gets no answer", self.id),
                );
                return at;
            }
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Lets the store take the heartbeat that got no answer.
    pub fn take_late_beat(&self) {
        let late = self.late_beat.lock();
        let sent = late.unwrap_or_else(|error| error.into_inner()).sent.take();
        if let Some((_, entry)) = sent {
            self.store.append(TARGETS, &self.id, Some(entry));
            self.record.add(format!(
                "store: takes the heartbeat of {} that got no answer",
                self.id
            ));
        }
    }

    /// Returns a function that writes the entry as it is then, and counts heartbeats.
    fn entry_function(&self) -> impl Fn() -> Vec<u8> + Send + use<> {
        let beats = self.beats.clone();
        let (service, zone, address) = (self.service, self.zone, self.address);
        let is_draining = self.is_draining.clone();
        move || {
            let mut beats = beats.lock().unwrap_or_else(|error| error.into_inner());
            *beats += 1;
            let state = match is_draining.load(Ordering::SeqCst) {
                true => "draining",
                false => "ready",
            };
            let entry = format!(
                "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
                 \"version\":\"v1\",\"slots\":64,\"state\":\"{state}\",\
                 \"cold_remaining_ms\":0,\"sequence\":{beats}}}"
            );
            entry.into_bytes()
        }
    }

    /// Writes the entry as it is; returns whether the store has taken it.
    pub fn beat(&self) -> bool {
        let entry = (self.entry_function())();
        self.store.append(TARGETS, &self.id, Some(entry)).is_some()
    }

    /// Reports `draining`; returns when the store had acknowledged it.
    pub fn drain(&mut self) -> io::Result<Instant> {
        self.state_leaving()?;
        self.is_draining.store(true, Ordering::SeqCst);
        self.acknowledged("draining", self.beat())
    }

    /// Leaves without reporting it: the entry is removed.
    pub fn remove_entry(&mut self) -> io::Result<Instant> {
        self.state_leaving()?;
        self.has_entry.store(false, Ordering::SeqCst);
        let taken = self.store.append(TARGETS, &self.id, None).is_some();
        self.acknowledged("entry removed", taken)
    }

    fn acknowledged(&self, what: &str, is_taken: bool) -> io::Result<Instant> {
        let now = Instant::now();
        match is_taken {
            true => {
                self.record
                    .add_at(now, format!("engine {}: {what}, acknowledged", self.id));
                Ok(now)
            }
            false => Err(io::Error::other("the store is away")),
        }
    }

    /// Says in all further answers that the engine is leaving.
    fn state_leaving(&mut self) -> io::Result<()> {
        writeln!(self.input, "leaving")?;
        self.input.flush()
    }

    /// Ends the process at once; its entry expires after three heartbeats of silence.
    pub fn kill(&mut self) -> io::Result<()> {
        self.has_entry.store(false, Ordering::SeqCst);
        self.record.add(format!("engine {}: killed", self.id));
        self.child.kill()?;
        let (store, id) = (self.store.clone(), self.id.clone());
        thread::spawn(move || {
            thread::sleep(HEARTBEAT * 3);
            store.append(TARGETS, &id, None);
        });
        Ok(())
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// An entry host.
pub struct Daemon {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub child: Child,
}

/// The addresses of an entry host, chosen before it starts.
#[derive(Debug, Clone)]
pub struct DaemonSpec {
    pub name: String,
    pub zone: &'static str,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
    pub internal_port: u16,
}

impl DaemonSpec {
    /// Chooses free addresses for host number `index`.
    pub fn choose(index: usize, zone: &'static str, internal_port: u16) -> io::Result<Self> {
        let unique = std::process::id();
        let ip = format!(
            "127.{}.{}.{}",
            1 + unique / 250 % 250,
            1 + unique % 250,
            index + 1
        );
        let address = || -> io::Result<SocketAddr> {
            let port = free_port(&ip)?;
            Ok(SocketAddr::new(ip.parse().map_err(io::Error::other)?, port))
        };
        Ok(Self {
            name: format!("front-{zone}-{index}"),
            zone,
            front: address()?,
            ready: address()?,
            control: address()?,
            internal_port,
        })
    }

    fn settings(&self, seeds: &[SocketAddr], store: SocketAddr, is_first: bool) -> String {
        let ip = self.front.ip();
        let (front, ready, control) = (self.front, self.ready, self.control);
        let (name, zone, port) = (&self.name, self.zone, self.internal_port);
        let seeds = seeds.iter().map(|seed| format!("\"{seed}\""));
        let seeds = seeds.collect::<Vec<_>>().join(",");
        format!(
            r#"{{"node":"{name}","role":"router","class":"front","serves":["front","control"],
"ip":"{ip}","zone":"{zone}","region":"tbilisi",
"zones":{{"vake":"tbilisi","saburtalo":"tbilisi","didube":"tbilisi"}},
"listen":{{"front":"{front}","ready":"{ready}","control":"{control}"}},
"internal_ports":[{port},{port}],"seeds":[{seeds}],"bootstrap":{is_first},
"counts_as_loss":false,
"limits":{{"cpu_share":0.25,"cores":1,"memory_mb":260,"max_fds":4100,"link_mbps":1000.0,"disk_mb":0}},
"data_dir":null,"discovery":"platform","entry":"vip","heartbeat_ms":1200,
"contracts":["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","layers"],
"tolerate":{{"machines":1,"zones":1,"regions":0}},
"bounds":{{"seed_lag_s":3,"reuse_after_s":2,"contact_ms":3000,"ack_ms":4000,"catch_up_s":4,
"drain_ms":2000,"grace_s":8,"lost_ms":200,"config_apply_ms":2000,"rollback_slack_ms":250,
"outer_ms":5000,"strict_revoke":false,"revoke_ms":5000,"retry_budget_ratio":0.2,
"budget_window_s":10,"budget_slack":200,"recovery_s":12,"pass_ms":120,"retry_after_s":0,
"stall_ms":2000,"require_fence":false}},
"provider":{{"address":"{store}","form":"log","writes_per_s":400,"reads_per_s":2000,"parts":12,
"append_ms":2.0,"ingress_per_s":20.0,"egress_per_s":80.0,"record_bytes":262144,
"call_bytes":2097152,"keep_s":300,"part_mb":200,"ttl_min_ms":1000}}}}"#
        )
    }

    /// Starts the daemon as the deploy file does, and waits until it is ready.
    pub fn start(
        &self,
        seeds: &[SocketAddr],
        store: SocketAddr,
        folder: &Path,
        is_first: bool,
        record: &Record,
    ) -> io::Result<Daemon> {
        let settings = folder.join(format!("{}.json", self.name));
        std::fs::write(&settings, self.settings(seeds, store, is_first))?;
        let log = std::fs::File::create(folder.join(format!("{}.log", self.name)))?;
        let child = Command::new("target/release/jackdawwickd")
            .arg("--platform")
            .env("JACKDAWWICK_SETTINGS", &settings)
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        record.add(format!("daemon {}: started", self.name));
        Ok(Daemon {
            name: self.name.clone(),
            front: self.front,
            ready: self.ready,
            child,
        })
    }
}

impl Daemon {
    /// Returns whether the daemon says that it takes requests.
    pub fn is_ready(&self) -> bool {
        let limit = Duration::from_secs(1);
        let headers = [("Host", "platform")];
        let connection = crate::http::Connection::open(self.ready);
        let answer = connection
            .and_then(|mut open| open.call("GET", "/jackdawwick/ready", &headers, b"", limit));
        answer.is_ok_and(|answer| answer.status == 200)
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Waits until all daemons are ready.
pub fn wait_ready(daemons: &[Daemon]) -> io::Result<()> {
    let until = Instant::now() + Duration::from_secs(20);
    while Instant::now() < until {
        if daemons.iter().all(Daemon::is_ready) {
            return Ok(());
        }
        thread::sleep(Duration::from_millis(100));
    }
    Err(io::Error::other("the daemons are not ready"))
}
