//! Tests of the soak: its checks on histories with violations, its links, and a short run
//! with the real daemon.

mod support;

use std::time::{Duration, Instant};

use standins::check::AdvertisedLimit;
use standins::soak::{
    AttemptRecord, CallKind, CallOutcome, CallRecord, ConnectionLoss, Disturbance,
    DisturbanceScope, FaultLink, LinkFault, LinkScope, LossPeer, ProbeRecord, RetryBound,
    RetryWindow, RunRecord, SoakHistory, SoakSettings, TargetBreak, TargetDeparture, TargetLimit,
    Violation, draw_faults, draw_standstills, draw_statements, find_violations, run_soak,
};
use support::TestResult;
use support::soaks::soak_settings;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const SERVED: CallOutcome = CallOutcome::Completed {
    status: 200,
    sealed: true,
    matching: true,
};
const REFUSED: CallOutcome = CallOutcome::Completed {
    status: 503,
    sealed: false,
    matching: true,
};

/// Builds a history from times relative to its start.
struct HistoryBuilder {
    start: Instant,
    history: SoakHistory,
}

impl HistoryBuilder {
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
            not_run: outcome == REFUSED,
        });
    }

    fn run(&mut self, id: &str, target: &str, at: u64) {
        self.history.runs.push(RunRecord {
            id: id.to_owned(),
            target: target.to_owned(),
            at: self.at(at),
            layers_covered: true,
            failed: false,
        });
    }

    /// Adds a call that is sent to target `one` and responded to at once.
    fn attempt(&mut self, id: &str, at: u64, pause: Option<u64>, leaving: bool) {
        self.call(id, CallKind::Idempotent, at, at + 5, REFUSED);
        self.history.attempts.push(AttemptRecord {
            id: id.to_owned(),
            target: "one".to_owned(),
            arrived: self.at(at),
            responded: self.at(at),
            pause: pause.map(Duration::from_millis),
            leaving,
        });
    }

    fn break_call(&mut self, id: &str, at: u64) {
        let (id, at) = (id.to_owned(), self.at(at));
        self.history.breaks.push(TargetBreak { id, at });
    }

    fn lose(&mut self, host: usize, peer: LossPeer, from: u64, until: u64) {
        self.history.losses.push(ConnectionLoss {
            host,
            peer,
            from: self.at(from),
            until: self.at(until),
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

    fn probe(&mut self, version: u64, active: bool, published: u64, sent: u64) {
        self.history.probes.push(ProbeRecord {
            host: 0,
            incarnation: 1,
            version,
            active,
            published: self.at(published),
            sent: self.at(sent),
            received: self.at(sent + 5),
        });
    }

    fn violations(&self) -> Vec<Violation> {
        find_violations(&self.history, true)
    }
}

#[test]
fn a_correct_history_has_no_violations() {
    let mut builder = HistoryBuilder::new();
    builder.call("a", CallKind::NonIdempotent, 0, 20, SERVED);
    builder.run("a", "one", 5);
    builder.call("b", CallKind::NonIdempotent, 30, 31, REFUSED);
    builder.call("c", CallKind::Idempotent, 40, 80, SERVED);
    builder.run("c", "one", 45);
    builder.run("c", "two", 60);
    builder.probe(2, false, 100, 150);
    builder.probe(2, true, 100, 300);
    assert_eq!(builder.violations(), []);
}

#[test]
fn a_second_run_of_a_non_idempotent_call_is_found() {
    let mut builder = HistoryBuilder::new();
    builder.call("a", CallKind::NonIdempotent, 0, 20, SERVED);
    builder.run("a", "one", 5);
    builder.run("a", "two", 9);
    assert_eq!(builder.violations(), [Violation::RanTwice("a".into())]);
}

#[test]
fn a_second_run_of_a_stream_that_may_run_once_is_found() {
    let mut builder = HistoryBuilder::new();
    builder.call("a", CallKind::StreamOnce, 0, 20, SERVED);
    builder.call("b", CallKind::Stream, 0, 20, SERVED);
    for id in ["a", "b"] {
        builder.run(id, "one", 5);
        builder.run(id, "two", 9);
    }
    assert_eq!(builder.violations(), [Violation::RanTwice("a".into())]);
}

#[test]
fn a_refused_call_that_runs_later_is_found() {
    let mut builder = HistoryBuilder::new();
    builder.call("a", CallKind::NonIdempotent, 0, 20, REFUSED);
    builder.run("a", "one", 500);
    assert_eq!(
        builder.violations(),
        [Violation::RanDespiteRefusal("a".into())]
    );
}

#[test]
fn a_success_of_another_call_or_with_a_partial_body_is_found() {
    let mut builder = HistoryBuilder::new();
    let partial = CallOutcome::Completed {
        status: 200,
        sealed: true,
        matching: false,
    };
    builder.call("a", CallKind::Stream, 0, 20, partial);
    assert_eq!(builder.violations(), [Violation::WrongResponse("a".into())]);
}

#[test]
fn a_run_without_a_call_and_an_incomplete_path_are_found() {
    let mut builder = HistoryBuilder::new();
    builder.run("a", "one", 5);
    builder.history.runs[0].layers_covered = false;
    let found = [
        Violation::UnknownCall("a".into()),
        Violation::WrongLayers("a".into()),
    ];
    assert_eq!(builder.violations(), found);
}

#[test]
fn a_call_cut_by_a_stop_is_found_and_one_cut_by_a_kill_is_not() {
    let mut builder = HistoryBuilder::new();
    builder.call("a", CallKind::Stream, 5000, 5500, CallOutcome::Interrupted);
    builder.run("a", "one", 5010);
    builder.disturb(DisturbanceScope::Host(0), true, 5200, 9000);
    let found = [
        Violation::CutWhileTargetLived("a".into()),
        Violation::LostAtShutdown("a".into()),
    ];
    assert_eq!(builder.violations(), found);
    builder.lose(0, LossPeer::Callers, 5400, 6400);
    builder.disturb(DisturbanceScope::Host(0), false, 5400, 9000);
    assert_eq!(builder.violations(), []);
}

#[test]
fn a_response_that_is_cut_while_its_target_lives_is_found() {
    let cut = |change: fn(&mut HistoryBuilder)| {
        let mut builder = HistoryBuilder::new();
        builder.call("a", CallKind::Stream, 1000, 1900, CallOutcome::Interrupted);
        builder.run("a", "one", 1010);
        change(&mut builder);
        builder.violations()
    };
    let found = [Violation::CutWhileTargetLived("a".into())];
    assert_eq!(cut(|_| {}), found);
    // Neither a pause of the host, a loss at another host, the end of a target after the
    // call, nor the end of an attempt that another one replaced allows the cut.
    assert_eq!(
        cut(|builder| {
            builder.disturb(DisturbanceScope::Host(0), false, 1000, 1900);
            builder.lose(1, LossPeer::Callers, 1000, 1900);
            builder.lose(0, LossPeer::Callers, 2000, 2100);
            builder.break_call("b", 1500);
            builder.break_call("a", 1950);
        }),
        found
    );
    assert_eq!(
        cut(|builder| {
            builder.break_call("a", 1400);
            builder.run("a", "two", 1450);
        }),
        found
    );
    assert_eq!(
        cut(|builder| {
            builder.lose(0, LossPeer::Targets, 900, 2500);
            builder.run("a", "two", 1450);
            builder.history.runs[1].failed = true;
        }),
        found
    );
    assert_eq!(cut(|builder| builder.break_call("a", 1899)), []);
    assert_eq!(
        cut(|builder| {
            builder.break_call("a", 1400);
            builder.run("a", "two", 1450);
            builder.history.runs[1].failed = true;
        }),
        []
    );
    assert_eq!(
        cut(|builder| builder.lose(1, LossPeer::Targets, 1800, 2500)),
        []
    );
    assert_eq!(
        cut(|builder| builder.lose(0, LossPeer::Callers, 1800, 2500)),
        []
    );
    assert_eq!(
        cut(|builder| builder.history.calls[0].ended = builder.at(7000)),
        []
    );
}

#[test]
fn a_call_that_was_read_and_gets_no_response_is_found() {
    let unanswered = |until: u64, change: fn(&mut HistoryBuilder)| {
        let mut builder = HistoryBuilder::new();
        builder.call("a", CallKind::Stream, 1000, until, CallOutcome::Unanswered);
        change(&mut builder);
        builder.violations()
    };
    let found = [Violation::NoResponse("a".into())];
    assert_eq!(unanswered(1199, |_| {}), []);
    assert_eq!(unanswered(1201, |_| {}), found);
    assert_eq!(
        unanswered(1100, |builder| builder.run("a", "one", 1050)),
        found
    );
    // A host answers also if its target fails, or if its links to targets are lost.
    assert_eq!(
        unanswered(1100, |builder| {
            builder.run("a", "one", 1050);
            builder.break_call("a", 1090);
            builder.lose(0, LossPeer::Targets, 1000, 1100);
            builder.disturb(DisturbanceScope::Host(0), false, 1000, 1900);
        }),
        found
    );
    // A paused host may not have read the call.
    assert_eq!(
        unanswered(3000, |builder| {
            builder.disturb(DisturbanceScope::Host(0), false, 1000, 1900);
        }),
        []
    );
    assert_eq!(
        unanswered(3000, |builder| builder.lose(
            0,
            LossPeer::Callers,
            2000,
            2100
        )),
        []
    );
}

#[test]
fn a_late_send_to_a_leaving_target_is_found_unless_the_host_was_disturbed() {
    let mut builder = HistoryBuilder::new();
    builder.history.departures.push(TargetDeparture {
        target: "one".into(),
        at: builder.at(5000),
    });
    builder.call("a", CallKind::Idempotent, 7400, 7500, SERVED);
    builder.run("a", "one", 7410);
    assert_eq!(builder.violations(), [Violation::SentToLeaving("a".into())]);
    builder.disturb(DisturbanceScope::Host(0), false, 4000, 4500);
    assert_eq!(builder.violations(), []);
}

#[test]
fn retries_of_all_hosts_beyond_the_bound_of_a_window_are_found() {
    let violations = |gap_ms: u64| {
        let mut builder = HistoryBuilder::new();
        for call in 0..300 {
            let (id, at) = (format!("call-{call}"), gap_ms * call);
            builder.attempt(&id, at, None, false);
            let first = builder.history.attempts.last().expect("an attempt").clone();
            builder.history.attempts.push(AttemptRecord {
                target: "two".into(),
                arrived: first.arrived + Duration::from_millis(1),
                ..first
            });
        }
        builder.violations()
    };
    // The fullest window begins with the first retry, after the first of the 300 calls.
    let exceeded = RetryWindow {
        arrivals: 300,
        allowed: 259,
    };
    assert_eq!(violations(30), [Violation::TooManyRetries(exceeded)]);
    assert_eq!(violations(60), []);
}

#[test]
fn a_limit_that_each_host_applies_separately_is_found_unless_the_host_was_disturbed() {
    let mut builder = HistoryBuilder::new();
    builder.history.limits.push(TargetLimit {
        target: "one".into(),
        limit: AdvertisedLimit {
            per_second: 2.0,
            from: builder.at(5000),
            until: builder.at(12_000),
        },
    });
    for call in 0..50 {
        let (id, at) = (format!("call-{call}"), 6000 + 100 * call);
        builder.call(&id, CallKind::Idempotent, at, at + 20, SERVED);
        builder.run(&id, "one", at + 5);
    }
    assert_eq!(
        builder.violations(),
        [Violation::OverLimit("one".into(), 40)]
    );
    builder.disturb(DisturbanceScope::Host(0), false, 5000, 11_000);
    assert_eq!(builder.violations(), []);
}

#[test]
fn calls_in_a_pause_are_found_for_each_pause_and_host_unless_the_host_was_disturbed() {
    let mut builder = HistoryBuilder::new();
    builder.attempt("first", 1000, Some(3000), false);
    // A shorter pause does not end a longer one, and calls on their way do not count.
    builder.attempt("shorter", 1400, Some(100), false);
    for (index, at) in [1600, 2500, 3900].into_iter().enumerate() {
        builder.attempt(&format!("late-{index}"), at, None, false);
    }
    builder.attempt("after", 4100, None, false);
    assert_eq!(
        builder.violations(),
        [Violation::SentDuringPause("one".into(), 3)]
    );
    builder.disturb(DisturbanceScope::Log, false, 900, 5000);
    assert_eq!(builder.violations().len(), 1);
    builder.disturb(DisturbanceScope::Host(1), false, 900, 5000);
    assert_eq!(builder.violations().len(), 1);
    builder.disturb(DisturbanceScope::Host(0), false, 2000, 2100);
    assert_eq!(builder.violations(), []);
}

#[test]
fn a_call_after_the_statement_of_a_leaving_target_is_found_also_while_the_log_is_away() {
    let mut builder = HistoryBuilder::new();
    builder.attempt("first", 1000, None, true);
    builder.attempt("in-time", 2900, None, true);
    builder.attempt("late", 3100, None, false);
    builder.disturb(DisturbanceScope::Log, false, 900, 5000);
    assert_eq!(
        builder.violations(),
        [Violation::SentAfterStatement("late".into())]
    );
    builder.disturb(DisturbanceScope::Host(0), true, 2000, 2100);
    assert_eq!(builder.violations(), []);
}

#[test]
fn a_host_that_falls_behind_or_stays_behind_is_found() {
    let mut builder = HistoryBuilder::new();
    builder.probe(3, true, 5000, 5100);
    builder.probe(3, false, 5000, 5500);
    assert_eq!(builder.violations(), [Violation::Regressed(0, 3)]);
    let mut builder = HistoryBuilder::new();
    builder.probe(3, false, 5000, 7100);
    assert_eq!(builder.violations(), [Violation::LateVersion(0, 3)]);
    assert_eq!(find_violations(&builder.history, false), []);
}

#[test]
fn unexpected_exits_and_missing_recovery_are_found() {
    let mut builder = HistoryBuilder::new();
    builder.history.unexpected_exits.push("host-0".into());
    builder.history.recovered = false;
    let found = [
        Violation::UnexpectedExit("host-0".into()),
        Violation::NotRecovered,
    ];
    assert_eq!(builder.violations(), found);
}

#[test]
fn a_seed_always_draws_the_same_faults() {
    let length = Duration::from_secs(30);
    assert_eq!(draw_faults(5, length, 4, 9), draw_faults(5, length, 4, 9));
    assert_ne!(draw_faults(5, length, 4, 9), draw_faults(6, length, 4, 9));
    assert_eq!(draw_statements(5, length, 9), draw_statements(5, length, 9));
    assert_ne!(draw_statements(5, length, 9), draw_statements(6, length, 9));
    let standstills = draw_standstills(5, length, 9);
    assert_eq!(standstills, draw_standstills(5, length, 9));
    assert_ne!(standstills, draw_standstills(6, length, 9));
}

/// Starts a server that echoes what it receives.
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
async fn a_link_blocks_resets_and_recovers() -> TestResult {
    let link = FaultLink::open(Some(echo().await?)).await?;
    let mut stream = TcpStream::connect(link.address).await?;
    let mut byte = [0];
    stream.write_all(b"a").await?;
    stream.read_exact(&mut byte).await?;
    for held in [
        LinkFault::Blackhole,
        LinkFault::BlockToServer,
        LinkFault::BlockToClient,
    ] {
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

/// Runs entry hosts as processes under at least four faults and checks every guarantee
/// that has no time bound.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_short_soak_has_no_violations() -> TestResult {
    let (settings, _folder) = soak_settings(3).await?;
    let report = run_soak(SoakSettings {
        seed: 11,
        length: Duration::from_secs(6),
        callers: 8,
        ..settings
    })
    .await?;
    assert_eq!(report.violations, []);
    assert!(report.faults > 3, "{} faults", report.faults);
    assert!(report.count(|ended| ended == SERVED) > 100);
    Ok(())
}

/// Runs entry hosts as processes that lose their links to the targets beside other faults.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_short_soak_with_lost_links_has_no_violations() -> TestResult {
    let (settings, _folder) = soak_settings(4).await?;
    let report = run_soak(SoakSettings {
        seed: 12,
        length: Duration::from_secs(6),
        callers: 8,
        links: LinkScope::Host,
        ..settings
    })
    .await?;
    assert_eq!(report.violations, []);
    assert!(report.count(|ended| ended == SERVED) > 100);
    Ok(())
}

/// Runs entry hosts as processes whose targets stand still for up to 2 s and go on, while
/// the configuration changes and most targets fail.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_short_soak_with_targets_that_stand_still_has_no_violations() -> TestResult {
    let (settings, _folder) = soak_settings(4).await?;
    let report = run_soak(SoakSettings {
        seed: 4,
        length: Duration::from_secs(8),
        callers: 16,
        standstills: true,
        ..settings
    })
    .await?;
    assert_eq!(report.violations, []);
    assert!(report.count(|ended| ended == SERVED) > 100);
    Ok(())
}

/// Guards against retries beyond their bound when hosts lack them and still targets read them late.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_short_soak_whose_targets_fail_half_of_the_calls_has_no_violations() -> TestResult {
    let (settings, _folder) = soak_settings(4).await?;
    let report = run_soak(SoakSettings {
        seed: 1,
        length: Duration::from_secs(16),
        callers: 24,
        links: LinkScope::Host,
        standstills: true,
        half_fails: true,
        retries: RetryBound::SCARCE,
        ..settings
    })
    .await?;
    assert_eq!(report.violations, []);
    assert!(report.count(|ended| ended == SERVED) > 100);
    Ok(())
}
