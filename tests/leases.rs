//! Several daemons contend for a lease over a faulty log, with pauses and clocks of
//! different rates.

#![allow(clippy::unwrap_used)] // A test ends at the first thing that is not there.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use jackdawwick::lease::machine::{LeaseDecision, LeaseMachine, LeaseTerms};
use jackdawwick::lease::record::{LeaseBody, LeaseEntry, LeaseName, LeaseOwner};
use jackdawwick::lease::table::{ClockMargin, JudgedLease, LeaseJudgement, LeaseTable};
use jackdawwick::platform::error::AppendVerdict;
use jackdawwick::records::{JUDGING_RULES, LogRecord};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const HOSTS: usize = 3;
/// Rates of the hosts' clocks, in thousandths of true time.
const RATES: [u64; HOSTS] = [950, 1000, 1050];
/// Smallest margin that covers these rates: `1050 / 950 - 1`.
const MARGIN: ClockMargin = ClockMargin { percent: 11 };
const TERMS: LeaseTerms = LeaseTerms {
    duration: Duration::from_secs(10),
    renew_after: Duration::from_secs(3),
    retry_after: Duration::from_secs(1),
};
/// Interval between checks of the invariant, in milliseconds of true time.
const CHECK_INTERVAL_MS: u64 = 20;

#[derive(Debug, Clone, Copy)]
enum AppendOutcome {
    Stored,
    ReplyLost,
    Lost,
    Delayed,
    Duplicated,
    Refused,
}

#[derive(Debug, Clone, Copy)]
enum Step {
    Replay {
        host: usize,
        count: usize,
    },
    Decide {
        host: usize,
    },
    Advance {
        millis: u64,
    },
    Outcome {
        outcome: AppendOutcome,
    },
    Deliver,
    Restart {
        host: usize,
    },
    Release {
        host: usize,
    },
    ExpireEarly {
        kept: usize,
    },
    /// Hosts whose bit is set read and decide for some rounds. The others are frozen.
    Work {
        awake: usize,
        rounds: usize,
    },
    /// A record of another lease.
    Noise,
}

fn step() -> impl Strategy<Value = Step> {
    let host = 0..HOSTS;
    let outcome = prop_oneof![
        5 => Just(AppendOutcome::Stored),
        1 => Just(AppendOutcome::ReplyLost),
        1 => Just(AppendOutcome::Lost),
        2 => Just(AppendOutcome::Delayed),
        1 => Just(AppendOutcome::Duplicated),
        1 => Just(AppendOutcome::Refused),
    ];
    prop_oneof![
        10 => (host.clone(), 1..5_usize).prop_map(|(host, count)| Step::Replay { host, count }),
        10 => host.clone().prop_map(|host| Step::Decide { host }),
        10 => prop_oneof![10 => 20..2_500_u64, 4 => 2_500..12_000_u64, 1 => 60_000..75_000_u64]
            .prop_map(|millis| Step::Advance { millis }),
        3 => outcome.prop_map(|outcome| Step::Outcome { outcome }),
        3 => Just(Step::Deliver),
        1 => host.clone().prop_map(|host| Step::Restart { host }),
        1 => host.prop_map(|host| Step::Release { host }),
        1 => (0..3_usize).prop_map(|kept| Step::ExpireEarly { kept }),
        4 => (1..1_usize << HOSTS, 1..200_usize)
            .prop_map(|(awake, rounds)| Step::Work { awake, rounds }),
        1 => Just(Step::Noise),
    ]
}

struct ModelHost {
    incarnation: u64,
    table: LeaseTable,
    machine: LeaseMachine,
}

struct Model {
    base: Instant,
    /// True time in milliseconds.
    elapsed: u64,
    log: Vec<String>,
    expired: usize,
    delayed: Vec<String>,
    outcome: AppendOutcome,
    hosts: Vec<ModelHost>,
    records: u64,
    highest: u64,
    judgements: BTreeMap<u64, LeaseJudgement>,
}

fn name() -> LeaseName {
    "reconcile".into()
}

fn new_host(index: usize, incarnation: u64, now: Instant) -> ModelHost {
    let owner = LeaseOwner {
        host: format!("host-{index}").into(),
        incarnation,
    };
    ModelHost {
        incarnation,
        table: LeaseTable::new(MARGIN),
        machine: LeaseMachine::new(name(), owner, TERMS, now),
    }
}

impl Model {
    fn new() -> Self {
        let base = Instant::now();
        Self {
            base,
            elapsed: 0,
            log: Vec::new(),
            expired: 0,
            delayed: Vec::new(),
            outcome: AppendOutcome::Stored,
            hosts: (0..HOSTS).map(|index| new_host(index, 1, base)).collect(),
            records: 0,
            highest: 0,
            judgements: BTreeMap::new(),
        }
    }

    fn now(&self, host: usize) -> Instant {
        self.base + Duration::from_micros(self.elapsed * RATES[host])
    }

