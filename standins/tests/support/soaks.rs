//! Settings of simulations with entry hosts as processes.

use std::path::PathBuf;
use std::time::Duration;

use standins::soak::{HostLimits, LinkScope, RetryBound, ServingTimes, SoakSettings, TargetFleet};
use tempfile::TempDir;

use super::{TestError, eventually};

/// Returns the settings of a simulation with `hosts` hosts and no random faults or load.
/// Its files are deleted with the returned directory.
pub async fn soak_settings(hosts: usize) -> Result<(SoakSettings, TempDir), TestError> {
    let program = PathBuf::from(env!("CARGO_BIN_EXE_soak"));
    let program = program.with_file_name("jackdawwickd");
    let folder = tempfile::tempdir()?;
    eventually("the program is built", || async { program.exists() }).await?;
    let settings = SoakSettings {
        seed: 1,
        length: Duration::ZERO,
        hosts,
        callers: 0,
        program,
        folder: folder.path().to_owned(),
        timed: false,
        links: LinkScope::Fleet,
        targets: TargetFleet::Several,
        retries: RetryBound::default(),
        times: ServingTimes::default(),
        limits: HostLimits::default(),
        standstills: false,
        half_fails: false,
        outdated_seeds: false,
    };
    Ok((settings, folder))
}
