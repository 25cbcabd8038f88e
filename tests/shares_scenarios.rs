//! Single failures of the division of bought capacity, told one by one.

mod shares_support;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use jackdawwick::ids::ZoneId;
use jackdawwick::shares::{
    AllotmentBody, AllotmentLedger, AllotmentOutcome, GrantHolder, GrantSettings, ReleaseRecord,
    ShareUnits, SplitRecord, even_split,
};

use shares_support::{
    BOUGHT, HOSTS, HOSTS_PER_ZONE, ORGANISATION, ShareModel, ZONES, organisation, zones,
};

/// Symptom: a busy host waits for long while its neighbours are idle.
/// Events: all demand moves from one host to another.
/// Cause: units move only when something else happens.
#[test]
fn units_follow_demand_within_four_reports() {
    let mut model = ShareModel::new();
    model.settle();
    let share = model
        .reference
        .usable(ORGANISATION, ZONES[0])
        .concurrent_requests;
    for busy in [1, 2, 0, 1] {
        for index in 0..HOSTS_PER_ZONE {
            model.hosts[index].waiting = if index == busy { 100 } else { 0 };
        }
        let mut rounds = 0;
        while model.hosts[busy]
            .shares
            .limit(ORGANISATION, model.now)
            .concurrent_requests
            < share
        {
            rounds += 1;
            assert!(rounds <= 4, "host {busy} still waits");
            model.now += Duration::from_millis(500);
            model.round(0);
        }
    }
}

/// Symptom: a zone that is cut off stops serving.
/// Events: no log, no holder and no peer for an hour.
/// Cause: grants that end by themselves.
#[test]
fn partitioned_host_keeps_its_grant() {
    let mut model = ShareModel::new();
    model.settle();
    let before = model.used();
    for _ in 0..3600 {
        model.now += Duration::from_secs(1);
        for index in 0..HOSTS {
            model.tick(index);
        }
    }
    assert_eq!(model.used(), before);
}

/// Symptom: the zone's bought capacity is exceeded after a freeze.
/// Events: a host is frozen, counted as gone, its units are given to others,
/// then it wakes up, cut off from all.
/// Cause: a woken process trusts grants from before its sleep.
#[test]
fn resumed_host_uses_nothing_until_the_lease_holder_replies() {
    let mut model = ShareModel::new();
    model.settle();
    let frozen = 1;
    let share = model.hosts[frozen].shares.limit(ORGANISATION, model.now);
    assert_ne!(share, ShareUnits::NONE);
    let holder = model.hosts[frozen].holder.clone();
    model.hosts[0].shares.observe_removed(&holder, model.now);
    model.now += GrantSettings::default().removal_margin;
    assert_eq!(
        model.hosts[frozen].shares.limit(ORGANISATION, model.now),
        ShareUnits::NONE
    );
    model.tick(frozen);
    assert_eq!(
        model.hosts[frozen].shares.limit(ORGANISATION, model.now),
        ShareUnits::NONE
    );
    model.settle();
    assert_ne!(
        model.hosts[frozen].shares.limit(ORGANISATION, model.now),
        ShareUnits::NONE
    );
}

/// Symptom: a draining host keeps capacity that others need.
/// Events: a host hands back its grants while requests still run.
/// Cause: grants given again to a host that takes nothing new.
#[test]
fn draining_host_returns_unused_units() {
    let mut model = ShareModel::new();
    model.settle();
    model.hosts[0].in_flight = 1;
    model.hosts[0].shares.hand_back();
    model.settle();
    assert_eq!(
        model.hosts[0].shares.limit(ORGANISATION, model.now),
        ShareUnits::NONE
    );
    let share = model
        .reference
        .usable(ORGANISATION, ZONES[0])
        .concurrent_requests;
    let others: ShareUnits = model.hosts[1..HOSTS_PER_ZONE]
        .iter()
        .map(|host| host.shares.limit(ORGANISATION, model.now))
        .sum();
    assert_eq!(others.concurrent_requests, share - 1);
}

