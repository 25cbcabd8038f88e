//! Compares the claim table with a naive one, and simulates several claimants on a faulty
//! log.

#![allow(clippy::unwrap_used)] // A test may panic on a missing value.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use jackdawwick::claims::machine::{
    ClaimDecision, ClaimEvent, ClaimMachine, ClaimPolicy, ClaimRequest,
};
use jackdawwick::claims::record::{
    ClaimBody, ClaimDetails, ClaimEntry, ClaimName, ClaimOutcome, ClaimOwner, ClaimRef,
    RequestFingerprint, StoredResponse, TimeMark,
};
use jackdawwick::claims::response::ClaimResponse;
use jackdawwick::claims::table::{ClaimJudgement, ClaimTable, JudgedClaim, KeyState};
use jackdawwick::claims::window::{ClaimTime, ClaimWindow};
use jackdawwick::ids::RecordId;
use jackdawwick::platform::error::AppendVerdict;
use jackdawwick::records::{JUDGING_RULES, LogRecord};
use jackdawwick::verdict::RunVerdict;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const SECOND: Duration = Duration::from_secs(1);
const WINDOW: Duration = Duration::from_secs(100);
const SKEW: Duration = Duration::from_secs(2);
const HORIZON: Duration = Duration::from_secs(160);
const CLAIM_TIMEOUT: Duration = Duration::from_secs(5);

fn config(seed: u64, cases: u32) -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(seed),
        cases,
        failure_persistence: None,
        max_shrink_iters: 20_000,
        ..ProptestConfig::default()
    }
}

fn window() -> ClaimWindow {
    ClaimWindow::new(WINDOW, SKEW, HORIZON).unwrap()
}

fn start_time() -> SystemTime {
    UNIX_EPOCH + Duration::from_secs(1_800_000_000)
}

fn name(key: usize) -> ClaimName {
    ClaimName {
        organisation: "franchise".into(),
        key: format!("key-{key}").into(),
    }
}

fn fingerprint(variant: usize) -> RequestFingerprint {
    RequestFingerprint::of("ledger", &[u8::try_from(variant).unwrap()])
}

fn outcome(verdict: RunVerdict) -> ClaimOutcome {
    let answer = StoredResponse::of(b"done");
    ClaimOutcome {
        verdict,
        status: 200,
        answer,
    }
}

// ---- Comparison: the table against a list that is scanned. ----

#[derive(Debug, Clone)]
enum Entry {
    Claim {
        claim: usize,
        key: usize,
        variant: usize,
    },
    Withdraw {
        claim: usize,
        writer: usize,
    },
    Outcome {
        claim: usize,
        writer: usize,
    },
}

fn entry() -> impl Strategy<Value = Entry> {
    prop_oneof![
        4 => (0..12_usize, 0..3_usize, 0..8_usize)
            .prop_map(|(claim, key, variant)| Entry::Claim { claim, key, variant: variant / 7 }),
        2 => (0..12_usize, 0..4_usize)
            .prop_map(|(claim, writer)| Entry::Withdraw { claim, writer }),
        1 => (0..12_usize, 0..4_usize)
            .prop_map(|(claim, writer)| Entry::Outcome { claim, writer }),
    ]
}

/// A claim has a fixed writer; withdrawals and outcomes may name any writer.
fn writer_of(claim: usize) -> usize {
    claim % 4
}

struct NaiveClaim {
    claim: usize,
    key: usize,
    variant: usize,
    holds: bool,
    ended: bool,
}

#[derive(Default)]
struct NaiveTable {
    claims: Vec<NaiveClaim>,
    withdrawn: Vec<usize>,
}

impl NaiveTable {
    fn holder(&self, key: usize) -> Option<&NaiveClaim> {
        self.claims
            .iter()
            .find(|held| held.key == key && held.holds)
    }

    /// Returns whether a claim holds its key now; `false` for other records.
    fn apply(&mut self, entry: &Entry) -> bool {
        match *entry {
            Entry::Claim {
                claim,
                key,
                variant,
            } => {
                let known = self.claims.iter().any(|seen| seen.claim == claim);
                if known || self.withdrawn.contains(&claim) {
                    return false;
                }
                let holds = self.holder(key).is_none();
                let ended = false;
                self.claims.push(NaiveClaim {
                    claim,
                    key,
                    variant,
                    holds,
                    ended,
                });
                holds
            }
            Entry::Withdraw { claim, writer } => {
                let seen = self.claims.iter_mut().find(|seen| seen.claim == claim);
                match seen {
                    Some(seen) if writer == writer_of(claim) && !seen.ended => seen.holds = false,
                    Some(_) => {}
                    None => self.withdrawn.push(claim),
                }
                false
            }
            Entry::Outcome { claim, writer } => {
                for seen in &mut self.claims {
                    seen.ended |= seen.claim == claim && seen.holds && writer == writer_of(claim);
                }
                false
            }
        }
    }
}

