//! Builds the view of capacity and demand that decisions about load read.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::capacity::{CapacityView, PriorityDemand, build_view};
use crate::entry::peer_exchange::PeerState;
use crate::forward::ServingTables;

/// Interval between two views; hosts report to each other as often.
const REFRESH_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between two log lines of a zone and service.
const LOG_INTERVAL: Duration = Duration::from_secs(5);

/// Builds the view anew, again and again; runs forever.
pub(super) async fn refresh_capacity(tables: Arc<ServingTables>, peer_state: Arc<PeerState>) {
    let mut ticks = tokio::time::interval(REFRESH_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut logged_at = None;
    loop {
        ticks.tick().await;
        let now = Instant::now();
        refresh(&tables, now);
        if logged_at.is_none_or(|at| now >= at + LOG_INTERVAL) {
            logged_at = Some(now);
            // One host of each zone writes the lines of its zone.
            if peer_state.leaders(now, 1).is_empty() {
                log_zone(&tables, &tables.capacity.load());
            }
        }
    }
}

/// Builds the view of the services in the configuration and puts it into the tables.
fn refresh(tables: &ServingTables, now: Instant) {
    let Some(configuration) = tables.configuration.load_full() else {
        return;
    };
    let services = configuration.services.iter();
    let services = services.filter_map(|(name, spec)| Some((name, spec.engine.as_ref()?)));
    // Copied first, since no two locks are held at once.
    let demand = tables.demand.lock().zones(&tables.zone, now);
    let view = build_view(services, &tables.fleet.lock(), &demand, now);
    tables.metrics.capacity_known(&view);
    tables.capacity.store(Arc::new(view));
}

fn log_zone(tables: &ServingTables, view: &CapacityView) {
    for (service, capacity) in &view.services {
        let Some(zone) = capacity.zone(&tables.zone) else {
            continue;
        };
        let by_priority = |of: &dyn Fn(&PriorityDemand) -> f64| {
            let demand = zone.demand.iter();
            let texts = demand.map(|demand| format!("{}:{:.1}", demand.priority, of(demand)));
            texts.collect::<Vec<_>>().join(",")
        };
        log::info!(
            service:% = service,
            zone:% = zone.zone,
            concurrent = zone.concurrent as u64,
            in_flight = zone.in_flight as u64,
            prompt_per_s = zone.prompt_per_s as u64,
            unread = zone.unread as u64,
            arrivals_per_s:% = by_priority(&|demand| demand.arrivals_per_s),
            refused_per_s:% = by_priority(&|demand| demand.refused_per_s),
            waiting:% = by_priority(&|demand| f64::from(demand.waiting)),
            organisations = zone.organisations.len(),
            demand_age_ms = zone.demand_age.as_millis() as u64;
            "capacity"
        );
    }
}
