//! A request that engines do not survive, sent again and again.

use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant};

use http::Method;
use nix::sys::signal::Signal;

use super::callers::{CallerContext, build_request, connect, exchange};
use super::faults::FaultEnd;
use super::run::{POLL_INTERVAL, SoakRun, SoakSettings};

/// Path of the request that engines do not survive.
pub(super) const POISON_PATH: &str = "/draft/poison";
/// How long an engine takes to crash: the request has begun to run then.
pub(super) const CRASH_TIME: Duration = Duration::from_millis(60);
/// Time after which another engine takes the place of one that crashed.
const REPLACEMENT_DELAY: Duration = Duration::from_millis(1500);
/// How long a caller waits for an answer.
const DEADLINE: Duration = Duration::from_secs(4);
/// Time within which all hosts refuse what any of them has found out, also after a
/// start of all of them.
const PROPAGATION_TIME: Duration = Duration::from_secs(3);
/// How long it may take until the request is refused at first.
const FIRST_REFUSAL_TIMEOUT: Duration = Duration::from_secs(30);

/// What became of a request that engines do not survive.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PoisonReport {
    /// Engines that crashed until it was refused.
    pub crashed: usize,
    /// Hosts that refuse it.
    pub refused_by: usize,
    /// Hosts that refuse it after all were killed and started again.
    pub refused_after_restart: usize,
    /// Engines that crashed after it was refused.
    pub crashed_later: usize,
}

/// Sends a request that engines do not survive to one host after the other, until it is
/// refused; asks all hosts, kills them, and asks them again.
///
/// # Errors
///
/// If processes or sockets cannot be set up.
pub async fn run_poison_request(settings: SoakSettings) -> io::Result<PoisonReport> {
    let mut run = SoakRun::open(settings).await?;
    if !run.wait_until_served().await {
        return Err(io::Error::other("the hosts do not serve"));
    }
    let until = Instant::now() + FIRST_REFUSAL_TIMEOUT;
    for host in (0..run.hosts.len()).cycle() {
        if run.is_refused_by(host).await? || Instant::now() >= until {
            break;
        }
        // What this host saw is known to the next one.
        run.run_for(PROPAGATION_TIME).await?;
    }
    let crashed = run.crashed;
    run.run_for(PROPAGATION_TIME).await?;
    let refused_by = run.count_refusing_hosts().await?;
    for host in &mut run.hosts {
        host.host.signal(Signal::SIGKILL);
    }
    for host in 0..run.hosts.len() {
        run.take_down(host, true, Duration::ZERO);
    }
    run.heal_all().await?;
    run.run_for(PROPAGATION_TIME).await?;
    let refused_after_restart = run.count_refusing_hosts().await?;
    run.run_for(CRASH_TIME * 2).await?;
    Ok(PoisonReport {
        crashed,
        refused_by,
        refused_after_restart,
        crashed_later: run.crashed - crashed,
    })
}

/// Whether a host refuses the request.
async fn is_refused(context: Arc<CallerContext>, host: usize) -> bool {
    let Some(mut connection) = connect(context.fronts[host].address).await else {
        return false;
    };
    let request = build_request(&context.allocate_id(), Method::POST, POISON_PATH, DEADLINE);
    let answer = exchange(&mut connection, request).await;
    answer.is_some_and(|answer| answer.status == 502 && answer.body_contains("poison_request"))
}

impl SoakRun {
    /// Hosts that refuse the request.
    async fn count_refusing_hosts(&mut self) -> io::Result<usize> {
        let mut refusing = 0;
        for host in 0..self.hosts.len() {
            refusing += usize::from(self.is_refused_by(host).await?);
        }
        Ok(refusing)
    }

    /// Sends the request to a host, whose engines may crash meanwhile.
    async fn is_refused_by(&mut self, host: usize) -> io::Result<bool> {
        let asked = tokio::spawn(is_refused(self.context.clone(), host));
        while !asked.is_finished() {
            self.run_for(POLL_INTERVAL).await?;
        }
        asked.await.map_err(io::Error::other)
    }

    /// Lets some time pass, and replaces engines that crash meanwhile.
    async fn run_for(&mut self, time: Duration) -> io::Result<()> {
        let until = Instant::now() + time;
        while Instant::now() < until {
            self.stop_crashed_engines();
            self.end_due_faults(Instant::now()).await?;
            tokio::time::sleep(POLL_INTERVAL.min(time)).await;
        }
        Ok(())
    }

    /// Ends the engines that have begun to run the request.
    pub(super) fn stop_crashed_engines(&mut self) {
        for index in 0..self.targets.len() {
            if !self.targets[index].take_poisoned() {
                continue;
            }
            self.targets[index].end();
            self.crashed += 1;
            self.end_after(REPLACEMENT_DELAY, FaultEnd::Replace(index));
        }
    }
}
