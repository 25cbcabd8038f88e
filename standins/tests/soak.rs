//! The soak: its checks on histories that break a promise, its links, and a
//! short run with the real program.

mod support;

use std::time::{Duration, Instant};

use standins::check::NamedLimit;
use standins::soak::{
    BrokenPromise, CallKind, CallOutcome, CallRecord, Disturbance, DisturbanceScope, FaultLink,
    LinkFault, ProbeRecord, RunRecord, SoakHistory, SoakSettings, TargetDeparture, TargetLimit,
    broken_promises, draw_faults, run_soak,
};
use support::TestResult;
use support::soaks::soak_settings;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const SERVED: CallOutcome = CallOutcome::Answered {
    status: 200,
    sealed: true,
    own: true,
};
const REFUSED: CallOutcome = CallOutcome::Answered {
    status: 503,
    sealed: false,
    own: true,
};

/// A history that begins at a moment of its own.
struct Story {
    start: Instant,
    history: SoakHistory,
}

impl Story {
    fn new() -> Self {
        let history = SoakHistory {
            recovered: true,
            ..SoakHistory::default()
        };
        Self {
            start: Instant::now(),
            history,
        }
    }

    fn at(&self, ms: u64) -> Instant {
        self.start + Duration::from_millis(ms)
    }

    fn call(&mut self, id: &str, kind: CallKind, from: u64, until: u64, outcome: CallOutcome) {
        self.history.calls.push(CallRecord {
            id: id.to_owned(),
            kind,
            host: 0,
            sent: self.at(from),
            ended: self.at(until),
            outcome,
        });
    }

    fn run(&mut self, id: &str, target: &str, at: u64) {
        self.history.runs.push(RunRecord {
            id: id.to_owned(),
            target: target.to_owned(),
            at: self.at(at),
            layers_whole: true,
        });
    }

    fn disturb(&mut self, scope: DisturbanceScope, planned: bool, from: u64, until: u64) {
        self.history.disturbances.push(Disturbance {
            scope,
            planned,
            from: self.at(from),
            until: self.at(until),
        });
    }

    fn probe(&mut self, version: u64, in_force: bool, published: u64, sent: u64) {
        self.history.probes.push(ProbeRecord {
            host: 0,
            incarnation: 1,
            version,
            in_force,
            published: self.at(published),
            sent: self.at(sent),
            answered: self.at(sent + 5),
        });
    }

    fn broken(&self) -> Vec<BrokenPromise> {
        broken_promises(&self.history, true)
    }
}

#[test]
fn a_sound_history_breaks_nothing() {
    let mut story = Story::new();
    story.call("a", CallKind::NonIdempotent, 0, 20, SERVED);
    story.run("a", "one", 5);
    story.call("b", CallKind::NonIdempotent, 30, 31, REFUSED);
    story.call("c", CallKind::Idempotent, 40, 80, SERVED);
    story.run("c", "one", 45);
    story.run("c", "two", 60);
    story.probe(2, false, 100, 150);
    story.probe(2, true, 100, 300);
    assert_eq!(story.broken(), []);
}

#[test]
fn a_second_run_of_a_non_idempotent_call_is_found() {
    let mut story = Story::new();
    story.call("a", CallKind::NonIdempotent, 0, 20, SERVED);
    story.run("a", "one", 5);
    story.run("a", "two", 9);
    assert_eq!(story.broken(), [BrokenPromise::RanTwice("a".into())]);
}

#[test]
fn a_refused_call_that_runs_later_is_found() {
    let mut story = Story::new();
    story.call("a", CallKind::NonIdempotent, 0, 20, REFUSED);
    story.run("a", "one", 500);
    assert_eq!(
        story.broken(),
        [BrokenPromise::RanThoughRefused("a".into())]
    );
}

#[test]
fn a_foreign_or_partial_success_is_found() {
    let mut story = Story::new();
    let partial = CallOutcome::Answered {
        status: 200,
        sealed: true,
        own: false,
    };
    story.call("a", CallKind::Stream, 0, 20, partial);
    assert_eq!(story.broken(), [BrokenPromise::WrongAnswer("a".into())]);
}

#[test]
fn a_call_that_nobody_sent_and_a_wrong_path_are_found() {
    let mut story = Story::new();
    story.run("a", "one", 5);
    story.history.runs[0].layers_whole = false;
    let found = [
        BrokenPromise::Unasked("a".into()),
        BrokenPromise::WrongLayers("a".into()),
    ];
    assert_eq!(story.broken(), found);
}

