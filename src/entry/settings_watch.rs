//! Applies changes of the settings file to a running host.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use tokio::signal::unix::Signal;

use crate::entry::EntrySettings;
use crate::entry::peer_exchange::PeerState;
use crate::platform::host_settings::parse_settings;

/// Interval between two reads of the file, which may change without a signal.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Reads the settings file again on SIGHUP, and now and then without it; runs forever. New
/// seeds are applied, a change of any other value only at the next start. A file that cannot
/// be used changes nothing.
pub(super) async fn watch_settings(
    path: PathBuf,
    mut settings: EntrySettings,
    peer_state: Arc<PeerState>,
    mut hangup: Signal,
) {
    let mut last_text = None::<String>;
    loop {
        let is_requested = tokio::select! {
            _ = hangup.recv() => true,
            () = tokio::time::sleep(CHECK_INTERVAL) => false,
        };
        let text = match std::fs::read_to_string(&path) {
            Ok(text) => text,
            Err(error) => {
                // A file that is being replaced is there at the next check.
                log::debug!("cannot read the settings file: {error}");
                continue;
            }
        };
        if last_text.as_ref() == Some(&text) && !is_requested {
            continue;
        }
        match parse_settings(&text) {
            Ok(next) => apply(&mut settings, next, is_requested, &peer_state),
            Err(error) => log::error!(error:% = error; "settings refused, nothing changed"),
        }
        last_text = Some(text);
    }
}

/// Applies the seeds of `next` to the running host, and names what waits for its next start.
fn apply(
    settings: &mut EntrySettings,
    next: EntrySettings,
    is_requested: bool,
    peer_state: &PeerState,
) {
    let waiting = settings.fixed_keys_changed(&next);
    let has_new_seeds = next.seeds != settings.seeds;
    match waiting.is_empty() {
        true if has_new_seeds => log::info!(seeds:? = next.seeds; "settings changed"),
        true if is_requested => log::info!("settings changed: nothing to reload"),
        true => {}
        false => log::warn!(
            seeds:? = next.seeds, at_next_start:% = waiting.join(", ");
            "settings changed"
        ),
    }
    if has_new_seeds {
        peer_state.set_seeds(next.seeds.clone());
        settings.seeds = next.seeds;
    }
}
