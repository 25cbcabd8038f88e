//! The answer to a heartbeat is lost, and the store takes the heartbeat seconds later. Its engine
//! has reported in the meantime that it leaves.

use std::collections::BTreeSet;
use std::io;
use std::thread;
use std::time::{Duration, Instant};

use crate::processes::EngineSpec;
use crate::site::{SERVICE, Site, call};

const DAEMONS: usize = 3;
/// Requests that each daemon gets in a round, the time between two rounds, and their time.
const ROUND: usize = 7;
const PAUSE: Duration = Duration::from_millis(60);
const ROUNDS_TIME: Duration = Duration::from_millis(1500);
/// Times from the lost heartbeat: of the report that the engine leaves, when the store has been
/// stable for `contact_ms` and 0.2 s more, and of the late heartbeat, within 1 to 6 s.
const LEAVES_AFTER: Duration = Duration::from_millis(3300);
const TAKEN_AFTER: Duration = Duration::from_millis(4900);
/// The bound of the settings.
const DRAIN: Duration = Duration::from_millis(2000);

pub fn play(folder: &str, has_trouble: bool) -> io::Result<bool> {
    let engine = |id| EngineSpec {
        id,
        service: SERVICE,
        zone: "vake",
        traits: "",
    };
    let specs = ["i-a1", "i-b2", "i-c3", "i-d4", "i-e5", "i-f6", "i-g7"].map(engine);
    let mut site = Site::open(&specs, DAEMONS)?;
    let mut sent = Vec::new();
    thread::sleep(Duration::from_secs(6));
    let lost = match has_trouble {
        true => site.engines[0].lose_next_beat(),
        false => Instant::now(),
    };
    sleep_until(lost + LEAVES_AFTER - Duration::from_millis(500));
    round(&site, &mut sent);
    sleep_until(lost + LEAVES_AFTER);
    let left = site.engines[0].drain()?;
    sleep_until(lost + TAKEN_AFTER);
    site.engines[0].take_late_beat();
    sleep_until(left + DRAIN + Duration::from_millis(20));
    let started = Instant::now();
    while started.elapsed() < ROUNDS_TIME {
        round(&site, &mut sent);
        thread::sleep(PAUSE);
    }
    thread::sleep(Duration::from_millis(500));
    let late = sent.iter().filter(|(_, at)| *at > left + DRAIN);
    let late = late.map(|(id, _)| id.as_str()).collect::<BTreeSet<_>>();
    let arrivals = site.arrivals();
    let served = arrivals
        .iter()
        .filter(|arrival| late.contains(arrival.request.as_str()));
    let broken = served.clone().filter(|arrival| arrival.engine == "i-a1");
    let (served, broken) = (served.count(), broken.count());
    site.record.add(format!(
        "verdict: {broken} of {served} requests that were sent later than drain_ms after the \
         acknowledgement reached the engine that was draining"
    ));
    site.record.save(folder)?;
    if served == 0 {
        return Err(io::Error::other("no request was served"));
    }
    Ok(broken == 0)
}

fn sleep_until(moment: Instant) {
    thread::sleep(moment.saturating_duration_since(Instant::now()));
}

/// Sends a round of requests to every daemon and waits for the answers.
fn round(site: &Site, sent: &mut Vec<(String, Instant)>) {
    let mut calls = Vec::new();
    for daemon in &site.daemons {
        for _ in 0..ROUND {
            let (record, name, front) = (site.record.clone(), daemon.name.clone(), daemon.front);
            let id = format!("{:016x}", 0x1a7e_0000 + sent.len() + calls.len());
            calls.push(thread::spawn(move || {
                call(&record, (&name, front), "/read/balance", &id)
            }));
        }
    }
    for call in calls.into_iter().filter_map(|call| call.join().ok()) {
        sent.push((call.id, call.sent));
    }
}
