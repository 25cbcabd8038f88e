//! An entry host that runs as a separate process.

use std::fs::File;
use std::io::{self, BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdout, Command, Stdio};
use std::time::{Duration, Instant};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde::Deserialize;
use tokio::sync::watch;

use super::configuration::{HostBounds, host_settings};
use super::host_link::LinkLoss;
use super::link::FaultLink;

/// Addresses on which a process listens.
#[derive(Debug, Clone, Copy, Deserialize)]
pub(super) struct ListenAddresses {
    callers: SocketAddr,
    pub(super) readiness: SocketAddr,
    peers: SocketAddr,
}

/// One entry host, over the successive processes that run it.
#[derive(Debug)]
pub(super) struct SoakHost {
    pub(super) name: String,
    zone: String,
    index: usize,
    program: PathBuf,
    folder: PathBuf,
    bounds: HostBounds,
    /// Link from callers to the host.
    pub(super) front: FaultLink,
    /// Link from the host to the log service.
    pub(super) log: FaultLink,
    /// Link from other hosts that know this host only as a seed.
    pub(super) seed: FaultLink,
    child: Option<Child>,
    /// How the host has lost its own links to the targets, if it has some.
    pub(super) target_links: watch::Sender<Option<LinkLoss>>,
    /// When the output of the current process ended, and with it the process.
    ended: watch::Receiver<Option<Instant>>,
    /// Number of processes started so far.
    pub(super) incarnation: u32,
    /// Addresses on which the current process listens.
    pub(super) listening: watch::Receiver<Option<ListenAddresses>>,
}

impl SoakHost {
    /// Opens the links of a host; [`Self::start`] starts its process.
    ///
    /// # Errors
    ///
    /// If no port can be listened on.
    pub(super) async fn open(
        index: usize,
        zone: &str,
        log: SocketAddr,
        program: &Path,
        folder: &Path,
        bounds: HostBounds,
    ) -> io::Result<Self> {
        Ok(Self {
            name: format!("host-{index}"),
            zone: zone.to_owned(),
            index,
            program: program.to_owned(),
            folder: folder.to_owned(),
            bounds,
            front: FaultLink::open(None).await?,
            log: FaultLink::open(Some(log)).await?,
            seed: FaultLink::open(None).await?,
            target_links: watch::Sender::new(None),
            child: None,
            ended: watch::channel(None).1,
            incarnation: 0,
            listening: watch::channel(None).1,
        })
    }

    /// Starts a new process and waits until it listens.
    ///
    /// # Errors
    ///
    /// If it cannot be started or ends before it listens.
    pub(super) async fn start(
        &mut self,
        seeds: &[SocketAddr],
        internal_port: u16,
    ) -> io::Result<()> {
        const LISTEN_TIMEOUT: Duration = Duration::from_secs(10);
        let settings = self.folder.join(format!("{}.json", self.name));
        let text = host_settings(
            &self.name,
            &self.zone,
            self.index,
            self.log.address,
            seeds,
            internal_port,
            self.bounds,
        );
        std::fs::write(&settings, text)?;
        self.incarnation += 1;
        let log = format!("{}.{}.log", self.name, self.incarnation);
        let mut child = Command::new(&self.program)
            .arg("--platform")
            .env(jackdawwick::platform::names::SETTINGS_VARIABLE, &settings)
            .stdout(Stdio::piped())
            .stderr(File::create(self.folder.join(format!("{log}.err")))?)
            .spawn()?;
        let (sender, mut listening) = watch::channel(None);
        if let Some(output) = child.stdout.take() {
            let file = File::create(self.folder.join(log))?;
            let (ended, receiver) = watch::channel(None);
            self.ended = receiver;
            std::thread::spawn(move || {
                save_output(output, file, &sender);
                ended.send_replace(Some(Instant::now()));
            });
        }
        self.child = Some(child);
        self.listening = listening.clone();
        let waited = listening.wait_for(Option::is_some);
        let line = match tokio::time::timeout(LISTEN_TIMEOUT, waited).await {
            Ok(Ok(line)) => *line,
            _ => None,
        };
        let line =
            line.ok_or_else(|| io::Error::other(format!("{} does not listen", self.name)))?;
        self.front.set_server(Some(line.callers));
        self.seed.set_server(Some(line.peers));
        Ok(())
    }

    /// Returns when the current process ended.
    pub(super) fn end(&self) -> Option<Instant> {
        *self.ended.borrow()
    }

    /// Returns the log of the current process.
    ///
    /// # Errors
    ///
    /// If it cannot be read.
    pub(super) fn log_text(&self) -> io::Result<String> {
        let log = format!("{}.{}.log", self.name, self.incarnation);
        std::fs::read_to_string(self.folder.join(log))
    }

    /// Returns the peak resident memory of the current process, in bytes.
    ///
    /// # Errors
    ///
    /// If no process runs, or the system does not state it.
    pub(super) fn peak_memory(&self) -> io::Result<u64> {
        let child = self.child.as_ref();
        let id = child.map(Child::id).ok_or(io::ErrorKind::NotFound)?;
        let status = std::fs::read_to_string(format!("/proc/{id}/status"))?;
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kilobytes = peak.and_then(|text| text.trim().strip_suffix(" kB"));
        let kilobytes = kilobytes.and_then(|text| text.parse::<u64>().ok());
        let kilobytes = kilobytes.ok_or(io::ErrorKind::InvalidData)?;
        Ok(kilobytes * 1024)
    }

    /// Returns the number of descriptors that the current process has open.
    ///
    /// # Errors
    ///
    /// If no process runs, or the system does not state it.
    pub(super) fn descriptors(&self) -> io::Result<usize> {
        let child = self.child.as_ref();
        let id = child.map(Child::id).ok_or(io::ErrorKind::NotFound)?;
        Ok(std::fs::read_dir(format!("/proc/{id}/fd"))?.count())
    }

    /// Returns the address on which the current process listens for callers.
    pub(super) fn callers(&self) -> Option<SocketAddr> {
        self.listening.borrow().map(|line| line.callers)
    }

    /// Returns whether the process runs.
    pub(super) fn is_running(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Sends a signal to the process if it runs.
    pub(super) fn signal(&mut self, signal: Signal) {
        if !self.is_running() {
            return;
        }
        let id = self.child.as_ref().map(|child| child.id().cast_signed());
        if let Some(Err(error)) = id.map(|id| kill(Pid::from_raw(id), signal)) {
            log::warn!("{}: {signal} failed: {error}", self.name);
        }
    }

    /// Reaps an exited process and returns whether it exited successfully.
    pub(super) fn reap(&mut self) -> Option<bool> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        self.child = None;
        Some(status.success())
    }
}

impl Drop for SoakHost {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Saves the output of a process to a file and reports where it listens.
fn save_output(
    output: ChildStdout,
    mut file: File,
    sender: &watch::Sender<Option<ListenAddresses>>,
) {
    for line in BufReader::new(output).lines().map_while(Result::ok) {
        if line.contains("\"listening\"")
            && let Ok(listening) = serde_json::from_str::<ListenAddresses>(&line)
        {
            sender.send_replace(Some(listening));
        }
        if writeln!(file, "{line}").is_err() {
            return;
        }
    }
}
