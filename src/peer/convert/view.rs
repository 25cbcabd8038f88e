//! Encoding of the calls between entry hosts.

use std::collections::BTreeSet;
use std::time::Duration;

use bytes::Bytes;

use super::demand::{read_demand, read_ended, write_demand, write_ended};
use super::permits::{read_limits, write_limits};
use super::{address, length, milliseconds, short_milliseconds, text};
use crate::capacity::ZoneDemand;
use crate::delta_sync::DeltaBounds;
use crate::fleet::{TargetLoad, TargetUsage, UsageScope, ZoneUsage};
use crate::ids::LogPosition;
use crate::peer::view::{
    FollowReply, FollowRequest, FollowedLog, HostListing, HostView, KnownHost, LogAges,
    SeenListing, TargetChange, ZoneCount,
};
use crate::peer_capnp as wire;
use crate::permits::LimitDelta;
use crate::poison::{PoisonDelta, PoisonEvent, PoisonEvidence};

/// Value in place of a target's key that stands for a target that survived the request.
const SURVIVED: u64 = 0;

/// Encodes a host's view.
pub(in crate::peer) fn write_view(mut builder: wire::host_view::Builder<'_>, view: &HostView) {
    builder.set_host(&*view.host);
    builder.set_zone(&*view.zone);
    builder.set_address(view.address.to_string());
    builder.set_incarnation(view.incarnation);
    builder.set_sequence(view.sequence);
    builder.set_configuration_version(view.configuration_version);
    builder.set_strength(view.weight);
    builder.set_scope(write_scope(view.scope));
    write_usage(builder.reborrow().init_uses(), &view.usage);
    builder.set_listed_from(view.listing.from);
    builder.set_listed_to(view.listing.to);
    builder.set_seen_incarnation(view.seen.incarnation);
    builder.set_seen_to(view.seen.to);
    builder.set_seen_scope(write_scope(view.seen.scope));
    let listed = &view.listing.hosts;
    let mut hosts = builder.reborrow().init_hosts(length(listed.len()));
    for (index, known) in (0..).zip(listed) {
        let mut entry = hosts.reborrow().get(index);
        entry.set_host(&*known.host);
        entry.set_zone(&*known.zone);
        entry.set_address(known.address.to_string());
        entry.set_incarnation(known.incarnation);
        entry.set_strength(known.weight);
        entry.set_silent_ms(milliseconds(known.silent));
    }
    builder.set_log_since_ms(view.log.map_or(0, |log| short_milliseconds(log.since)));
    builder.set_log_read_ms(view.log.map_or(0, |log| short_milliseconds(log.read)));
    write_poison(builder.reborrow().init_poison(), &view.poison);
    if view.limits != LimitDelta::default() {
        write_limits(builder.reborrow().init_limits(), &view.limits);
    }
    if !view.demand.is_empty() || !view.ended.is_empty() {
        let mut load = builder.reborrow().init_load();
        if !view.demand.is_empty() {
            write_demand(load.reborrow().init_demand(), &view.demand);
        }
        if !view.ended.is_empty() {
            write_ended(load.init_ended(), &view.ended);
        }
    }
    let mut counts = builder.init_counts(length(view.counts.len()));
    for (index, count) in (0..).zip(&view.counts) {
        let mut entry = counts.reborrow().get(index);
        entry.set_zone(&*count.zone);
        entry.set_hosts(count.hosts);
    }
}

