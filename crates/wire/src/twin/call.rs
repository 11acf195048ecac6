//! Twins of calls, replies and the heads of forwarded requests and answers.

use std::net::SocketAddr;

use model::{
    CellId, HandoverRecord, KeptResponse, NotRunReason, Outcome, Priority, RecordOutcome,
    UnknownReason,
};

use super::ownership::{WireMessage, WireRouteTable, WireRoutesVersion};
use crate::twin::twin;
use crate::{Call, ForwardHead, Handover, Reply, ResponseHead};

type WireHeaders = Vec<(String, Vec<u8>)>;

/// The outcome of a forwarded request, as the head of its answer tells it.
type HeadOutcome = Outcome<ResponseHead>;

twin!(struct WireCellId = CellId { service: String, index: u32 });
twin!(enum WirePriority = Priority { Interactive, Deferrable, Internal });
twin!(struct WireKeptResponse = KeptResponse { status: u16, headers: WireHeaders, body: Vec<u8> });
twin!(enum WireRecordOutcome = RecordOutcome {
    Answered(answer: WireKeptResponse),
    NotKept { status: u16 },
    Unknown,
});
twin!(struct WireHandoverRecord = HandoverRecord {
    id: u128,
    digest: u64,
    age: u64,
    outcome: WireRecordOutcome,
});
twin!(struct WireHandover = Handover {
    cell: WireCellId,
    partition: u32,
    fence: u64,
    complete_from: u64,
    records: Vec<WireHandoverRecord>,
});
twin!(enum WireCall = Call {
    Ownership { from: SocketAddr, cell: WireCellId, message: WireMessage },
    Routes { cell: WireCellId, have: WireRoutesVersion },
    Config { at_least: u64 },
    Handover(handover: WireHandover),
    Quarantine { service: String, digest: u64, time_left: u64 },
    Suspects { service: String, digests: Vec<u64> },
});
twin!(enum WireReply = Reply {
    Messages(messages: Vec<WireMessage>),
    Routes(table: Option<WireRouteTable>),
    Config(config: Option<(u64, String)>),
    Done,
    Refused(reason: String),
});
twin!(struct WireForwardHead = ForwardHead {
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
twin!(struct WireResponseHead = ResponseHead {
    status: u16,
    headers: WireHeaders,
    body_length: Option<u64>,
    owner: SocketAddr,
});
twin!(enum WireNotRunReason = NotRunReason {
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
twin!(enum WireUnknownReason = UnknownReason {
    ConnectionLost,
    Timeout,
    ResponseTruncated,
    HistoryIncomplete,
    BackendDied,
    LeaseLost,
});
twin!(enum WireOutcome = HeadOutcome {
    Ran(head: WireResponseHead),
    NotRun(reason: WireNotRunReason),
    Unknown(reason: WireUnknownReason),
});
