//! Limits and timeouts of the client and the server, with matching defaults.

use model::{Clock, HostAddr, Millis};

/// Default limit of concurrent streams per connection.
pub(crate) const DEFAULT_MAX_STREAMS: u32 = 512;

/// HTTP/2 flow-control window of a stream: the bytes that a peer may send before the receiver has
/// consumed them.
pub(crate) const STREAM_WINDOW_BYTES: u32 = 128 * 1024;

/// Bytes that a sender buffers per stream before it waits for the network.
pub(crate) const SEND_BUFFER_BYTES: usize = 128 * 1024;

/// Maximum size of an HTTP/2 header list in bytes. Requests between hosts carry no headers of their
/// own.
pub(crate) const MAX_HEADER_BYTES: u32 = 4 * 1024;

/// Returns the flow-control window of a connection: the sum of the windows of `max_streams`
/// streams, so that a stream with a slow reader never blocks the others.
pub(crate) fn connection_window(max_streams: u32) -> u32 {
    max_streams.saturating_mul(STREAM_WINDOW_BYTES).clamp(STREAM_WINDOW_BYTES, i32::MAX as u32)
}

/// The peers that are made unreachable, to simulate a network partition in tests.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum BlockedPeers {
    /// All peers are reachable.
    #[default]
    None,
    /// These peers are unreachable. A server cannot tell which host connects, and treats this as
    /// [`BlockedPeers::None`].
    Peers(Vec<HostAddr>),
    /// No peer is reachable.
    All,
}

impl BlockedPeers {
    /// Returns whether `peer` is blocked.
    pub(crate) fn contains(&self, peer: HostAddr) -> bool {
        match self {
            Self::None => false,
            Self::Peers(peers) => peers.contains(&peer),
            Self::All => true,
        }
    }
}

/// Limits and timeouts of a [`Client`](crate::Client), with chained setters.
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
        /// The clock that measures idle times.
        clock: Clock,
        /// Timeout for connecting, and again for the first response of the peer.
        connect_timeout: Millis,
        /// The peer of a connection in use is probed after this time without any received bytes.
        ping_interval: Millis,
        /// Timeout for the response to a probe.
        ping_timeout: Millis,
        /// An idle connection is closed after this time.
        idle_timeout: Millis,
        /// Maximum number of connections, for calls and for forwarded requests each.
        max_connections: usize,
        /// Maximum number of streams per connection; more streams wait. Should not exceed the
        /// peer's own limit.
        max_streams: u32,
    }
}

/// Limits and timeouts of a server, with chained setters.
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
        /// Maximum number of connections. At the limit, a new connection replaces an idle one.
        max_connections: usize,
        /// Maximum number of streams per connection. More are refused, which the client reports as
        /// not run.
        max_streams: u32,
        /// Maximum size of a request body in bytes. The default is the highest limit that a service
        /// may be configured with.
        max_body_bytes: u64,
        /// Memory in bytes for request bodies and calls of all connections.
        max_buffered_bytes: usize,
        /// Timeout for receiving a complete request.
        read_timeout: Millis,
        /// A peer is probed after this time without any received bytes. Clients close idle
        /// connections earlier, so a live peer is rarely probed.
        ping_interval: Millis,
        /// Timeout for the response to a probe.
        ping_timeout: Millis,
    }
}
