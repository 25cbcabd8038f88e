//! Table of the links to peers.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use tokio::time::Instant;

use super::link::PeerLink;
use super::settings::PeerSettings;
use super::traffic::PeerTraffic;

/// Links by address, kept open between calls.
pub(super) struct LinkTable {
    settings: Rc<PeerSettings>,
    traffic: Arc<PeerTraffic>,
    links: RefCell<BTreeMap<SocketAddr, Rc<PeerLink>>>,
}

impl LinkTable {
    /// Creates an empty table.
    pub(super) fn new(settings: Rc<PeerSettings>, traffic: Arc<PeerTraffic>) -> Self {
        Self {
            settings,
            traffic,
            links: RefCell::new(BTreeMap::new()),
        }
    }

    /// Returns the link to `address`; creating one removes the links that have been idle
    /// for `idle_timeout`.
    ///
    /// Replaced hosts come back at new addresses, so a table without removal would end up
    /// with every address ever used.
    pub(super) fn link(&self, address: SocketAddr) -> Rc<PeerLink> {
        let mut links = self.links.borrow_mut();
        if let Some(link) = links.get(&address) {
            return Rc::clone(link);
        }
        if let Some(limit) = Instant::now().checked_sub(self.settings.idle_timeout) {
            links.retain(|_, link| link.is_used_since(limit));
        }
        let link = Rc::new(PeerLink::new(
            address,
            Rc::clone(&self.settings),
            Arc::clone(&self.traffic),
        ));
        links.insert(address, Rc::clone(&link));
        link
    }

    /// Returns the traffic counters.
    pub(super) fn traffic(&self) -> &PeerTraffic {
        &self.traffic
    }
}
