//! Series of measurements and the sizes of their fleets.

use crate::json_client::CallError;

/// Every series with its default values.
pub const SERIES: [(&str, &[u64]); 13] = [
    ("hosts", &[2, 4, 8, 16, 24]),
    ("zones", &[1, 2, 4]),
    ("targets", &[10, 40, 160, 400]),
    ("organisations", &[10, 100, 400]),
    ("models", &[1, 8, 23]),
    ("changes", &[0, 1, 5, 20]),
    ("changes_large", &[0, 1, 5, 20]),
    ("size_to_come", &[0, 4, 19]),
    ("stages", &[1, 2, 4]),
    ("tokens", &[16, 64, 256, 480]),
    ("replay", &[100, 400, 1_100]),
    ("admission", &[10, 100, 400]),
    ("routing", &[4, 16, 48]),
];

/// Size of a fleet without callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlopeShape {
    /// Entry hosts in each zone.
    pub hosts: usize,
    /// Availability zones with `hosts` hosts each.
    pub zones: usize,
    /// Further availability zones with one host each.
    pub further_zones: usize,
    /// Total number of targets.
    pub targets: usize,
    /// Organisations.
    pub organisations: usize,
    /// Models, each with one pipeline.
    pub models: usize,
    /// Declared changes per second.
    pub changes: usize,
}

impl SlopeShape {
    /// Values that all series share.
    pub const BASE: Self = Self {
        hosts: 8,
        zones: 1,
        further_zones: 0,
        targets: 48,
        organisations: 10,
        models: 1,
        changes: 0,
    };

    /// Returns the base values with one parameter changed.
    ///
    /// # Errors
    /// If the series is unknown.
    pub fn varied(series: &str, value: usize) -> Result<Self, CallError> {
        let mut shape = Self::BASE;
        let varied = match series {
            "hosts" => &mut shape.hosts,
            "zones" => &mut shape.zones,
            "targets" => &mut shape.targets,
            "organisations" => &mut shape.organisations,
            "models" => &mut shape.models,
            "changes" => &mut shape.changes,
            "changes_large" => {
                (shape.targets, shape.organisations) = (400, 400);
                &mut shape.changes
            }
            "size_to_come" => {
                shape = Self::planned_size(value);
                &mut shape.further_zones
            }
            _ => return Err(format!("unknown series {series}").into()),
        };
        *varied = value;
        Ok(shape)
    }

    /// Returns the planned size: one zone with all its hosts, and further zones with one
    /// host each.
    fn planned_size(further_zones: usize) -> Self {
        Self {
            hosts: 20,
            targets: 55 * (1 + further_zones),
            organisations: 400,
            models: 23,
            further_zones,
            ..Self::BASE
        }
    }

    /// Returns the number of daemons.
    pub fn daemons(&self) -> usize {
        self.hosts * self.zones + self.further_zones
    }

    /// Returns the zone of a daemon.
    pub fn zone_of_host(&self, number: usize) -> usize {
        let further = (number + 1).checked_sub(self.hosts * self.zones);
        match further {
            None | Some(0) => number % self.zones,
            Some(further) => self.zones - 1 + further,
        }
    }

    /// Returns the zone of a target.
    pub fn zone_of_target(&self, number: usize) -> usize {
        number % (self.zones + self.further_zones)
    }
}
