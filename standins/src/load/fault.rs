//! Injects the fault in the middle of a run.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use tokio::time::sleep_until;

use super::LoadFault;
use crate::fleet::{Fleet, FleetEngine};

/// Stage whose target fails.
const FAILING_STAGE: usize = 1;
/// Delay of responses over the slow link, in milliseconds.
const SLOW_LINK_MS: u64 = 100;
/// Index of the entry host that is killed. It is not the last one, so that a failover
/// reaches the hosts after it.
const FAILING_HOST: usize = 1;

/// Time at which a fault begins and, if it is transient, ends.
#[derive(Debug, Clone, Copy)]
pub(super) struct FaultWindow {
    pub(super) begin: Instant,
    pub(super) end: Instant,
}

/// The fault that was injected, with its time.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct InjectedFault {
    /// Time of the fault.
    pub(super) at: Instant,
    /// Time of the fault, in microseconds since the Unix epoch.
    pub(super) at_micros: u64,
    /// The target that was killed, if any.
    pub(super) target: Option<String>,
    /// Index of the entry host that was killed, if any.
    pub(super) host: Option<usize>,
}

/// Waits for the window, injects the fault and ends it if it is transient.
pub(super) async fn inject_fault(
    fleet: &mut Fleet,
    fault: LoadFault,
    window: FaultWindow,
) -> Option<InjectedFault> {
    if fault == LoadFault::None {
        return None;
    }
    sleep_until(window.begin.into()).await;
    let mut injected = InjectedFault {
        at: Instant::now(),
        at_micros: now_micros(),
        target: None,
        host: None,
    };
    match fault {
        LoadFault::StageKill => {
            let engine = fastest_engine(fleet)?;
            engine.server.crash();
            injected.target = Some(engine.target.name.clone());
        }
        LoadFault::HostKill => {
            fleet.daemons.get_mut(FAILING_HOST)?.kill().await;
            injected.host = Some(FAILING_HOST);
        }
        transient => {
            set_transient_fault(fleet, transient, true);
            sleep_until(window.end.into()).await;
            set_transient_fault(fleet, transient, false);
        }
    }
    Some(injected)
}

/// Begins or ends a transient fault.
fn set_transient_fault(fleet: &Fleet, fault: LoadFault, is_on: bool) {
    match fault {
        LoadFault::SlowLink => {
            let normal_delay = fleet.layout.link_delay_ms;
            let delay = if is_on { SLOW_LINK_MS } else { normal_delay };
            if let Some(engine) = fastest_engine(fleet) {
                let faults = engine.server.faults();
                faults.update(|faults| faults.link_delay_ms = delay);
            }
        }
        LoadFault::PlatformOutage => {
            let faults = fleet.platform.faults();
            faults.update(|faults| faults.outage = is_on);
        }
        LoadFault::ZoneCut => {
            if let Some(proxy) = fleet.zone_proxies.first() {
                proxy.set_cut(is_on);
            }
        }
        LoadFault::None | LoadFault::StageKill | LoadFault::HostKill => {}
    }
}

/// Returns the fastest engine of the failing stage, whose loss costs the most capacity.
fn fastest_engine(fleet: &Fleet) -> Option<&FleetEngine> {
    let stage = fleet.engines.iter();
    stage
        .filter(|engine| engine.stage == FAILING_STAGE)
        .max_by(|left, right| {
            let (left, right) = (&left.target, &right.target);
            left.tokens_per_second.total_cmp(&right.tokens_per_second)
        })
}

fn now_micros() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.unwrap_or(Duration::ZERO).as_micros() as u64
}
