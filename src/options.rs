//! The daemon's settings: command line and TOML file, validated and merged.
//!
//! Each section of the file is read by one function that looks up every key by name, so
//! that all mistakes of a file are found in one pass. A reader that stopped at the first
//! mistake would make an operator start the daemon once for each.

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

/// Documented sample file, which contains every key with its default.
pub const SAMPLE_TOML: &str = include_str!("../sample.toml");

/// Validated settings of one daemon.
#[derive(Debug, Clone, PartialEq)]
pub struct DaemonOptions {
    /// Identity of the daemon and its use of the host.
    pub host: HostOptions,
    /// Addresses to listen on.
    pub listen: ListenOptions,
    /// Log service and host list of the platform.
    pub platform: PlatformOptions,
    /// Daemons to contact first.
    pub peers: PeerOptions,
    /// Credentials for the operators' listener.
    pub operators: OperatorOptions,
    /// Intervals, timeouts and windows.
    pub timing: TimingOptions,
    /// Bounds on requests and on data kept in memory.
    pub limits: LimitOptions,
    /// Retry budget and outlier ejection.
    pub retries: RetryOptions,
    /// Selection of targets.
    pub routing: RoutingOptions,
    /// Log level and format.
    pub log: LogOptions,
}

impl DaemonOptions {
    /// Returns the window in which idempotency keys are accepted.
    ///
    /// # Errors
    /// Returns an error if the log keeps records too briefly for the window; settings
    /// read by [`Self::from_toml`] are already checked for this.
    pub fn claim_window(&self) -> Result<ClaimWindow, WindowError> {
        claim_window(&self.platform, &self.timing)
    }

    /// Parses and validates the text of a settings file.
    ///
    /// # Errors
    /// Returns every mistake in the text, or only the first one if it is not valid TOML.
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

/// Reports a record horizon that is too short for the claim window. If records expired
/// too soon, a starting host could miss claims that still count, and a request could run
/// twice.
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

/// Returns every key that a settings file may contain, with its legal range.
pub fn documented_keys() -> Vec<DocumentedKey> {
    // One empty entry in each list makes the reader look up the keys of its entries.
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
    // Every section is read before `?` returns, so that the mistakes of all sections are
    // reported.
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
