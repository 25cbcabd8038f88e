//! The seeds in the settings are stale as the hosts start. 3 s later the settings name live ones,
//! and one process gets SIGHUP. A server names a limit for all machines together.

use std::net::SocketAddr;
use std::process::exit;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use harness_2::engine::{SEAL, Server, Work, attempt_id};
use harness_2::hosts::{Layout, SIGHUP, lay_out, wait_ready};
use harness_2::load::{Load, Plan};
use harness_2::record::{Record, folder, trouble};
use harness_2::store::Store;

const BEAT: Duration = Duration::from_millis(1200);
const CONTACT: Duration = Duration::from_millis(3000);
/// Requests a second that the server in need takes from all machines together.
const LIMIT: f64 = 4.0;
const WORK: Duration = Duration::from_millis(150);
const SERVERS: usize = 3;
const HOSTS: usize = 4;
/// seed_lag_s
const SEED_LAG: Duration = Duration::from_secs(3);

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
                arrivals.lock().expect("the arrivals").push(Arrival {
                    at: Instant::now(),
                    id,
                });
            }
            thread::sleep(WORK);
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
        servers.push(Server::start(
            &store,
            "desk",
            &format!("i-desk-{index}"),
            "north",
            BEAT,
            work,
        ));
    }

    let zones = vec!["north".to_owned(); HOSTS];
    let layout = Layout {
        store: store.address,
        zones,
        folder: folder.clone(),
        heartbeat_ms: 1200,
    };
    let mut hosts = lay_out(&layout);
    let live = hosts.iter().map(|host| host.seeds()).collect::<Vec<_>>();
    if trouble() {
        for host in &hosts {
            // Addresses at which nothing listens.
            host.set_seeds(r#""127.9.9.1:7001","127.9.9.2:7001","127.9.9.3:7001""#);
        }
    }
    for host in &mut hosts {
        host.start().expect("a host starts");
    }
    record.line("the hosts start");
    thread::sleep(SEED_LAG);
    if trouble() {
        for (host, seeds) in hosts.iter().zip(&live) {
            host.set_seeds(seeds);
        }
        // One of four: the pages give `hup` a share of .3.
        hosts[0].signal(SIGHUP);
        record.line("the settings name live seeds, and one process gets SIGHUP");
    }
    if !wait_ready(&hosts, Duration::from_secs(15)) {
        println!("the hosts are not ready");
        drop(hosts);
        exit(2);
    }
    thread::sleep(Duration::from_secs(5));
    let fronts = hosts
        .iter()
        .map(|host| host.front)
        .collect::<Vec<SocketAddr>>();
    let plan = Plan {
        method: "GET",
        path: "/desk/list".to_owned(),
        key: "n2ctnfzs989anu6wsjnb".to_owned(),
        body: Vec::new(),
        deadline_ms: 2500,
    };
    let begin = Instant::now();
    let load = Load::start(&fronts, 30.0, &plan);
    thread::sleep(Duration::from_secs(20));
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
        let host = attempts
            .iter()
            .find(|attempt| attempt.id == arrival.id)
            .map(|attempt| attempt.host);
        let since = host.and_then(|host| passed_on[host]);
        let counts = since.is_some_and(|since| arrival.at >= since + Duration::from_millis(500))
            && arrival.at >= first_named + CONTACT;
        record.line(&format!(
            "server in need: {} from host {host:?} at {} ms, counts: {counts}",
            arrival.id,
            (arrival.at - begin).as_millis(),
        ));
        counts
    });
    let counted = counted.map(|arrival| arrival.at).collect::<Vec<_>>();
    let window = Duration::from_secs(4);
    let most = counted.iter().map(|from| {
        counted
            .iter()
            .filter(|at| **at >= *from && **at < *from + window)
            .count()
    });
    let most = most.max().unwrap_or(0);
    let bound = 1.5 * LIMIT * 4.0 + 5.0;
    record.say(&format!("clients: {served} served, {failed} not"));
    record.say(&format!(
        "most requests at the server in need within 4 s: {most}, bound {bound}"
    ));
    record.write();
    let _ = std::fs::remove_dir_all(folder);
    exit(i32::from(most as f64 > bound));
}
