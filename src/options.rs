//! The daemon's settings: command line and TOML file, checked and merged.
//!
//! Each section of the file is read by one function that takes every key by
//! name, so that all mistakes of a file are found in one pass: a reader that
//! stops at the first one makes an operator start the daemon once for each.

mod arguments;
mod host;
mod limits;
mod listen;
mod log;
mod mistake;
mod operators;
mod peers;
mod platform;
mod range;
mod reader;
mod retries;
mod routing;
mod section;
mod startup;
mod timing;

use toml::{Table, Value};

use crate::claims::window::{ClaimWindow, WindowError};

pub use arguments::daemon_command;
pub use host::HostOptions;
pub use limits::LimitOptions;
pub use listen::ListenOptions;
pub use log::{LogFormat, LogOptions};
pub use mistake::{OptionMistake, OptionsError};
pub use operators::{OperatorCredential, OperatorOptions};
pub use peers::{PeerOptions, PeerSeed};
pub use platform::PlatformOptions;
pub use reader::DocumentedKey;
use reader::FileReader;
pub use retries::{EjectionOptions, RetryOptions};
pub use routing::RoutingOptions;
pub use startup::{StartupAction, plan_startup};
pub use timing::TimingOptions;

/// The documented sample file; every key stands in it with its default.
pub const SAMPLE_TOML: &str = include_str!("../sample.toml");

/// Checked settings of one daemon.
#[derive(Debug, Clone, PartialEq)]
pub struct DaemonOptions {
    /// Who this daemon is, and what it uses of its host.
    pub host: HostOptions,
    /// Addresses on which it listens.
    pub listen: ListenOptions,
    /// The platform's log service and host list.
    pub platform: PlatformOptions,
    /// Daemons to contact first.
    pub peers: PeerOptions,
    /// Who may use the operators' listener.
    pub operators: OperatorOptions,
    /// Intervals, timeouts and windows.
    pub timing: TimingOptions,
    /// Bounds on what callers may send and on what is kept.
    pub limits: LimitOptions,
    /// Retry budget and outlier ejection.
    pub retries: RetryOptions,
    /// How targets are chosen.
    pub routing: RoutingOptions,
    /// Log level and format.
    pub log: LogOptions,
}

impl DaemonOptions {
    /// The window within which idempotency keys are accepted.
    ///
    /// # Errors
    /// If the log keeps records too briefly for it; settings read by
    /// [`Self::from_toml`] have been checked for that.
    pub fn claim_window(&self) -> Result<ClaimWindow, WindowError> {
        claim_window(&self.platform, &self.timing)
    }

    /// Reads and checks the text of a settings file.
    ///
    /// # Errors
    /// Every mistake in the text, or the first one alone if it is not TOML.
    pub fn from_toml(text: &str) -> Result<Self, OptionsError> {
        let table = text
            .parse::<Table>()
            .map_err(|error| OptionsError::syntax(text, &error))?;
        let mut file = FileReader::new(&table);
        let options = read_sections(&mut file);
        match (options, file.finish()) {
            (Some(options), mistakes) if mistakes.is_empty() => Ok(options),
            (_, mistakes) => Err(OptionsError { mistakes }),
        }
    }
}

fn claim_window(
    platform: &PlatformOptions,
    timing: &TimingOptions,
) -> Result<ClaimWindow, WindowError> {
    ClaimWindow::new(
        timing.idempotency_window,
        timing.clock_skew,
        platform.record_horizon,
    )
}

/// With records that expire too soon a host that starts could not know every
/// claim that still counts, and a request could run a second time.
fn check_claim_window(
    file: &mut FileReader<'_>,
    platform: &PlatformOptions,
    timing: &TimingOptions,
) {
    if let Err(error) = claim_window(platform, timing) {
        let [found, needed] = [error.horizon, error.needed].map(humantime::format_duration);
        let legal = format!(
            "more than {needed}, for timing.idempotency_window and timing.clock_skew as they are"
        );
        file.report_conflict("platform.record_horizon", found.to_string(), legal);
    }
}

/// Every key that a settings file may have, with its legal range.
pub fn documented_keys() -> Vec<DocumentedKey> {
    // One empty entry in each list makes the reader ask for the keys of entries.
    let entry = Value::Array(vec![Value::Table(Table::new())]);
    let mut table = Table::new();
    for (section, list) in [("peers", "seeds"), ("operators", "credentials")] {
        let section_table = Table::from_iter([(list.to_owned(), entry.clone())]);
        table.insert(section.to_owned(), Value::Table(section_table));
    }
    let mut file = FileReader::new(&table);
    read_sections(&mut file);
    file.into_documented()
}

fn read_sections(file: &mut FileReader<'_>) -> Option<DaemonOptions> {
    // Every section is read before `?` gives up on any, so that the mistakes
    // of later sections are reported too.
    let host = file.section("host", host::read);
    let listen = file.section("listen", listen::read);
    let platform = file.section("platform", platform::read);
    let peers = file.section("peers", peers::read);
    let operators = file.section("operators", operators::read);
    let timing = file.section("timing", timing::read);
    let limits = file.section("limits", limits::read);
    let retries = file.section("retries", retries::read);
    let routing = file.section("routing", routing::read);
    let log = file.section("log", log::read);
    if let (Some(platform), Some(timing)) = (&platform, &timing) {
        check_claim_window(file, platform, timing);
    }
    let host = host?;
    Some(DaemonOptions {
        peers: peers?.without(&host.name),
        host,
        listen: listen?,
        platform: platform?,
        operators: operators?,
        timing: timing?,
        limits: limits?,
        retries: retries?,
        routing: routing?,
        log: log?,
    })
}
