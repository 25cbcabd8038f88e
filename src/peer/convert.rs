//! Conversion between peer messages and their Cap'n Proto encoding.

mod claim;
mod demand;
mod permits;
mod view;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

pub(super) use claim::{
    read_claim_outcome, read_claim_query, write_claim_outcome, write_claim_query,
};
pub(super) use permits::{
    read_permit_reply, read_permit_request, write_permit_reply, write_permit_request,
};
pub(super) use view::{
    read_follow_reply, read_follow_request, read_view, write_follow_reply, write_follow_request,
    write_view,
};

use super::message::{
    PeerDemand, PeerGrant, PeerHeartbeat, PeerLoad, PeerReply, RelayedRange, ZoneDigest,
};
use crate::ids::LogOffset;
use crate::peer_capnp as wire;
use crate::platform::wire::StoredRecord;

fn text(reader: capnp::Result<capnp::text::Reader<'_>>) -> capnp::Result<Arc<str>> {
    Ok(Arc::from(reader?.to_str()?))
}

fn string(reader: capnp::Result<capnp::text::Reader<'_>>) -> capnp::Result<String> {
    Ok(reader?.to_string()?)
}

fn address(reader: capnp::Result<capnp::text::Reader<'_>>) -> capnp::Result<SocketAddr> {
    let found = reader?.to_str()?;
    found
        .parse()
        .map_err(|_| capnp::Error::failed(format!("{found:?} is not an IP address with a port")))
}

fn length(items: usize) -> u32 {
    u32::try_from(items).unwrap_or(u32::MAX)
}

fn milliseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Converts a time to milliseconds, saturating at `u32::MAX` (49 days).
fn short_milliseconds(time: Duration) -> u32 {
    u32::try_from(milliseconds(time)).unwrap_or(u32::MAX)
}

/// Encodes an optional offset as the offset plus one; zero stands for `None`.
fn write_offset(offset: Option<LogOffset>) -> u64 {
    offset.map_or(0, |offset| offset.saturating_add(1))
}

fn read_offset(encoded: u64) -> Option<LogOffset> {
    encoded.checked_sub(1)
}

fn write_loads(
    mut list: capnp::struct_list::Builder<'_, wire::target_load::Owned>,
    loads: &[PeerLoad],
) {
    for (index, load) in (0..).zip(loads) {
        let mut entry = list.reborrow().get(index);
        entry.set_target(&*load.target);
        entry.set_running(load.running);
        entry.set_waiting(load.waiting);
        entry.set_tokens_per_second(load.tokens_per_second);
        entry.set_age_ms(milliseconds(load.age));
        entry.set_leaving(load.leaving);
    }
}

fn read_loads(
    list: capnp::struct_list::Reader<'_, wire::target_load::Owned>,
) -> capnp::Result<Vec<PeerLoad>> {
    list.iter()
        .map(|entry| {
            Ok(PeerLoad {
                target: text(entry.get_target())?,
                running: entry.get_running(),
                waiting: entry.get_waiting(),
                tokens_per_second: entry.get_tokens_per_second(),
                age: Duration::from_millis(entry.get_age_ms()),
                leaving: entry.get_leaving(),
            })
        })
        .collect()
}

fn write_digest(mut builder: wire::zone_digest::Builder<'_>, digest: &ZoneDigest) {
    builder.set_zone(&*digest.zone);
    builder.set_live_hosts(digest.live_hosts);
    builder.set_lowest_applied_offset(digest.lowest_applied_offset);
    builder.set_slowest_host(&*digest.slowest_host);
    builder.set_unreachable_count(digest.unreachable_count);
    let mut names = builder.init_unreachable(length(digest.unreachable.len()));
    for (index, name) in (0..).zip(&digest.unreachable) {
        names.set(index, &**name);
    }
}

fn read_digest(reader: wire::zone_digest::Reader<'_>) -> capnp::Result<ZoneDigest> {
    let unreachable = reader
        .get_unreachable()?
        .iter()
        .map(text)
        .collect::<capnp::Result<Vec<_>>>()?;
    Ok(ZoneDigest {
        zone: text(reader.get_zone())?,
        live_hosts: reader.get_live_hosts(),
        lowest_applied_offset: reader.get_lowest_applied_offset(),
        slowest_host: text(reader.get_slowest_host())?,
        unreachable,
        unreachable_count: reader.get_unreachable_count(),
    })
}

