//! What a backend server says about itself.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Whether a backend server refuses work whose fence is too low or whose grant is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum FenceCheck {
    /// It does.
    Checked,
    /// It does not.
    Unchecked,
}

/// What a backend server says it is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum BackendState {
    /// It started lately and is still slow.
    Cold,
    /// It takes its full share.
    Ready,
    /// It is leaving.
    Draining,
}

/// An announcement as the backend server sends it.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// The name of its service.
    pub service: String,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Connections that it accepts.
    pub connections: u32,
    /// Whether it checks fences.
    pub fences: FenceCheck,
    /// What it is doing.
    pub state: BackendState,
}
