//! Small decisions of an entry host: events, refusals, known hosts, log lines.

use std::io::Write;
use std::sync::mpsc;
use std::time::{Duration, Instant};

use jackdawwick::admission::OverloadGauge;
use jackdawwick::fleet::UsageScope;
use jackdawwick::forward::EventSplitter;
use jackdawwick::logging::BoundedWriter;
use jackdawwick::membership::GossipTable;
use jackdawwick::peer::{HostListing, HostView, KnownHost, SeenListing};
use jackdawwick::permits::LimitDelta;
use jackdawwick::poison::PoisonListing;
use jackdawwick::retry::{WindowBudget, WindowSettings};
use proptest::prelude::*;

/// Symptom: a caller gets half an event and then a whole one. Sequence: an
/// engine breaks off in the middle of an event, the stream goes on elsewhere.
/// Cause: bytes were passed on as they came.
#[test]
fn half_an_event_is_held_back() {
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
fn an_endless_event_is_an_error() {
    let mut splitter = EventSplitter::default();
    let pushed = (0..200).try_for_each(|_| splitter.push(&[b'x'; 1024]).map(|_| ()));
    assert!(pushed.is_err());
}

proptest! {
    /// However the bytes are cut, whole events come out in order.
    #[test]
    fn cuts_do_not_matter(count in 1_usize..20, cuts in prop::collection::vec(1_usize..40, 1..60)) {
        let text = (0..count).map(|id| format!("id: {id}\ndata: {}\n\n", "t".repeat(id % 7)));
        let text = text.collect::<String>();
        let mut splitter = EventSplitter::default();
        let mut rest = text.as_bytes();
        let mut seen = Vec::new();
        let mut cuts = cuts.iter().cycle();
        while !rest.is_empty() {
            let cut = (*cuts.next().expect("endless")).min(rest.len());
            let (part, tail) = rest.split_at(cut);
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
    fn any_bytes_are_taken_without_panic(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let mut splitter = EventSplitter::default();
        let _ = splitter.push(&bytes);
    }
}

#[test]
fn refused_callers_come_back_later_the_more_are_refused() {
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
    let calm = now + Duration::from_secs(60);
    for _ in 0..50 {
        gauge.count_start(calm);
    }
    assert!(gauge.count_refusal(calm, 0.0) < later);
}

/// Callers that were never served, of those that come while engines are lost:
/// 100 a second come, and for six seconds 60 a second find a place. Each caller
/// comes back once, when it was told to.
fn lost_in_a_shortage() -> usize {
    const TICK: Duration = Duration::from_millis(10);
    let start = Instant::now();
    let mut gauge = OverloadGauge::default();
    let mut returning: Vec<Instant> = Vec::new();
    let mut places = 0.0_f64;
    let mut lost = 0;
    for tick in 0..1_500_u32 {
        let now = start + TICK * tick;
        let is_short = (200..800).contains(&tick);
        places = (places + if is_short { 0.6 } else { 1.15 }).min(3.0);
        let due = returning.extract_if(.., |at| *at <= now).count();
        for is_first in std::iter::repeat_n(false, due).chain([true]) {
            match (places >= 1.0, is_first) {
                (true, _) => {
                    places -= 1.0;
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

/// Symptom: callers are refused twice and lost. Sequence: engines are lost for
/// some seconds; callers that were refused come back in the middle of that.
/// Cause: they were told to come back after half a second.
///
/// Lost callers: 147 before, 52 after.
#[test]
fn callers_come_back_when_a_shortage_may_have_ended() {
    let lost = lost_in_a_shortage();
    assert!(lost <= 60, "{lost} lost");
}

/// Symptom: the platform counts more retries than it allows. Sequence: an
/// engine is lost, all hosts send its requests once more. Cause: the bound was
/// kept on average and not within each window.
#[test]
fn retries_stay_within_the_bound_of_every_window() {
    let settings = WindowSettings {
        window: Duration::from_secs(10),
        ratio: 0.2,
        slack: 5.0,
    };
    let start = Instant::now();
    let mut budget = WindowBudget::new();
    let mut spent = Vec::new();
    for tick in 0..600_u32 {
        let now = start + Duration::from_millis(100) * tick;
        budget.count_request(settings, now);
        if budget.spend(settings, now) {
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
        poison: PoisonListing::default(),
        limits: LimitDelta::default(),
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
fn seeds_are_called_until_they_are_known_and_never_oneself() {
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
    let mut told = view("a", "z", 1, 1);
    told.listing = HostListing {
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
    table.observe_view(&told, now);
    let live = table.live_hosts("z", now);
    assert_eq!(
        live.iter().map(|host| &**host).collect::<Vec<_>>(),
        ["a", "b", "c"]
    );
}

/// Symptom: two hosts order the same engines about. Sequence: the first host
/// of a zone dies. Cause: the dead host still counts as the first.
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

/// Symptom: calls to the log grow fourfold for as long as one host is cut off
/// from it. Sequence: the first host of a zone loses the log, all others read
/// it themselves. Cause: nobody stood in for the first host.
#[test]
fn a_few_hosts_stand_in_for_the_first_in_the_order_of_names() {
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

/// Symptom: loads of a moment ago come back. Sequence: two views of a host
/// cross on the way. Cause: the later one to arrive was believed.
#[test]
fn an_overtaken_view_is_no_news() {
    let now = Instant::now();
    let mut table = table(&[]);
    assert!(table.observe_view(&view("a", "z", 1, 5), now));
    assert!(!table.observe_view(&view("a", "z", 1, 4), now));
    let mut restarted = view("a", "z", 1, 1);
    restarted.incarnation = 2;
    assert!(table.observe_view(&restarted, now));
    assert!(!table.observe_view(&view("a", "z", 1, 6), now));
}

/// A writer that takes nothing until it is told to.
struct StuckWriter {
    go_on: mpsc::Receiver<()>,
    written: mpsc::Sender<Vec<u8>>,
}

impl Write for StuckWriter {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let _ = self.go_on.recv();
        let _ = self.written.send(bytes.to_vec());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Symptom: a host stops answering. Sequence: whoever reads its log stops
/// reading, the pipe fills up. Cause: log lines were written by the thread
/// that serves requests.
#[test]
fn a_log_reader_that_does_not_read_blocks_nothing() {
    let (go_on_sender, go_on) = mpsc::channel();
    let (written, lines) = mpsc::channel();
    let mut writer = BoundedWriter::spawn(StuckWriter { go_on, written });
    for line in 0..100_000 {
        writeln!(writer, "{line}").expect("never fails");
    }
    drop(writer);
    drop(go_on_sender);
    let text = lines.iter().flatten().collect::<Vec<_>>();
    let text = String::from_utf8(text).expect("text");
    assert!(text.starts_with("0\n"));
    assert!(text.lines().count() < 10_000);
}

/// A storm of decisions is bounded, and what was left out is counted.
#[test]
fn lines_left_out_are_counted() {
    let (go_on_sender, go_on) = mpsc::channel();
    let (written, lines) = mpsc::channel();
    drop(go_on_sender);
    let mut writer = BoundedWriter::spawn(StuckWriter { go_on, written });
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
