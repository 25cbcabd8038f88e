//! Several engines are lost at the same moment. Answers that they were writing end with their
//! connections.

use std::io;
use std::thread;
use std::time::Duration;

use crate::engine::stream_body;
use crate::processes::EngineSpec;
use crate::site::{Call, SERVICE, Site, call};

/// Streams that run when the engines are lost, and the daemons that carry them.
const STREAMS: usize = 660;
const DAEMONS: usize = 3;
/// The engines: of the first ones, some answers have no length, and the very first are lost.
const IDS: [&str; 20] = [
    "i-01", "i-02", "i-03", "i-04", "i-05", "i-06", "i-07", "i-08", "i-09", "i-10", "i-11", "i-12",
    "i-13", "i-14", "i-15", "i-16", "i-17", "i-18", "i-19", "i-20",
];
const UNFRAMED: usize = 12;
const LOST: usize = 3;

pub fn play(folder: &str, has_trouble: bool) -> io::Result<bool> {
    let specs = IDS.iter().enumerate().map(|(index, id)| EngineSpec {
        id,
        service: SERVICE,
        zone: "vake",
        traits: if index < UNFRAMED { "unframed" } else { "" },
    });
    let mut site = Site::open(&specs.collect::<Vec<_>>(), DAEMONS)?;
    thread::sleep(Duration::from_secs(4));
    let calls = (0..STREAMS).map(|number| {
        let record = site.record.clone();
        let daemon = &site.daemons[number % DAEMONS];
        let (name, front) = (daemon.name.clone(), daemon.front);
        thread::spawn(move || {
            let id = format!("{:016x}", 0x5eed_0000 + number);
            call(&record, (&name, front), "/stream-once/draft", &id)
        })
    });
    let calls = calls.collect::<Vec<_>>();
    thread::sleep(Duration::from_millis(1000));
    if has_trouble {
        for engine in &mut site.engines[..LOST] {
            engine.kill()?;
        }
    }
    let calls = calls.into_iter().map(|call| call.join());
    let calls = calls.collect::<Result<Vec<_>, _>>();
    let calls = calls.map_err(|_| io::Error::other("a caller failed"))?;
    let broken = calls.iter().filter(|call| is_cut_short(call)).count();
    let whole = calls.iter().filter(|call| is_whole(call)).count();
    site.record.add(format!(
        "verdict: {STREAMS} streams, {whole} whole, {broken} complete by their framing \
         without all of their pieces"
    ));
    site.record.save(folder)?;
    if whole + broken == 0 {
        return Err(io::Error::other("no stream was served"));
    }
    Ok(broken == 0)
}

/// Returns whether a success ends as complete before its last piece.
fn is_cut_short(call: &Call) -> bool {
    call.answer.as_ref().is_ok_and(|answer| {
        answer.status == 200
            && answer.is_complete
            && answer.body != stream_body(&call.id).as_bytes()
    })
}

fn is_whole(call: &Call) -> bool {
    call.answer.as_ref().is_ok_and(|answer| {
        answer.status == 200
            && answer.is_complete
            && answer.body == stream_body(&call.id).as_bytes()
    })
}