/// Decodes a host's view.
///
/// # Errors
/// Fails if a text is not UTF-8 or an address is not an IP address with a port.
pub(in crate::peer) fn read_view(reader: wire::host_view::Reader<'_>) -> capnp::Result<HostView> {
    let counts = reader.get_counts()?.iter().map(|entry| {
        Ok(ZoneCount {
            zone: text(entry.get_zone())?,
            hosts: entry.get_hosts(),
        })
    });
    Ok(HostView {
        host: text(reader.get_host())?,
        zone: text(reader.get_zone())?,
        address: address(reader.get_address())?,
        incarnation: reader.get_incarnation(),
        sequence: reader.get_sequence(),
        configuration_version: reader.get_configuration_version(),
        weight: reader.get_strength(),
        scope: read_scope(reader.get_scope()?),
        usage: read_usage(reader.get_uses()?)?,
        listing: read_listing(reader)?,
        seen: SeenListing {
            incarnation: reader.get_seen_incarnation(),
            to: reader.get_seen_to(),
            scope: read_scope(reader.get_seen_scope()?),
        },
        counts: counts.collect::<capnp::Result<_>>()?,
        log: read_ages(reader.get_log_since_ms(), reader.get_log_read_ms())
            .map(|(since, read)| LogAges { since, read }),
        poison: read_poison(reader.get_poison()?)?,
        limits: read_limits(reader.get_limits()?)?,
        demand: read_demand(reader.get_load()?.get_demand()?)?,
        ended: read_ended(reader.get_load()?.get_ended()?)?,
    })
}

/// Decodes two ages of the log; two zeros stand for a host that never had it.
fn read_ages(first_ms: u32, last_ms: u32) -> Option<(Duration, Duration)> {
    let age = |ms: u32| Duration::from_millis(ms.into());
    (first_ms > 0 || last_ms > 0).then(|| (age(first_ms), age(last_ms)))
}

fn read_listing(reader: wire::host_view::Reader<'_>) -> capnp::Result<HostListing> {
    let hosts = reader.get_hosts()?.iter().map(|entry| {
        Ok(KnownHost {
            host: text(entry.get_host())?,
            zone: text(entry.get_zone())?,
            address: address(entry.get_address())?,
            incarnation: entry.get_incarnation(),
            weight: entry.get_strength(),
            silent: Duration::from_millis(entry.get_silent_ms()),
        })
    });
    Ok(HostListing {
        from: reader.get_listed_from(),
        to: reader.get_listed_to(),
        hosts: hosts.collect::<capnp::Result<_>>()?,
    })
}

fn write_scope(scope: UsageScope) -> wire::UseScope {
    match scope {
        UsageScope::Host => wire::UseScope::Host,
        UsageScope::Group => wire::UseScope::Group,
        UsageScope::Neighbours => wire::UseScope::Neighbours,
        UsageScope::Zone => wire::UseScope::Zone,
    }
}

fn read_scope(scope: wire::UseScope) -> UsageScope {
    match scope {
        wire::UseScope::Host => UsageScope::Host,
        wire::UseScope::Group => UsageScope::Group,
        wire::UseScope::Neighbours => UsageScope::Neighbours,
        wire::UseScope::Zone => UsageScope::Zone,
    }
}

/// Encodes usage as one list per field: a list of structures takes twice the bytes.
fn write_usage(mut builder: wire::target_uses::Builder<'_>, usage: &[TargetUsage]) {
    let count = length(usage.len());
    let mut keys = builder.reborrow().init_keys(count);
    for (index, item) in (0..).zip(usage) {
        keys.set(index, item.key);
    }
    let mut requests = builder.reborrow().init_requests(count);
    for (index, item) in (0..).zip(usage) {
        requests.set(index, item.load.requests);
    }
    let mut reserved = builder.reborrow().init_reserved(count);
    for (index, item) in (0..).zip(usage) {
        reserved.set(index, item.load.reserved as f32);
    }
    let mut unread = builder.init_unread(count);
    for (index, item) in (0..).zip(usage) {
        unread.set(index, item.load.unread as f32);
    }
}

fn read_usage(reader: wire::target_uses::Reader<'_>) -> capnp::Result<Vec<TargetUsage>> {
    let keys = reader.get_keys()?;
    let requests = reader.get_requests()?;
    let (reserved, unread) = (reader.get_reserved()?, reader.get_unread()?);
    let shortest = [requests.len(), reserved.len(), unread.len()];
    if shortest.iter().any(|length| *length != keys.len()) {
        let text = "the lists of target usage differ in length";
        return Err(capnp::Error::failed(text.to_owned()));
    }
    let usage = (0..keys.len()).map(|index| TargetUsage {
        key: keys.get(index),
        load: TargetLoad {
            requests: requests.get(index),
            reserved: f64::from(reserved.get(index)),
            unread: f64::from(unread.get(index)),
        },
    });
    Ok(usage.collect())
}

