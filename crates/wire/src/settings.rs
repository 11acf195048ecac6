//! Limits and times of the client and the server, with defaults that fit one another.

use model::{Clock, HostAddr, Millis};

/// Streams that one connection carries at the same time.
pub(crate) const DEFAULT_MAX_STREAMS: u32 = 512;

/// Bytes that a peer may send on one stream before the receiver has taken them.
pub(crate) const STREAM_WINDOW_BYTES: u32 = 128 * 1024;

/// Bytes that a sender keeps per stream before it waits for the network.
pub(crate) const SEND_BUFFER_BYTES: usize = 128 * 1024;

/// The largest block of HTTP/2 headers, in bytes; requests between host processes have no
/// headers of their own.
pub(crate) const MAX_HEADER_BYTES: u32 = 4 * 1024;

/// Returns the window of a connection that carries `max_streams` streams: the sum of the stream
/// windows, so that a stream whose reader is slow never holds up the others.
pub(crate) fn connection_window(max_streams: u32) -> u32 {
    max_streams.saturating_mul(STREAM_WINDOW_BYTES).clamp(STREAM_WINDOW_BYTES, i32::MAX as u32)
}

/// Which peers cannot be reached, for tests of partitions.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum BlockedPeers {
    /// Every peer can be reached.
    #[default]
    None,
    /// These peers cannot be reached. A listener does not know who connects and treats this as
    /// [`BlockedPeers::None`].
    Peers(Vec<HostAddr>),
    /// No peer can be reached.
    All,
}

impl BlockedPeers {
    /// Returns whether `peer` is cut off.
    pub(crate) fn contains(&self, peer: HostAddr) -> bool {
        match self {
            Self::None => false,
            Self::Peers(peers) => peers.contains(&peer),
            Self::All => true,
        }
    }
}

/// Limits and times of a [`Client`](crate::Client), with chained setters.
#[derive(Clone)]
pub struct ClientSettings {
    pub(crate) clock: Clock,
    pub(crate) connect_timeout: Millis,
    pub(crate) ping_interval: Millis,
    pub(crate) ping_timeout: Millis,
    pub(crate) idle_timeout: Millis,
    pub(crate) max_connections: usize,
    pub(crate) max_streams: u32,
}

impl Default for ClientSettings {
    fn default() -> Self {
        Self {
            clock: Clock::boot(),
            connect_timeout: Millis(1_000),
            ping_interval: Millis(250),
            ping_timeout: Millis(500),
            idle_timeout: Millis(30_000),
            max_connections: 256,
            max_streams: DEFAULT_MAX_STREAMS,
        }
    }
}

impl ClientSettings {
    model::setters! {
        /// The clock that idle times are measured by.
        clock: Clock,
        /// The time for connecting and for the peer's first sign of life.
        connect_timeout: Millis,
        /// The time without a byte after which the peer of a connection in use is checked.
        ping_interval: Millis,
        /// The time within which a peer must answer such a check.
        ping_timeout: Millis,
        /// The time after which an unused connection is closed.
        idle_timeout: Millis,
        /// The number of connections that are kept for calls, and again for requests.
        max_connections: usize,
        /// The number of streams per connection; more wait. At most the peer's own limit.
        max_streams: u32,
    }
}

/// Limits and times of a server, with chained setters.
#[derive(Clone, Debug)]
pub struct ServerSettings {
    pub(crate) max_connections: usize,
    pub(crate) max_streams: u32,
    pub(crate) max_body_bytes: u64,
    pub(crate) max_buffered_bytes: usize,
    pub(crate) read_timeout: Millis,
    pub(crate) ping_interval: Millis,
    pub(crate) ping_timeout: Millis,
}

impl Default for ServerSettings {
    fn default() -> Self {
        Self {
            max_connections: 1_024,
            max_streams: DEFAULT_MAX_STREAMS,
            max_body_bytes: 16 * 1024 * 1024,
            max_buffered_bytes: 64 * 1024 * 1024,
            read_timeout: Millis(10_000),
            ping_interval: Millis(60_000),
            ping_timeout: Millis(5_000),
        }
    }
}

impl ServerSettings {
    model::setters! {
        /// The number of connections; a new one takes the place of an idle one.
        max_connections: usize,
        /// The number of streams per connection; more are refused as not run.
        max_streams: u32,
        /// The largest body of a request in bytes; the default is the most that a service may allow.
        max_body_bytes: u64,
        /// The memory for request bodies and calls of all connections in bytes.
        max_buffered_bytes: usize,
        /// The time within which a request must have arrived whole.
        read_timeout: Millis,
        /// The time without a byte after which a peer is checked. Clients close an unused connection
        /// before, so a peer that lives is rarely asked.
        ping_interval: Millis,
        /// The time within which a peer must answer such a check.
        ping_timeout: Millis,
    }
}