fn table_record(entry: &Entry) -> LogRecord<ClaimBody> {
    let created = start_time();
    let claim_id = |claim: usize| RecordId::from(format!("claim-{claim}"));
    let reference = |claim| ClaimRef {
        claim: claim_id(claim),
        created,
    };
    let (id, writer, entry) = match *entry {
        Entry::Claim {
            claim,
            key,
            variant,
        } => {
            let details = ClaimDetails {
                name: name(key),
                request: "r".into(),
                fingerprint: fingerprint(variant),
                created,
            };
            (
                claim_id(claim),
                writer_of(claim),
                ClaimEntry::Claim(details),
            )
        }
        Entry::Withdraw { claim, writer } => {
            ("w".into(), writer, ClaimEntry::Withdraw(reference(claim)))
        }
        Entry::Outcome { claim, writer } => {
            let outcome = outcome(RunVerdict::Ran);
            let claim = reference(claim);
            ("o".into(), writer, ClaimEntry::Outcome { claim, outcome })
        }
    };
    LogRecord {
        id,
        rules: JUDGING_RULES,
        writer: format!("host-{writer}").into(),
        incarnation: 1,
        body: ClaimBody {
            mark: TimeMark {
                seen: 0,
                written: created,
            },
            entry,
        },
    }
}

proptest! {
    #![proptest_config(config(41, 2000))]

    #[test]
    fn table_agrees_with_naive_table(entries in prop::collection::vec(entry(), 1..40)) {
        let mut table = ClaimTable::new(window());
        let mut naive = NaiveTable::default();
        for (offset, entry) in (0..).zip(&entries) {
            let judgement = table.apply(offset, &table_record(entry));
            let holds = naive.apply(entry);
            prop_assert_eq!(judgement == ClaimJudgement::Won, holds, "{:?}", entry);
            for key in 0..3 {
                let expected = naive.holder(key).map(|held| (held.variant, held.ended));
                let found = match table.look_up(&name(key), &fingerprint(0)) {
                    KeyState::Free => None,
                    KeyState::Mismatched => {
                        let ended = table.look_up(&name(key), &fingerprint(1));
                        Some((1, matches!(ended, KeyState::Ended(_))))
                    }
                    KeyState::Held(_) => Some((0, false)),
                    KeyState::Ended(_) => Some((0, true)),
                };
                prop_assert_eq!(found, expected, "key {} after {:?}", key, entry);
            }
        }
    }
}

// ---- Simulation: claimants on a log that loses responses and delays or drops records. ----

#[derive(Debug, Clone, Copy)]
enum AppendOutcome {
    Stored,
    ResponseLost,
    Dropped,
    /// The response is lost; the record is stored by a later [`Step::StoreDelayed`].
    Delayed,
    /// The record is stored at once and once more later.
    Duplicated,
    Refused,
}

#[derive(Debug, Clone)]
enum Step {
    Request {
        host: usize,
        key: usize,
        variant: usize,
    },
    Replay {
        host: usize,
        count: usize,
    },
    Tick {
        host: usize,
    },
    /// Executes one dispatch that may have been decided long ago.
    Dispatch {
        host: usize,
    },
    Finish {
        host: usize,
        verdict: RunVerdict,
    },
    Advance {
        seconds: u64,
    },
    StoreDelayed,
    Restart {
        host: usize,
    },
    SetAppendOutcome {
        append_outcome: AppendOutcome,
    },
    /// The log drops all but the last records, long before its horizon.
    ExpireEarly {
        kept: usize,
    },
}

const HOST_COUNT: usize = 3;
const KEY_COUNT: usize = 3;

