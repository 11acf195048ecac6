//! Wire types of calls, replies, and the heads of forwarded requests and their responses.

use std::net::SocketAddr;

use model::{
    CellId, HandoverRecord, KeptResponse, NotRunReason, Outcome, Priority, RecordOutcome,
    UnknownReason,
};

use super::ownership::{WireMessage, WireRouteTable, WireRoutesVersion};
use crate::wire_types::wire_type;
use crate::{Call, ForwardHead, Handover, Reply, ResponseHead};

type WireHeaders = Vec<(String, Vec<u8>)>;

/// The outcome of a forwarded request, without the response body.
type HeadOutcome = Outcome<ResponseHead>;

wire_type!(struct WireCellId = CellId { service: String, index: u32 });
wire_type!(enum WirePriority = Priority { Interactive, Deferrable, Internal });
wire_type!(struct WireKeptResponse = KeptResponse {
    status: u16,
    headers: WireHeaders,
    body: Vec<u8>,
});
wire_type!(enum WireRecordOutcome = RecordOutcome {
    Answered(response: WireKeptResponse),
    NotKept { status: u16 },
    Unknown,
});
wire_type!(struct WireHandoverRecord = HandoverRecord {
    id: u128,
    digest: u64,
    age: u64,
    outcome: WireRecordOutcome,
});
wire_type!(struct WireHandover = Handover {
    cell: WireCellId,
    partition: u32,
    fence: u64,
    complete_from: u64,
    records: Vec<WireHandoverRecord>,
});
wire_type!(enum WireCall = Call {
    Ownership { from: SocketAddr, cell: WireCellId, message: WireMessage },
    Routes { cell: WireCellId, have: WireRoutesVersion },
    Config { at_least: u64 },
    Handover(handover: WireHandover),
    Quarantine { service: String, digest: u64, time_left: u64 },
    Suspects { service: String, digests: Vec<u64> },
});
wire_type!(enum WireReply = Reply {
    Messages(messages: Vec<WireMessage>),
    Routes(table: Option<WireRouteTable>),
    Config(config: Option<(u64, String)>),
    Done,
    Refused(reason: String),
});
wire_type!(struct WireForwardHead = ForwardHead {
    service: String,
    partition: Option<u32>,
    id: Option<u128>,
    digest: u64,
    priority: WirePriority,
    time_left: u64,
    rule: Option<u32>,
    method: String,
    target: String,
    headers: WireHeaders,
    body_length: u64,
});
wire_type!(struct WireResponseHead = ResponseHead {
    status: u16,
    headers: WireHeaders,
    body_length: Option<u64>,
    owner: SocketAddr,
});
wire_type!(enum WireNotRunReason = NotRunReason {
    NotConnected,
    NotOwner,
    NoLease,
    NoOwner,
    Draining,
    BackendRefused,
    Deadline,
    Overloaded,
    Quarantined,
    RetryBudget,
    StaleConfig,
    Abandoned,
});
wire_type!(enum WireUnknownReason = UnknownReason {
    ConnectionLost,
    Timeout,
    ResponseTruncated,
    HistoryIncomplete,
    BackendDied,
    LeaseLost,
    InvalidResponse,
});
wire_type!(enum WireOutcome = HeadOutcome {
    Ran(head: WireResponseHead),
    NotRun(reason: WireNotRunReason),
    Unknown(reason: WireUnknownReason),
});
