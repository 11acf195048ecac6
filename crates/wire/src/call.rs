//! The messages that hosts exchange, as domain types.

use model::{
    CellId, ConfigVersion, Fence, HandoverRecord, HostAddr, Millis, Partition, Priority, RequestId,
    ServiceName, derive_common,
};
use ownership::{Message, RouteTable, RoutesVersion};

derive_common! {
    data
    /// A request from one host to another, answered with one [`Reply`].
    pub enum Call {
        /// A message of the ownership protocol; answered with `Messages`.
        Ownership {
            /// Address of the sender.
            from: HostAddr,
            /// The cell that the message concerns.
            cell: CellId,
            /// The message.
            message: Message,
        },
        /// Requests the route table of a cell if it is newer than the sender's; answered with
        /// `Routes`.
        Routes {
            /// The cell.
            cell: CellId,
            /// The version that the sender has.
            have: RoutesVersion,
        },
        /// Requests the configuration in the given version or a newer one; answered with `Config`.
        Config {
            /// The oldest version that the sender can use.
            at_least: ConfigVersion,
        },
        /// Hands over the request records of a partition; answered with `Done`.
        Handover(Handover),
        /// Reports a request that crashes backend servers; answered with `Done`.
        Quarantine {
            /// The service.
            service: ServiceName,
            /// The digest of the request.
            digest: u64,
            /// Remaining duration of the quarantine; zero ends it.
            time_left: Millis,
        },
        /// Reports the requests that were in flight when a backend server crashed; answered with
        /// `Done`.
        Suspects {
            /// The service.
            service: ServiceName,
            /// Sorted digests of the requests.
            digests: Vec<u64>,
        },
    }
}

derive_common! {
    data
    /// The reply to a call.
    pub enum Reply {
        /// Messages of the ownership protocol for the calling host.
        Messages(Vec<Message>),
        /// A newer route table, or `None` if the calling host has the newest known one.
        Routes(Option<RouteTable>),
        /// A YAML configuration document with its version, if the requested version is known.
        Config(Option<(ConfigVersion, String)>),
        /// The call was executed.
        Done,
        /// The receiver cannot handle the call, for the given reason.
        Refused(String),
    }
}

derive_common! {
    data
    /// The request records of one partition.
    pub struct Handover {
        /// The cell.
        pub cell: CellId,
        /// The partition.
        pub partition: Partition,
        /// The fencing token that the sender held as owner.
        pub fence: Fence,
        /// The records are complete only for request ids minted at or after this wall-clock time.
        pub complete_from: Millis,
        /// The records, sorted by id.
        pub records: Vec<HandoverRecord>,
    }
}

derive_common! {
    data
    /// The head of a request that is forwarded to the owner of its key; the body follows.
    pub struct ForwardHead {
        /// The service.
        pub service: ServiceName,
        /// The partition; `None` if the service is not sharded by key, so that any backend server
        /// may run the request.
        pub partition: Option<Partition>,
        /// The request id, for requests that run at most once.
        pub id: Option<RequestId>,
        /// Digest of method, path, key and body, for the quarantine and to detect the reuse of an
        /// id for another request.
        pub digest: u64,
        /// The priority class.
        pub priority: Priority,
        /// Remaining time until the deadline, as a duration.
        pub time_left: Millis,
        /// Index of the matching rule, by which the owner estimates run times.
        pub rule: Option<u32>,
        /// The HTTP method.
        pub method: String,
        /// Path and query for the backend server.
        pub target: String,
        /// Headers for the backend server.
        pub headers: Vec<(String, Vec<u8>)>,
        /// The length of the body in bytes.
        pub body_length: u64,
    }
}

derive_common! {
    data
    /// The head of a response; the body follows as a stream.
    pub struct ResponseHead {
        /// The HTTP status.
        pub status: u16,
        /// The headers.
        pub headers: Vec<(String, Vec<u8>)>,
        /// The length of the body in bytes, if known.
        pub body_length: Option<u64>,
        /// The host that owns the key, so that the caller can send later requests to it directly.
        pub owner: HostAddr,
    }
}