fn step() -> impl Strategy<Value = Step> {
    let host = 0..HOST_COUNT;
    let verdict = prop_oneof![
        Just(RunVerdict::Ran),
        Just(RunVerdict::MayHaveRun),
        Just(RunVerdict::NotRun)
    ];
    let append_outcome = prop_oneof![
        4 => Just(AppendOutcome::Stored),
        2 => Just(AppendOutcome::ResponseLost),
        1 => Just(AppendOutcome::Dropped),
        2 => Just(AppendOutcome::Delayed),
        1 => Just(AppendOutcome::Duplicated),
        1 => Just(AppendOutcome::Refused),
    ];
    prop_oneof![
        6 => (host.clone(), 0..KEY_COUNT, 0..10_usize)
            .prop_map(|(host, key, variant)| Step::Request { host, key, variant: variant / 9 }),
        8 => (host.clone(), 1..6_usize).prop_map(|(host, count)| Step::Replay { host, count }),
        4 => host.clone().prop_map(|host| Step::Tick { host }),
        6 => host.clone().prop_map(|host| Step::Dispatch { host }),
        3 => (host.clone(), verdict).prop_map(|(host, verdict)| Step::Finish { host, verdict }),
        4 => prop_oneof![6 => 1..4_u64, 2 => 4..8_u64, 1 => 80..170_u64]
            .prop_map(|seconds| Step::Advance { seconds }),
        3 => Just(Step::StoreDelayed),
        1 => host.prop_map(|host| Step::Restart { host }),
        5 => append_outcome.prop_map(|append_outcome| Step::SetAppendOutcome { append_outcome }),
        1 => (0..3_usize).prop_map(|kept| Step::ExpireEarly { kept }),
    ]
}

struct StoredRecord {
    body: String,
    appended: Duration,
}

struct ModelHost {
    incarnation: u64,
    skew: Duration,
    table: ClaimTable,
    machines: BTreeMap<RecordId, ModelClaim>,
}

struct ModelClaim {
    machine: ClaimMachine,
    key: usize,
    to_dispatch: bool,
    deadline: Instant,
}

struct Model {
    started: Instant,
    elapsed: Duration,
    log: Vec<StoredRecord>,
    delayed: Vec<String>,
    append_outcome: AppendOutcome,
    hosts: Vec<ModelHost>,
    requests: usize,
    /// Creation time of each key, set at its first use.
    keys: BTreeMap<usize, SystemTime>,
    /// The claim of each key whose request may have run.
    dispatched: BTreeMap<usize, RecordId>,
    reported_not_run: BTreeSet<RecordId>,
    responded: BTreeSet<RecordId>,
    /// Keys with a claim whose writer has restarted.
    orphaned: BTreeSet<usize>,
    wins: usize,
    /// Records below this offset were dropped early.
    expired: usize,
    expired_early: bool,
}

impl Model {
    fn new() -> Self {
        let host = |index: usize| ModelHost {
            incarnation: 1,
            skew: SKEW * u32::try_from(index).unwrap() / 2,
            table: ClaimTable::new(window()),
            machines: BTreeMap::new(),
        };
        Self {
            started: Instant::now(),
            elapsed: Duration::ZERO,
            log: Vec::new(),
            delayed: Vec::new(),
            append_outcome: AppendOutcome::Stored,
            hosts: (0..HOST_COUNT).map(host).collect(),
            requests: 0,
            keys: BTreeMap::new(),
            dispatched: BTreeMap::new(),
            reported_not_run: BTreeSet::new(),
            responded: BTreeSet::new(),
            orphaned: BTreeSet::new(),
            wins: 0,
            expired: 0,
            expired_early: false,
        }
    }

    fn now(&self, host: usize) -> ClaimTime {
        ClaimTime {
            instant: self.started + self.elapsed,
            wall: start_time() + self.elapsed + self.hosts[host].skew,
        }
    }

    fn run(&mut self, step: &Step) {
        match *step {
            Step::Request { host, key, variant } => self.request(host, key, variant),
            Step::Replay { host, count } => self.replay(host, count),
            Step::Tick { host } => self.tick(host),
            Step::Dispatch { host } => self.dispatch(host),
            Step::Finish { host, verdict } => self.finish(host, verdict),
            Step::Advance { seconds } => self.elapsed += SECOND * u32::try_from(seconds).unwrap(),
            Step::StoreDelayed if self.delayed.is_empty() => {}
            Step::StoreDelayed => {
                let body = self.delayed.remove(0);
                self.store(body);
            }
            Step::Restart { host } => self.restart(host),
            Step::SetAppendOutcome { append_outcome } => self.append_outcome = append_outcome,
            Step::ExpireEarly { kept } => {
                self.expired = self.expired.max(self.log.len().saturating_sub(kept));
                self.expired_early = true;
            }
        }
    }