fn write_demands(
    mut list: capnp::struct_list::Builder<'_, wire::organisation_demand::Owned>,
    demands: &[PeerDemand],
) {
    for (index, demand) in (0..).zip(demands) {
        let mut entry = list.reborrow().get(index);
        entry.set_organisation(&*demand.organisation);
        entry.set_in_flight(demand.in_flight);
        entry.set_waiting(demand.waiting);
        entry.set_wanted_rate(demand.wanted_rate);
        entry.set_held_grant(demand.held_grant);
        entry.set_held_rate(demand.held_rate);
        entry.set_grant_number(demand.grant_number);
        entry.set_grant_lease(write_offset(demand.grant_lease));
    }
}

fn read_demands(
    list: capnp::struct_list::Reader<'_, wire::organisation_demand::Owned>,
) -> capnp::Result<Vec<PeerDemand>> {
    list.iter()
        .map(|entry| {
            Ok(PeerDemand {
                organisation: text(entry.get_organisation())?,
                in_flight: entry.get_in_flight(),
                waiting: entry.get_waiting(),
                wanted_rate: entry.get_wanted_rate(),
                held_grant: entry.get_held_grant(),
                held_rate: entry.get_held_rate(),
                grant_number: entry.get_grant_number(),
                grant_lease: read_offset(entry.get_grant_lease()),
            })
        })
        .collect()
}

/// Encodes a heartbeat.
pub(super) fn write_heartbeat(
    mut builder: wire::heartbeat::Builder<'_>,
    heartbeat: &PeerHeartbeat,
) {
    builder.set_host(&*heartbeat.host);
    builder.set_zone(&*heartbeat.zone);
    builder.set_incarnation(heartbeat.incarnation);
    builder.set_sequence(heartbeat.sequence);
    builder.set_applied_offset(heartbeat.applied_offset);
    builder.set_draining(heartbeat.draining);
    builder.set_peer_address(heartbeat.peer_address.to_string());
    builder.set_demands_for(write_offset(heartbeat.demands_for));
    write_loads(
        builder.reborrow().init_loads(length(heartbeat.loads.len())),
        &heartbeat.loads,
    );
    write_demands(
        builder
            .reborrow()
            .init_demands(length(heartbeat.demands.len())),
        &heartbeat.demands,
    );
    if let Some(digest) = &heartbeat.digest {
        write_digest(builder.init_digest(), digest);
    }
}

/// Decodes a heartbeat.
///
/// # Errors
/// Fails on text that is not UTF-8, an invalid address or a pointer out of bounds.
pub(super) fn read_heartbeat(reader: wire::heartbeat::Reader<'_>) -> capnp::Result<PeerHeartbeat> {
    let digest = match reader.has_digest() {
        true => Some(read_digest(reader.get_digest()?)?),
        false => None,
    };
    Ok(PeerHeartbeat {
        host: text(reader.get_host())?,
        zone: text(reader.get_zone())?,
        incarnation: reader.get_incarnation(),
        sequence: reader.get_sequence(),
        applied_offset: reader.get_applied_offset(),
        draining: reader.get_draining(),
        peer_address: address(reader.get_peer_address())?,
        loads: read_loads(reader.get_loads()?)?,
        demands: read_demands(reader.get_demands()?)?,
        demands_for: read_offset(reader.get_demands_for()),
        digest,
    })
}

/// Encodes the reply to a heartbeat.
pub(super) fn write_reply(mut builder: wire::heartbeat_reply::Builder<'_>, reply: &PeerReply) {
    let heartbeat = &reply.heartbeat;
    builder.set_host(&*heartbeat.host);
    builder.set_zone(&*heartbeat.zone);
    builder.set_incarnation(heartbeat.incarnation);
    builder.set_sequence(heartbeat.sequence);
    builder.set_applied_offset(heartbeat.applied_offset);
    builder.set_draining(heartbeat.draining);
    builder.set_peer_address(heartbeat.peer_address.to_string());
    builder.set_lease_offset(write_offset(reply.lease_offset));
    builder.set_leased_grants(reply.lease_offset.is_some());
    write_loads(
        builder.reborrow().init_loads(length(heartbeat.loads.len())),
        &heartbeat.loads,
    );
    write_grants(
        builder.reborrow().init_grants(length(reply.grants.len())),
        &reply.grants,
    );
    if let Some(digest) = &heartbeat.digest {
        write_digest(builder.init_digest(), digest);
    }
}

