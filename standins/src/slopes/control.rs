//! Resources that daemons use while there are no requests.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use jackdawwick::lease::record::{LeaseBody, LeaseEntry};
use jackdawwick::records::{LEASE_STREAM, LogRecord};
use tokio::time::{MissedTickBehavior, interval, sleep};

use super::fleet::{SlopeFleet, organisation, zone_name};
use super::usage::{ThreadSample, resident_megabytes};
use super::{SlopeFigures, SlopeShape};
use crate::json_client::CallError;
use crate::operator;

/// Time in which leases are acquired and loads are exchanged.
const WARM_UP: Duration = Duration::from_secs(4);
const PERCENT: f64 = 100.0;

/// Starts a fleet, waits for the warm-up and measures it for `window`.
pub(super) async fn measure(
    shape: &SlopeShape,
    window: Duration,
) -> Result<SlopeFigures, CallError> {
    let memory_before = resident_megabytes();
    let mut fleet = SlopeFleet::start(shape).await?;
    let operators = fleet.daemons[0].operators;
    let changing = (shape.changes > 0).then(|| tokio::spawn(change(operators, shape.changes)));
    sleep(WARM_UP).await;
    let counts_before = fleet.counts.lock().clone();
    let before = ThreadSample::take();
    sleep(window).await;
    let after = ThreadSample::take();
    let counts_after = fleet.counts.lock().clone();
    let memory = resident_megabytes() - memory_before;
    if let Some(changing) = changing {
        changing.abort();
    }
    let daemons = fleet.daemons.len() as f64;
    let seconds = after.seconds_since(&before);
    let peers = after.peers_since(&before) / daemons;
    let percent = |host: &str| (after.used_since(&before, host) + peers) / seconds * PERCENT;
    let orders = lease_holder(&fleet, "orders/zone-0")?;
    let shares = lease_holder(&fleet, "zone-shares/zone-0")?;
    // In the runs with changes the first host receives the calls of the operator.
    let ordinary = fleet.daemons[1..].iter();
    let mut ordinary: Vec<f64> = ordinary
        .filter(|daemon| daemon.zone == zone_name(0))
        .filter(|daemon| daemon.host != orders && daemon.host != shares)
        .map(|daemon| percent(&daemon.host))
        .collect();
    ordinary.sort_by(f64::total_cmp);
    let mut figures = SlopeFigures::new();
    let mut put = |name: &str, figure: f64| figures.insert(name.to_owned(), figure);
    if let Some(median) = ordinary.get(ordinary.len() / 2) {
        put("processor, % of a core: ordinary host", *median);
    }
    put("processor, % of a core: first host", percent("host-0"));
    put("processor, % of a core: holder of orders", percent(&orders));
    put("processor, % of a core: holder of shares", percent(&shares));
    put(
        "processor, % of a core: thread for peers",
        peers / seconds * PERCENT,
    );
    put("memory, MB a daemon", memory / daemons);
    let mut all_bytes = 0.0;
    for (kind, count) in &counts_after {
        let earlier = counts_before.get(kind).copied().unwrap_or_default();
        let each = seconds * daemons;
        // Both the sending and the receiving peer spend resources on a message.
        let ends = if kind == "peers" { 2.0 } else { 1.0 };
        let messages = (count.messages - earlier.messages) as f64 * ends / each;
        let bytes = (count.bytes - earlier.bytes) as f64 * ends / each;
        put(&format!("messages/s a daemon: {kind}"), messages);
        put(&format!("bytes/s a daemon: {kind}"), bytes);
        if kind.starts_with("POST") {
            put(&format!("appends/s in all: {kind}"), messages * daemons);
        }
        all_bytes += bytes;
    }
    put("bytes/s a daemon: all", all_bytes);
    let seconds = time_to_apply(&fleet).await?;
    put("time until one change is in force everywhere, s", seconds);
    fleet.shutdown().await;
    Ok(figures)
}

/// Returns the seconds from the call of an operator until the change was seen as applied
/// on every daemon, polled one after the other.
async fn time_to_apply(fleet: &SlopeFleet) -> Result<f64, CallError> {
    let started = Instant::now();
    let declared = [organisation(0, 0)];
    let version = operator::declare_all(fleet.daemons[0].operators, &declared).await?;
    fleet.wait_until_applied(version).await?;
    Ok(started.elapsed().as_secs_f64())
}

/// Returns the host that renewed a lease last.
fn lease_holder(fleet: &SlopeFleet, name: &str) -> Result<String, CallError> {
    let records = fleet.platform.record(LEASE_STREAM);
    let renewed = records.iter().rev().find_map(|record| {
        let record: LogRecord<LeaseBody> = serde_json::from_str(&record.body).ok()?;
        let renews = matches!(record.body.entry, LeaseEntry::Renew { .. });
        (renews && &*record.body.name == name).then(|| record.writer.to_string())
    });
    Ok(renewed.ok_or_else(|| format!("no host holds the lease {name}"))?)
}

/// Declares changes of one organisation periodically.
async fn change(operators: SocketAddr, per_second: usize) {
    let mut ticks = interval(Duration::from_secs(1) / per_second as u32);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
    for round in 2.. {
        ticks.tick().await;
        let declared = operator::declare_all(operators, &[organisation(0, round)]).await;
        if let Err(error) = declared {
            log::warn!("cannot declare the organisation: {error}");
        }
    }
}
