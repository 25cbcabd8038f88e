//! Starts stand-ins and daemons as separate processes.

#![allow(
    unreachable_pub,
    dead_code,
    reason = "each test file uses a part of it"
)]

pub mod configuration;
pub mod forwarder;
pub mod hosts;
pub mod soaks;

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

pub type TestResult = Result<(), Box<dyn std::error::Error + Send + Sync>>;
pub type TestError = Box<dyn std::error::Error + Send + Sync>;

/// Timeout for conditions that are expected to become true.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// A process that is killed when dropped.
pub struct TestProcess {
    child: Child,
    lines: BufReader<std::process::ChildStdout>,
}

impl TestProcess {
    pub fn spawn(program: &str, arguments: &[String]) -> Result<Self, TestError> {
        let mut child = Command::new(program_path(program)?)
            .args(arguments)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()?;
        let stdout = child.stdout.take().ok_or("no standard output")?;
        Ok(Self {
            child,
            lines: BufReader::new(stdout),
        })
    }

    /// Reads the address from the next line, which begins with `prefix`.
    pub fn address(&mut self, prefix: &str) -> Result<SocketAddr, TestError> {
        let mut line = String::new();
        self.lines.read_line(&mut line)?;
        let rest = line
            .strip_prefix(prefix)
            .ok_or_else(|| format!("expected a line with {prefix:?}, got {line:?}"))?;
        Ok(rest.trim().parse()?)
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn kill(&mut self) -> TestResult {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// Sends a signal by its name, such as `TERM`, `STOP` or `CONT`.
    pub fn signal(&self, name: &str) -> TestResult {
        let status = Command::new("kill")
            .args([format!("-{name}"), self.id().to_string()])
            .status()?;
        match status.success() {
            true => Ok(()),
            false => Err(format!("kill -{name} failed").into()),
        }
    }

    /// Waits for the process to end by itself and returns its exit status.
    pub fn wait(&mut self) -> Result<Option<i32>, TestError> {
        Ok(self.child.wait()?.code())
    }
}

impl Drop for TestProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the path of a program. It is in the same directory as the programs of the
/// stand-ins; `cargo test --workspace` builds the programs of both packages.
fn program_path(program: &str) -> Result<PathBuf, TestError> {
    let own = PathBuf::from(env!("CARGO_BIN_EXE_engine"));
    let folder = own.parent().ok_or("no folder of programs")?;
    let path = folder.join(program);
    match path.exists() {
        true => Ok(path),
        false => Err(format!("{program} is not built: run with --workspace").into()),
    }
}

/// A daemon process with its settings file.
pub struct DaemonProcess {
    pub process: TestProcess,
    pub callers: SocketAddr,
    pub operators: SocketAddr,
    pub peers: SocketAddr,
    _settings: tempfile::NamedTempFile,
}

impl DaemonProcess {
    pub fn spawn(settings_text: &str) -> Result<Self, TestError> {
        let file = tempfile::NamedTempFile::new()?;
        std::fs::write(file.path(), settings_text)?;
        let arguments = ["--config".to_owned(), file.path().display().to_string()];
        let mut process = TestProcess::spawn("jackdawwickd", &arguments)?;
        Ok(Self {
            callers: process.address("callers ")?,
            operators: process.address("operators ")?,
            peers: process.address("peers ")?,
            process,
            _settings: file,
        })
    }
}

/// Polls until `check` returns true, for at most [`WAIT_TIMEOUT`].
pub async fn eventually<C, F>(what: &str, mut check: C) -> TestResult
where
    C: FnMut() -> F,
    F: Future<Output = bool>,
{
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while Instant::now() < deadline {
        if check().await {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    Err(format!("{what}: not true within {WAIT_TIMEOUT:?}").into())
}
