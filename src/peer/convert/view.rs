//! Conversions of the calls between entry hosts.

use std::time::Duration;

use bytes::Bytes;

use super::{address, length, milliseconds, text};
use crate::fleet::TargetLoad;
use crate::peer::view::{
    FollowAnswer, FollowQuestion, HostView, KnownHost, TargetChange, TargetUse, ZoneUses,
};
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
    let uses = builder.reborrow().init_uses(length(view.uses.len()));
    write_uses(uses, &view.uses);
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
        uses: read_uses(reader.get_uses()?)?,
        hosts: hosts.collect::<capnp::Result<_>>()?,
    })
}

fn write_uses(
    mut list: capnp::struct_list::Builder<'_, wire::target_use::Owned>,
    uses: &[TargetUse],
) {
    for (index, used) in (0..).zip(uses) {
        let mut entry = list.reborrow().get(index);
        entry.set_target(&*used.target);
        entry.set_requests(used.load.requests);
        entry.set_reserved(used.load.reserved);
        entry.set_unread(used.load.unread);
    }
}

fn read_uses(
    list: capnp::struct_list::Reader<'_, wire::target_use::Owned>,
) -> capnp::Result<Vec<TargetUse>> {
    let uses = list.iter().map(|entry| {
        Ok(TargetUse {
            target: text(entry.get_target())?,
            load: TargetLoad {
                requests: entry.get_requests(),
                reserved: entry.get_reserved(),
                unread: entry.get_unread(),
            },
        })
    });
    uses.collect()
}

/// Encodes a question for what is read from the log.
pub(in crate::peer) fn write_follow_question(
    mut builder: wire::follow_question::Builder<'_>,
    question: FollowQuestion,
) {
    builder.set_configuration_version(question.configuration_version);
    builder.set_incarnation(question.incarnation);
    builder.set_from(question.from);
}

/// Decodes a question for what is read from the log.
pub(in crate::peer) fn read_follow_question(
    reader: wire::follow_question::Reader<'_>,
) -> FollowQuestion {
    FollowQuestion {
        configuration_version: reader.get_configuration_version(),
        incarnation: reader.get_incarnation(),
        from: reader.get_from(),
    }
}

/// Encodes what was read from the log.
pub(in crate::peer) fn write_follow_answer(
    mut builder: wire::follow_answer::Builder<'_>,
    answer: &FollowAnswer,
) {
    builder.set_incarnation(answer.incarnation);
    builder.set_fresh(answer.fresh);
    builder.set_configuration(answer.configuration.as_deref().unwrap_or_default());
    builder.set_whole(answer.whole);
    builder.set_next(answer.next);
    builder.set_read_to(answer.read_to);
    let mut targets = builder
        .reborrow()
        .init_targets(length(answer.targets.len()));
    for (index, change) in (0..).zip(&answer.targets) {
        let mut entry = targets.reborrow().get(index);
        entry.set_id(&*change.id);
        entry.set_offset(change.offset);
        entry.set_value(change.value.as_deref().unwrap_or_default());
    }
    let mut remote = builder.init_remote(length(answer.remote.len()));
    for (index, zone) in (0..).zip(&answer.remote) {
        let mut entry = remote.reborrow().get(index);
        entry.set_zone(&*zone.zone);
        write_uses(entry.init_uses(length(zone.uses.len())), &zone.uses);
    }
}

/// Decodes what was read from the log.
///
/// # Errors
/// As [`read_view`].
pub(in crate::peer) fn read_follow_answer(
    reader: wire::follow_answer::Reader<'_>,
) -> capnp::Result<FollowAnswer> {
    let targets = reader.get_targets()?.iter().map(|entry| {
        Ok(TargetChange {
            id: text(entry.get_id())?,
            offset: entry.get_offset(),
            value: given(entry.get_value()?),
        })
    });
    let remote = reader.get_remote()?.iter().map(|entry| {
        Ok(ZoneUses {
            zone: text(entry.get_zone())?,
            uses: read_uses(entry.get_uses()?)?,
        })
    });
    Ok(FollowAnswer {
        incarnation: reader.get_incarnation(),
        fresh: reader.get_fresh(),
        configuration: given(reader.get_configuration()?),
        whole: reader.get_whole(),
        targets: targets.collect::<capnp::Result<_>>()?,
        next: reader.get_next(),
        remote: remote.collect::<capnp::Result<_>>()?,
        read_to: reader.get_read_to(),
    })
}

/// An empty value stands for none.
fn given(value: &[u8]) -> Option<Bytes> {
    (!value.is_empty()).then(|| Bytes::copy_from_slice(value))
}