fn write_grants(
    mut list: capnp::struct_list::Builder<'_, wire::grant::Owned>,
    grants: &[PeerGrant],
) {
    for (index, grant) in (0..).zip(grants) {
        let mut entry = list.reborrow().get(index);
        entry.set_organisation(&*grant.organisation);
        entry.set_concurrent_requests(grant.concurrent_requests);
        entry.set_requests_per_minute(grant.requests_per_minute);
        entry.set_number(grant.number);
        entry.set_lapses_after_ms(grant.expires_after.map_or(0, milliseconds));
    }
}

fn read_grants(
    list: capnp::struct_list::Reader<'_, wire::grant::Owned>,
) -> capnp::Result<Vec<PeerGrant>> {
    list.iter()
        .map(|entry| {
            Ok(PeerGrant {
                organisation: text(entry.get_organisation())?,
                concurrent_requests: entry.get_concurrent_requests(),
                requests_per_minute: entry.get_requests_per_minute(),
                number: entry.get_number(),
                expires_after: match entry.get_lapses_after_ms() {
                    0 => None,
                    expiry => Some(Duration::from_millis(expiry)),
                },
            })
        })
        .collect()
}

/// Decodes the reply to a heartbeat.
///
/// # Errors
/// Fails as `read_heartbeat` does.
pub(super) fn read_reply(reader: wire::heartbeat_reply::Reader<'_>) -> capnp::Result<PeerReply> {
    let digest = match reader.has_digest() {
        true => Some(read_digest(reader.get_digest()?)?),
        false => None,
    };
    Ok(PeerReply {
        heartbeat: PeerHeartbeat {
            host: text(reader.get_host())?,
            zone: text(reader.get_zone())?,
            incarnation: reader.get_incarnation(),
            sequence: reader.get_sequence(),
            applied_offset: reader.get_applied_offset(),
            draining: reader.get_draining(),
            peer_address: address(reader.get_peer_address())?,
            loads: read_loads(reader.get_loads()?)?,
            demands: Vec::new(),
            demands_for: None,
            digest,
        },
        lease_offset: read_offset(reader.get_lease_offset()),
        grants: read_grants(reader.get_grants()?)?,
    })
}

/// Encodes relayed records, as many as fit into `byte_limit`.
///
/// A truncated range keeps its `end_offset`, and the reader requests the rest from after
/// its last record. Without the limit, a reply above the reader's message limit would
/// close the connection, and so would every retry.
pub(super) fn write_range(
    mut builder: wire::record_range::Builder<'_>,
    range: &RelayedRange,
    byte_limit: usize,
) {
    builder.set_first_offset(range.first_offset);
    builder.set_end_offset(range.end_offset);
    let checkpoint = range.checkpoint.as_deref().unwrap_or_default();
    builder.set_checkpoint(checkpoint);
    let mut rest = byte_limit.saturating_sub(checkpoint.len());
    let fitting = range
        .records
        .iter()
        .take_while(|record| {
            let fits = record.body.len() <= rest;
            rest = rest.saturating_sub(record.body.len());
            fits
        })
        .count();
    let mut list = builder.init_records(length(fitting));
    for (index, record) in (0..).zip(&range.records[..fitting]) {
        let mut entry = list.reborrow().get(index);
        entry.set_offset(record.offset);
        entry.set_body(record.body.as_str());
    }
}

/// Decodes relayed records.
///
/// # Errors
/// Fails as `read_heartbeat` does.
pub(super) fn read_range(reader: wire::record_range::Reader<'_>) -> capnp::Result<RelayedRange> {
    let records = reader
        .get_records()?
        .iter()
        .map(|entry| {
            Ok(StoredRecord {
                offset: entry.get_offset(),
                body: string(entry.get_body())?,
            })
        })
        .collect::<capnp::Result<Vec<_>>>()?;
    let checkpoint = string(reader.get_checkpoint())?;
    Ok(RelayedRange {
        first_offset: reader.get_first_offset(),
        end_offset: reader.get_end_offset(),
        records,
        checkpoint: Some(checkpoint).filter(|text| !text.is_empty()),
    })
}