fn holder(name: &str) -> GrantHolder {
    GrantHolder {
        host: Arc::from(name),
        incarnation: 1,
    }
}

/// Symptom: two readers of the stream disagree on a zone's share.
/// Events: one starts from a checkpoint, one from the first record; late
/// records of an earlier holder and of a writer that lost a race follow.
/// Cause: state that is not in the stream, or records judged by arrival.
#[test]
fn reader_from_a_checkpoint_derives_the_same_ledger() {
    let split = |based_on, first_units: u32| {
        let first_units = ShareUnits::new(first_units, first_units);
        AllotmentBody::Split(SplitRecord {
            organisation: organisation(),
            version: 3,
            based_on,
            bought: BOUGHT,
            assumed: even_split(BOUGHT, &zones()),
            shares: BTreeMap::from([
                (ZoneId::from(ZONES[0]), first_units),
                (ZoneId::from(ZONES[1]), BOUGHT - first_units),
            ]),
        })
    };
    let opened = |lease| AllotmentBody::Opened {
        zone: ZONES[1].into(),
        lease,
        holder: holder("didube-3"),
    };
    let released = |lease, split| AllotmentBody::Released {
        zone: ZONES[1].into(),
        lease,
        release: ReleaseRecord {
            organisation: organisation(),
            split,
            held: ShareUnits::NONE,
        },
    };
    let before = [split(None, 6), opened(5), split(Some(0), 8)];
    let after = [
        (released(4, 2), AllotmentOutcome::Superseded),
        (split(Some(0), 12), AllotmentOutcome::Superseded),
        (split(Some(2), 13), AllotmentOutcome::Exceeds),
        (released(5, 2), AllotmentOutcome::Accepted),
        (opened(4), AllotmentOutcome::Superseded),
    ];
    let mut from_start = AllotmentLedger::default();
    for (offset, body) in (0..).zip(&before) {
        assert_eq!(from_start.apply(offset, body), AllotmentOutcome::Accepted);
    }
    assert_eq!(
        from_start
            .usable(ORGANISATION, ZONES[0])
            .concurrent_requests,
        6
    );
    let text = serde_json::to_string(&from_start.checkpoint()).expect("text");
    let checkpoint: AllotmentBody = serde_json::from_str(&text).expect("a record");
    assert_eq!(
        from_start.apply(3, &checkpoint),
        AllotmentOutcome::AlreadyApplied
    );

    let mut from_checkpoint = AllotmentLedger::default();
    assert_eq!(from_checkpoint.apply(4, &after[0].0), AllotmentOutcome::Gap);
    assert_eq!(
        from_checkpoint.apply(3, &checkpoint),
        AllotmentOutcome::Accepted
    );
    assert_eq!(
        from_checkpoint.apply(3, &checkpoint),
        AllotmentOutcome::AlreadyApplied
    );
    for (offset, (body, outcome)) in (4..).zip(&after) {
        assert_eq!(from_start.apply(offset, body), *outcome);
        assert_eq!(from_checkpoint.apply(offset, body), *outcome);
        assert_eq!(from_start, from_checkpoint);
    }
    assert_eq!(
        from_start
            .usable(ORGANISATION, ZONES[0])
            .concurrent_requests,
        8
    );
}

/// Half a second passes on all hosts. What `online` ones append takes effect,
/// what the others append is lost.
fn advance(model: &mut ShareModel, online: &[usize]) {
    model.now += Duration::from_millis(500);
    for index in 0..HOSTS {
        model.tick(index);
        for body in std::mem::take(&mut model.appending) {
            if online.contains(&index) {
                model.append(body);
            }
        }
    }
}

/// Runs rounds of half a second for some hosts and checks the sum after each.
fn run_rounds(model: &mut ShareModel, count: usize, hosts: &[usize]) {
    for _ in 0..count {
        advance(model, hosts);
        for index in hosts {
            model.exchange(*index);
            assert_within_bought(model);
        }
    }
}

