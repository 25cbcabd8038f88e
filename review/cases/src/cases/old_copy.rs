//! The store comes back from an old copy. Offsets go back and are given out again, and an
//! engine leaves a while after that.

use std::collections::BTreeSet;
use std::io;
use std::thread;
use std::time::{Duration, Instant};

use crate::processes::EngineSpec;
use crate::site::{FIRST_VERSION, SERVICE, Site, call, configuration};
use crate::store::CONFIGURATION;

const DAEMONS: usize = 3;
/// Requests that each daemon gets at once, and the time between two such rounds.
const ROUND: usize = 28;
const ROUND_PAUSE: Duration = Duration::from_millis(3500);
/// Time for which the store is away, and age of the copy at that moment.
const AWAY: Duration = Duration::from_secs(1);
const COPY_AGE: Duration = Duration::from_secs(8);
/// The bounds of the settings: from `contact_ms` after the drill the store is stable, and
/// from `drain_ms` after the acknowledgement no request may reach the engine.
const CONTACT: Duration = Duration::from_millis(3000);
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
    thread::sleep(Duration::from_secs(12));
    round(&site, 0, &mut sent);
    if has_trouble {
        let copied = Instant::now()
            .checked_sub(COPY_AGE)
            .ok_or_else(|| io::Error::other("the clock"))?;
        site.store.leave();
        site.record.add("store: away, every call gets 503");
        thread::sleep(AWAY);
        let lost = site.store.come_back(copied);
        site.record.add(format!(
            "store: back from a copy that was {} s old when it left, {lost} records of engines gone",
            COPY_AGE.as_secs()
        ));
        // What the operator and the engines wrote is written again.
        let body = configuration(FIRST_VERSION).into_bytes();
        site.store.append(CONFIGURATION, "config", Some(body));
        site.engines.iter().for_each(|engine| {
            engine.beat();
        });
    }
    // The store is stable again, and no process was disturbed.
    thread::sleep(CONTACT + Duration::from_millis(300));
    round(&site, 1, &mut sent);
    let left = site.engines[0].remove_entry()?;
    thread::sleep(ROUND_PAUSE);
    round(&site, 2, &mut sent);
    thread::sleep(Duration::from_millis(500));
    let late = sent.iter().filter(|(_, at)| *at > left + DRAIN);
    let late = late.map(|(id, _)| id.as_str()).collect::<BTreeSet<_>>();
    let arrivals = site.arrivals();
    let broken = arrivals
        .iter()
        .filter(|arrival| arrival.engine == "i-a1" && arrival.at > left + DRAIN)
        .filter(|arrival| late.contains(arrival.request.as_str()))
        .count();
    let served = arrivals
        .iter()
        .filter(|arrival| late.contains(arrival.request.as_str()));
    let served = served.count();
    site.record.add(format!(
        "verdict: {broken} of {served} requests that were sent later than drain_ms after the \
         acknowledgement reached the engine that had left"
    ));
    site.record.save(folder)?;
    if served == 0 {
        return Err(io::Error::other("no request was served"));
    }
    Ok(broken == 0)
}

/// Sends a round of requests to every daemon and waits for the answers.
fn round(site: &Site, number: usize, sent: &mut Vec<(String, Instant)>) {
    let mut calls = Vec::new();
    for (host, daemon) in site.daemons.iter().enumerate() {
        for index in 0..ROUND {
            let (record, name, front) = (site.record.clone(), daemon.name.clone(), daemon.front);
            calls.push(thread::spawn(move || {
                let id = format!("{:016x}", 0x01d0_0000 + number * 1000 + host * 100 + index);
                call(&record, (&name, front), "/read/balance", &id)
            }));
        }
    }
    for call in calls.into_iter().filter_map(|call| call.join().ok()) {
        sent.push((call.id, call.sent));
    }
}
