//! Decisions of an entry host: event splitting, refusals, known hosts and log output.

use std::io::Write;
use std::sync::mpsc;
use std::time::{Duration, Instant};

use jackdawwick::admission::OverloadGauge;
use jackdawwick::capacity::DemandReport;
use jackdawwick::fleet::UsageScope;
use jackdawwick::forward::EventSplitter;
use jackdawwick::logging::BoundedWriter;
use jackdawwick::membership::GossipTable;
use jackdawwick::peer::{HostListing, HostView, KnownHost, SeenListing};
use jackdawwick::permits::LimitDelta;
use jackdawwick::poison::PoisonDelta;
use jackdawwick::retry::{RetryUse, WindowBudget, WindowSettings};
use proptest::prelude::*;

/// Guards against a caller that gets half an event and then a whole one, when an engine
/// fails in the middle of an event and the stream continues on another engine.
#[test]
fn partial_event_is_held_back() {
    let mut splitter = EventSplitter::default();
    let whole = splitter
        .push(b"id: 1\ndata: a\n\nid: 2\nda")
        .expect("no overflow");
    assert_eq!(whole.as_deref(), Some(&b"id: 1\ndata: a\n\n"[..]));
    assert_eq!(splitter.last_id(), Some("1"));
    assert!(splitter.is_partial());
    splitter.drop_partial();
    let next = splitter.push(b"id: 2\ndata: b\n\n").expect("no overflow");
    assert_eq!(next.as_deref(), Some(&b"id: 2\ndata: b\n\n"[..]));
    assert_eq!(splitter.last_id(), Some("2"));
}

#[test]
fn oversized_event_is_an_error() {
    let mut splitter = EventSplitter::default();
    let pushed = (0..200).try_for_each(|_| splitter.push(&[b'x'; 1024]).map(|_| ()));
    assert!(pushed.is_err());
}

/// Guards against an event without end that arrives byte by byte and keeps the host busy, since
/// all of it is searched for each byte.
#[test]
fn an_event_without_end_is_searched_once() {
    let mut splitter = EventSplitter::default();
    let pushed = (0..=64 * 1024).try_for_each(|_| splitter.push(b"x").map(|_| ()));
    assert!(pushed.is_err());
    let mut splitter = EventSplitter::default();
    let mut events = Vec::new();
    for byte in b"id: 1\r\ndata: a\r\n\r\nid: 2\ndata: b\n\n" {
        events.extend(splitter.push(&[*byte]).expect("no overflow"));
    }
    let events = events.iter().map(|event| &event[..]);
    let whole: [&[u8]; 2] = [b"id: 1\r\ndata: a\r\n\r\n", b"id: 2\ndata: b\n\n"];
    assert_eq!(events.collect::<Vec<_>>(), whole);
}

proptest! {
    /// Whole events are returned in order, however the bytes are split.
    #[test]
    fn events_do_not_depend_on_fragmentation(count in 1_usize..20, lengths in prop::collection::vec(1_usize..40, 1..60)) {
        let text = (0..count).map(|id| format!("id: {id}\ndata: {}\n\n", "t".repeat(id % 7)));
        let text = text.collect::<String>();
        let mut splitter = EventSplitter::default();
        let mut rest = text.as_bytes();
        let mut seen = Vec::new();
        let mut lengths = lengths.iter().cycle();
        while !rest.is_empty() {
            let length = (*lengths.next().expect("endless")).min(rest.len());
            let (part, tail) = rest.split_at(length);
            rest = tail;
            if let Some(events) = splitter.push(part).expect("no overflow") {
                prop_assert!(events.ends_with(b"\n\n"));
                seen.extend_from_slice(&events);
            }
        }
        prop_assert_eq!(seen, text.as_bytes());
        let last = (count - 1).to_string();
        prop_assert_eq!(splitter.last_id(), Some(last.as_str()));
    }

    #[test]
    fn any_bytes_are_accepted_without_panic(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let mut splitter = EventSplitter::default();
        let _ = splitter.push(&bytes);
    }
}

#[test]
fn retry_delay_grows_with_refusals() {
    let now = Instant::now();
    let mut gauge = OverloadGauge::default();
    for _ in 0..50 {
        gauge.count_start(now);
    }
    let first = gauge.count_refusal(now, 0.0);
    for _ in 0..100 {
        gauge.count_refusal(now, 0.0);
    }
    let later = gauge.count_refusal(now, 0.0);
    assert!(later > first * 2);
    assert!(later <= Duration::from_secs(5));
    let jittered = gauge.count_refusal(now, 1.0);
    assert!(jittered > later);
    let later_start = now + Duration::from_secs(60);
    for _ in 0..50 {
        gauge.count_start(later_start);
    }
    assert!(gauge.count_refusal(later_start, 0.0) < later);
}