    fn request(&mut self, host: usize, key: usize, variant: usize) {
        let now = self.now(host);
        self.requests += 1;
        let created = *self.keys.entry(key).or_insert(now.wall);
        let incarnation = self.hosts[host].incarnation;
        let request = ClaimRequest {
            claim: format!("{host}/{incarnation}/{}", self.requests).into(),
            name: name(key),
            created,
            request: "r".into(),
            fingerprint: fingerprint(variant),
            deadline: now.instant + CLAIM_TIMEOUT,
        };
        let owner = ClaimOwner {
            host: format!("host-{host}").into(),
            incarnation,
        };
        let policy = ClaimPolicy {
            retry_after: SECOND,
            query_timeout: SECOND,
            settle_delay: SECOND,
        };
        let (claim, deadline) = (request.claim.clone(), request.deadline);
        let machine = ClaimMachine::new(request, owner, policy);
        let to_dispatch = false;
        let entry = ModelClaim {
            machine,
            key,
            to_dispatch,
            deadline,
        };
        self.hosts[host].machines.insert(claim.clone(), entry);
        self.event(
            host,
            &claim,
            ClaimEvent::Begin {
                log_available: true,
            },
        );
    }

    fn event(&mut self, host: usize, claim: &RecordId, event: ClaimEvent) {
        let now = self.now(host);
        let ModelHost {
            table, machines, ..
        } = &mut self.hosts[host];
        let Some(entry) = machines.get_mut(claim) else {
            return;
        };
        let decisions = entry.machine.handle(event, table, now);
        self.execute(host, claim, decisions);
    }

    fn execute(&mut self, host: usize, claim: &RecordId, decisions: Vec<ClaimDecision>) {
        for decision in decisions {
            match decision {
                ClaimDecision::Append(record) => {
                    let body = serde_json::to_string(&record).unwrap();
                    if let Some(verdict) = self.append(body) {
                        self.event(host, claim, ClaimEvent::AppendFailed(verdict));
                    }
                }
                ClaimDecision::Dispatch => {
                    self.hosts[host]
                        .machines
                        .get_mut(claim)
                        .unwrap()
                        .to_dispatch = true;
                }
                ClaimDecision::QueryHolder(_) => {
                    self.event(host, claim, ClaimEvent::HolderUnavailable);
                }
                ClaimDecision::Respond(response) => self.on_response(host, claim, &response),
            }
        }
    }

    fn on_response(&mut self, host: usize, claim: &RecordId, response: &ClaimResponse) {
        assert!(
            self.responded.insert(claim.clone()),
            "{claim} got two responses"
        );
        let entry = &self.hosts[host].machines[claim];
        assert!(
            !entry.machine.is_dispatched(),
            "{claim} got a response after its dispatch"
        );
        match response {
            ClaimResponse::Known(outcome) => {
                assert_ne!(outcome.verdict, RunVerdict::NotRun);
                assert!(
                    self.dispatched.contains_key(&entry.key),
                    "{claim} got an outcome, but nothing ran"
                );
            }
            response if response.verdict() == RunVerdict::NotRun => {
                self.reported_not_run.insert(claim.clone());
            }
            _ => {}
        }
    }

    fn append(&mut self, body: String) -> Option<AppendVerdict> {
        match self.append_outcome {
            AppendOutcome::Stored => self.store(body),
            AppendOutcome::Refused => return Some(AppendVerdict::NotAppended),
            AppendOutcome::ResponseLost => self.store(body),
            AppendOutcome::Delayed => self.delayed.push(body),
            AppendOutcome::Duplicated => {
                self.delayed.push(body.clone());
                self.store(body);
            }
            AppendOutcome::Dropped => {}
        }
        let responded = matches!(self.append_outcome, AppendOutcome::Stored);
        (!responded).then_some(AppendVerdict::MayBeAppended)
    }

    fn store(&mut self, body: String) {
        let appended = self.elapsed;
        self.log.push(StoredRecord { body, appended });
    }

    fn first_offset(&self) -> usize {
        let kept = |stored: &StoredRecord| stored.appended + HORIZON >= self.elapsed;
        let first = self.log.iter().position(kept).unwrap_or(self.log.len());
        first.max(self.expired)
    }

    fn replay(&mut self, host: usize, count: usize) {
        let now = self.now(host);
        let first_offset = self.first_offset();
        let table = &mut self.hosts[host].table;
        table.observe_read(u64::try_from(first_offset).unwrap(), now.wall);
        table.prune(now.wall);
        for _ in 0..count {
            let table = &mut self.hosts[host].table;
            let offset = table.next_offset();
            let Some(stored) = self.log.get(usize::try_from(offset).unwrap()) else {
                return;
            };
            let JudgedClaim { id, judgement } = table.apply_raw(offset, &stored.body);
            let id = id.unwrap();
            match id.strip_suffix("/settled") {
                Some(claim) => self.event(host, &claim.into(), ClaimEvent::SettlementReplayed),
                None => self.event(host, &id, ClaimEvent::ClaimReplayed(judgement)),
            }
        }
    }

