//! `watch`: shows the progress of a change until it is in effect everywhere.

use std::io::Write;
use std::time::Duration;

use tokio::time::Instant;

use super::CliError;
use super::rollout::{RolloutProgress, newest_applied, rollout_progress};
use super::session::OperatorSession;
use crate::ids::LogOffset;

/// Time between two polls.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

impl<W> OperatorSession<'_, W>
where
    W: Write,
{
    /// Shows the progress of a change whenever it advances, until every host has applied
    /// it.
    pub(super) async fn watch(
        &mut self,
        version: Option<LogOffset>,
        timeout: Duration,
    ) -> Result<(), CliError> {
        let deadline = Instant::now() + timeout;
        let mut required = version.map(|version| version.saturating_add(1));
        let mut last_shown: Option<RolloutProgress> = None;
        loop {
            let failure = match self.client.force().await {
                Ok(view) => {
                    let required = *required.get_or_insert_with(|| newest_applied(&view));
                    let progress = rollout_progress(&view, required);
                    if last_shown.as_ref() != Some(&progress) {
                        self.presenter.progress(&progress)?;
                    }
                    if progress.done {
                        return Ok(());
                    }
                    last_shown = Some(progress);
                    None
                }
                // A host that is replaced during the watch comes back or gets a
                // successor, so connection failures are retried; a refusal is permanent.
                Err(error @ (CliError::Unreachable { .. } | CliError::NoResponse { .. })) => {
                    Some(error)
                }
                Err(error) => return Err(error),
            };
            if Instant::now() + POLL_INTERVAL > deadline {
                return Err(match (failure, last_shown) {
                    (None, Some(progress)) => CliError::NotInForce(progress),
                    (Some(error), _) => error,
                    (None, None) => {
                        CliError::Usage("no result in time: raise --timeout".to_owned())
                    }
                });
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}