/// Counts the callers that are never served while engines are lost. 100 callers a second
/// arrive, and for six seconds only 60 a second can be served; each refused caller retries
/// once after the delay that it was given.
fn count_lost_callers() -> usize {
    const TICK: Duration = Duration::from_millis(10);
    let start = Instant::now();
    let mut gauge = OverloadGauge::default();
    let mut returning: Vec<Instant> = Vec::new();
    let mut capacity = 0.0_f64;
    let mut lost = 0;
    for tick in 0..1_500_u32 {
        let now = start + TICK * tick;
        let is_short = (200..800).contains(&tick);
        capacity = (capacity + if is_short { 0.6 } else { 1.15 }).min(3.0);
        let due = returning.extract_if(.., |at| *at <= now).count();
        for is_first in std::iter::repeat_n(false, due).chain([true]) {
            match (capacity >= 1.0, is_first) {
                (true, _) => {
                    capacity -= 1.0;
                    gauge.count_start(now);
                }
                (false, true) => {
                    let draw = f64::from(tick % 10) / 10.0;
                    returning.push(now + gauge.count_refusal(now, draw));
                }
                (false, false) => lost += 1,
            }
        }
    }
    lost
}

/// Guards against callers that are refused twice and lost: with a retry delay of half a
/// second, refused callers return in the middle of a loss of engines that lasts for
/// seconds, and 147 of them are lost.
#[test]
fn retry_delay_outlasts_a_shortage() {
    let lost = count_lost_callers();
    assert!(lost <= 60, "{lost} lost");
}

/// Guards against more retries than the platform allows in a window: when an engine is
/// lost, all hosts resend its requests at once, and a bound on the average does not hold.
#[test]
fn retries_stay_within_the_bound_of_every_window() {
    let start = Instant::now();
    let settings = WindowSettings {
        window: Duration::from_secs(10),
        ratio: 0.2,
        slack: 5.0,
        opened: start - Duration::from_secs(10),
    };
    let mut budget = WindowBudget::new(0.0);
    let mut spent = Vec::new();
    for tick in 0..600_u32 {
        let now = start + Duration::from_millis(100) * tick;
        budget.count_request(settings, now);
        if let Some(id) = budget.grant(settings, RetryUse::Replacement, now) {
            budget.settle(id, now);
            spent.push(now);
        }
    }
    for at in &spent {
        let window = spent
            .iter()
            .filter(|other| **other >= *at && **other < *at + settings.window);
        assert!(window.count() <= 25);
    }
    assert!(spent.len() > 120);
}

fn view(host: &str, zone: &str, port: u16, sequence: u64) -> HostView {
    HostView {
        host: host.into(),
        zone: zone.into(),
        address: ([10, 0, 0, 1], port).into(),
        incarnation: 1,
        sequence,
        configuration_version: 0,
        weight: 0,
        scope: UsageScope::Host,
        usage: Vec::new(),
        listing: HostListing::default(),
        seen: SeenListing::default(),
        counts: Vec::new(),
        log: None,
        poison: PoisonDelta::default(),
        limits: LimitDelta::default(),
        demand: DemandReport::default(),
        ended: Vec::new(),
    }
}

fn table(seeds: &[u16]) -> GossipTable {
    let seeds = seeds.iter().map(|port| ([10, 0, 0, 1], *port).into());
    GossipTable::new(
        "b".into(),
        "z".into(),
        ([10, 0, 0, 1], 2).into(),
        seeds.collect(),
    )
}

#[test]
fn seeds_are_called_until_known_and_the_host_itself_never() {
    let now = Instant::now();
    let mut table = table(&[1, 2]);
    assert_eq!(table.due_calls(now), [([10, 0, 0, 1], 1).into()]);
    assert!(table.due_calls(now).is_empty());
    assert!(table.observe_view(&view("a", "z", 1, 1), now));
    let later = now + Duration::from_millis(100);
    assert!(table.due_calls(later).is_empty());
}

#[test]
fn hosts_become_known_through_others() {
    let now = Instant::now();
    let mut table = table(&[]);
    let mut received = view("a", "z", 1, 1);
    received.listing = HostListing {
        from: 0,
        to: 1,
        hosts: vec![KnownHost {
            host: "c".into(),
            zone: "z".into(),
            address: ([10, 0, 0, 1], 3).into(),
            incarnation: 4,
            weight: 0,
            silent: Duration::from_millis(100),
        }],
    };
    table.observe_view(&received, now);
    let live = table.live_hosts("z", now);
    assert_eq!(
        live.iter().map(|host| &**host).collect::<Vec<_>>(),
        ["a", "b", "c"]
    );
}

/// Guards against two hosts that order the same engines: the leader of a zone ends and
/// must no longer count as its leader.
#[test]
fn silent_hosts_no_longer_count_as_live() {
    let now = Instant::now();
    let mut table = table(&[]);
    table.observe_view(&view("a", "z", 1, 1), now);
    assert_eq!(table.live_hosts("z", now).len(), 2);
    let later = now + Duration::from_secs(3);
    assert_eq!(
        table
            .live_hosts("z", later)
            .iter()
            .map(|host| &**host)
            .collect::<Vec<_>>(),
        ["b"]
    );
    assert_eq!(table.live_count(later), 1);
}