    fn tick(&mut self, host: usize) {
        let claims: Vec<_> = self.hosts[host].machines.keys().cloned().collect();
        for claim in claims {
            self.event(host, &claim, ClaimEvent::Tick);
        }
    }

    fn dispatch(&mut self, host: usize) {
        let now = self.now(host);
        let ModelHost {
            table, machines, ..
        } = &mut self.hosts[host];
        let waiting = machines.iter_mut().find(|(_, entry)| entry.to_dispatch);
        let Some((claim, entry)) = waiting else {
            return;
        };
        let (claim, key) = (claim.clone(), entry.key);
        let deadline = entry.deadline;
        entry.to_dispatch = false;
        match entry.machine.authorise(table, now) {
            Ok(permit) => {
                assert_eq!(*permit.claim(), claim);
                assert!(now.instant < deadline, "{claim} dispatched too late");
                assert!(
                    !self.reported_not_run.contains(&claim),
                    "{claim} ran after it was reported as not run"
                );
                let previous = self.dispatched.insert(key, claim.clone());
                assert_eq!(previous, None, "key {key} dispatched again, by {claim}");
                self.wins += 1;
            }
            Err(decisions) => self.execute(host, &claim, decisions),
        }
    }

    fn finish(&mut self, host: usize, verdict: RunVerdict) {
        let mut machines = self.hosts[host].machines.iter();
        let running = machines.find(|(_, entry)| entry.machine.is_dispatched());
        let Some((claim, entry)) = running else {
            return;
        };
        let (claim, key) = (claim.clone(), entry.key);
        if verdict == RunVerdict::NotRun {
            self.dispatched.remove(&key);
        }
        self.event(host, &claim, ClaimEvent::Finished(outcome(verdict)));
    }

    fn restart(&mut self, host: usize) {
        let host = &mut self.hosts[host];
        let lost = host
            .machines
            .values()
            .filter(|entry| !entry.machine.is_done());
        self.orphaned.extend(lost.map(|entry| entry.key));
        host.incarnation += 1;
        host.machines.clear();
        host.table = ClaimTable::new(window());
    }

    /// Ends the faults of the log and runs until no claim makes progress.
    fn recover(&mut self) {
        self.append_outcome = AppendOutcome::Stored;
        while !self.delayed.is_empty() {
            self.run(&Step::StoreDelayed);
        }
        for _ in 0..8 {
            for host in 0..HOST_COUNT {
                self.replay(host, usize::MAX);
                self.finish(host, RunVerdict::Ran);
                self.tick(host);
            }
            self.elapsed += CLAIM_TIMEOUT;
        }
        for host in 0..HOST_COUNT {
            for _ in 0..self.requests {
                self.dispatch(host);
            }
        }
    }

    /// Checks that keys can be claimed again if no request was dispatched under them.
    fn check_keys_free(&mut self) {
        for key in 0..KEY_COUNT {
            self.requests += 1;
            let now = self.now(0);
            let blocked = self.expired_early
                || self.dispatched.contains_key(&key)
                || self.orphaned.contains(&key);
            let created = self.keys.get(&key).copied().unwrap_or(now.wall);
            let admitted = self.hosts[0].table.admit(created, now.wall).is_ok();
            if blocked || !admitted {
                continue;
            }
            let wins = self.wins;
            self.request(0, key, 0);
            self.replay(0, usize::MAX);
            self.dispatch(0);
            assert_eq!(
                self.wins,
                wins + 1,
                "key {key} is blocked by a claim without an owner"
            );
        }
    }
}

proptest! {
    #![proptest_config(config(42, 2000))]

    /// Guards against a request that runs twice, or runs after it was reported as not run.
    /// One key arrives at several hosts, under lost, late and duplicated appends, outages,
    /// claimants suspended between claim and dispatch, restarts, expired records, and keys
    /// that return after their window.
    #[test]
    fn claimants_dispatch_at_most_once(steps in prop::collection::vec(step(), 1..120)) {
        let mut model = Model::new();
        for step in &steps {
            model.run(step);
        }
        model.recover();
        for host in &model.hosts {
            for (claim, entry) in &host.machines {
                prop_assert!(entry.machine.is_done(), "{} is never done", claim);
            }
        }
        model.check_keys_free();
    }
}
