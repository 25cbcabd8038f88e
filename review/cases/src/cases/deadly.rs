//! A request crashes each engine that begins to run it, and comes again. Engines carry streams
//! beside it.

use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::engine::DEADLY_PATH;
use crate::processes::{Engine, EngineSpec, HEARTBEAT};
use crate::site::{SERVICE, Site, call};

const DAEMONS: usize = 3;
const ENGINES: usize = 12;
/// Streams that run all the while.
const STREAMS: usize = 1080;
/// The request that crashes engines: how often it comes, and the pause between.
const COMES: usize = 16;
const PAUSE: Duration = Duration::from_millis(2500);
/// Time after which a crashed engine is back.
const BACK_AFTER: Duration = Duration::from_secs(3);
/// The bounds of the rule.
const CRASHES: usize = 3;
const CONTACT: Duration = Duration::from_millis(3000);
const RETRIES: usize = 3;

fn spec(number: usize, has_trouble: bool) -> EngineSpec {
    EngineSpec {
        id: format!("i-{number:03}").leak(),
        service: SERVICE,
        zone: "vake",
        traits: if has_trouble { "mortal" } else { "" },
    }
}

pub fn play(folder: &str, has_trouble: bool) -> io::Result<bool> {
    let specs = (0..ENGINES).map(|number| spec(number, has_trouble));
    let mut site = Site::open(&specs.collect::<Vec<_>>(), DAEMONS)?;
    thread::sleep(Duration::from_secs(4));
    let ended = Arc::new(AtomicBool::new(false));
    let streams = (0..STREAMS).map(|number| {
        let (record, ended) = (site.record.clone(), ended.clone());
        let daemon = &site.daemons[number % DAEMONS];
        let (name, front) = (daemon.name.clone(), daemon.front);
        thread::spawn(move || {
            for round in 0.. {
                if ended.load(Ordering::SeqCst) {
                    return;
                }
                let id = format!("{:016x}", 0x5eed_0000 + round * 1000 + number);
                call(&record, (&name, front), "/stream/draft", &id);
                thread::sleep(Duration::from_millis(200));
            }
        })
    });
    let streams = streams.collect::<Vec<_>>();
    thread::sleep(Duration::from_secs(3));
    let calls = {
        let (record, ended) = (site.record.clone(), ended.clone());
        let daemons = site.daemons.iter();
        let daemons = daemons.map(|daemon| (daemon.name.clone(), daemon.front));
        let daemons = daemons.collect::<Vec<_>>();
        thread::spawn(move || {
            for number in 0..COMES {
                let (name, front) = &daemons[number % DAEMONS];
                let id = format!("{:016x}", 0xdead_0000_usize + number);
                call(&record, (name, *front), DEADLY_PATH, &id);
                thread::sleep(PAUSE);
            }
            ended.store(true, Ordering::SeqCst);
        })
    };
    let mut next = ENGINES;
    let mut gone = BTreeMap::<usize, (Instant, bool)>::new();
    while !ended.load(Ordering::SeqCst) {
        for index in 0..site.engines.len() {
            let has_ended = matches!(site.engines[index].child.try_wait(), Ok(Some(_)));
            if has_ended && !gone.contains_key(&index) {
                site.engines[index].stop_heartbeats();
                gone.insert(index, (Instant::now(), false));
            }
        }
        for (index, (at, is_replaced)) in &mut gone {
            if !*is_replaced && at.elapsed() >= BACK_AFTER {
                let spec = spec(next, has_trouble);
                let engine = Engine::start(spec, &site.store, &site.record, &site.arrivals)?;
                site.engines.push(engine);
                next += 1;
                *is_replaced = true;
            }
            if at.elapsed() >= HEARTBEAT * 3 {
                site.engines[*index].expire();
            }
        }
        thread::sleep(Duration::from_millis(20));
    }
    let _ = calls.join();
    for stream in streams {
        let _ = stream.join();
    }
    let arrivals = site.arrivals().into_iter();
    let deadly = arrivals.filter(|arrival| arrival.request.starts_with("00000000dead"));
    let deadly = deadly.map(|arrival| arrival.at).collect::<Vec<_>>();
    let third = match has_trouble {
        true => deadly.get(CRASHES - 1).copied(),
        false => None,
    };
    let late = third.map_or(0, |third| {
        let late = deadly.iter().filter(|at| **at > third + CONTACT);
        late.count()
    });
    let crashes = if has_trouble { deadly.len() } else { 0 };
    site.record.add(format!(
        "verdict: {COMES} attempts reached engines {} times and crashed {crashes}; {late} times \
         later than contact_ms after the third crash",
        deadly.len()
    ));
    site.record.save(folder)?;
    if deadly.is_empty() {
        return Err(io::Error::other("the request reached no engine"));
    }
    Ok(late <= RETRIES)
}