    fn run(&mut self, step: Step) {
        match step {
            Step::Replay { host, count } => self.replay(host, count),
            Step::Decide { host } => self.decide(host),
            Step::Advance { millis } => self.advance(millis),
            Step::Outcome { outcome } => self.outcome = outcome,
            Step::Deliver if self.delayed.is_empty() => {}
            Step::Deliver => self.log.push(self.delayed.remove(0)),
            Step::Restart { host } => self.restart(host),
            Step::Release { host } => self.release(host),
            Step::ExpireEarly { kept } => {
                self.expired = self.expired.max(self.log.len().saturating_sub(kept));
            }
            Step::Work { awake, rounds } => self.work(awake, rounds),
            Step::Noise => self.add_noise(),
        }
        self.check_holders();
    }

    fn work(&mut self, awake: usize, rounds: usize) {
        for _ in 0..rounds {
            for host in (0..HOSTS).filter(|host| awake & (1 << host) != 0) {
                self.replay(host, usize::MAX);
                self.decide(host);
                self.replay(host, usize::MAX);
                self.check_holders();
            }
            self.advance(100);
        }
    }

    fn add_noise(&mut self) {
        let record = LogRecord {
            id: "noise".into(),
            rules: JUDGING_RULES,
            writer: "host-9".into(),
            incarnation: 1,
            body: LeaseBody {
                name: "other".into(),
                seen: 0,
                entry: LeaseEntry::Release { fencing: 0 },
            },
        };
        self.log.push(serde_json::to_string(&record).unwrap());
    }

    fn advance(&mut self, millis: u64) {
        let end = self.elapsed + millis;
        while self.elapsed < end {
            self.elapsed = end.min(self.elapsed + CHECK_INTERVAL_MS);
            self.check_holders();
        }
    }

    fn check_holders(&mut self) {
        let acting: Vec<_> = (0..HOSTS)
            .filter_map(|host| {
                let machine = &self.hosts[host].machine;
                let fencing = machine.may_act(self.now(host), Duration::ZERO)?;
                Some((host, fencing))
            })
            .collect();
        assert!(acting.len() <= 1, "two holders may act: {acting:?}");
        let Some(&(host, fencing)) = acting.first() else {
            return;
        };
        if fencing != self.highest {
            assert!(fencing > self.highest, "fencing numbers decreased");
            let record: LogRecord<LeaseBody> =
                serde_json::from_str(&self.log[usize::try_from(fencing).unwrap()]).unwrap();
            assert_eq!(*record.writer, *format!("host-{host}"));
            assert!(
                matches!(record.body.entry, LeaseEntry::Acquire { .. }),
                "{record:?}"
            );
            self.highest = fencing;
        }
    }

    fn restart(&mut self, host: usize) {
        let incarnation = self.hosts[host].incarnation + 1;
        self.hosts[host] = new_host(host, incarnation, self.now(host));
    }

    fn release(&mut self, host: usize) {
        let (id, now) = (self.next_id(), self.now(host));
        let ModelHost { table, machine, .. } = &mut self.hosts[host];
        let record = machine.release(table, id, now);
        assert_eq!(machine.may_act(now, Duration::ZERO), None);
        if let Some(record) = record {
            self.append(host, &record);
        }
        // The host contends again at once, as after a cancelled drain.
        let incarnation = self.hosts[host].incarnation;
        self.hosts[host].machine = new_host(host, incarnation, now).machine;
    }

    fn next_id(&mut self) -> jackdawwick::ids::RecordId {
        self.records += 1;
        format!("record-{}", self.records).into()
    }

    fn decide(&mut self, host: usize) {
        let (id, now) = (self.next_id(), self.now(host));
        let ModelHost { table, machine, .. } = &mut self.hosts[host];
        match machine.decide(table, id, now) {
            LeaseDecision::TryAcquire(record) | LeaseDecision::Renew(record) => {
                self.append(host, &record);
            }
            LeaseDecision::StepDown => assert_eq!(machine.may_act(now, Duration::ZERO), None),
            LeaseDecision::Hold { until } | LeaseDecision::Wait { until } => assert!(until > now),
        }
    }

    fn append(&mut self, host: usize, record: &LogRecord<LeaseBody>) {
        let body = serde_json::to_string(record).unwrap();
        match self.outcome {
            AppendOutcome::Stored | AppendOutcome::ReplyLost => self.log.push(body),
            AppendOutcome::Lost | AppendOutcome::Refused => {}
            AppendOutcome::Delayed => self.delayed.push(body),
            AppendOutcome::Duplicated => {
                self.log.push(body.clone());
                self.delayed.push(body);
            }
        }
        let verdict = match self.outcome {
            AppendOutcome::Stored => return,
            AppendOutcome::Refused => AppendVerdict::NotAppended,
            _ => AppendVerdict::MayBeAppended,
        };
        let machine = &mut self.hosts[host].machine;
        machine.observe_append_failure(&record.id, verdict);
    }

