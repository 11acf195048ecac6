//! Messages between hosts: a bincode head, followed by the raw body.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use adapter::HostRow;
use bincode::{Decode, Encode};
use bytes::{Buf, BufMut, Bytes, BytesMut};
use hyper::body::{Body, Frame, SizeHint};
use mesh::{
    ClassLoad, HostUpdate, LoadReport, Member, Renewal, RowName, SuspectUpdate, WriteOutcome,
    ZoneEvacuation,
};
use model::{HostAddr, NameError, RowVersion, ServiceName, ZoneName, is_final_status};
use snafu::{ResultExt, Snafu};

/// The largest head. Request headers are limited to 16 KiB or the limit in the configuration.
const MAX_HEAD_BYTES: usize = 1 << 20;

/// A request that is forwarded to the host of a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Forward {
    /// The configuration version of the sender.
    pub version: u64,
    /// The id of the request.
    pub id: String,
    /// The service that is to run it.
    pub service: String,
    /// The service of the caller.
    pub from: String,
    /// The HTTP method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// The headers.
    pub headers: Vec<(String, Vec<u8>)>,
    /// The key, if it has one.
    pub key: Option<u16>,
    /// Requests of one class have similar run times.
    pub class: u64,
    /// The priority; 0 is the most urgent.
    pub priority: u8,
    /// The time left of the target latency, in milliseconds.
    pub target_ms: u32,
    /// The time left until the deadline, in milliseconds.
    pub limit_ms: u32,
    /// How long the caller still waits, in milliseconds.
    pub caller_ms: u32,
    /// Requests with the same digest do the same on a backend server.
    pub digest: u64,
    /// What the sender reports about requests that crash backend servers.
    pub suspects: SuspectUpdate,
}

/// Fields that follow a [`Forward`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct ForwardExtension {
    /// The request is refused if it has to wait longer for a slot, in milliseconds. `None` if it
    /// may wait as long as its deadline allows.
    pub max_wait_ms: Option<u32>,
    /// The whole latency target of the route, in milliseconds.
    pub latency_target_ms: u32,
}

/// A question whether a large body may be sent.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct AnnounceRequest {
    /// The service that is to run the request.
    pub service: String,
    /// The key, if it has one.
    pub key: Option<u16>,
    /// The size of the body.
    pub bytes: u64,
    /// The time left of the target latency, in milliseconds.
    pub target_ms: u32,
    /// The time left until the deadline of the request, in milliseconds.
    pub limit_ms: u32,
}

/// The reply to an [`AnnounceRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct AnnounceReply {
    /// The id under which the request is to be sent, or why it is refused and when capacity is
    /// expected, in milliseconds from now.
    pub decision: Result<u64, (NotRun, u32)>,
    /// The load of the backend server.
    pub report: LoadReport,
}

/// How a request ended on the host that it was forwarded to.
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
        /// The reason.
        why: NotRun,
        /// When capacity is expected, in milliseconds from now.
        after_ms: u32,
    },
    /// It may have run.
    Unknown {
        /// The error.
        why: String,
    },
}

impl Outcome {
    /// Returns the outcome to tell another host.
    pub fn for_other_hosts(self) -> Self {
        match self {
            Self::NotRun { why, after_ms } => Self::NotRun { why: why.for_other_hosts(), after_ms },
            other => other,
        }
    }

    /// Returns the outcome, or that it is unknown if the status is not one of a final response: a
    /// host of an earlier release passes such a response on.
    pub fn with_final_status(self) -> Self {
        match self {
            Self::Ran { status, .. } if !is_final_status(status) => {
                Self::Unknown { why: format!("status {status} is not one of a response") }
            }
            outcome => outcome,
        }
    }
}

impl Default for Outcome {
    fn default() -> Self {
        Self::Unknown { why: String::new() }
    }
}

/// Why a request did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum NotRun {
    /// The host can't be reached.
    Unreachable,
    /// No backend server is known to run there.
    NoBackend,
    /// The backend server is draining.
    Leaving,
    /// The backend server rejected it.
    TurnedAway,
    /// There is no capacity before the deadline.
    NoRoom,
    /// Another host owns the key, or no host does.
    NotOwner,
    /// The key is moving to another host.
    Moving,
    /// The key is not granted to the backend server yet.
    NotGranted,
    /// The deadline passed before it started.
    Late,
    /// The request crashes backend servers.
    Crashes,
    /// The request can't be forwarded.
    Malformed,
    /// The zone of the host is evacuated.
    Evacuated,
    /// The owner of the key is in a region to which the request may not be sent.
    OutsideRegions,
}

