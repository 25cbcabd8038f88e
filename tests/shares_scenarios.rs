//! Single failures of the division of bought capacity, one per test.

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

/// Guards against a busy host that waits for long while its neighbours are idle. All
/// demand moves from one host to another, and units must move without any other event.
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

/// Guards against a partitioned zone that stops serving. Without log, lease holder and
/// peers for an hour, grants must not expire by themselves.
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

/// Guards against exceeding the bought capacity after a freeze. A frozen host counts as
/// ended and its units are granted to others; when it resumes, partitioned, it must not
/// trust its old grants.
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

/// Guards against a draining host that keeps capacity which others need. It returns its
/// grants while requests still run, and must not get new ones.
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

/// Guards against two readers of the stream that disagree on a zone's share. One starts
/// from a checkpoint, one from the first record; late records of an earlier lease holder
/// and of a writer that lost a race follow. Records must be judged by state in the
/// stream, not by arrival.
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

/// Advances time by half a second on all hosts. Records that `online` hosts append are
/// written; those of the others are lost.
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

/// Leaves one reply in transit that grants host 2 all of the zone's share.
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

/// Guards against exceeding the sum long after a lease holder was replaced. A late reply
/// of the first holder raises a grant; it arrives after the host has reported to the
/// second holder, which has granted the rest to others.
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

/// Guards against exceeding the sum under a single lease holder: a late reply arrives after
/// a newer one that lowers the grant.
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

/// Replaces host 2. The new process is not registered in the log yet and gets all of the
/// zone's share from lease holder 0 by expiring grants.
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
            // The log is unavailable, so the lease holder's appends are lost.
            model.tick(index);
            model.appending.clear();
        }
    }
    assert_eq!(limit(model, 2), 6);
}

/// Guards against exceeding the sum after a lease holder was replaced. A new host got
/// grants while the log was unavailable, and the next lease holder does not know that
/// host. Units of unregistered hosts must not be free at once, and their grants must
/// expire.
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

/// Guards against two lease holders that grant the same units. The first one reports to
/// the second, but has not read the log and still replies to a host that knows only it. A
/// lease holder must not divide while it reports to another.
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

/// Guards against two lease holders that grant the same units while the first one is
/// partitioned from the second. The first one has opened its lease, no other host is
/// registered, and the first one still replies to a host on its side. A new lease holder
/// must also await earlier holders, not only hosts with grants.
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

/// Guards against two zones that use the same units. A split lowers a zone and its
/// release is late; a second split raises the zone again and a third lowers it. The late
/// release must not count for the third split.
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
