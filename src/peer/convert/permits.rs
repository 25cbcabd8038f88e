//! Encoding of limits of targets and of permit calls.

use std::time::Duration;

use super::{length, short_milliseconds, text};
use crate::delta_sync::DeltaBounds;
use crate::peer_capnp as wire;
use crate::permits::{LimitDelta, LimitRecord, PermitReply, PermitRequest, RateLimit};

/// Value in place of a rate that stands for an ended limit.
const NO_LIMIT: f64 = -1.0;

/// Encodes a delta of limits.
pub(super) fn write_limits(mut builder: wire::limit_listing::Builder<'_>, delta: &LimitDelta) {
    builder.set_from(delta.bounds.from);
    builder.set_to(delta.bounds.to);
    builder.set_seen_to(delta.bounds.seen_to);
    if delta.records.is_empty() {
        return;
    }
    let mut entries = builder.init_words(length(delta.records.len()));
    for (index, record) in (0..).zip(&delta.records) {
        write_limit_record(entries.reborrow().get(index), record);
    }
}

/// Decodes a delta of limits.
pub(super) fn read_limits(reader: wire::limit_listing::Reader<'_>) -> capnp::Result<LimitDelta> {
    Ok(LimitDelta {
        bounds: DeltaBounds {
            from: reader.get_from(),
            to: reader.get_to(),
            seen_to: reader.get_seen_to(),
        },
        records: reader.get_words()?.iter().map(read_limit_record).collect(),
    })
}

fn write_limit_record(mut builder: wire::limit_word::Builder<'_>, record: &LimitRecord) {
    builder.set_target(record.target);
    builder.set_per_second(record.rate.map_or(NO_LIMIT, RateLimit::per_second));
    builder.set_sent_age_ms(short_milliseconds(record.sent_age));
    builder.set_heard_age_ms(short_milliseconds(record.received_age));
}

fn read_limit_record(reader: wire::limit_word::Reader<'_>) -> LimitRecord {
    LimitRecord {
        target: reader.get_target(),
        rate: RateLimit::new(reader.get_per_second()),
        sent_age: Duration::from_millis(reader.get_sent_age_ms().into()),
        received_age: Duration::from_millis(reader.get_heard_age_ms().into()),
    }
}

/// Encodes a request for permits.
pub(in crate::peer) fn write_permit_request(
    mut builder: wire::permit_question::Builder<'_>,
    request: &PermitRequest,
) {
    builder.set_host(&*request.host);
    builder.set_zone(&*request.zone);
    write_limit_record(builder.reborrow().init_limit(), &request.limit);
    builder.set_wanted(request.wanted);
    builder.set_patience_ms(short_milliseconds(request.max_wait));
    builder.set_relayed(request.relayed);
    let mut unpermitted = builder.init_unpermitted(length(request.unpermitted.len()));
    for (index, sends) in (0..).zip(&request.unpermitted) {
        unpermitted.set(index, *sends);
    }
}

/// Decodes a request for permits.
///
/// # Errors
/// Fails if a text is not UTF-8.
pub(in crate::peer) fn read_permit_request(
    reader: wire::permit_question::Reader<'_>,
) -> capnp::Result<PermitRequest> {
    Ok(PermitRequest {
        host: text(reader.get_host())?,
        zone: text(reader.get_zone())?,
        limit: read_limit_record(reader.get_limit()?),
        wanted: reader.get_wanted(),
        max_wait: Duration::from_millis(reader.get_patience_ms().into()),
        unpermitted: reader.get_unpermitted()?.iter().collect(),
        relayed: reader.get_relayed(),
    })
}

/// Encodes the reply to a request for permits.
pub(in crate::peer) fn write_permit_reply(
    mut builder: wire::permit_answer::Builder<'_>,
    reply: PermitReply,
) {
    match reply {
        PermitReply::Granted {
            permits,
            delay,
            spacing,
        } => {
            let mut granted = builder.init_granted();
            granted.set_permits(permits);
            granted.set_delay_us(short_microseconds(delay));
            granted.set_spacing_us(short_microseconds(spacing));
        }
        PermitReply::Withheld { retry_after } => {
            builder.set_withheld_ms(short_milliseconds(retry_after));
        }
        PermitReply::Unlimited => builder.set_unlimited(()),
    }
}

/// Decodes the reply to a request for permits.
///
/// # Errors
/// Fails if this version does not know the variant of the reply.
pub(in crate::peer) fn read_permit_reply(
    reader: wire::permit_answer::Reader<'_>,
) -> capnp::Result<PermitReply> {
    use wire::permit_answer::Which;
    let microseconds = |count: u32| Duration::from_micros(count.into());
    Ok(match reader.which()? {
        Which::Granted(granted) => PermitReply::Granted {
            permits: granted.get_permits(),
            delay: microseconds(granted.get_delay_us()),
            spacing: microseconds(granted.get_spacing_us()),
        },
        Which::WithheldMs(withheld) => PermitReply::Withheld {
            retry_after: Duration::from_millis(withheld.into()),
        },
        Which::Unlimited(()) => PermitReply::Unlimited,
    })
}

/// Converts a time to microseconds, saturating at `u32::MAX` (71 minutes).
fn short_microseconds(time: Duration) -> u32 {
    u32::try_from(time.as_micros()).unwrap_or(u32::MAX)
}
