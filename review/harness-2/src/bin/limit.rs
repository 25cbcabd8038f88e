//! A server that names a limit loses its entry, since it cannot write to the store for some
//! seconds, and comes back under the same id.

use std::net::SocketAddr;
use std::process::exit;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use harness_2::engine::{SEAL, Server, Work, attempt_id};
use harness_2::hosts::{Layout, lay_out, wait_ready};
use harness_2::load::{Load, Plan};
use harness_2::record::{Record, folder, trouble};
use harness_2::store::Store;

const BEAT: Duration = Duration::from_millis(1200);
const CONTACT: Duration = Duration::from_millis(3000);
/// Requests a second that the server in need takes from all machines together.
const LIMIT: f64 = 0.5;
/// Time that a request takes at the server in need, and at the others.
const WORK: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(400)];
const SERVERS: usize = 5;

struct Arrival {
    at: Instant,
    id: String,
}

fn main() {
    let record = Record::default();
    let store = Store::start();
    let folder = folder();
    let config = r#"{"version":7,"routes":[{"name":"r-desk","host":"review.example","path_prefix":"/desk/","kind":"safe","timeout_ms":2500,"target_latency_ms":400,"priority":1,"service":"desk","max_attempts":2,"public":false}],"services":[{"name":"desk","health_path":"/health","max_connections":600,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"hule930","api_keys":["n2ctnfzs989anu6wsjnb"],"priority":1}]}"#;
    store.put("keyed.op", "config", config.as_bytes());

    let arrivals: Arc<Mutex<Vec<Arrival>>> = Arc::default();
    let mut servers = Vec::new();
    for index in 0..SERVERS {
        let arrivals = arrivals.clone();
        let work: Work = Arc::new(move |_, request, connection| {
            if index == 0 {
                let id = attempt_id(request).to_owned();
                arrivals.lock().expect("the arrivals").push(Arrival { at: Instant::now(), id });
            }
            thread::sleep(WORK[usize::from(index > 0)]);
            let limit = LIMIT.to_string();
            let mut headers = vec![
                ("X-Jackdawwick-Attempt-Id", attempt_id(request)),
                ("X-Jackdawwick-Server-Seal", SEAL),
            ];
            if index == 0 {
                headers.push(("Server-Limit", &limit));
            }
            connection.respond(200, &headers, b"done").is_ok()
        });
        servers.push(Server::start(&store, "desk", &format!("i-desk-{index}"), "north", BEAT, work));
    }

    let zones = vec!["north".to_owned(); 3];
    let layout = Layout { store: store.address, zones, folder: folder.clone(), heartbeat_ms: 1200 };
    let mut hosts = lay_out(&layout);
    for host in &mut hosts {
        host.start().expect("a host starts");
    }
    if !wait_ready(&hosts, Duration::from_secs(15)) {
        println!("the hosts are not ready");
        drop(hosts);
        exit(2);
    }
    thread::sleep(Duration::from_secs(4));
    let fronts = hosts.iter().map(|host| host.front).collect::<Vec<SocketAddr>>();
    let plan = Plan {
        method: "GET",
        path: "/desk/list".to_owned(),
        key: "n2ctnfzs989anu6wsjnb".to_owned(),
        body: Vec::new(),
        deadline_ms: 2500,
    };
    let load = Load::start(&fronts, 40.0, &plan);
    // The cut begins at any moment between two requests at the server in need.
    let draw = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.subsec_nanos());
    thread::sleep(Duration::from_secs(10) + Duration::from_millis(u64::from(draw / 1000 % 4000)));
    let cut_at = Instant::now();
    if trouble() {
        record.line("the server in need is cut off from the store");
        servers[0].reaches_store.store(false, Ordering::Relaxed);
    }
    while cut_at.elapsed() < Duration::from_secs(5) {
        thread::sleep(Duration::from_millis(20));
        if trouble() && !servers[0].is_listed() {
            record.line("its entry has been removed");
            while cut_at.elapsed() < Duration::from_secs(5) {
                thread::sleep(Duration::from_millis(20));
            }
        }
    }
    servers[0].reaches_store.store(true, Ordering::Relaxed);
    record.line("the cut has ended");
    thread::sleep(Duration::from_secs(8));
    let attempts = load.stop(Duration::from_secs(4));
    if hosts.iter_mut().any(|host| host.has_ended()) {
        record.say("a host has ended by itself");
    }
    drop(hosts);

    // Since when each host has passed on an answer with the limit.
    let mut passed_on = vec![None::<Instant>; fronts.len()];
    let (mut served, mut failed) = (0, 0);
    for attempt in &attempts {
        let named = attempt.seen.head.get("server-limit").is_some();
        record.line(&format!(
            "client: {} to host {}: {} after {} ms, limit named: {named} {}",
            attempt.id,
            attempt.host,
            attempt.seen.status,
            (attempt.ended - attempt.sent).as_millis(),
            attempt.seen.error,
        ));
        match attempt.seen.status {
            200 => served += 1,
            _ => failed += 1,
        }
        let known = &mut passed_on[attempt.host];
        if named && known.is_none_or(|known| attempt.ended < known) {
            *known = Some(attempt.ended);
        }
    }
    let Some(first_named) = passed_on.iter().flatten().min().copied() else {
        println!("no host passed on an answer with the limit");
        exit(2);
    };
    let arrivals = arrivals.lock().expect("the arrivals");
    let counted = arrivals.iter().filter(|arrival| {
        let host = attempts.iter().find(|attempt| attempt.id == arrival.id).map(|attempt| attempt.host);
        let since = host.and_then(|host| passed_on[host]);
        let counts = since.is_some_and(|since| arrival.at >= since + Duration::from_millis(500))
            && arrival.at >= first_named + CONTACT;
        record.line(&format!(
            "server in need: {} from host {host:?} at {} ms after the cut began, counts: {counts}",
            arrival.id,
            (arrival.at.saturating_duration_since(cut_at).as_millis() as i128)
                - (cut_at.saturating_duration_since(arrival.at).as_millis() as i128),
        ));
        counts
    });
    let counted = counted.map(|arrival| arrival.at).collect::<Vec<_>>();
    let window = Duration::from_secs(4);
    let most = counted.iter().map(|from| counted.iter().filter(|at| **at >= *from && **at < *from + window).count());
    let most = most.max().unwrap_or(0);
    let bound = 1.5 * LIMIT * 4.0 + 5.0;
    record.say(&format!("clients: {served} served, {failed} not"));
    record.say(&format!("most requests at the server in need within 4 s: {most}, bound {bound}"));
    record.write();
    let _ = std::fs::remove_dir_all(folder);
    exit(i32::from(most as f64 > bound));
}
