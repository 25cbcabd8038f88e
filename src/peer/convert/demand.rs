//! Encoding of the demand of callers and of the targets found ended, as one list per field:
//! a list of structures takes twice the bytes.

use std::time::Duration;

use super::{length, short_milliseconds};
use crate::capacity::{DemandReport, OrganisationRate, PriorityRate};
use crate::fleet::EndedTarget;
use crate::peer_capnp as wire;

/// Most entries of a list that are read: a host sends fewer, and a report costs memory and
/// time at every host.
const MAX_ENTRIES: u32 = 32;

/// Encodes a report of demand.
pub(super) fn write_demand(mut builder: wire::demand_listing::Builder<'_>, report: &DemandReport) {
    let count = length(report.priorities.len());
    let mut services = builder.reborrow().init_services(count);
    for (index, rate) in (0..).zip(&report.priorities) {
        services.set(index, rate.service);
    }
    let mut priorities = builder.reborrow().init_priorities(count);
    for (index, rate) in (0..).zip(&report.priorities) {
        priorities.set(index, rate.priority);
    }
    let mut arrivals = builder.reborrow().init_arrivals(count);
    for (index, rate) in (0..).zip(&report.priorities) {
        arrivals.set(index, rate.arrivals_per_s as f32);
    }
    let mut refusals = builder.reborrow().init_refusals(count);
    for (index, rate) in (0..).zip(&report.priorities) {
        refusals.set(index, rate.refused_per_s as f32);
    }
    let mut waiting = builder.reborrow().init_waiting(count);
    for (index, rate) in (0..).zip(&report.priorities) {
        waiting.set(index, u16::try_from(rate.waiting).unwrap_or(u16::MAX));
    }
    let place = |rate: &OrganisationRate| {
        let key = (rate.service, rate.priority);
        let listed = report.priorities.iter();
        let mut listed = listed.map(|rate| (rate.service, rate.priority));
        listed.position(|listed| listed == key)
    };
    let placed = report.organisations.iter();
    let placed = placed.filter_map(|rate| Some((rate, u8::try_from(place(rate)?).ok()?)));
    let placed = placed.collect::<Vec<_>>();
    let count = length(placed.len());
    let mut organisations = builder.reborrow().init_organisations(count);
    for (index, (rate, _)) in (0..).zip(&placed) {
        organisations.set(index, rate.organisation);
    }
    let mut places = builder.reborrow().init_places(count);
    for (index, (_, place)) in (0..).zip(&placed) {
        places.set(index, *place);
    }
    let mut arrivals = builder.reborrow().init_organisation_arrivals(count);
    for (index, (rate, _)) in (0..).zip(&placed) {
        arrivals.set(index, rate.arrivals_per_s as f32);
    }
    builder.set_age_ms(short_milliseconds(report.age));
}

/// Decodes a report of demand.
///
/// # Errors
/// Fails if lists differ in length or an organisation refers to no priority.
pub(super) fn read_demand(reader: wire::demand_listing::Reader<'_>) -> capnp::Result<DemandReport> {
    let (services, listed) = (reader.get_services()?, reader.get_priorities()?);
    let (arrivals, refusals) = (reader.get_arrivals()?, reader.get_refusals()?);
    let waiting = reader.get_waiting()?;
    let lengths = [listed.len(), arrivals.len(), refusals.len(), waiting.len()];
    let organisations = reader.get_organisations()?;
    let (places, rates) = (reader.get_places()?, reader.get_organisation_arrivals()?);
    let is_uneven = lengths.iter().any(|length| *length != services.len())
        || [places.len(), rates.len()]
            .iter()
            .any(|length| *length != organisations.len());
    if is_uneven {
        let text = "the lists of demand differ in length";
        return Err(capnp::Error::failed(text.to_owned()));
    }
    let priorities = (0..services.len().min(MAX_ENTRIES)).map(|index| PriorityRate {
        service: services.get(index),
        priority: listed.get(index),
        arrivals_per_s: rate(arrivals.get(index)),
        refused_per_s: rate(refusals.get(index)),
        waiting: waiting.get(index).into(),
    });
    let priorities = priorities.collect::<Vec<_>>();
    let organisations = (0..organisations.len().min(MAX_ENTRIES)).map(|index| {
        let place = usize::from(places.get(index));
        let listed = priorities.get(place).ok_or_else(|| {
            let text = "an organisation refers to a priority that is not listed";
            capnp::Error::failed(text.to_owned())
        })?;
        Ok(OrganisationRate {
            organisation: organisations.get(index),
            service: listed.service,
            priority: listed.priority,
            arrivals_per_s: rate(rates.get(index)),
        })
    });
    let organisations = organisations.collect::<capnp::Result<_>>()?;
    Ok(DemandReport {
        priorities,
        organisations,
        age: Duration::from_millis(reader.get_age_ms().into()),
    })
}

/// Returns a rate as a number that can be added up.
fn rate(sent: f32) -> f64 {
    match sent.is_finite() {
        true => f64::from(sent.max(0.0)),
        false => 0.0,
    }
}

/// Encodes the targets found ended.
pub(super) fn write_ended(mut builder: wire::ended_listing::Builder<'_>, ended: &[EndedTarget]) {
    let count = length(ended.len());
    let mut keys = builder.reborrow().init_keys(count);
    for (index, target) in (0..).zip(ended) {
        keys.set(index, target.key);
    }
    let mut ages = builder.init_ages_ms(count);
    for (index, target) in (0..).zip(ended) {
        let age_ms = target.age.as_millis();
        ages.set(index, u16::try_from(age_ms).unwrap_or(u16::MAX));
    }
}

/// Decodes the targets found ended.
///
/// # Errors
/// Fails if the lists differ in length.
pub(super) fn read_ended(
    reader: wire::ended_listing::Reader<'_>,
) -> capnp::Result<Vec<EndedTarget>> {
    let (keys, ages) = (reader.get_keys()?, reader.get_ages_ms()?);
    if keys.len() != ages.len() {
        let text = "the lists of ended targets differ in length";
        return Err(capnp::Error::failed(text.to_owned()));
    }
    let ended = (0..keys.len().min(MAX_ENTRIES)).map(|index| EndedTarget {
        key: keys.get(index),
        age: Duration::from_millis(ages.get(index).into()),
    });
    Ok(ended.collect())
}
