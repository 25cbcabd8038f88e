//! Parameters of the simulation.

use std::time::Duration;

use jackdawwick::collections::FastMap;
use jackdawwick::ingress::{AcceleratorKind, EngineModel};

/// Parameters that all engines share.
#[derive(Debug, Clone)]
pub struct SimulationSettings {
    /// Performance model of the engines.
    pub model: EngineModel,
    /// Maximum number of prompt tokens read in one step.
    pub chunk: f64,
    /// Time that one million pairs of a token and an earlier token add to prefill, in
    /// milliseconds.
    pub pairs_per_m_ms: f64,
    /// Bytes transferred for each token.
    pub token_bytes: f64,
    /// Rate of the link of an engine, in megabits per second.
    pub link_mbps: f64,
    /// Rate of the link that all engines share between two zones, in megabits per second.
    pub zone_link_mbps: f64,
    /// One-way delay within a zone.
    pub same_zone_delay: Duration,
    /// One-way delay between zones.
    pub cross_zone_delay: Duration,
    /// Time for which a request waits for a dead engine.
    pub stall: Duration,
    /// Delay until a report shows a stalled request.
    pub report_lag: Duration,
}

impl Default for SimulationSettings {
    /// Returns a model of 80 layers on three kinds of accelerators.
    fn default() -> Self {
        let kind = |memory_mb, pace, read_factor| AcceleratorKind {
            memory_mb,
            pace,
            read_factor,
        };
        let kinds = [
            ("a100".into(), kind(72_000.0, 2.4, 3.2)),
            ("l40s".into(), kind(43_200.0, 5.6, 2.7)),
            ("l4".into(), kind(21_600.0, 16.0, 8.2)),
        ];
        Self {
            model: EngineModel {
                slots: 192,
                layers: 80,
                layer_mb: 1750.0,
                kv_token_bytes: 918_000.0,
                step_ms: 1.02,
                per_request_ms: 0.007_14,
                per_context_k_ms: 0.009_56,
                read_per_s: 105_000.0,
                stride: 3,
                load_s: 14.0,
                usual_prompt: 774,
                usual_answer: 203,
                kinds: kinds.into_iter().collect::<FastMap<_, _>>(),
            },
            chunk: 512.0,
            pairs_per_m_ms: 0.309,
            token_bytes: 45_900.0,
            link_mbps: 400_000.0,
            zone_link_mbps: 18_000.0,
            same_zone_delay: Duration::from_micros(200),
            cross_zone_delay: Duration::from_micros(500),
            stall: Duration::from_secs(2),
            report_lag: Duration::from_millis(200),
        }
    }
}

impl SimulationSettings {
    /// Returns the time to transfer `tokens` over the link of an engine.
    pub(super) fn link_time(&self, tokens: f64) -> Duration {
        transfer(tokens * self.token_bytes, self.link_mbps)
    }

    /// Returns the time to transfer `tokens` over the link between two zones.
    pub(super) fn zone_link_time(&self, tokens: f64) -> Duration {
        transfer(tokens * self.token_bytes, self.zone_link_mbps)
    }
}

fn transfer(bytes: f64, mbps: f64) -> Duration {
    Duration::from_secs_f64(bytes * 8.0 / (mbps * 1e6))
}