/// Guards against a fourfold increase of calls to the log while one host is cut off from
/// it: only a few hosts may replace the leader of a zone as reader, not all of them.
#[test]
fn next_hosts_in_the_ranking_replace_the_first_reader() {
    let now = Instant::now();
    let mut table = GossipTable::new(
        "d".into(),
        "z".into(),
        ([10, 0, 0, 1], 4).into(),
        Vec::new(),
    );
    for (port, host) in (1..).zip(["a", "b", "c"]) {
        table.observe_view(&view(host, "z", port, 1), now);
    }
    table.observe_view(&view("e", "z", 5, 1), now);
    table.observe_view(&view("0", "y", 6, 1), now);
    let names = |most| {
        let leaders = table.leaders(now, most).into_iter();
        leaders
            .map(|(host, _)| host.to_string())
            .collect::<Vec<_>>()
    };
    assert_eq!(names(2), ["a", "b"]);
    assert_eq!(names(9), ["a", "b", "c"]);
    assert!(!table.is_leader(now));
}

/// Guards against outdated loads: two views of a host overtake each other on the way, and
/// the older one, which arrives last, must be ignored.
#[test]
fn reordered_view_is_ignored() {
    let now = Instant::now();
    let mut table = table(&[]);
    assert!(table.observe_view(&view("a", "z", 1, 5), now));
    assert!(!table.observe_view(&view("a", "z", 1, 4), now));
    let mut restarted = view("a", "z", 1, 1);
    restarted.incarnation = 2;
    assert!(table.observe_view(&restarted, now));
    assert!(!table.observe_view(&view("a", "z", 1, 6), now));
}

/// A writer that blocks until it is released.
struct BlockedWriter {
    release: mpsc::Receiver<()>,
    written: mpsc::Sender<Vec<u8>>,
}

impl Write for BlockedWriter {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let _ = self.release.recv();
        let _ = self.written.send(bytes.to_vec());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Guards against a host that stops serving requests because the process that reads its log
/// output stops and the pipe fills up.
#[test]
fn blocked_log_output_does_not_block_writers() {
    let (release_sender, release) = mpsc::channel();
    let (written, lines) = mpsc::channel();
    let mut writer = BoundedWriter::spawn(BlockedWriter { release, written });
    for line in 0..100_000 {
        writeln!(writer, "{line}").expect("never fails");
    }
    drop(writer);
    drop(release_sender);
    let text = lines.iter().flatten().collect::<Vec<_>>();
    let text = String::from_utf8(text).expect("text");
    assert!(text.starts_with("0\n"));
    assert!(text.lines().count() < 10_000);
}

/// A burst of log lines is bounded, and the dropped lines are counted.
#[test]
fn dropped_lines_are_counted() {
    let (release_sender, release) = mpsc::channel();
    let (written, lines) = mpsc::channel();
    drop(release_sender);
    let mut writer = BoundedWriter::spawn(BlockedWriter { release, written });
    for line in 0..5_000 {
        writeln!(writer, "{line}").expect("never fails");
    }
    std::thread::sleep(Duration::from_millis(30));
    writeln!(writer, "last").expect("never fails");
    drop(writer);
    let text = lines.iter().flatten().collect::<Vec<_>>();
    let text = String::from_utf8(text).expect("text");
    assert!(text.contains("lines left out"));
}

/// Guards against a queue of few lines that holds much memory, since callers choose what is in
/// them.
#[test]
fn long_lines_are_left_out() {
    let (release_sender, release) = mpsc::channel();
    let (written, lines) = mpsc::channel();
    drop(release_sender);
    let mut writer = BoundedWriter::spawn(BlockedWriter { release, written });
    writeln!(writer, "{}", "x".repeat(16 * 1024)).expect("never fails");
    writeln!(writer, "last").expect("never fails");
    drop(writer);
    let text = lines.iter().flatten().collect::<Vec<_>>();
    let text = String::from_utf8(text).expect("text");
    assert!(text.starts_with("last\n"), "{}", text.len());
    assert!(text.contains("lines left out"));
}

/// Guards against the last lines of a process, which are lost when it ends before they are
/// written.
#[test]
fn a_flush_writes_the_queued_lines() {
    let (release_sender, release) = mpsc::channel();
    let (written, lines) = mpsc::channel();
    drop(release_sender);
    let mut writer = BoundedWriter::spawn(BlockedWriter { release, written });
    writeln!(writer, "first").expect("never fails");
    let first = lines.recv().expect("a line");
    assert_eq!(first, b"first\n");
    writeln!(writer, "last").expect("never fails");
    assert!(writer.flusher().flush(Duration::from_secs(10)));
    let rest = lines.try_iter().flatten().collect::<Vec<_>>();
    assert_eq!(String::from_utf8_lossy(&rest), "last\n");
}

/// Guards against a process that cannot end because the reader of its log has stopped reading.
#[test]
fn a_flush_to_a_blocked_output_ends() {
    let (release_sender, release) = mpsc::channel();
    let (written, _lines) = mpsc::channel();
    let mut writer = BoundedWriter::spawn(BlockedWriter { release, written });
    writeln!(writer, "first").expect("never fails");
    assert!(!writer.flusher().flush(Duration::from_millis(20)));
    drop(release_sender);
}
