//! A server leaves, and the store carries out three of its earlier writes after that.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::process::exit;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use harness_2::engine::{SEAL, Server, Work, attempt_id};
use harness_2::hosts::{Layout, lay_out, wait_ready};
use harness_2::load::{Load, Plan};
use harness_2::record::{Record, folder, trouble};
use harness_2::store::Store;

const BEAT: Duration = Duration::from_millis(1200);
const DRAIN: Duration = Duration::from_millis(2000);
/// How late the store carries out a write whose answer is lost; the pages allow 1 to 6 s.
const LATE: Duration = Duration::from_millis(5800);
const WORK: Duration = Duration::from_millis(300);
/// How long the server that leaves serves on.
const SERVES_ON: Duration = Duration::from_millis(5500);

fn main() {
    let record = Record::default();
    let store = Store::start();
    let folder = folder();
    let config = r#"{"version":7,"routes":[{"name":"r-desk","host":"review.example","path_prefix":"/desk/","kind":"unsafe","timeout_ms":2500,"target_latency_ms":400,"priority":1,"service":"desk","max_attempts":2,"public":false}],"services":[{"name":"desk","health_path":"/health","max_connections":600,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"hule930","api_keys":["n2ctnfzs989anu6wsjnb"],"priority":1}]}"#;
    store.put("keyed.op", "config", config.as_bytes());

    let arrivals: Arc<Mutex<Vec<(Instant, String)>>> = Arc::default();
    let mut servers = Vec::new();
    for index in 0..5 {
        let arrivals = arrivals.clone();
        let work: Work = Arc::new(move |_, request, connection| {
            let id = attempt_id(request).to_owned();
            if index == 0 {
                arrivals
                    .lock()
                    .expect("the arrivals")
                    .push((Instant::now(), id.clone()));
            }
            thread::sleep(WORK);
            let headers = [
                ("X-Jackdawwick-Attempt-Id", &*id),
                ("X-Jackdawwick-Server-Seal", SEAL),
            ];
            connection.respond(200, &headers, b"done").is_ok()
        });
        servers.push(Server::start(
            &store,
            "desk",
            &format!("i-desk-{index}"),
            "north",
            BEAT,
            work,
        ));
    }

    let zones = vec!["north".to_owned(); 3];
    let layout = Layout {
        store: store.address,
        zones,
        folder: folder.clone(),
        heartbeat_ms: 1200,
    };
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
    let fronts = hosts
        .iter()
        .map(|host| host.front)
        .collect::<Vec<SocketAddr>>();
    let plan = Plan {
        method: "POST",
        path: "/desk/book".to_owned(),
        key: "n2ctnfzs989anu6wsjnb".to_owned(),
        body: b"one place".to_vec(),
        deadline_ms: 2500,
    };
    let load = Load::start(&fronts, 25.0, &plan);
    thread::sleep(Duration::from_secs(5));

    // The store loses the answers to three writes of the server, and carries them out late.
    let sent = |count: u64| {
        while trouble() && servers[0].late_writes.load(Ordering::Relaxed) < count {
            thread::sleep(Duration::from_millis(2));
        }
        Instant::now()
    };
    if trouble() {
        *servers[0].late.lock().expect("the delay") = Some(LATE);
    }
    let first = sent(1);
    record.line("the store loses the first answer");
    sent(3);
    *servers[0].late.lock().expect("the delay") = None;
    record.line("the store has lost the third answer, and loses no more");
    // The server leaves before the first of them is carried out, over contact_ms later.
    thread::sleep(
        (first + LATE - Duration::from_millis(100)).saturating_duration_since(Instant::now()),
    );
    servers[0].unlist();
    let left = Instant::now();
    record.line("the store has acknowledged that the server is gone");
    thread::sleep(SERVES_ON);
    let ended = Instant::now();
    servers[0].end();
    record.line("the server has ended");
    thread::sleep(Duration::from_secs(5));
    let attempts = load.stop(Duration::from_secs(4));
    drop(hosts);

    let sent = attempts
        .iter()
        .map(|attempt| (&*attempt.id, attempt))
        .collect::<HashMap<_, _>>();
    let mut statuses = HashMap::<u16, usize>::new();
    for attempt in &attempts {
        *statuses.entry(attempt.seen.status).or_default() += 1;
        record.line(&format!(
            "client: {} to host {}: {} after {} ms {}",
            attempt.id,
            attempt.host,
            attempt.seen.status,
            (attempt.ended - attempt.sent).as_millis(),
            attempt.seen.error,
        ));
    }
    let (mut late, mut lost) = (0, 0);
    for (at, id) in arrivals.lock().expect("the arrivals").iter() {
        let Some(attempt) = sent.get(&**id) else {
            continue;
        };
        if attempt.sent < left + DRAIN {
            continue;
        }
        late += 1;
        let is_lost = attempt.seen.status != 200;
        lost += usize::from(is_lost);
        record.line(&format!(
            "server that left: {id}, sent {} ms after it was gone, arrived {} ms after; client got {}",
            (attempt.sent - left).as_millis(),
            (*at - left).as_millis(),
            attempt.seen.status,
        ));
    }
    record.say(&format!("clients, by status: {statuses:?}"));
    record.say(&format!(
        "requests at the server that left, sent over {} ms after the store's acknowledgement: {late}, of which {lost} were lost as it ended, {} ms after",
        DRAIN.as_millis(),
        (ended - left).as_millis(),
    ));
    record.write();
    let _ = std::fs::remove_dir_all(folder);
    exit(i32::from(late > 0));
}
