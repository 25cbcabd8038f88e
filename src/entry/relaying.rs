//! Follows the log through the host that reads it for the zone.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::watch;

use crate::entry::follow_cursor::FollowCursor;
use crate::entry::log_copy::LogCopy;
use crate::entry::missing::drop_unlisted;
use crate::entry::peering::PeerDesk;
use crate::fleet::UseSource;
use crate::forward::ServingTables;
use crate::ids::HostId;
use crate::peer::{FollowAnswer, PeerHandle, TargetChange};

/// How long the reading host keeps a question that has no news: a leaving
/// target is known after this and the pause of its reads, well within two
/// seconds.
pub(super) const FOLLOW_HOLD: Duration = Duration::from_millis(500);
/// How much longer an answer may take before this host reads the log itself.
const ANSWER_LIMIT: Duration = Duration::from_millis(400);
/// Pause before the next round of questions where no answer helped.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Hosts of a zone that read the log themselves where those before them
/// cannot. The log turned away about a third of the hosts where it turned away
/// any, so that three in a row are cut off one time in thirty; with every host
/// reading as soon as the first is cut off, 26 hosts of a zone made 4,500 calls
/// in place of 1,100 in a minute.
const MOST_READERS: usize = 3;
/// Time without the log after which any other host reads for itself. A first
/// host counts as having the log for 1.1 s after it lost it; together that is
/// below the two seconds within which a leaving target has to be known. The
/// next reader has read the log 20 ms after it noticed that it has to.
const PATIENCE: Duration = Duration::from_millis(600);

struct RelayFollower {
    tables: Arc<ServingTables>,
    copy: Arc<LogCopy>,
    cursor: FollowCursor,
    lead: Option<HostId>,
    /// When a question was first asked that did not help.
    without_log_since: Option<Instant>,
}

/// Follows the reading host, and says by `direct` whether this host has to
/// read for itself: when it is the one that reads, and when the other does not
/// answer or has lost the log itself.
pub(super) async fn follow_lead(
    tables: Arc<ServingTables>,
    copy: Arc<LogCopy>,
    desk: Arc<PeerDesk>,
    handle: PeerHandle,
    direct: watch::Sender<bool>,
) {
    let mut follower = RelayFollower {
        tables,
        copy,
        cursor: FollowCursor::default(),
        lead: None,
        without_log_since: None,
    };
    loop {
        let leads = desk.leads(Instant::now(), MOST_READERS);
        let is_reader = leads.len() < MOST_READERS;
        if !follower.ask_in_turn(&handle, leads, &direct).await {
            if is_reader || follower.is_impatient(Instant::now()) {
                follower.switch(&direct, None);
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }
}

impl RelayFollower {
    /// Asks the hosts one after the other until one has the log; says whether
    /// one has.
    async fn ask_in_turn(
        &mut self,
        handle: &PeerHandle,
        leads: Vec<(HostId, SocketAddr)>,
        direct: &watch::Sender<bool>,
    ) -> bool {
        for (host, address) in leads {
            let version = self.copy.configuration_version();
            let question = self.cursor.question(&host, version);
            let asked = Instant::now();
            let limit = FOLLOW_HOLD + ANSWER_LIMIT;
            let answer = handle.follow(address, question, limit).await;
            let now = Instant::now();
            match answer {
                Ok(answer) => {
                    let fresh = answer.fresh;
                    self.take(&host, answer, now);
                    if fresh {
                        self.without_log_since = None;
                        self.switch(direct, Some(host));
                        return true;
                    }
                }
                Err(error) => log::debug!("{host} does not pass the log on: {error}"),
            }
            // Judged after each host: one that does not answer at all takes
            // 0.9 s, and three of them would leave this host behind for longer
            // than a leaving target may be unknown.
            self.without_log_since.get_or_insert(asked);
            if self.is_impatient(now) {
                self.switch(direct, None);
            }
        }
        false
    }

    /// Whether no host has had the log for too long.
    fn is_impatient(&self, now: Instant) -> bool {
        let since = self.without_log_since;
        since.is_some_and(|since| now >= since + PATIENCE)
    }

    fn take(&mut self, host: &HostId, answer: FollowAnswer, now: Instant) {
        if let Some(configuration) = &answer.configuration {
            self.copy.apply_configuration(configuration, "peer");
        }
        let mut fleet = self.tables.fleet.lock();
        for remote in answer.remote {
            fleet.observe_uses(UseSource::Zone(remote.zone), remote.uses, now);
        }
        drop(fleet);
        // A host that has lost the log may be behind this one.
        if !answer.fresh && self.copy.has_targets() {
            return;
        }
        if answer.whole {
            let listed = answer.targets.iter().map(|change| &*change.id);
            // The reading host has waited for what may come back.
            drop_unlisted(&self.copy, listed, answer.read_to);
        }
        for TargetChange { id, offset, value } in &answer.targets {
            match value {
                Some(value) => self.copy.observe_target(id, *offset, value),
                None => self.copy.remove_target(id, *offset, "entry dropped"),
            }
        }
        self.copy.advance(answer.read_to);
        self.cursor.advance(host, answer.incarnation, answer.next);
    }

    fn switch(&mut self, direct: &watch::Sender<bool>, lead: Option<HostId>) {
        if self.lead != lead {
            let name = lead.as_deref().unwrap_or("the log itself");
            log::info!(from:% = name; "log followed");
        }
        if lead.is_none() {
            // Reading directly goes past what the other host has counted.
            self.cursor = FollowCursor::default();
        }
        let reads = lead.is_none();
        self.lead = lead;
        direct.send_if_modified(|direct| std::mem::replace(direct, reads) != reads);
    }
}
