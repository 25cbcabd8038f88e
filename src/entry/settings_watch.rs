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
    mut current: EntrySettings,
    peer_state: Arc<PeerState>,
    mut hangup: Signal,
) {
    let mut last_text = None::<String>;
    loop {
        tokio::select! {
            _ = hangup.recv() => {
                log::info!("SIGHUP: reading the settings again");
                // Reports the state of the file even if it is unchanged.
                last_text = None;
            }
            () = tokio::time::sleep(CHECK_INTERVAL) => {}
        }
        let text = match std::fs::read_to_string(&path) {
            Ok(text) => text,
            Err(error) => {
                // A file that is being replaced is there at the next check.
                log::debug!("cannot read the settings file: {error}");
                continue;
            }
        };
        if last_text.as_ref() == Some(&text) {
            continue;
        }
        match parse_settings(&text) {
            Ok(next) => {
                apply(&mut current, next, &peer_state);
            }
            Err(error) => log::error!(error:% = error; "new settings refused, nothing changed"),
        }
        last_text = Some(text);
    }
}

fn apply(current: &mut EntrySettings, next: EntrySettings, peer_state: &PeerState) {
    if next.seeds != current.seeds {
        log::info!(seeds:? = next.seeds; "new seeds");
        peer_state.set_seeds(next.seeds.clone());
    }
    let keys = current.fixed_keys_changed(&next);
    if !keys.is_empty() {
        log::warn!(keys:% = keys.join(", "); "changed settings take effect at the next start");
    }
    *current = next;
}
