//! The store moves: the settings name its new address, and the processes get SIGHUP. Later a
//! configuration takes a key away.

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

/// config_apply_ms, and outer_ms besides.
const APPLY: Duration = Duration::from_millis(2000 + 5000);

fn main() {
    let record = Record::default();
    let store = Store::start();
    let folder = folder();
    let config = |version: u32, keys: &str| {
        format!(
            r#"{{"version":{version},"routes":[{{"name":"r-desk","host":"review.example","path_prefix":"/desk/","kind":"unsafe","timeout_ms":1000,"target_latency_ms":400,"priority":1,"service":"desk","max_attempts":2,"public":false}}],"services":[{{"name":"desk","health_path":"/health","max_connections":600,"protocol":"h1","tls":false}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"hule930","api_keys":[{keys}],"priority":1}}]}}"#
        )
    };
    store.put(
        "keyed.op",
        "config",
        config(7, r#""key-kept","key-dropped""#).as_bytes(),
    );
    let runs: Arc<Mutex<Vec<String>>> = Arc::default();
    for index in 0..3 {
        let runs = runs.clone();
        let work: Work = Arc::new(move |_, request, connection| {
            runs.lock()
                .expect("the runs")
                .push(attempt_id(request).to_owned());
            thread::sleep(Duration::from_millis(30));
            let headers = [
                ("X-Jackdawwick-Attempt-Id", attempt_id(request)),
                ("X-Jackdawwick-Server-Seal", SEAL),
            ];
            connection.respond(200, &headers, b"done").is_ok()
        });
        Server::start(
            &store,
            "desk",
            &format!("i-desk-{index}"),
            "north",
            Duration::from_millis(1200),
            work,
        );
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
    thread::sleep(Duration::from_secs(3));
    let fronts = hosts
        .iter()
        .map(|host| host.front)
        .collect::<Vec<SocketAddr>>();
    let plan = |key: &str| Plan {
        method: "POST",
        path: "/desk/book".to_owned(),
        key: key.to_owned(),
        body: b"one place".to_vec(),
        deadline_ms: 1000,
    };
    let kept = Load::start(&fronts, 3.0, &plan("key-kept"));
    let dropped = Load::start(&fronts, 3.0, &plan("key-dropped"));
    thread::sleep(Duration::from_secs(5));
    let moved = store.serve_also();
    if trouble() {
        let (before, after) = (store.address.to_string(), moved.address.to_string());
        for host in &hosts {
            host.change_settings(&before, &after);
            host.signal(SIGHUP);
        }
        record.line("the settings name the store's new address, and the processes get SIGHUP");
    }
    // For a while the store is served at both addresses.
    thread::sleep(Duration::from_secs(10));
    if trouble() {
        store.close();
        record.line("the store is no longer served at its old address");
    }
    thread::sleep(Duration::from_secs(5));
    moved.put("keyed.op", "config", config(9, r#""key-kept""#).as_bytes());
    let acknowledged = Instant::now();
    record.line("the store has acknowledged a configuration without one of the keys");
    thread::sleep(APPLY + Duration::from_secs(13));
    let kept = kept.stop(Duration::from_secs(2));
    let dropped = dropped.stop(Duration::from_secs(2));
    drop(hosts);

    let runs = runs.lock().expect("the runs");
    let count = |attempts: &[harness_2::load::Attempt], name: &str| {
        let (mut all, mut ran) = (0, 0);
        for attempt in attempts {
            let has_run = runs.contains(&attempt.id);
            record.line(&format!(
                "client with the {name} key: {} to host {}: {} {}, run: {has_run}, sent {} ms after the acknowledgement",
                attempt.id,
                attempt.host,
                attempt.seen.status,
                attempt.seen.error,
                attempt.sent.saturating_duration_since(acknowledged).as_millis(),
            ));
            if attempt.sent > acknowledged + APPLY {
                all += 1;
                ran += usize::from(has_run);
            }
        }
        (all, ran)
    };
    let (all_kept, ran_kept) = count(&kept, "kept");
    let (all, ran) = count(&dropped, "dropped");
    record.say(&format!(
        "sent later than {} ms after the acknowledgement: with the kept key {all_kept}, of which {ran_kept} ran; with the dropped key {all}, of which {ran} ran",
        APPLY.as_millis()
    ));
    record.write();
    let _ = std::fs::remove_dir_all(folder);
    match ran_kept {
        0 => exit(2),
        _ => exit(i32::from(ran > 0)),
    }
}
