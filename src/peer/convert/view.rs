//! Conversions of the calls between entry hosts.

use std::time::Duration;

use bytes::Bytes;

use super::{address, length, milliseconds, text};
use crate::peer::view::{HostSnapshot, HostView, KnownHost, TargetUse};
use crate::peer_capnp as wire;

/// Encodes a host's view.
pub(in crate::peer) fn write_view(mut builder: wire::host_view::Builder<'_>, view: &HostView) {
    builder.set_host(&*view.host);
    builder.set_zone(&*view.zone);
    builder.set_address(view.address.to_string());
    builder.set_incarnation(view.incarnation);
    builder.set_sequence(view.sequence);
    builder.set_configuration_version(view.configuration_version);
    builder.set_zone_wide(view.zone_wide);
    let mut uses = builder.reborrow().init_uses(length(view.uses.len()));
    for (index, used) in (0..).zip(&view.uses) {
        let mut entry = uses.reborrow().get(index);
        entry.set_target(&*used.target);
        entry.set_requests(used.requests);
        entry.set_reserved(used.reserved);
    }
    let mut hosts = builder.init_hosts(length(view.hosts.len()));
    for (index, known) in (0..).zip(&view.hosts) {
        let mut entry = hosts.reborrow().get(index);
        entry.set_host(&*known.host);
        entry.set_zone(&*known.zone);
        entry.set_address(known.address.to_string());
        entry.set_incarnation(known.incarnation);
        entry.set_silent_ms(milliseconds(known.silent));
    }
}

/// Decodes a host's view.
///
/// # Errors
/// If a text is not UTF-8 or an address not an IP address and port.
pub(in crate::peer) fn read_view(reader: wire::host_view::Reader<'_>) -> capnp::Result<HostView> {
    let uses = reader.get_uses()?.iter().map(|entry| {
        Ok(TargetUse {
            target: text(entry.get_target())?,
            requests: entry.get_requests(),
            reserved: entry.get_reserved(),
        })
    });
    let hosts = reader.get_hosts()?.iter().map(|entry| {
        Ok(KnownHost {
            host: text(entry.get_host())?,
            zone: text(entry.get_zone())?,
            address: address(entry.get_address())?,
            incarnation: entry.get_incarnation(),
            silent: Duration::from_millis(entry.get_silent_ms()),
        })
    });
    Ok(HostView {
        host: text(reader.get_host())?,
        zone: text(reader.get_zone())?,
        address: address(reader.get_address())?,
        incarnation: reader.get_incarnation(),
        sequence: reader.get_sequence(),
        configuration_version: reader.get_configuration_version(),
        zone_wide: reader.get_zone_wide(),
        uses: uses.collect::<capnp::Result<_>>()?,
        hosts: hosts.collect::<capnp::Result<_>>()?,
    })
}

/// Encodes a snapshot.
pub(in crate::peer) fn write_snapshot(
    mut builder: wire::snapshot::Builder<'_>,
    snapshot: &HostSnapshot,
) {
    builder.set_configuration(snapshot.configuration.as_deref().unwrap_or_default());
    let mut targets = builder.init_targets(length(snapshot.targets.len()));
    for (index, (target, value)) in (0..).zip(&snapshot.targets) {
        let mut entry = targets.reborrow().get(index);
        entry.set_key(&**target);
        entry.set_value(value);
    }
}

/// Decodes a snapshot.
///
/// # Errors
/// As [`read_view`].
pub(in crate::peer) fn read_snapshot(
    reader: wire::snapshot::Reader<'_>,
) -> capnp::Result<HostSnapshot> {
    let configuration = reader.get_configuration()?;
    let targets = reader.get_targets()?.iter().map(|entry| {
        let value = Bytes::copy_from_slice(entry.get_value()?);
        Ok((text(entry.get_key())?, value))
    });
    Ok(HostSnapshot {
        configuration: (!configuration.is_empty()).then(|| Bytes::copy_from_slice(configuration)),
        targets: targets.collect::<capnp::Result<_>>()?,
    })
}