/// Encodes evidence as one list per field, as [`write_usage`] does.
fn write_poison(mut builder: wire::poison_listing::Builder<'_>, delta: &PoisonDelta) {
    builder.set_from(delta.bounds.from);
    builder.set_to(delta.bounds.to);
    builder.set_seen_to(delta.bounds.seen_to);
    let count = length(delta.evidence.len());
    if count == 0 {
        return;
    }
    let mut requests = builder.reborrow().init_requests(count);
    for (index, item) in (0..).zip(&delta.evidence) {
        requests.set(index, item.suspect);
    }
    let mut targets = builder.reborrow().init_targets(count);
    for (index, item) in (0..).zip(&delta.evidence) {
        let target = match item.event {
            PoisonEvent::Ended(target) => target,
            PoisonEvent::Survived => SURVIVED,
        };
        targets.set(index, target);
    }
    let mut ages = builder.init_ages_ms(count);
    for (index, item) in (0..).zip(&delta.evidence) {
        ages.set(index, short_milliseconds(item.age));
    }
}

fn read_poison(reader: wire::poison_listing::Reader<'_>) -> capnp::Result<PoisonDelta> {
    let requests = reader.get_requests()?;
    let (targets, ages) = (reader.get_targets()?, reader.get_ages_ms()?);
    if targets.len() != requests.len() || ages.len() != requests.len() {
        let text = "the lists of poison evidence differ in length";
        return Err(capnp::Error::failed(text.to_owned()));
    }
    let evidence = (0..requests.len()).map(|index| PoisonEvidence {
        suspect: requests.get(index),
        event: match targets.get(index) {
            SURVIVED => PoisonEvent::Survived,
            target => PoisonEvent::Ended(target),
        },
        age: Duration::from_millis(ages.get(index).into()),
    });
    Ok(PoisonDelta {
        bounds: DeltaBounds {
            from: reader.get_from(),
            to: reader.get_to(),
            seen_to: reader.get_seen_to(),
        },
        evidence: evidence.collect(),
    })
}

/// Encodes a request for what is read from the log.
pub(in crate::peer) fn write_follow_request(
    mut builder: wire::follow_question::Builder<'_>,
    request: FollowRequest,
) {
    builder.set_configuration_version(request.configuration_version);
    builder.set_incarnation(request.incarnation);
    builder.set_from(request.from);
    builder.set_hold_ms(u32::try_from(request.hold.as_millis()).unwrap_or(u32::MAX));
    builder.set_wants_remote(request.wants_remote);
}

/// Decodes a request for what is read from the log.
pub(in crate::peer) fn read_follow_request(
    reader: wire::follow_question::Reader<'_>,
) -> FollowRequest {
    FollowRequest {
        configuration_version: reader.get_configuration_version(),
        incarnation: reader.get_incarnation(),
        from: reader.get_from(),
        hold: Duration::from_millis(reader.get_hold_ms().into()),
        wants_remote: reader.get_wants_remote(),
    }
}

