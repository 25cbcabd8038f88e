//! The store comes back from an old copy, and the operator writes its newest configuration
//! again and then the next one. Both get offsets that were given out before.

use std::io;
use std::thread;
use std::time::{Duration, Instant};

use crate::processes::EngineSpec;
use crate::site::{SECOND_KEY, SERVICE, Site, call, call_with_key, configuration};
use crate::store::CONFIGURATION;

const DAEMONS: usize = 3;
/// Requests that each daemon gets on the newest route.
const REQUESTS: usize = 8;
/// Time for which the store is away, and age of the copy at that moment.
const AWAY: Duration = Duration::from_millis(200);
const COPY_AGE: Duration = Duration::from_secs(8);
/// The bounds of the settings, and time that the requests come later than both ask for.
const CONTACT: Duration = Duration::from_millis(3000);
const APPLY: Duration = Duration::from_millis(2000);
const MARGIN: Duration = Duration::from_millis(1000);

pub fn play(folder: &str, has_trouble: bool) -> io::Result<bool> {
    let engine = |id| EngineSpec {
        id,
        service: SERVICE,
        zone: "vake",
        traits: "",
    };
    let specs = ["i-a1", "i-b2", "i-c3", "i-d4", "i-e5", "i-f6", "i-g7"].map(engine);
    let site = Site::open(&specs, DAEMONS)?;
    thread::sleep(Duration::from_secs(6));
    // Two changes in the time that the copy lacks.
    for version in [8, 9] {
        publish(&site, version)?;
        thread::sleep(Duration::from_secs(2));
    }
    if count_missing(&site, 9) > 0 {
        return Err(io::Error::other("version 9 was not in force"));
    }
    if has_trouble {
        let copied = Instant::now()
            .checked_sub(COPY_AGE)
            .ok_or_else(|| io::Error::other("the clock"))?;
        site.store.leave();
        site.record.add("store: away, every call gets 503");
        thread::sleep(AWAY);
        site.store.come_back(copied);
        site.record.add(format!(
            "store: back from a copy that was {} s old when it left, without versions 8 and 9",
            COPY_AGE.as_secs()
        ));
        // What the operator and the engines wrote is written again.
        publish(&site, 9)?;
        site.engines.iter().for_each(|engine| {
            engine.beat();
        });
    }
    publish(&site, 10)?;
    thread::sleep(CONTACT + APPLY + MARGIN);
    let missing = count_missing(&site, 10);
    let dropped = run_with_dropped_key(&site);
    site.record.add(format!(
        "verdict: {missing} of {} requests for the route that version 10 added got 404, and \
         {dropped} of {} with the key that it drops were run, sent {} s after the store had \
         acknowledged it",
        DAEMONS * REQUESTS,
        DAEMONS * REQUESTS,
        (CONTACT + APPLY + MARGIN).as_secs()
    ));
    site.record.save(folder)?;
    Ok(missing == 0 && dropped == 0)
}

/// Writes a version of the configuration, which the store acknowledges.
fn publish(site: &Site, version: u64) -> io::Result<()> {
    let body = configuration(version).into_bytes();
    let offset = site.store.append(CONFIGURATION, "config", Some(body));
    let offset = offset.ok_or_else(|| io::Error::other("the store is away"))?;
    site.record.add(format!(
        "operator: version {version} acknowledged at offset {offset}"
    ));
    Ok(())
}

/// Sends requests for the route that a version added to every daemon; returns how many got
/// 404.
fn count_missing(site: &Site, version: u64) -> usize {
    let mut missing = 0;
    for (host, daemon) in site.daemons.iter().enumerate() {
        for index in 0..REQUESTS {
            let id = format!(
                "{:016x}",
                0xc0_0000 + version * 1000 + host as u64 * 100 + index as u64
            );
            let path = format!("/added/version-{version}/balance");
            let called = call(&site.record, (&daemon.name, daemon.front), &path, &id);
            missing += usize::from(called.answer.is_ok_and(|answer| answer.status == 404));
        }
    }
    missing
}

/// Sends requests with the key that version 10 drops to every daemon; returns how many an
/// engine has run.
fn run_with_dropped_key(site: &Site) -> usize {
    let mut sent = Vec::new();
    for (host, daemon) in site.daemons.iter().enumerate() {
        for index in 0..REQUESTS {
            let id = format!("{:016x}", 0xdd_0000 + host * 100 + index);
            let (record, daemon) = (&site.record, (daemon.name.as_str(), daemon.front));
            call_with_key(record, daemon, "/charge/settle", &id, SECOND_KEY);
            sent.push(id);
        }
    }
    let arrivals = site.arrivals().into_iter();
    let run = arrivals.filter(|arrival| sent.contains(&arrival.request));
    run.count()
}