fn assert_within_bought(model: &ShareModel) {
    let used = model.used();
    assert!(used.is_within(BOUGHT), "{used:?} in use");
}

fn set_wants(model: &mut ShareModel, wants: [u32; HOSTS_PER_ZONE]) {
    for (host, wanted) in model.hosts.iter_mut().zip(wants) {
        host.waiting = wanted;
        host.wanted_rate = wanted;
    }
}

fn limit(model: &ShareModel, index: usize) -> u32 {
    let units = model.hosts[index].shares.limit(ORGANISATION, model.now);
    units.concurrent_requests
}

/// Leaves one answer under way that gives host 2 all of the zone's share.
fn delay_a_raised_grant(model: &mut ShareModel) {
    model.run_without_faults(4);
    set_wants(model, [0, 0, 100]);
    run_rounds(model, 1, &[2, 0, 1]);
    run_rounds(model, 1, &[0, 1]);
    model.report(2);
    model.deliver_report(0);
    assert_eq!(model.replies.len(), 1);
    assert_eq!(limit(model, 2), 2);
}

/// Symptom: the sum is exceeded long after a holder was replaced.
/// Events: an answer of the first holder, which raises a grant, is late; the
/// host reports to the second holder, which gives the rest to others; then
/// the late answer arrives.
/// Cause: grants taken from a holder that no longer counts.
#[test]
fn late_reply_of_an_earlier_lease_holder_is_rejected() {
    let mut model = ShareModel::new();
    delay_a_raised_grant(&mut model);
    model.take_lease(1);
    for index in 0..HOSTS_PER_ZONE {
        model.observe_last_lease(index);
    }
    set_wants(&mut model, [0, 100, 0]);
    run_rounds(&mut model, 20, &[1, 0, 2]);
    assert_eq!(limit(&model, 1), 6);
    model.deliver_reply(0);
    assert_within_bought(&model);
}

/// Symptom: as before, under one holder.
/// Events: a late answer is overtaken by a later one that lowers the grant.
/// Cause: grants taken in the order of arrival.
#[test]
fn reply_that_arrives_out_of_order_is_rejected() {
    let mut model = ShareModel::new();
    delay_a_raised_grant(&mut model);
    set_wants(&mut model, [0, 100, 0]);
    run_rounds(&mut model, 4, &[2, 0, 1]);
    assert_eq!(limit(&model, 1), 6);
    model.deliver_reply(0);
    assert_within_bought(&model);
}

/// Host 2 is replaced and the new process, not yet named in the log, gets all
/// of the zone's share from holder 0 by grants that lapse.
fn grant_to_an_unregistered_host(model: &mut ShareModel) {
    model.run_without_faults(4);
    model.kill(2);
    model.observe_removals(0);
    model.observe_last_lease(2);
    run_rounds(model, 20, &[0, 1]);
    set_wants(model, [0, 0, 100]);
    model.read(2, model.log.len());
    for _ in 0..4 {
        advance(model, &[]);
        for index in [2, 0, 1] {
            model.report(index);
            while !model.reports.is_empty() {
                model.deliver_report(0);
            }
            while !model.replies.is_empty() {
                model.deliver_reply(0);
            }
            assert_within_bought(model);
            // What the holder wants to append is lost: the log is down.
            model.tick(index);
            model.appending.clear();
        }
    }
    assert_eq!(limit(model, 2), 6);
}

/// Symptom: the sum is exceeded after a holder was replaced.
/// Events: during an outage of the log a new host got grants; after it a new
/// holder is elected that has never heard of that host.
/// Cause: units of hosts that the log does not name taken for free at once,
/// or grants to them that stay.
#[test]
fn grant_of_an_unregistered_host_expires_before_its_units_are_reused() {
    let mut model = ShareModel::new();
    grant_to_an_unregistered_host(&mut model);
    model.take_lease(1);
    model.observe_last_lease(0);
    set_wants(&mut model, [100, 100, 0]);
    run_rounds(&mut model, 2, &[1]);
    for _ in 0..30 {
        run_rounds(&mut model, 1, &[1, 0]);
        model.tick(2);
    }
    assert_eq!(limit(&model, 0) + limit(&model, 1), 6);
}

