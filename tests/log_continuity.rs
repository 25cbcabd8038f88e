//! Which targets that the log no longer lists may be alive, and for how long they are kept.

use std::time::{Duration, Instant};

use jackdawwick::entry::{LogContinuity, LogGap, SuspectTargets};
use jackdawwick::ids::{LogPosition, ZoneId};
use jackdawwick::peer::LogAges;

const EXPIRY: Duration = Duration::from_millis(2400);
/// Time within which expired entries return once the log is back.
const RETURN_TIME: Duration = Duration::from_secs(2);
/// Time after which a host that is back counts as healthy: targets that left must get no
/// requests from then on.
const RECOVERY_TIME: Duration = Duration::from_secs(3);

/// A host's own reads and the reports of other hosts, on one clock.
struct Scenario {
    start: Instant,
    continuity: LogContinuity,
}

impl Scenario {
    /// Creates a host that has read the log for ten seconds.
    fn with_reader() -> Self {
        let mut continuity = LogContinuity::default();
        continuity.set_expiry(EXPIRY);
        let start = Instant::now() + Duration::from_secs(60);
        let mut scenario = Self { start, continuity };
        scenario.read_from_to(0, 10_000);
        scenario
    }

    fn at(&self, ms: u64) -> Instant {
        self.start + Duration::from_millis(ms)
    }

    fn read_from_to(&mut self, from: u64, to: u64) {
        for ms in (from..=to).step_by(600) {
            assert_eq!(self.continuity.observe_read(self.at(ms), false), None);
        }
    }

    /// Records the first read after failed ones, and returns the gap that it ends.
    fn read_again(&mut self, at: u64) -> LogGap {
        let gap = self.continuity.observe_read(self.at(at), true);
        gap.expect("a gap")
    }

    /// Records a report at `now` by a host of a zone that read the log from `since` to
    /// `read`.
    fn receive_report(&mut self, zone: &str, since: u64, read: u64, now: u64) {
        let ages = LogAges {
            since: Duration::from_millis(now - since),
            read: Duration::from_millis(now - read),
        };
        let now = self.at(now);
        self.continuity.observe_ages(&zone.into(), ages, now);
    }
}

fn position(offset: u64) -> LogPosition {
    LogPosition { era: 0, offset }
}

fn zone(name: &str) -> ZoneId {
    name.into()
}

/// Guards against a request to a target 3.3 s after the log acknowledged that it is
/// leaving, and against a zone that serves nothing for a second after it was cut off: the
/// reads in a target's own zone decide whether it could write during the cut.
#[test]
fn reads_in_the_targets_zone_rule_out_expiry() {
    let mut scenario = Scenario::with_reader();
    let gap = scenario.read_again(16_000);
    let mut suspects = SuspectTargets::default();
    suspects.suspect("left", zone("far"), position(7), gap);
    suspects.suspect("cut", zone("own"), position(8), gap);
    assert!(suspects.take_confirmed(&scenario.continuity).is_empty());
    scenario.receive_report("far", 0, 15_900, 16_400);
    let removals = suspects.take_confirmed(&scenario.continuity);
    assert_eq!(removals.len(), 1);
    assert_eq!(
        (&*removals[0].id, removals[0].position),
        ("left", position(7))
    );
    assert!(suspects.gap("cut").is_some());
    // A neighbour that was cut off as well proves nothing.
    scenario.receive_report("own", 16_100, 16_300, 16_400);
    assert!(suspects.take_confirmed(&scenario.continuity).is_empty());
}

/// A host that was cut off alone learns from its neighbours that its own zone had the log.
#[test]
fn neighbour_without_a_gap_ends_a_suspicion() {
    let mut scenario = Scenario::with_reader();
    scenario.receive_report("own", 0, 9_900, 10_000);
    let gap = scenario.read_again(16_000);
    // A report from before the cut shows nothing about it.
    assert!(!scenario.continuity.had_log("own", gap));
    scenario.receive_report("own", 0, 15_800, 16_100);
    assert!(scenario.continuity.had_log("own", gap));
}