    fn replay(&mut self, host: usize, count: usize) {
        let now = self.now(host);
        let ModelHost { table, machine, .. } = &mut self.hosts[host];
        table.observe_read(u64::try_from(self.expired).unwrap(), now);
        for _ in 0..count {
            let offset = table.next_offset();
            let Some(body) = self.log.get(usize::try_from(offset).unwrap()) else {
                return;
            };
            let JudgedLease { id, judgement } = table.apply_raw(offset, body, now);
            machine.observe_judgement(&id.unwrap(), offset, judgement);
            if judgement != LeaseJudgement::Unclear {
                let first = *self.judgements.entry(offset).or_insert(judgement);
                assert_eq!(first, judgement, "hosts judge offset {offset} differently");
            }
        }
    }

    /// Ends all faults and checks that exactly one host then holds the lease.
    fn heal(&mut self) {
        self.outcome = AppendOutcome::Stored;
        while !self.delayed.is_empty() {
            self.run(Step::Deliver);
        }
        self.work((1 << HOSTS) - 1, 900);
        let holders = (0..HOSTS).filter(|&host| {
            let machine = &self.hosts[host].machine;
            machine.may_act(self.now(host), Duration::ZERO).is_some()
        });
        assert_eq!(
            holders.count(),
            1,
            "the lease does not have exactly one holder"
        );
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(43),
        cases: 600,
        failure_persistence: None,
        max_shrink_iters: 5_000,
        ..ProptestConfig::default()
    })]

    /// Guards against two daemons that each act as the only holder. Holders are frozen,
    /// renewals are lost, late or duplicated, clocks run at different rates, and hosts
    /// restart after part of the log has expired. Possible causes are a lease counted
    /// from the wrong moment, a margin too small, or records that hosts judge differently
    /// because they have read different parts of the log.
    #[test]
    fn at_most_one_holder_may_act(steps in prop::collection::vec(step(), 1..150)) {
        let mut model = Model::new();
        for step in &steps {
            model.run(*step);
        }
        model.heal();
    }
}

/// Guards against a holder that gives an order after it was frozen past the end of its
/// lease. It must check the clock between waking and the order, and the order must not
/// outlast the lease.
#[test]
fn a_holder_that_wakes_after_expiry_may_not_act() {
    let mut model = Model::new();
    model.replay(0, 1);
    model.decide(0);
    model.replay(0, 1);
    let machine = &model.hosts[0].machine;
    let (sent, second) = (model.base, Duration::from_secs(1));
    assert_eq!(machine.may_act(sent + second, 8 * second), Some(0));
    assert_eq!(machine.may_act(sent + second, 9 * second), None);
    assert_eq!(machine.may_act(sent + 10 * second, Duration::ZERO), None);
}

fn acquisition(writer: &str, lease: LeaseName, seen: u64) -> LogRecord<LeaseBody> {
    LogRecord {
        id: format!("{writer}-{seen}").into(),
        rules: JUDGING_RULES,
        writer: writer.into(),
        incarnation: 1,
        body: LeaseBody {
            name: lease,
            seen,
            entry: LeaseEntry::Acquire {
                duration: TERMS.duration,
            },
        },
    }
}

/// Guards against a host that missed records and takes a lease granted to another. The
/// writer of an acquisition had read less than this host missed, so the record may have
/// taken effect. A holder known from before the gap no longer counts.
#[test]
fn unclear_acquisition_is_waited_out() {
    let mut table = LeaseTable::new(MARGIN);
    let start = Instant::now();
    table.observe_read(0, start);
    let old = acquisition("vake-1", name(), 0);
    assert_eq!(table.apply(0, &old, start), LeaseJudgement::Accepted);
    table.observe_read(50, start);
    assert_eq!(table.holder(&name()), None);

    let later = start + Duration::from_secs(3600);
    let unclear = acquisition("didube-1", name(), 49);
    assert_eq!(table.apply(50, &unclear, later), LeaseJudgement::Unclear);
    let expired_at = later + MARGIN.stretch(TERMS.duration);
    assert_eq!(table.free_at(&name()), Some(expired_at));
    let clear = acquisition("vake-1", name(), 51);
    assert_eq!(
        table.apply(51, &clear, expired_at),
        LeaseJudgement::Accepted
    );

    let newer = table.apply_raw(52, "{\"rules\":99}", expired_at);
    assert_eq!(newer.judgement, LeaseJudgement::UnknownRules);
    assert_eq!(table.free_at(&name()), None);
}

/// Guards against a holder that relies on its clock alone. A clock rate outside the
/// margin lets another acquisition be accepted before the lease expires here.
#[test]
fn holder_replaced_in_the_log_steps_down() {
    let mut model = Model::new();
    model.work(1, 1);
    let now = model.now(0);
    assert!(
        model.hosts[0]
            .machine
            .may_act(now, Duration::ZERO)
            .is_some()
    );
    let replacement = acquisition("didube-1", name(), 1);
    model.log.push(serde_json::to_string(&replacement).unwrap());
    model.replay(0, 1);
    model.decide(0);
    assert_eq!(model.hosts[0].machine.may_act(now, Duration::ZERO), None);
}
