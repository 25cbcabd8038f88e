//! A request that crashes engines and is sent repeatedly.

use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant};

use http::Method;
use nix::sys::signal::Signal;

use super::callers::{CallerContext, build_request, connect, exchange};
use super::faults::FaultEnd;
use super::run::{POLL_INTERVAL, SoakRun, SoakSettings};

/// Path of the request that crashes engines.
pub(super) const POISON_PATH: &str = "/draft/poison";
/// Time until an engine crashes, during which the request has begun to run.
pub(super) const CRASH_TIME: Duration = Duration::from_millis(60);
/// Delay after which another engine replaces a crashed one.
const REPLACEMENT_DELAY: Duration = Duration::from_millis(1500);
/// How long a caller waits for a response.
const DEADLINE: Duration = Duration::from_secs(4);
/// Time within which all hosts refuse a request that any of them has identified, also
/// after a restart of all hosts.
const PROPAGATION_TIME: Duration = Duration::from_secs(3);
/// Timeout of the first refusal of the request.
const FIRST_REFUSAL_TIMEOUT: Duration = Duration::from_secs(30);

/// Outcome of a request that crashes engines.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PoisonReport {
    /// Engines that crashed before the request was refused.
    pub crashed: usize,
    /// Hosts that refuse the request.
    pub refused_by: usize,
    /// Hosts that refuse the request after all were killed and restarted.
    pub refused_after_restart: usize,
    /// Engines that crashed after the request was refused.
    pub crashed_later: usize,
}

/// Sends a request that crashes engines to one host after the other until it is refused.
/// Then sends it to all hosts, kills and restarts them, and sends it to all again.
///
/// # Errors
///
/// If processes or sockets cannot be set up.
pub async fn run_poison_request(settings: SoakSettings) -> io::Result<PoisonReport> {
    let mut run = SoakRun::open(settings).await?;
    if !run.wait_until_served().await {
        return Err(io::Error::other("the hosts do not serve requests"));
    }
    let until = Instant::now() + FIRST_REFUSAL_TIMEOUT;
    for host in (0..run.hosts.len()).cycle() {
        if run.is_refused_by(host).await? || Instant::now() >= until {
            break;
        }
        // The next host has to know what this host observed.
        run.run_for(PROPAGATION_TIME).await?;
    }
    let crashed = run.crashes.len();
    run.run_for(PROPAGATION_TIME).await?;
    let refused_by = run.count_refusing_hosts().await?;
    run.restart_all().await?;
    run.run_for(PROPAGATION_TIME).await?;
    let refused_after_restart = run.count_refusing_hosts().await?;
    run.run_for(CRASH_TIME * 2).await?;
    Ok(PoisonReport {
        crashed,
        refused_by,
        refused_after_restart,
        crashed_later: run.crashes.len() - crashed,
    })
}

/// Returns whether a host refuses the request.
async fn is_refused(context: Arc<CallerContext>, host: usize) -> bool {
    let Some(mut connection) = connect(context.fronts[host].address).await else {
        return false;
    };
    let request = build_request(&context.allocate_id(), Method::POST, POISON_PATH, DEADLINE);
    let response = exchange(&mut connection, request).await;
    response
        .is_some_and(|response| response.status == 502 && response.body_contains("poison_request"))
}

impl SoakRun {
    /// Kills all hosts at once and starts them again.
    pub(super) async fn restart_all(&mut self) -> io::Result<()> {
        for host in &mut self.hosts {
            host.host.signal(Signal::SIGKILL);
        }
        for host in 0..self.hosts.len() {
            self.take_down(host, true, Duration::ZERO);
        }
        self.heal_all().await
    }

    /// Returns the number of hosts that refuse the request.
    async fn count_refusing_hosts(&mut self) -> io::Result<usize> {
        let mut refusing = 0;
        for host in 0..self.hosts.len() {
            refusing += usize::from(self.is_refused_by(host).await?);
        }
        Ok(refusing)
    }

    /// Sends the request to a host, replaces engines that crash meanwhile, and returns
    /// whether the host refused it.
    async fn is_refused_by(&mut self, host: usize) -> io::Result<bool> {
        let refusal = tokio::spawn(is_refused(self.context.clone(), host));
        while !refusal.is_finished() {
            self.run_for(POLL_INTERVAL).await?;
        }
        refusal.await.map_err(io::Error::other)
    }

    /// Waits and replaces engines that crash meanwhile.
    pub(super) async fn run_for(&mut self, time: Duration) -> io::Result<()> {
        let until = Instant::now() + time;
        while Instant::now() < until {
            self.stop_crashed_engines();
            self.end_due_faults(Instant::now()).await?;
            tokio::time::sleep(POLL_INTERVAL.min(time)).await;
        }
        Ok(())
    }

    /// Stops the engines that have begun to run the request.
    pub(super) fn stop_crashed_engines(&mut self) {
        for index in 0..self.targets.len() {
            if !self.targets[index].take_poisoned() {
                continue;
            }
            self.targets[index].exit();
            self.crashes.push(Instant::now());
            self.end_after(REPLACEMENT_DELAY, FaultEnd::Replace(index));
        }
    }
}