#[test]
fn a_call_cut_by_a_stop_is_found_and_one_cut_by_a_kill_is_not() {
    let mut story = Story::new();
    story.call("a", CallKind::Stream, 5000, 5500, CallOutcome::Cut);
    story.run("a", "one", 5010);
    story.disturb(DisturbanceScope::Host(0), true, 5200, 9000);
    assert_eq!(story.broken(), [BrokenPromise::LostAtStop("a".into())]);
    story.disturb(DisturbanceScope::Host(0), false, 5400, 9000);
    assert_eq!(story.broken(), []);
}

#[test]
fn a_late_send_to_a_leaving_target_is_found_unless_the_host_was_cut_off() {
    let mut story = Story::new();
    story.history.departures.push(TargetDeparture {
        target: "one".into(),
        at: story.at(5000),
    });
    story.call("a", CallKind::Idempotent, 7400, 7500, SERVED);
    story.run("a", "one", 7410);
    assert_eq!(story.broken(), [BrokenPromise::SentToLeaving("a".into())]);
    story.disturb(DisturbanceScope::Host(0), false, 4000, 4500);
    assert_eq!(story.broken(), []);
}

#[test]
fn a_limit_that_each_host_keeps_by_itself_is_found_unless_the_host_was_cut_off() {
    let mut story = Story::new();
    story.history.limits.push(TargetLimit {
        target: "one".into(),
        limit: NamedLimit {
            per_second: 2.0,
            from: story.at(5000),
            until: story.at(12_000),
        },
    });
    for call in 0..50 {
        let (id, at) = (format!("call-{call}"), 6000 + 100 * call);
        story.call(&id, CallKind::Idempotent, at, at + 20, SERVED);
        story.run(&id, "one", at + 5);
    }
    assert_eq!(story.broken(), [BrokenPromise::OverLimit("one".into(), 40)]);
    story.disturb(DisturbanceScope::Host(0), false, 5000, 11_000);
    assert_eq!(story.broken(), []);
}

#[test]
fn a_host_that_falls_behind_or_stays_behind_is_found() {
    let mut story = Story::new();
    story.probe(3, true, 5000, 5100);
    story.probe(3, false, 5000, 5500);
    assert_eq!(story.broken(), [BrokenPromise::Regressed(0, 3)]);
    let mut story = Story::new();
    story.probe(3, false, 5000, 7100);
    assert_eq!(story.broken(), [BrokenPromise::LateVersion(0, 3)]);
    assert_eq!(broken_promises(&story.history, false), []);
}

#[test]
fn ends_and_lasting_outages_are_found() {
    let mut story = Story::new();
    story.history.own_ends.push("host-0".into());
    story.history.recovered = false;
    let found = [
        BrokenPromise::OwnEnd("host-0".into()),
        BrokenPromise::NotRecovered,
    ];
    assert_eq!(story.broken(), found);
}

#[test]
fn a_seed_always_draws_the_same_faults() {
    let length = Duration::from_secs(30);
    assert_eq!(draw_faults(5, length, 4, 9), draw_faults(5, length, 4, 9));
    assert_ne!(draw_faults(5, length, 4, 9), draw_faults(6, length, 4, 9));
}

/// A server that sends back what it gets.
async fn echo() -> std::io::Result<std::net::SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut read, mut write) = stream.split();
                tokio::io::copy(&mut read, &mut write).await
            });
        }
    });
    Ok(address)
}

#[tokio::test]
async fn a_link_resets_holds_and_heals() -> TestResult {
    let link = FaultLink::open(Some(echo().await?)).await?;
    let mut stream = TcpStream::connect(link.address).await?;
    let mut byte = [0];
    stream.write_all(b"a").await?;
    stream.read_exact(&mut byte).await?;
    for held in [LinkFault::Silent, LinkFault::CutTowards, LinkFault::CutBack] {
        link.set(held);
        stream.write_all(b"b").await?;
        let early = stream.read_exact(&mut byte);
        let early = tokio::time::timeout(Duration::from_millis(50), early).await;
        assert!(early.is_err(), "{held:?} passes a byte on");
        link.set(LinkFault::None);
        stream.read_exact(&mut byte).await?;
    }
    link.set(LinkFault::Reset);
    let ended = stream.read(&mut byte).await;
    assert!(!matches!(ended, Ok(1..)), "a reset link passes bytes on");
    Ok(())
}

/// Entry hosts as processes, half a dozen faults and more, and every promise
/// that is not bounded by a time.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_short_soak_breaks_no_promise() -> TestResult {
    let (settings, _folder) = soak_settings(3).await?;
    let report = run_soak(SoakSettings {
        seed: 11,
        length: Duration::from_secs(6),
        callers: 8,
        ..settings
    })
    .await?;
    assert_eq!(report.broken, []);
    assert!(report.faults > 3, "{} faults", report.faults);
    assert!(report.count(|ended| ended == SERVED) > 100);
    Ok(())
}
