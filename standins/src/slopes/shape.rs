//! What is varied.

use crate::json_client::CallError;

/// Every series with its usual values.
pub const SERIES: [(&str, &[u64]); 12] = [
    ("hosts", &[2, 4, 8, 16, 24]),
    ("zones", &[1, 2, 4]),
    ("targets", &[10, 40, 160, 400]),
    ("organisations", &[10, 100, 400]),
    ("models", &[1, 8, 23]),
    ("changes", &[0, 1, 5, 20]),
    ("changes_large", &[0, 1, 5, 20]),
    ("stages", &[1, 2, 4]),
    ("tokens", &[16, 64, 256, 480]),
    ("replay", &[100, 400, 1_100]),
    ("admission", &[10, 100, 400]),
    ("routing", &[4, 16, 48]),
];

/// A fleet without callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlopeShape {
    /// Entry hosts in each zone.
    pub hosts: usize,
    /// Availability zones.
    pub zones: usize,
    /// Targets in all.
    pub targets: usize,
    /// Organisations.
    pub organisations: usize,
    /// Models, each with one pipeline.
    pub models: usize,
    /// Declared changes a second.
    pub changes: usize,
}

impl SlopeShape {
    /// What all series have in common.
    pub const BASE: Self = Self {
        hosts: 8,
        zones: 1,
        targets: 48,
        organisations: 10,
        models: 1,
        changes: 0,
    };

    /// The base with one thing changed.
    ///
    /// # Errors
    /// If there is no such series.
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
            _ => return Err(format!("no series {series}").into()),
        };
        *varied = value;
        Ok(shape)
    }
}
