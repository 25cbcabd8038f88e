//! Even split of capacity over zones.

use std::collections::{BTreeMap, BTreeSet};

use super::units::ShareUnits;
use crate::ids::ZoneId;

/// Splits `bought` evenly over `zones`. The remainder goes to the first zones by name,
/// one unit each, so that all hosts compute the same split.
pub fn even_split(bought: ShareUnits, zones: &BTreeSet<ZoneId>) -> BTreeMap<ZoneId, ShareUnits> {
    let count = u32::try_from(zones.len()).unwrap_or(u32::MAX);
    (0..)
        .zip(zones)
        .map(|(index, zone)| {
            let part = |all: u32| all / count + u32::from(index < all % count);
            let units = ShareUnits::new(
                part(bought.concurrent_requests),
                part(bought.requests_per_minute),
            );
            (zone.clone(), units)
        })
        .collect()
}
