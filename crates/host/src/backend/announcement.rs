//! The announcement that a backend server sends.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Whether a backend server rejects requests with an outdated fencing token or an expired grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum FenceCheck {
    /// It rejects them.
    Checked,
    /// It does not check.
    Unchecked,
}

/// The state that a backend server announces.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum BackendState {
    /// It started recently and is still slow.
    Cold,
    /// It can take its full share of requests.
    Ready,
    /// It is about to stop and takes no new requests.
    Draining,
}

/// The JSON body of an announcement.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// The name of its service.
    pub service: String,
    /// The address it listens on.
    pub addr: SocketAddr,
    /// The number of requests that it runs concurrently.
    pub slots: u32,
    /// The number of connections that it accepts.
    pub connections: u32,
    /// Whether it checks fencing tokens.
    pub fences: FenceCheck,
    /// Its current state.
    pub state: BackendState,
}