impl NotRun {
    /// Returns the reason to tell another host. Hosts of the previous release can't decode the
    /// reasons that it doesn't have.
    pub fn for_other_hosts(self) -> Self {
        match self {
            Self::Evacuated | Self::OutsideRegions => Self::Leaving,
            other => other,
        }
    }
}

/// The reply to a forwarded request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct ForwardReply {
    /// The configuration version of the host.
    pub version: u64,
    /// How the request ended.
    pub outcome: Outcome,
    /// The load of the backend server.
    pub report: LoadReport,
    /// Whether anything was sent to the backend server.
    pub arrived: bool,
    /// What the host reports about requests that crash backend servers.
    pub suspects: SuspectUpdate,
}

/// Fields that follow a [`ForwardReply`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct ForwardReplyExtension {
    /// What the host tells about requests of the same class.
    pub class: ClassLoad,
}

/// A request for changes in the store.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ChangesRequest {
    /// The row version of the configuration that the requester knows, or 0.
    pub config_row: u64,
    /// The requester knows all changes of hosts and key maps up to this version; 0 if it knows
    /// none.
    pub position: u64,
    /// How long ago the requester's data was current in the store, in milliseconds.
    pub age_ms: Option<u64>,
    /// How long the request may be held back until there are changes, in milliseconds.
    pub hold_ms: u64,
    /// What the requester reports about requests that crash backend servers.
    pub suspects: SuspectUpdate,
}

/// What is known about an evacuated zone, or one whose evacuation has ended.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct EvacuationWire {
    /// The zone.
    pub zone: String,
    /// The version of the row, of its removal, or of the read that did not list it.
    pub version: u64,
    /// Whether the zone is evacuated.
    pub active: bool,
}

impl From<&ZoneEvacuation> for EvacuationWire {
    fn from(known: &ZoneEvacuation) -> Self {
        let zone = known.zone.as_str().to_owned();
        Self { zone, version: known.version.0, active: known.active }
    }
}

impl TryFrom<EvacuationWire> for ZoneEvacuation {
    type Error = NameError;

    fn try_from(wire: EvacuationWire) -> Result<Self, NameError> {
        let EvacuationWire { zone, version, active } = wire;
        Ok(Self { zone: ZoneName::new(&zone)?, version: RowVersion(version), active })
    }
}

/// The extension of [`ChangesRequest`] and [`ChangesReply`]: all that the sender knows about
/// evacuated zones, or `None` if it is of a release that knows none.
pub type EvacuationsWire = Option<Vec<EvacuationWire>>;

/// The changes in the store since the position of a [`ChangesRequest`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct ChangesReply {
    /// How long the request was held back, in milliseconds.
    pub held_ms: u64,
    /// How long ago the replying host's data was current in the store, in milliseconds.
    pub age_ms: Option<u64>,
    /// The row version of the configuration, and the compressed document.
    pub config: Option<(u64, Vec<u8>)>,
    /// The reply contains all changes of hosts and key maps up to this version.
    pub position: u64,
    /// Set if `hosts` is a complete list: other hosts whose rows are not newer than this are gone.
    pub snapshot_version: Option<u64>,
    /// Host rows.
    pub hosts: Vec<HostUpdateWire>,
    /// Key maps: the service, the row version, and the encoded map.
    pub maps: Vec<(String, u64, Vec<u8>)>,
    /// What the host reports about requests that crash backend servers.
    pub suspects: SuspectUpdate,
}

/// A change of a host row.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct HostUpdateWire {
    /// The address of the host.
    pub host: std::net::SocketAddr,
    /// The version of the row.
    pub version: u64,
    /// The row, or `None` if it was removed.
    pub row: Option<HostRowWire>,
}

/// The content of a host row.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct HostRowWire {
    /// The display name of the host.
    pub name: String,
    /// The service of its backend server.
    pub service: String,
    /// Its availability zone.
    pub zone: String,
    /// A random number drawn at the start of its process.
    pub process: u64,
}

