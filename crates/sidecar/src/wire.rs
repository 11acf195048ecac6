//! What hosts say to each other about a request: a head in bincode, then the raw body.

use adapter::HostRow;
use bincode::{Decode, Encode};
use bytes::{Buf, BufMut, Bytes, BytesMut};
use mesh::{HostNews, LoadReport, SuspectNews};
use model::{HostAddr, NameError, RowVersion, ServiceName, ZoneName};
use snafu::{ResultExt, Snafu};

/// The longest head. Headers of a request are bounded by 16 KiB or what the operator says.
const MAX_HEAD_BYTES: usize = 1 << 20;

/// A request on its way to the host beside its backend server.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Forward {
    /// The version of the configuration at the sender.
    pub version: u64,
    /// The id of the request.
    pub id: String,
    /// The service that is to run it.
    pub service: String,
    /// The service beside which it began.
    pub from: String,
    /// The HTTP method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// The headers.
    pub headers: Vec<(String, Vec<u8>)>,
    /// The key, if it has one.
    pub key: Option<u16>,
    /// Requests of one class take about the same time.
    pub class: u64,
    /// The rank; 0 is the most urgent.
    pub priority: u8,
    /// How long an answer counts in full, in milliseconds.
    pub target_ms: u32,
    /// How long an answer is of use, in milliseconds.
    pub limit_ms: u32,
    /// How long the caller waits, in milliseconds.
    pub caller_ms: u32,
    /// Requests with the same digest do the same.
    pub digest: u64,
    /// What the sender says about requests that crash backend servers.
    pub suspects: SuspectNews,
}

/// How a request ended at the host that it was sent to.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Outcome {
    /// The backend server ran it; the body follows.
    Ran {
        /// The HTTP status.
        status: u16,
        /// The headers.
        headers: Vec<(String, Vec<u8>)>,
    },
    /// It did not run and will not.
    NotRun {
        /// Why.
        why: NotRun,
        /// When room is expected, as a span in milliseconds.
        after_ms: u32,
    },
    /// It may have run.
    Unknown {
        /// What happened.
        why: String,
    },
}

impl Default for Outcome {
    fn default() -> Self {
        Self::Unknown { why: String::new() }
    }
}

/// Why a request did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum NotRun {
    /// No connection to the host.
    Unreachable,
    /// No backend server is known to run there.
    NoBackend,
    /// The backend server leaves.
    Leaving,
    /// The backend server turned it away.
    TurnedAway,
    /// There is no room in time.
    NoRoom,
    /// Another host owns the key, or nobody does.
    NotOwner,
    /// The key is on its way to another host.
    Moving,
    /// The key is not granted to the backend server yet.
    NotGranted,
    /// The time was over before it started.
    Late,
    /// The request crashes backend servers.
    Crashes,
    /// The request can't be passed on.
    Malformed,
}

/// The answer of a host.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct ForwardReply {
    /// The version of the configuration at the host.
    pub version: u64,
    /// How it ended.
    pub outcome: Outcome,
    /// The load of the backend server.
    pub report: LoadReport,
    /// Whether anything was sent to the backend server.
    pub arrived: bool,
    /// What the host says about requests that crash backend servers.
    pub suspects: SuspectNews,
}

/// A question for what changed in the store.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ChangesRequest {
    /// The version of the row of the configuration that the asker knows, or 0.
    pub config_row: u64,
    /// The asker knows all changes of hosts and key maps up to this version, or none if 0.
    pub position: u64,
    /// How long ago the asker was in contact with the store, in milliseconds.
    pub age_ms: Option<u64>,
    /// How long the question may wait for news, in milliseconds.
    pub hold_ms: u64,
    /// What the asker says about requests that crash backend servers.
    pub suspects: SuspectNews,
}

/// What changed in the store since the position of a [`ChangesRequest`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct ChangesReply {
    /// How long the question waited for news, in milliseconds.
    pub held_ms: u64,
    /// How long ago the host was in contact with the store, in milliseconds.
    pub age_ms: Option<u64>,
    /// The version of the row of the configuration, and the document, packed.
    pub config: Option<(u64, Vec<u8>)>,
    /// All changes of hosts and key maps up to this version are told.
    pub position: u64,
    /// Set if `hosts` are all there are: others whose rows are not newer than this are gone.
    pub whole: Option<u64>,
    /// Rows of hosts.
    pub hosts: Vec<HostNewsWire>,
    /// Key maps: the service, the version of the row, and the row.
    pub maps: Vec<(String, u64, Vec<u8>)>,
    /// What the host says about requests that crash backend servers.
    pub suspects: SuspectNews,
}

/// A row of a host.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct HostNewsWire {
    /// The host.
    pub host: std::net::SocketAddr,
    /// The version of the row.
    pub version: u64,
    /// What it says, or nothing if it is gone.
    pub row: Option<HostRowWire>,
}

/// What a host says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct HostRowWire {
    /// Its name, for people.
    pub name: String,
    /// The service of its backend server.
    pub service: String,
    /// Its availability zone.
    pub zone: String,
    /// Drawn at the start of its process.
    pub process: u64,
}

impl From<HostNews<HostRow>> for HostNewsWire {
    fn from((host, version, row): HostNews<HostRow>) -> Self {
        let row = row.map(|r| HostRowWire {
            name: r.name,
            service: r.service.as_str().to_owned(),
            zone: r.zone.as_str().to_owned(),
            process: r.process,
        });
        Self { host: host.0, version: version.0, row }
    }
}

impl TryFrom<HostNewsWire> for HostNews<HostRow> {
    type Error = NameError;

    fn try_from(wire: HostNewsWire) -> Result<Self, NameError> {
        let row = |r: HostRowWire| {
            let (service, zone) = (ServiceName::new(&r.service)?, ZoneName::new(&r.zone)?);
            Ok(HostRow { name: r.name, service, zone, process: r.process })
        };
        Ok((HostAddr(wire.host), RowVersion(wire.version), wire.row.map(row).transpose()?))
    }
}

/// Why bytes are not a message.
#[derive(Debug, Snafu)]
pub enum WireError {
    /// They end too early.
    #[snafu(display("the message is cut off"))]
    Truncated,
    /// The head can't be read.
    #[snafu(display("the head can't be read: {source}"))]
    Head {
        /// What the library says.
        source: bincode::error::DecodeError,
    },
}

/// Puts a head before a body.
pub fn encode(head: &impl Encode, body: &[u8]) -> Bytes {
    // Encoding plain data into memory has no way to fail; the reader refuses an empty head.
    let head = bincode::encode_to_vec(head, bincode::config::standard()).unwrap_or_default();
    let mut buf = BytesMut::with_capacity(4 + head.len() + body.len());
    buf.put_u32(u32::try_from(head.len()).unwrap_or(u32::MAX));
    buf.put_slice(&head);
    buf.put_slice(body);
    buf.freeze()
}

/// Reads a head and what follows it.
pub fn decode<T: Decode<()>>(mut bytes: Bytes) -> Result<(T, Bytes), WireError> {
    if bytes.len() < 4 {
        return TruncatedSnafu.fail();
    }
    let length = bytes.get_u32() as usize;
    if length > bytes.len() || length > MAX_HEAD_BYTES {
        return TruncatedSnafu.fail();
    }
    let config = bincode::config::standard().with_limit::<MAX_HEAD_BYTES>();
    let (head, _) =
        bincode::decode_from_slice(&bytes.split_to(length), config).context(HeadSnafu)?;
    Ok((head, bytes))
}
