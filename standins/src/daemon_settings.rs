//! Settings of the daemons that the stand-ins start.

use std::net::SocketAddr;

use jackdawwick::auth::TokenDigest;

use crate::caller::token_of;
use crate::operator::OPERATOR;

/// Settings that differ between the daemons of one fleet.
#[derive(Debug, Clone)]
pub struct DaemonConfig {
    /// Name of the entry host.
    pub host: String,
    /// Its availability zone.
    pub zone: String,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Address for peers; port 0 if no other process needs to know it beforehand.
    pub peers: SocketAddr,
    /// Daemons to contact first.
    pub seeds: Vec<SeedPeer>,
}

/// A daemon to contact first.
#[derive(Debug, Clone)]
pub struct SeedPeer {
    /// Its host.
    pub host: String,
    /// Its zone.
    pub zone: String,
    /// Its address for peers.
    pub address: SocketAddr,
}

impl DaemonConfig {
    /// Creates the settings of a daemon without peers.
    pub fn new(host: &str, zone: &str, platform: SocketAddr) -> Self {
        Self {
            host: host.to_owned(),
            zone: zone.to_owned(),
            platform,
            peers: SocketAddr::from(([127, 0, 0, 1], 0)),
            seeds: Vec::new(),
        }
    }

    /// Returns the text of the settings file; `extra` adds whole sections.
    pub fn to_toml(&self, extra: &str) -> String {
        let digest = TokenDigest::of_token(&token_of(OPERATOR)).to_hex();
        let mut text = format!(
            "[host]\nname = {host:?}\nzone = {zone:?}\n\n\
             [listen]\ncallers = \"127.0.0.1:0\"\noperators = \"127.0.0.1:0\"\npeers = \"{peers}\"\n\n\
             [platform]\naddress = \"{platform}\"\n\n\
             [[operators.credentials]]\noperator = \"{OPERATOR}\"\ntoken_digest = \"{digest}\"\n",
            host = self.host,
            zone = self.zone,
            peers = self.peers,
            platform = self.platform,
        );
        for seed in &self.seeds {
            text.push_str(&format!(
                "\n[[peers.seeds]]\nhost = {:?}\nzone = {:?}\naddress = \"{}\"\n",
                seed.host, seed.zone, seed.address
            ));
        }
        text.push_str(extra);
        text
    }
}