impl From<HostUpdate<HostRow>> for HostUpdateWire {
    fn from((host, version, row): HostUpdate<HostRow>) -> Self {
        let row = row.map(|r| HostRowWire {
            name: r.name,
            service: r.service.as_str().to_owned(),
            zone: r.zone.as_str().to_owned(),
            process: r.process,
        });
        Self { host: host.0, version: version.0, row }
    }
}

impl TryFrom<HostUpdateWire> for HostUpdate<HostRow> {
    type Error = NameError;

    fn try_from(wire: HostUpdateWire) -> Result<Self, NameError> {
        let row = |r: HostRowWire| {
            let (service, zone) = (ServiceName::new(&r.service)?, ZoneName::new(&r.zone)?);
            Ok(HostRow { name: r.name, service, zone, process: r.process })
        };
        Ok((HostAddr(wire.host), RowVersion(wire.version), wire.row.map(row).transpose()?))
    }
}

/// A request to write the renewal of a lease.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct RenewalRequest {
    /// The service whose keys the lease is about.
    pub service: String,
    /// The holder of the lease.
    pub host: std::net::SocketAddr,
    /// The version of the lease row that the renewal replaces.
    pub expected: u64,
    /// The new row.
    pub row: Vec<u8>,
}

impl RenewalRequest {
    /// Creates a request.
    pub fn new(service: &ServiceName, renewal: &Renewal) -> Self {
        Self {
            service: service.as_str().to_owned(),
            host: renewal.host.0,
            expected: renewal.expected.0,
            row: renewal.row.clone(),
        }
    }
}

impl From<RenewalRequest> for Renewal {
    fn from(wire: RenewalRequest) -> Self {
        let (host, expected) = (HostAddr(wire.host), RowVersion(wire.expected));
        Self { host, expected, row: wire.row }
    }
}

/// The reply to a [`RenewalRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct RenewalReply {
    /// How the renewal ended.
    pub outcome: RenewalOutcome,
    /// When the host should renew again, in milliseconds from now.
    pub next_ms: u64,
}

/// How a renewal ended.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum RenewalOutcome {
    /// It was written, at this version.
    Committed(u64),
    /// The lease row has another version. Contains the row, if there is one.
    Conflict(u64, Option<Vec<u8>>),
    /// It was certainly not written and never will be.
    NotApplied,
    /// It may have been written, or may still be.
    Unknown,
}

impl RenewalOutcome {
    /// Returns the outcome of the renewal of `host`.
    pub fn of_host(self, host: HostAddr) -> WriteOutcome {
        match self {
            Self::Committed(version) => WriteOutcome::Committed(RowVersion(version)),
            Self::Conflict(version, row) => {
                WriteOutcome::Conflict(vec![(RowName::Lease(host), RowVersion(version), row)])
            }
            Self::NotApplied => WriteOutcome::NotApplied,
            Self::Unknown => WriteOutcome::Unknown,
        }
    }
}

impl From<WriteOutcome> for RenewalOutcome {
    fn from(outcome: WriteOutcome) -> Self {
        match outcome {
            WriteOutcome::Committed(version) => Self::Committed(version.0),
            WriteOutcome::Conflict(rows) => match rows.into_iter().next() {
                Some((_, version, row)) => Self::Conflict(version.0, row),
                None => Self::Unknown,
            },
            WriteOutcome::NotApplied => Self::NotApplied,
            WriteOutcome::Unknown => Self::Unknown,
        }
    }
}

/// A request for the hosts of a service that hold leases.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct MembersRequest {
    /// The service.
    pub service: String,
}

/// The reply to a [`MembersRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct MembersReply {
    /// The members, or `None` if the host doesn't know them well enough.
    pub members: Option<Vec<MemberWire>>,
}

/// A host of a service that holds a lease.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct MemberWire {
    /// The address.
    pub host: std::net::SocketAddr,
    /// Whether it may be assigned keys.
    pub accepts_keys: bool,
    /// The number of occupied slots, in hundredths.
    pub load: u32,
    /// The number of slots, in hundredths.
    pub capacity: u32,
}

impl From<Member> for MemberWire {
    fn from(member: Member) -> Self {
        let Member { host, accepts_keys, load, capacity, .. } = member;
        Self { host: host.0, accepts_keys, load, capacity }
    }
}