/// Encodes a reply with what was read from the log.
pub(in crate::peer) fn write_follow_reply(
    mut builder: wire::follow_answer::Builder<'_>,
    reply: &FollowReply,
) {
    builder.set_incarnation(reply.incarnation);
    builder.set_fresh(reply.fresh);
    builder.set_age_ms(milliseconds(reply.age));
    let log = reply.log;
    builder.set_log_first_ms(log.map_or(0, |log| short_milliseconds(log.first)));
    builder.set_log_read_ms(log.map_or(0, |log| short_milliseconds(log.read)));
    builder.set_configuration(reply.configuration.as_deref().unwrap_or_default());
    builder.set_whole(reply.whole);
    builder.set_next(reply.next);
    builder.set_read_to(reply.read_to.offset);
    builder.set_read_era(reply.read_to.era);
    let mut targets = builder.reborrow().init_targets(length(reply.targets.len()));
    for (index, change) in (0..).zip(&reply.targets) {
        let mut entry = targets.reborrow().get(index);
        entry.set_id(&*change.id);
        entry.set_offset(change.position.offset);
        entry.set_era(change.position.era);
        entry.set_value(change.value.as_deref().unwrap_or_default());
        let dropped_at = change.dropped_at.unwrap_or_default();
        entry.set_dropped_at(dropped_at.offset);
        entry.set_dropped_era(dropped_at.era);
        entry.set_first_return(change.first_return);
        entry.set_renumbered(change.reinstated);
    }
    let zones = reply.remote.iter().map(|remote| &remote.zone);
    let zones = zones.chain(reply.remote_demand.iter().map(|remote| &remote.zone));
    let zones = zones.collect::<BTreeSet<_>>();
    let mut remote = builder.init_remote(length(zones.len()));
    for (index, zone) in (0..).zip(zones) {
        let mut entry = remote.reborrow().get(index);
        entry.set_zone(&**zone);
        let usage = reply.remote.iter().find(|remote| remote.zone == *zone);
        if let Some(usage) = usage {
            write_usage(entry.reborrow().init_uses(), &usage.usage);
        }
        let mut demand = reply.remote_demand.iter();
        if let Some(demand) = demand.find(|remote| remote.zone == *zone) {
            entry.set_demand_known_ms(short_milliseconds(demand.known_for));
            write_demand(entry.init_demand(), &demand.demand);
        }
    }
}

/// Decodes a reply with what was read from the log.
///
/// # Errors
/// Fails as [`read_view`] does.
pub(in crate::peer) fn read_follow_reply(
    reader: wire::follow_answer::Reader<'_>,
) -> capnp::Result<FollowReply> {
    let targets = reader.get_targets()?.iter().map(|entry| {
        let dropped_at = LogPosition {
            era: entry.get_dropped_era(),
            offset: entry.get_dropped_at(),
        };
        Ok(TargetChange {
            id: text(entry.get_id())?,
            position: LogPosition {
                era: entry.get_era(),
                offset: entry.get_offset(),
            },
            value: non_empty(entry.get_value()?),
            dropped_at: Some(dropped_at).filter(|at| *at > LogPosition::default()),
            reinstated: entry.get_renumbered(),
            first_return: entry.get_first_return(),
        })
    });
    let zones = reader.get_remote()?;
    let remote = zones.iter().filter(|entry| entry.has_uses());
    let remote = remote.map(|entry| {
        Ok(ZoneUsage {
            zone: text(entry.get_zone())?,
            usage: read_usage(entry.get_uses()?)?,
        })
    });
    let remote_demand = zones.iter().filter(|entry| entry.has_demand());
    let remote_demand = remote_demand.map(|entry| {
        Ok(ZoneDemand {
            zone: text(entry.get_zone())?,
            demand: read_demand(entry.get_demand()?)?,
            known_for: Duration::from_millis(entry.get_demand_known_ms().into()),
        })
    });
    Ok(FollowReply {
        incarnation: reader.get_incarnation(),
        fresh: reader.get_fresh(),
        age: Duration::from_millis(reader.get_age_ms()),
        configuration: non_empty(reader.get_configuration()?),
        whole: reader.get_whole(),
        targets: targets.collect::<capnp::Result<_>>()?,
        next: reader.get_next(),
        remote: remote.collect::<capnp::Result<_>>()?,
        remote_demand: remote_demand.collect::<capnp::Result<_>>()?,
        read_to: LogPosition {
            era: reader.get_read_era(),
            offset: reader.get_read_to(),
        },
        log: read_ages(reader.get_log_first_ms(), reader.get_log_read_ms())
            .map(|(first, read)| FollowedLog { first, read }),
    })
}

/// Decodes an optional value; an empty one stands for `None`.
fn non_empty(value: &[u8]) -> Option<Bytes> {
    (!value.is_empty()).then(|| Bytes::copy_from_slice(value))
}