/// Guards against requests to targets that left, up to 3.7 s after the log is back: a
/// suspicion must last no longer than entries need to return, and must not wait for the
/// next read.
#[test]
fn suspicion_ends_between_the_return_of_entries_and_the_hosts_recovery() {
    let mut scenario = Scenario::with_reader();
    let gap = scenario.read_again(16_000);
    let mut suspects = SuspectTargets::default();
    suspects.suspect("a", zone("own"), position(7), gap);
    let due = suspects
        .next_due(&scenario.continuity)
        .expect("a suspicion");
    assert!(due > gap.until + RETURN_TIME);
    assert!(due + Duration::from_millis(600) < gap.until + RECOVERY_TIME);
    scenario.read_from_to(16_600, 17_800);
    scenario.read_from_to(18_199, 18_199);
    assert!(suspects.take_due(&scenario.continuity).is_empty());
    assert_eq!(scenario.continuity.observe_read(due, false), None);
    assert_eq!(suspects.take_due(&scenario.continuity).len(), 1);
    assert_eq!(suspects.next_due(&scenario.continuity), None);
}

/// Guards against dropping live targets whose return a loss shorter than a heartbeat delayed.
#[test]
fn short_loss_while_targets_are_suspect_restarts_the_suspicion_once() {
    let mut scenario = Scenario::with_reader();
    let gap = scenario.read_again(16_000);
    let mut suspects = SuspectTargets::default();
    suspects.suspect("a", zone("own"), position(7), gap);
    scenario.read_from_to(16_600, 16_600);
    let failed = scenario.at(17_000);
    scenario.continuity.observe_failed_read(failed);
    // A read of another host from before the loss arrives after it.
    let relayed = scenario.at(16_900);
    scenario.continuity.observe_relayed_read(relayed);
    let again = scenario.at(17_100);
    scenario.continuity.observe_read(again, true);
    let due = suspects.next_due(&scenario.continuity);
    assert!(due.is_some_and(|due| due > again + RETURN_TIME && due < again + RECOVERY_TIME));
    let later = scenario.at(17_700);
    scenario.continuity.observe_read(later, false);
    assert_eq!(suspects.next_due(&scenario.continuity), due);
}

/// Guards against dropping live targets with all their requests: the log is lost, back for
/// a second and lost again, and the time for entries to return must not run while no target
/// can write.
#[test]
fn second_outage_restarts_the_suspicion() {
    let mut scenario = Scenario::with_reader();
    let first = scenario.read_again(16_000);
    let mut suspects = SuspectTargets::default();
    suspects.suspect("a", zone("own"), position(7), first);
    // Without the log no suspicion ends.
    assert!(suspects.take_due(&scenario.continuity).is_empty());
    let second = scenario.read_again(20_000);
    suspects.extend(second);
    assert!(suspects.take_due(&scenario.continuity).is_empty());
    assert!(
        suspects
            .next_due(&scenario.continuity)
            .is_some_and(|due| due > second.until + RETURN_TIME)
    );
    // Hosts that had the log only through the first outage prove nothing.
    scenario.receive_report("own", 0, 17_000, 20_100);
    assert!(suspects.take_confirmed(&scenario.continuity).is_empty());
}

/// Two hosts of a zone that read in turns had the log together; a pause in which entries
/// can expire stays a gap, whichever hosts report the times before and after it.
#[test]
fn reports_of_a_zone_merge_unless_entries_can_expire_in_between() {
    let mut scenario = Scenario::with_reader();
    let gap = scenario.read_again(16_000);
    scenario.receive_report("far", 0, 12_000, 16_100);
    scenario.receive_report("far", 13_000, 15_900, 16_100);
    assert!(scenario.continuity.had_log("far", gap));
    scenario.receive_report("third", 0, 12_000, 16_100);
    scenario.receive_report("third", 14_500, 15_900, 16_100);
    assert!(!scenario.continuity.had_log("third", gap));
}

/// A pause of a process is no gap, but its host cannot report that it had the log
/// meanwhile.
#[test]
fn suspended_host_has_no_gap_and_starts_a_new_span() {
    let mut scenario = Scenario::with_reader();
    let resumed = scenario.at(16_000);
    assert_eq!(scenario.continuity.observe_read(resumed, false), None);
    let ages = scenario
        .continuity
        .ages(resumed + Duration::from_millis(100));
    assert_eq!(
        ages.map(|ages| ages.since),
        Some(Duration::from_millis(100))
    );
}