impl From<MemberWire> for Member {
    fn from(wire: MemberWire) -> Self {
        let MemberWire { host, accepts_keys, load, capacity } = wire;
        Self { host: HostAddr(host), accepts_keys, load, capacity, ranges: 0 }
    }
}

/// Why a message can't be decoded.
#[derive(Debug, Snafu)]
pub enum WireError {
    /// It ends too early, or its head is too long.
    #[snafu(display("the message is truncated"))]
    Truncated,
    /// The head can't be decoded.
    #[snafu(display("cannot decode the head: {source}"))]
    Head {
        /// The decoder's error.
        source: bincode::error::DecodeError,
    },
}

/// Encodes a message from its head and body.
pub fn encode(head: &impl Encode, body: &[u8]) -> Bytes {
    encode_extended(head, &(), body)
}

/// Encodes a message whose head is followed by `extension`: fields that were added after the first
/// release of the message. Hosts of an earlier release ignore them, so that a fleet can be upgraded
/// host by host.
pub fn encode_extended(head: &impl Encode, extension: &impl Encode, body: &[u8]) -> Bytes {
    // Plain data always encodes; a decoder would reject the empty head of the default.
    let config = bincode::config::standard();
    let mut head = bincode::encode_to_vec(head, config).unwrap_or_default();
    head.extend(bincode::encode_to_vec(extension, config).unwrap_or_default());
    let mut buf = BytesMut::with_capacity(4 + head.len() + body.len());
    buf.put_u32(u32::try_from(head.len()).unwrap_or(u32::MAX));
    buf.put_slice(&head);
    buf.put_slice(body);
    buf.freeze()
}

/// A body up to this size is copied behind its head, so that both take one buffer.
const MAX_COPIED_BYTES: usize = 16 << 10;

/// An encoded message.
#[derive(Clone, Debug)]
pub struct Message {
    parts: [Bytes; 2],
}

impl Message {
    /// Encodes a message whose long body isn't copied.
    pub fn new(head: &impl Encode, extension: &impl Encode, body: &Bytes) -> Self {
        if body.len() <= MAX_COPIED_BYTES {
            return encode_extended(head, extension, body).into();
        }
        Self { parts: [encode_extended(head, extension, &[]), body.clone()] }
    }

    /// Replaces the encoded head, and the body if it was copied, by what `f` makes of them.
    pub fn map_copied(self, f: impl FnOnce(Bytes) -> Bytes) -> Self {
        let [first, body] = self.parts;
        Self { parts: [f(first), body] }
    }
}

impl From<Bytes> for Message {
    fn from(encoded: Bytes) -> Self {
        Self { parts: [encoded, Bytes::new()] }
    }
}

impl Body for Message {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let next = self.parts.iter_mut().find(|part| !part.is_empty());
        Poll::Ready(next.map(|part| Ok(Frame::data(std::mem::take(part)))))
    }

    fn is_end_stream(&self) -> bool {
        self.parts.iter().all(Bytes::is_empty)
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.parts.iter().map(|part| part.len() as u64).sum())
    }
}

/// Decodes the head of a message and returns it with the body.
pub fn decode<T: Decode<()>>(bytes: Bytes) -> Result<(T, Bytes), WireError> {
    decode_extended::<T, ()>(bytes).map(|(head, _, body)| (head, body))
}

/// Decodes a message that was encoded with [`encode_extended`]. The extension has its default if a
/// host of an earlier release sent the message.
pub fn decode_extended<T: Decode<()>, E: Decode<()> + Default>(
    mut bytes: Bytes,
) -> Result<(T, E, Bytes), WireError> {
    if bytes.len() < 4 {
        return TruncatedSnafu.fail();
    }
    let length = bytes.get_u32() as usize;
    if length > bytes.len() || length > MAX_HEAD_BYTES {
        return TruncatedSnafu.fail();
    }
    let config = bincode::config::standard().with_limit::<MAX_HEAD_BYTES>();
    let encoded = bytes.split_to(length);
    let (head, read) = bincode::decode_from_slice(&encoded, config).context(HeadSnafu)?;
    let extension = match &encoded[read..] {
        [] => E::default(),
        rest => bincode::decode_from_slice(rest, config).context(HeadSnafu)?.0,
    };
    Ok((head, extension, bytes))
}
