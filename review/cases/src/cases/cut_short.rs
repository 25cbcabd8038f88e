//! An engine that leaves is gone two seconds after its notice. Answers that it was writing
//! end with its connections.

use std::io;
use std::thread;
use std::time::{Duration, Instant};

use crate::engine::stream_body;
use crate::processes::EngineSpec;
use crate::site::{Call, SERVICE, Site, call};

/// Streams that run when the notice comes, and the daemons that carry them.
const STREAMS: usize = 280;
const DAEMONS: usize = 3;
/// Time from the notice until the engine is gone: the figure of `scale_in` with `spot`.
const NOTICE: Duration = Duration::from_secs(2);

pub fn play(folder: &str, has_trouble: bool) -> io::Result<bool> {
    let engine = |(id, traits)| EngineSpec {
        id,
        service: SERVICE,
        zone: "vake",
        traits,
    };
    let engines = [
        ("i-a1", "unframed"),
        ("i-b2", "unframed"),
        ("i-c3", "unframed"),
        ("i-d4", "unframed"),
        ("i-e5", ""),
        ("i-f6", ""),
        ("i-g7", ""),
    ];
    let mut site = Site::open(&engines.map(engine), DAEMONS)?;
    thread::sleep(Duration::from_secs(4));
    let calls = (0..STREAMS).map(|number| {
        let record = site.record.clone();
        let daemon = &site.daemons[number % DAEMONS];
        let (name, front) = (daemon.name.clone(), daemon.front);
        thread::spawn(move || {
            let id = format!("{:016x}", 0x5eed_0000 + number);
            call(&record, (&name, front), "/stream/draft", &id)
        })
    });
    let calls = calls.collect::<Vec<_>>();
    thread::sleep(Duration::from_millis(1000));
    if has_trouble {
        let notice = site.engines[0].drain()?;
        thread::sleep((notice + NOTICE).saturating_duration_since(Instant::now()));
        site.engines[0].kill()?;
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