/// Symptom: two holders hand out the same units.
/// Events: the first holder reports to the second and so counts as heard,
/// but has not read the log and goes on answering a host that knows only it.
/// Cause: dividing and reporting to another at the same time.
#[test]
fn lease_holder_that_reports_to_another_stops_dividing() {
    let mut model = ShareModel::new();
    grant_to_an_unregistered_host(&mut model);
    model.take_lease(1);
    model.observe_last_lease(0);
    set_wants(&mut model, [0, 100, 100]);
    for _ in 0..30 {
        run_rounds(&mut model, 1, &[1]);
        for index in [0, 2] {
            model.tick(index);
            model.appending.clear();
            model.report(index);
            while !model.reports.is_empty() {
                model.deliver_report(0);
            }
            while !model.replies.is_empty() {
                model.deliver_reply(0);
            }
            assert_within_bought(&model);
        }
    }
    assert_eq!(limit(&model, 1), 6);
}

/// Symptom: as before, while the first holder is cut off from the second.
/// Events: the first holder opens, no other host is named yet, and it goes on
/// answering a host on its side of the partition.
/// Cause: a new holder that awaits only hosts that took grants.
#[test]
fn new_lease_holder_awaits_the_earlier_one() {
    let mut model = ShareModel::new();
    model.take_lease(0);
    model.observe_last_lease(2);
    model.tick(0);
    let opening = model.appending.remove(0);
    model.append(opening);
    model.read(0, 1);
    set_wants(&mut model, [0, 0, 100]);
    model.take_lease(1);
    set_wants(&mut model, [0, 100, 100]);
    for _ in 0..40 {
        run_rounds(&mut model, 1, &[1]);
        for index in [0, 2] {
            model.tick(index);
            model.appending.clear();
            model.report(index);
            while !model.reports.is_empty() {
                model.deliver_report(0);
            }
            while !model.replies.is_empty() {
                model.deliver_reply(0);
            }
            assert_within_bought(&model);
        }
    }
    assert_eq!((limit(&model, 1), limit(&model, 2)), (0, 6));
    model.kill(0);
    model.observe_removals(1);
    run_rounds(&mut model, 40, &[1]);
    assert_eq!(limit(&model, 1), 6);
}

/// Symptom: two zones use the same units.
/// Events: a split lowers a zone, its release is late; a second split raises
/// it again, a third lowers it; then the first release shows up.
/// Cause: a release taken for a later split.
#[test]
fn late_release_frees_nothing_for_a_later_split() {
    let mut model = ShareModel::new();
    model.run_without_faults(4);
    let didube = [3, 4, 5];
    model.split(3);
    advance(&mut model, &[]);
    for index in didube {
        model.read(index, 100);
    }
    for _ in 0..4 {
        for index in didube {
            model.report(index);
            while !model.reports.is_empty() {
                model.deliver_report(0);
            }
            while !model.replies.is_empty() {
                model.deliver_reply(0);
            }
        }
    }
    model.tick(3);
    let is_release = |body: &AllotmentBody| matches!(body, AllotmentBody::Released { .. });
    let release = model.appending.iter().position(is_release);
    let release = model.appending.remove(release.expect("a release"));
    model.split(2);
    for _ in 0..4 {
        run_rounds(&mut model, 1, &didube);
    }
    let used: u32 = didube.iter().map(|index| limit(&model, *index)).sum();
    assert_eq!(used, 6);
    model.split(3);
    model.append(release);
    run_rounds(&mut model, 8, &[0, 1, 2]);
    run_rounds(&mut model, 8, &[0, 1, 2, 3, 4, 5]);
    let used: u32 = (0..HOSTS_PER_ZONE).map(|index| limit(&model, index)).sum();
    assert_eq!(used, 9);
}
