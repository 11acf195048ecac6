//! Random values of every type that is sent over the network.

use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};

use model::{
    CellId, ConfigVersion, Epoch, Fence, HandoverRecord, HostAddr, Incarnation, KeptResponse,
    Millis, NotRunReason, Outcome, Partition, Priority, RecordOutcome, RequestId, RowVersion,
    ServiceName, Session, UnknownReason, WriterTag, ZoneName,
};
use ownership::{
    Assignment, CellRow, ClaimRef, Grantor, GrantorSet, Join, MemberEntry, Message,
    PartitionReport, RefusalReason, Release, Renew, Report, RouteEntry, RouteTable, RoutesVersion,
    VersionedRow,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use wire::{Call, ForwardHead, Handover, Reply, ResponseHead};

/// Number of message kinds of the ownership protocol.
pub const MESSAGE_KINDS: usize = 16;

/// Random lists are shorter than this.
const LIST_LENGTH_BOUND: usize = 6;

/// Generates random values from a seed.
pub struct Generator(StdRng);

impl Generator {
    pub fn new(seed: u64) -> Self {
        Self(StdRng::seed_from_u64(seed))
    }

    pub fn below(&mut self, bound: usize) -> usize {
        self.0.random_range(0..bound)
    }

    pub fn bytes(&mut self, length: usize) -> Vec<u8> {
        (0..length).map(|_| self.0.random()).collect()
    }

    /// Generates a number with a random bit length, to cover all lengths of a varint.
    pub fn number(&mut self) -> u64 {
        let bits = self.below(65);
        if bits == 0 { 0 } else { self.0.random::<u64>() >> (64 - bits) }
    }

    fn small(&mut self) -> u32 {
        u32::try_from(self.number() >> 32).unwrap()
    }

    fn flag(&mut self) -> bool {
        self.0.random()
    }

    fn list<T>(&mut self, mut item: impl FnMut(&mut Self) -> T) -> Vec<T> {
        (0..self.below(LIST_LENGTH_BOUND)).map(|_| item(self)).collect()
    }

    fn maybe<T>(&mut self, item: impl FnOnce(&mut Self) -> T) -> Option<T> {
        if self.flag() { Some(item(self)) } else { None }
    }

    fn text(&mut self) -> String {
        let length = self.below(20);
        (0..length).map(|_| self.0.random::<char>()).collect()
    }

    fn name(&mut self) -> String {
        let length = 1 + self.below(64);
        (0..length).map(|_| char::from(b'a' + self.0.random_range(0..26))).collect()
    }

    fn service(&mut self) -> ServiceName {
        ServiceName::new(&self.name()).unwrap()
    }

    fn zone(&mut self) -> ZoneName {
        ZoneName::new(&self.name()).unwrap()
    }

    fn addr(&mut self) -> HostAddr {
        let ip: IpAddr = if self.flag() {
            Ipv4Addr::from(self.0.random::<[u8; 4]>()).into()
        } else {
            Ipv6Addr::from(self.0.random::<[u8; 16]>()).into()
        };
        HostAddr(SocketAddr::new(ip, self.0.random()))
    }

    fn millis(&mut self) -> Millis {
        Millis(self.number())
    }

    fn epoch(&mut self) -> Epoch {
        Epoch(self.number())
    }

    fn fence(&mut self) -> Fence {
        Fence(self.number())
    }

    fn partition(&mut self) -> Partition {
        Partition(self.small())
    }

    fn incarnation(&mut self) -> Incarnation {
        Incarnation(self.number())
    }

    fn session(&mut self) -> Session {
        Session { incarnation: self.incarnation(), number: self.small() }
    }

    fn cell(&mut self) -> CellId {
        CellId { service: self.service(), index: self.small() }
    }

    fn request_id(&mut self) -> RequestId {
        let mut hex = format!("{:032x}", self.0.random::<u128>());
        hex.replace_range(12..13, "7");
        hex.replace_range(16..17, "8");
        RequestId::parse(&hex).unwrap()
    }

    fn grantor(&mut self) -> Grantor {
        Grantor { addr: self.addr(), incarnation: self.incarnation(), zone: self.zone() }
    }

    fn claim_ref(&mut self) -> ClaimRef {
        ClaimRef {
            epoch: self.epoch(),
            session: self.session(),
            partition: self.partition(),
            fence: self.fence(),
        }
    }

    fn routes_version(&mut self) -> RoutesVersion {
        RoutesVersion { row: RowVersion(self.number()), revision: self.small() }
    }

    fn route_table(&mut self) -> RouteTable {
        RouteTable {
            version: self.routes_version(),
            grantors: self.list(Self::addr),
            members: self.list(|g| (g.addr(), g.zone())),
            routes: self.list(|g| RouteEntry {
                partition: g.partition(),
                fence: g.fence(),
                owner: g.addr(),
            }),
        }
    }

    fn row(&mut self) -> VersionedRow {
        let row = CellRow {
            writer: WriterTag(self.number()),
            epoch: self.epoch(),
            grantors: self.list(Self::grantor),
            unsealed: self
                .list(|g| GrantorSet { epoch: g.epoch(), grantors: g.list(Self::grantor) }),
            members: self.list(|g| MemberEntry {
                session: g.session(),
                addr: g.addr(),
                zone: g.zone(),
            }),
            assignments: self.list(|g| Assignment {
                partition: g.partition(),
                fence: g.fence(),
                owner: g.session(),
                standby: g.maybe(Self::session),
            }),
        };
        VersionedRow { version: RowVersion(self.number()), row }
    }

    fn renew(&mut self) -> Renew {
        let report = Report {
            slots: self.small(),
            slots_in_use: self.small(),
            draining: self.flag(),
            unfenced_grace: self.millis(),
            partitions: self.list(|g| PartitionReport {
                partition: g.partition(),
                millirequests_per_second: g.number(),
            }),
        };
        Renew { epoch: self.epoch(), session: self.session(), sent_at: self.millis(), report }
    }

    fn refusal(&mut self) -> RefusalReason {
        match self.below(3) {
            0 => RefusalReason::SessionExpired,
            1 => RefusalReason::OtherEpoch {
                epoch: self.epoch(),
                grantors: self.list(Self::grantor),
            },
            _ => RefusalReason::NotGrantor,
        }
    }

    /// Generates a message of the given kind, from 0 to `MESSAGE_KINDS - 1`.
    pub fn message(&mut self, kind: usize) -> Message {
        match kind {
            0 => Message::Join(Join {
                session: self.session(),
                addr: self.addr(),
                zone: self.zone(),
                slots: self.small(),
            }),
            1 => Message::Renew(self.renew()),
            2 => Message::Renewed {
                epoch: self.epoch(),
                session: self.session(),
                sent_at: self.millis(),
                routes: self.routes_version(),
                config: ConfigVersion(self.number()),
                config_age: self.millis(),
            },
            3 => Message::RenewRefused {
                session: self.session(),
                sent_at: self.millis(),
                reason: self.refusal(),
            },
            4 => Message::Assign {
                claim: self.claim_ref(),
                handed_over_from: self.maybe(Self::fence),
                first: self.flag(),
            },
            5 => Message::TakeOver(self.claim_ref()),
            6 => Message::Serving(self.claim_ref()),
            7 => Message::Release(Release {
                claim: self.claim_ref(),
                next: self.maybe(Self::addr),
                time_limit: self.millis(),
            }),
            8 => Message::Released { claim: self.claim_ref(), handed_over: self.flag() },
            9 => Message::ExpireSession { epoch: self.epoch(), session: self.session() },
            10 => Message::SessionExpired {
                epoch: self.epoch(),
                session: self.session(),
                remaining: self.millis(),
            },
            11 => Message::Seal {
                epoch: self.epoch(),
                sealed: self.epoch(),
                grantors: self.list(Self::grantor),
                incarnation: self.incarnation(),
            },
            12 => Message::Sealed {
                epoch: self.epoch(),
                sealed: self.epoch(),
                incarnation: self.incarnation(),
                expired: self.list(Self::session),
            },
            13 => Message::RowChanged(self.row()),
            14 => Message::GetRoutes(self.routes_version()),
            _ => Message::Routes(self.route_table()),
        }
    }

    fn any_message(&mut self) -> Message {
        let kind = self.below(MESSAGE_KINDS);
        self.message(kind)
    }

    fn headers(&mut self) -> Vec<(String, Vec<u8>)> {
        self.list(|g| {
            let length = g.below(30);
            (g.text(), g.bytes(length))
        })
    }

    fn record(&mut self) -> HandoverRecord {
        let outcome = match self.below(3) {
            0 => RecordOutcome::Answered(KeptResponse {
                status: self.0.random(),
                headers: self.headers(),
                body: self.bytes(40),
            }),
            1 => RecordOutcome::NotKept { status: self.0.random() },
            _ => RecordOutcome::Unknown,
        };
        HandoverRecord { id: self.request_id(), digest: self.number(), age: self.millis(), outcome }
    }

    /// Generates a call of any kind.
    pub fn call(&mut self) -> Call {
        match self.below(6) {
            0 => Call::Ownership {
                from: self.addr(),
                cell: self.cell(),
                message: self.any_message(),
            },
            1 => Call::Routes { cell: self.cell(), have: self.routes_version() },
            2 => Call::Config { at_least: ConfigVersion(self.number()) },
            3 => Call::Handover(Handover {
                cell: self.cell(),
                partition: self.partition(),
                fence: self.fence(),
                complete_from: self.millis(),
                records: self.list(Self::record),
            }),
            4 => Call::Quarantine {
                service: self.service(),
                digest: self.number(),
                time_left: self.millis(),
            },
            _ => Call::Suspects { service: self.service(), digests: self.list(Self::number) },
        }
    }

    /// Generates a reply of any kind.
    pub fn reply(&mut self) -> Reply {
        match self.below(5) {
            0 => Reply::Messages(self.list(Self::any_message)),
            1 => Reply::Routes(self.maybe(Self::route_table)),
            2 => Reply::Config(self.maybe(|g| (ConfigVersion(g.number()), g.text()))),
            3 => Reply::Done,
            _ => Reply::Refused(self.text()),
        }
    }

    /// Generates the head of a request.
    pub fn forward_head(&mut self) -> ForwardHead {
        let priorities = [Priority::Interactive, Priority::Deferrable, Priority::Internal];
        ForwardHead {
            service: self.service(),
            partition: self.maybe(Self::partition),
            id: self.maybe(Self::request_id),
            digest: self.number(),
            priority: priorities[self.below(priorities.len())],
            time_left: self.millis(),
            rule: self.maybe(Self::small),
            method: self.text(),
            target: self.text(),
            headers: self.headers(),
            body_length: self.number(),
        }
    }

    /// Generates an outcome with any kind and reason.
    pub fn outcome(&mut self) -> Outcome<ResponseHead> {
        const NOT_RUN: [NotRunReason; 12] = [
            NotRunReason::NotConnected,
            NotRunReason::NotOwner,
            NotRunReason::NoLease,
            NotRunReason::NoOwner,
            NotRunReason::Draining,
            NotRunReason::BackendRefused,
            NotRunReason::Deadline,
            NotRunReason::Overloaded,
            NotRunReason::Quarantined,
            NotRunReason::RetryBudget,
            NotRunReason::StaleConfig,
            NotRunReason::Abandoned,
        ];
        const UNKNOWN: [UnknownReason; 7] = [
            UnknownReason::ConnectionLost,
            UnknownReason::Timeout,
            UnknownReason::ResponseTruncated,
            UnknownReason::HistoryIncomplete,
            UnknownReason::BackendDied,
            UnknownReason::LeaseLost,
            UnknownReason::InvalidResponse,
        ];
        match self.below(3) {
            0 => Outcome::NotRun(NOT_RUN[self.below(NOT_RUN.len())]),
            1 => Outcome::Unknown(UNKNOWN[self.below(UNKNOWN.len())]),
            _ => Outcome::Ran(ResponseHead {
                status: self.0.random(),
                headers: self.headers(),
                body_length: self.maybe(Self::number),
                owner: self.addr(),
            }),
        }
    }
}
