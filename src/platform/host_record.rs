//! Format of entry hosts in the log: the key names the host, the value tells where it is.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::membership::RegisteredHost;

/// Value of a record.
#[derive(Serialize, Deserialize)]
struct HostBody {
    zone: String,
    /// Address on which it listens to peers.
    address: SocketAddr,
}

/// Returns the value of the record of a host.
///
/// # Errors
///
/// Fails if the value cannot be encoded; the text gives the reason.
pub fn host_value(registered: &RegisteredHost) -> Result<Vec<u8>, String> {
    let body = HostBody {
        zone: registered.zone.to_string(),
        address: registered.address,
    };
    serde_json::to_vec(&body).map_err(|error| error.to_string())
}

/// Parses the record of a host.
///
/// # Errors
///
/// Fails if the value is not in this format; the text gives the reason.
pub fn parse_host(key: &str, value: &[u8]) -> Result<RegisteredHost, String> {
    let body: HostBody = serde_json::from_slice(value).map_err(|error| error.to_string())?;
    Ok(RegisteredHost {
        host: key.into(),
        zone: body.zone.into(),
        address: body.address,
    })
}
