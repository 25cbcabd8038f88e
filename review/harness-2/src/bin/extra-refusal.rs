//! A server in trouble refuses a request and later sends that refusal once more, where the answer
//! to another request is expected.

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
    let extra: Arc<Mutex<Vec<String>>> = Arc::default();
    let is_faulty = Arc::new(AtomicBool::new(false));
    for index in 0..5 {
        let (runs, is_faulty, count) = (runs.clone(), is_faulty.clone(), AtomicU64::new(0));
        let (extra, refused) = (extra.clone(), Mutex::new(None::<String>));
        let work: Work = Arc::new(move |_, request, connection| {
            let id = attempt_id(request).to_owned();
            let number = count.fetch_add(1, Ordering::Relaxed);
            let is_faulty = index == 0 && is_faulty.load(Ordering::Relaxed);
            // It is full for a moment: the request is refused, and has not run.
            if is_faulty && number % 50 == 3 {
                let headers = [
                    ("X-Jackdawwick-Attempt-Id", &*id),
                    ("X-Jackdawwick-Not-Executed", "1"),
                ];
                *refused.lock().expect("the refusal") = Some(id.clone());
                return connection.respond(503, &headers, b"").is_ok();
            }
            let booking = String::from_utf8_lossy(&request.body).into_owned();
            runs.lock().expect("the runs").push((id.clone(), booking));
            thread::sleep(Duration::from_millis(60));
            // The second answer to the refused request comes late, where that of the next request
            // is expected. One answer of fifty.
            let earlier = refused
                .lock()
                .expect("the refusal")
                .take_if(|_| number % 50 >= 7);
            if let Some(earlier) = earlier {
                let headers = [
                    ("X-Jackdawwick-Attempt-Id", &*earlier),
                    ("X-Jackdawwick-Not-Executed", "1"),
                ];
                extra
                    .lock()
                    .expect("the extra answers")
                    .push(format!("{earlier} to the connection of {id}"));
                if connection.respond(503, &headers, b"").is_err() {
                    return false;
                }
            }
            let headers = [
                ("X-Jackdawwick-Attempt-Id", &*id),
                ("X-Jackdawwick-Server-Seal", SEAL),
            ];
            connection.respond(200, &headers, b"booked").is_ok()
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
    thread::sleep(Duration::from_secs(4));
    let fronts = hosts
        .iter()
        .map(|host| host.front)
        .collect::<Vec<SocketAddr>>();
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
                    attempts
                        .lock()
                        .expect("the attempts")
                        .push((booking.clone(), attempt));
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
        is_faulty.store(true, Ordering::Relaxed);
        record.line("one server of five begins to send second answers");
    }
    thread::sleep(Duration::from_secs(6));
    is_faulty.store(false, Ordering::Relaxed);
    record.line("it is sound again");
    for client in clients {
        let _ = client.join();
    }
    drop(hosts);

    let runs = runs.lock().expect("the runs");
    for extra in extra.lock().expect("the extra answers").iter() {
        record.line(&format!("server: second answer of {extra}"));
    }
    let mut statuses = HashMap::<u16, usize>::new();
    let mut twice = 0;
    for (booking, attempt) in attempts.lock().expect("the attempts").iter() {
        *statuses.entry(attempt.seen.status).or_default() += 1;
        let ran = runs.iter().filter(|(id, _)| *id == attempt.id).count();
        twice += usize::from(ran > 1);
        record.line(&format!(
            "client: {booking} as {} to host {}: {} {}, ran {ran} times",
            attempt.id, attempt.host, attempt.seen.status, attempt.seen.error
        ));
    }
    record.say(&format!("clients, by status: {statuses:?}"));
    record.say(&format!(
        "attempts that ran more than once: {twice} of {}",
        runs.len()
    ));
    record.write();
    let _ = std::fs::remove_dir_all(folder);
    exit(i32::from(twice > 0));
}
