//! The settings file changes: a bound is now a fraction. Then all processes are killed, and start
//! again with the settings in effect.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::process::exit;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use harness_2::engine::{SEAL, Server, Work, attempt_id};
use harness_2::hosts::{Layout, lay_out, wait_ready};
use harness_2::load::{Load, Plan};
use harness_2::record::{Record, folder, trouble};
use harness_2::store::Store;

const RECOVERY: Duration = Duration::from_secs(12);

fn main() {
    let record = Record::default();
    let store = Store::start();
    let folder = folder();
    let config = |version: u32| {
        format!(
            r#"{{"version":{version},"routes":[{{"name":"r-desk","host":"review.example","path_prefix":"/desk/","kind":"safe","timeout_ms":1000,"target_latency_ms":400,"priority":1,"service":"desk","max_attempts":2,"public":false}}],"services":[{{"name":"desk","health_path":"/health","max_connections":600,"protocol":"h1","tls":false}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"hule930","api_keys":["n2ctnfzs989anu6wsjnb"],"priority":1}}]}}"#
        )
    };
    store.put("keyed.op", "config", config(7).as_bytes());
    let work: Work = Arc::new(|_, request, connection| {
        thread::sleep(Duration::from_millis(30));
        let headers = [
            ("X-Jackdawwick-Attempt-Id", attempt_id(request)),
            ("X-Jackdawwick-Server-Seal", SEAL),
        ];
        connection.respond(200, &headers, b"done").is_ok()
    });
    for index in 0..3 {
        Server::start(
            &store,
            "desk",
            &format!("i-desk-{index}"),
            "north",
            Duration::from_millis(1200),
            work.clone(),
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
    let plan = Plan {
        method: "GET",
        path: "/desk/list".to_owned(),
        key: "n2ctnfzs989anu6wsjnb".to_owned(),
        body: Vec::new(),
        deadline_ms: 1000,
    };
    let load = Load::start(&fronts, 10.0, &plan);
    thread::sleep(Duration::from_secs(8));
    for host in &hosts {
        if trouble() {
            host.change_settings("\"drain_ms\":2000,", "\"drain_ms\":2000.5,");
        }
    }
    record.line("the settings files change");
    thread::sleep(Duration::from_secs(4));
    store.put("keyed.op", "config", config(9).as_bytes());
    for host in &mut hosts {
        host.kill();
    }
    let fault = Instant::now();
    record.line("all processes are killed, right after a configuration was acknowledged");
    thread::sleep(Duration::from_secs(1));
    for host in &mut hosts {
        host.start().expect("a host starts again");
    }
    let back = Instant::now();
    record.line("the processes start again");
    // A process that exits is started again after a short delay.
    let mut ends = 0;
    while back.elapsed() < RECOVERY + Duration::from_secs(8) {
        thread::sleep(Duration::from_secs(1));
        for host in &mut hosts {
            if host.has_ended() {
                ends += 1;
                host.kill();
                host.start().expect("a host starts again");
            }
        }
    }
    let attempts = load.stop(Duration::from_secs(3));
    for host in &hosts {
        let text = host.log_text();
        let mut errors = text
            .lines()
            .filter(|line| line.contains("cannot parse the settings"));
        if let Some(line) = errors.next_back() {
            record.line(&format!("{}: {line}", host.name));
        }
    }
    drop(hosts);
    let (mut before, mut after) = ((0, 0), (0, 0));
    let mut statuses = HashMap::<(bool, u16), usize>::new();
    for attempt in &attempts {
        record.line(&format!(
            "client: {} to host {}: {} {}",
            attempt.id, attempt.host, attempt.seen.status, attempt.seen.error
        ));
        let part = match attempt.sent {
            sent if sent < fault => Some(&mut before),
            sent if sent >= back + RECOVERY => Some(&mut after),
            _ => None,
        };
        if let Some((all, served)) = part {
            *statuses
                .entry((attempt.sent >= back, attempt.seen.status))
                .or_default() += 1;
            *all += 1;
            *served += usize::from(attempt.seen.status == 200);
        }
    }
    record.say(&format!(
        "served before the final fault: {} of {}; later than recovery_s after it: {} of {}; processes that ended by themselves: {ends}",
        before.1, before.0, after.1, after.0
    ));
    record.write();
    let _ = std::fs::remove_dir_all(folder);
    exit(i32::from(before.1 * 4 >= before.0 && after.1 * 4 < after.0));
}
