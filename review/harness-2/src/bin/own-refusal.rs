//! A server fails part of the requests that it has run, with a 503 of its own.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::process::exit;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use harness_2::engine::{SEAL, Server, Work, attempt_id};
use harness_2::hosts::{Layout, lay_out, wait_ready};
use harness_2::load::{Attempt, Plan, send};
use harness_2::record::{Record, folder, trouble};
use harness_2::store::Store;

fn main() {
    let record = Record::default();
    let store = Store::start();
    let folder = folder();
    let config = r#"{"version":7,"routes":[{"name":"r-desk","host":"review.example","path_prefix":"/desk/","kind":"unsafe","timeout_ms":2500,"target_latency_ms":400,"priority":1,"service":"desk","max_attempts":2,"public":false}],"services":[{"name":"desk","health_path":"/health","max_connections":600,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"hule930","api_keys":["n2ctnfzs989anu6wsjnb"],"priority":1}]}"#;
    store.put("keyed.op", "config", config.as_bytes());

    // The attempts and bookings that servers have run.
    let runs: Arc<Mutex<Vec<(String, String)>>> = Arc::default();
    let is_grey = Arc::new(AtomicBool::new(false));
    for index in 0..5 {
        let (runs, is_grey, count) = (runs.clone(), is_grey.clone(), AtomicU64::new(0));
        let work: Work = Arc::new(move |_, request, connection| {
            let id = attempt_id(request).to_owned();
            let booking = String::from_utf8_lossy(&request.body).into_owned();
            runs.lock().expect("the runs").push((id.clone(), booking));
            thread::sleep(Duration::from_millis(60));
            let headers = [("X-Jackdawwick-Attempt-Id", &*id), ("X-Jackdawwick-Server-Seal", SEAL)];
            // Two requests of five.
            let number = count.fetch_add(1, Ordering::Relaxed);
            let fails = index == 0 && is_grey.load(Ordering::Relaxed) && number % 5 < 2;
            match fails {
                true => connection.respond(503, &headers, b"booked, and the receipt failed").is_ok(),
                false => connection.respond(200, &headers, b"booked").is_ok(),
            }
        });
        Server::start(&store, "desk", &format!("i-desk-{index}"), "north", Duration::from_millis(1200), work);
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
    let attempts: Arc<Mutex<Vec<(String, Attempt)>>> = Arc::default();
    let begin = Instant::now();
    let clients = (0..12_usize).map(|client| {
        let (fronts, attempts) = (fronts.clone(), attempts.clone());
        thread::spawn(move || {
            let mut number = 0;
            while begin.elapsed() < Duration::from_secs(14) {
                number += 1;
                let booking = format!("booking {client}-{number}");
                let plan = Plan {
                    method: "POST",
                    path: "/desk/book".to_owned(),
                    key: "n2ctnfzs989anu6wsjnb".to_owned(),
                    body: booking.clone().into_bytes(),
                    deadline_ms: 2500,
                };
                // A client sends once more after a promise that its request has not run.
                for tried in 0..2 {
                    let host = (client + tried) % fronts.len();
                    let attempt = send(host, fronts[host], &plan);
                    let promised = matches!(attempt.seen.status, 429 | 503 | 408 | 421);
                    attempts.lock().expect("the attempts").push((booking.clone(), attempt));
                    if !promised {
                        break;
                    }
                }
                thread::sleep(Duration::from_millis(150));
            }
        })
    });
    let clients = clients.collect::<Vec<_>>();
    thread::sleep(Duration::from_secs(4));
    if trouble() {
        is_grey.store(true, Ordering::Relaxed);
        record.line("one server of five fails two requests of five");
    }
    thread::sleep(Duration::from_secs(6));
    is_grey.store(false, Ordering::Relaxed);
    record.line("it is sound again");
    for client in clients {
        let _ = client.join();
    }
    drop(hosts);

    let runs = runs.lock().expect("the runs");
    let mut statuses = HashMap::<u16, usize>::new();
    let mut broken = 0;
    for (booking, attempt) in attempts.lock().expect("the attempts").iter() {
        let status = attempt.seen.status;
        *statuses.entry(status).or_default() += 1;
        let ran = runs.iter().filter(|(id, _)| *id == attempt.id).count();
        let is_broken = ran > 0 && matches!(status, 429 | 503 | 408 | 421);
        broken += usize::from(is_broken);
        record.line(&format!(
            "client: {booking} as {} to host {}: {status} {}, ran {ran} times{}",
            attempt.id,
            attempt.host,
            attempt.seen.error,
            if is_broken { ", although the answer says that it has not run" } else { "" },
        ));
    }
    let mut bookings = HashMap::<&str, usize>::new();
    for (_, booking) in runs.iter() {
        *bookings.entry(booking).or_default() += 1;
    }
    let twice = bookings.values().filter(|runs| **runs > 1).count();
    record.say(&format!("clients, by status: {statuses:?}"));
    record.say(&format!(
        "requests that have run and were answered 429, 503, 408 or 421: {broken}; bookings made twice: {twice} of {}",
        bookings.len()
    ));
    record.write();
    let _ = std::fs::remove_dir_all(folder);
    exit(i32::from(broken > 0));
}
