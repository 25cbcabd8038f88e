//! Requests of which no two are alike, and that share a part of their prompts which crashes
//! engines.

use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant};

use http::HeaderMap;
use jackdawwick::platform::prompt_parts::parse_shared_parts;
use tokio::task::JoinHandle;

use super::callers::{CallerContext, build_draft, connect, exchange};
use super::partition::ServedShare;
use super::run::{SoakRun, SoakSettings};

/// Id of the part that crashes each engine which begins to run a request with it.
const POISON_PART: &str = "badd";
/// Id of the first part of all requests, sound ones included.
const FIRST_PART: &str = "5a";
/// Interval of the requests with the part.
const POISON_INTERVAL: Duration = Duration::from_millis(250);
/// Pause of a caller between two sound calls.
const CALL_PAUSE: Duration = Duration::from_millis(80);
/// How long sound callers run before the first request with the part.
const CALM_TIME: Duration = Duration::from_secs(4);
/// Time in which hosts tell each other what they observed.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Number of ended engines from which hosts have to keep the part from further ones.
const ENDS_TO_NOTICE: usize = 5;
/// Time in which that number of engines ends, if requests with the part are not refused.
const ENDS_TIME: Duration = Duration::from_secs(5);
/// How long sound callers are observed while requests with the part go on.
const OBSERVATION_TIME: Duration = Duration::from_secs(6);

/// What callers and engines recorded.
#[derive(Debug, Clone, PartialEq)]
pub struct PoisonPartReport {
    /// Engines that ended.
    pub ended: usize,
    /// Requests with the part that reached engines later than the contact time after the
    /// fifth end.
    pub late_arrivals: usize,
    /// Sound calls before the first request with the part. No call is repeated.
    pub before: ServedShare,
    /// Sound calls from twice the contact time after the fifth end, or the last one if there
    /// are fewer, while requests with the part go on.
    pub after: ServedShare,
    /// Sound calls that were refused as poison.
    pub falsely_refused: usize,
}

/// Engines that ended before and after all hosts were killed and started again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PoisonPartRestartReport {
    /// Before.
    pub ended_before: usize,
    /// After.
    pub ended_after: usize,
}

/// A sound call and its outcome.
#[derive(Debug, Clone, Copy)]
struct SoundCall {
    sent: Instant,
    is_served: bool,
    is_refused_as_poison: bool,
}

/// Returns whether a request has the part that crashes engines.
pub(super) fn has_poison_part(headers: &HeaderMap) -> bool {
    let parts = parse_shared_parts(headers);
    parts.iter().any(|part| part.id == POISON_PART)
}

/// Sends requests with the part to one host after the other, beside sound callers.
///
/// # Errors
///
/// If processes or sockets cannot be set up.
pub async fn run_poison_part(settings: SoakSettings) -> io::Result<PoisonPartReport> {
    let mut run = SoakRun::open_served(settings).await?;
    let hosts = 0..run.hosts.len();
    let context = run.context.clone();
    let sound = hosts
        .map(|host| tokio::spawn(call_soundly(context.clone(), host)))
        .collect();
    run.run_for(CALM_TIME).await?;
    let begun = Instant::now();
    send_poison_for(&mut run, ENDS_TIME + 2 * CONTACT_TIME + OBSERVATION_TIME).await?;
    context.stop();
    let calls = join_calls(sound).await?;
    let noticed = run.crashes.iter().take(ENDS_TO_NOTICE).max().copied();
    let noticed = noticed.unwrap_or(begun);
    let fifth = run.crashes.get(ENDS_TO_NOTICE - 1);
    let arrivals = run.registry.poison_arrivals.lock().clone();
    let late = |at: &&Instant| fifth.is_some_and(|fifth| **at > *fifth + CONTACT_TIME);
    let share = |is_counted: &dyn Fn(Instant) -> bool| {
        let counted = calls.iter().filter(|call| is_counted(call.sent));
        ServedShare {
            sent: counted.clone().count(),
            served: counted.filter(|call| call.is_served).count(),
        }
    };
    let refused = calls.iter().filter(|call| call.is_refused_as_poison);
    Ok(PoisonPartReport {
        ended: run.crashes.len(),
        late_arrivals: arrivals.iter().filter(late).count(),
        before: share(&|sent| sent < begun),
        after: share(&|sent| sent > noticed + 2 * CONTACT_TIME),
        falsely_refused: refused.count(),
    })
}

/// Sends requests with the part until hosts refuse it, kills and restarts all hosts, and sends
/// more.
///
/// # Errors
///
/// If processes or sockets cannot be set up.
pub async fn run_poison_part_restart(
    settings: SoakSettings,
) -> io::Result<PoisonPartRestartReport> {
    let mut run = SoakRun::open_served(settings).await?;
    send_poison_for(&mut run, ENDS_TIME).await?;
    let ended_before = run.crashes.len();
    run.restart_all().await?;
    run.run_for(CONTACT_TIME).await?;
    send_poison_for(&mut run, CONTACT_TIME).await?;
    Ok(PoisonPartRestartReport {
        ended_before,
        ended_after: run.crashes.len() - ended_before,
    })
}

/// Sends requests with the part while the run goes on.
async fn send_poison_for(run: &mut SoakRun, time: Duration) -> io::Result<()> {
    let poison = tokio::spawn(send_poison(run.context.clone()));
    run.run_for(time).await?;
    poison.abort();
    Ok(())
}

async fn join_calls(callers: Vec<JoinHandle<Vec<SoundCall>>>) -> io::Result<Vec<SoundCall>> {
    let mut calls = Vec::new();
    for caller in callers {
        calls.extend(caller.await.map_err(io::Error::other)?);
    }
    Ok(calls)
}

/// Sends requests with the part until the callers are stopped, without waiting for their
/// responses.
async fn send_poison(context: Arc<CallerContext>) {
    for host in (0..context.fronts.len()).cycle() {
        if context.is_stopped() {
            return;
        }
        let id = context.allocate_id();
        let prefix = format!("{FIRST_PART}:40,{POISON_PART}:300,{}:50", own_part(&id));
        let address = context.fronts[host].address;
        tokio::spawn(async move {
            if let Some(mut connection) = connect(address).await {
                exchange(&mut connection, build_draft(&id, &prefix)).await;
            }
        });
        tokio::time::sleep(POISON_INTERVAL).await;
    }
}

/// Sends sound requests to a host until the callers are stopped.
async fn call_soundly(context: Arc<CallerContext>, host: usize) -> Vec<SoundCall> {
    let mut calls = Vec::new();
    while !context.is_stopped() {
        let id = context.allocate_id();
        let prefix = format!("{FIRST_PART}:40,{host:x}c:300,{}:50", own_part(&id));
        let sent = Instant::now();
        let response = match connect(context.fronts[host].address).await {
            Some(mut connection) => exchange(&mut connection, build_draft(&id, &prefix)).await,
            None => None,
        };
        let is_served = response.as_ref().is_some_and(|found| found.status == 200);
        let refused = response.filter(|found| found.body_contains("poison_request"));
        calls.push(SoundCall {
            sent,
            is_served,
            is_refused_as_poison: refused.is_some(),
        });
        tokio::time::sleep(CALL_PAUSE).await;
    }
    calls
}

/// Returns the id of a part that no other request has.
fn own_part(id: &str) -> String {
    let digits = id.chars().filter(char::is_ascii_digit);
    format!("f{}", digits.collect::<String>())
}
