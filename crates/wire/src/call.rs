//! What host processes ask each other, in the form that the rest of the code uses.

use model::{
    CellId, ConfigVersion, Fence, HandoverRecord, HostAddr, Millis, Partition, Priority, RequestId,
    ServiceName, derive_common,
};
use ownership::{Message, RouteTable, RoutesVersion};

derive_common! {
    data
    /// A question with one answer.
    pub enum Call {
        /// A message of the ownership protocol; answered with `Messages`.
        Ownership {
            /// The sender's own address.
            from: HostAddr,
            /// The cell that the message is about.
            cell: CellId,
            /// The message.
            message: Message,
        },
        /// Asks for the routes of a cell if they are newer; answered with `Routes`.
        Routes {
            /// The cell.
            cell: CellId,
            /// The version that the sender has.
            have: RoutesVersion,
        },
        /// Asks for the configuration of a version or a newer one; answered with `Config`.
        Config {
            /// The least version that helps the sender.
            at_least: ConfigVersion,
        },
        /// Hands over the request records of a partition; answered with `Done`.
        Handover(Handover),
        /// Tells that a request crashes backend servers; answered with `Done`.
        Quarantine {
            /// The service.
            service: ServiceName,
            /// The digest of the request.
            digest: u64,
            /// How long the quarantine runs; zero ends it.
            time_left: Millis,
        },
        /// Tells which requests were in flight when a backend server crashed; answered with
        /// `Done`.
        Suspects {
            /// The service.
            service: ServiceName,
            /// The digests of the requests, sorted.
            digests: Vec<u64>,
        },
    }
}

derive_common! {
    data
    /// The answer to a call.
    pub enum Reply {
        /// Messages to the caller's node.
        Messages(Vec<Message>),
        /// A newer table, or `None` if the caller has the newest that is known.
        Routes(Option<RouteTable>),
        /// A configuration document in YAML with its version, if it is known.
        Config(Option<(ConfigVersion, String)>),
        /// The call was carried out.
        Done,
        /// The call makes no sense to the receiver.
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
        /// The fence under which the sender served.
        pub fence: Fence,
        /// Ids minted before this wall-clock time are not vouched for.
        pub complete_from: Millis,
        /// The records, sorted by id.
        pub records: Vec<HandoverRecord>,
    }
}

derive_common! {
    data
    /// A request on its way to the owner; the body follows.
    pub struct ForwardHead {
        /// The service.
        pub service: ServiceName,
        /// The partition; `None` if the service is not divided by key and the request may go to
        /// any backend server.
        pub partition: Option<Partition>,
        /// The id, for requests that run at most once.
        pub id: Option<RequestId>,
        /// The digest of method, path, key and body, for quarantine and id checks.
        pub digest: u64,
        /// The class.
        pub priority: Priority,
        /// The time left, as a span.
        pub time_left: Millis,
        /// The index of the rule that matched, for the owner's predictions.
        pub rule: Option<u32>,
        /// The HTTP method.
        pub method: String,
        /// Path and query as the backend server gets them.
        pub target: String,
        /// The headers that go to the backend server.
        pub headers: Vec<(String, Vec<u8>)>,
        /// The length of the body in bytes.
        pub body_length: u64,
    }
}

derive_common! {
    data
    /// The head of a whole answer; the body follows as a stream.
    pub struct ResponseHead {
        /// The HTTP status.
        pub status: u16,
        /// The headers.
        pub headers: Vec<(String, Vec<u8>)>,
        /// The length of the body, if it is known.
        pub body_length: Option<u64>,
        /// The host process that owns the key, so that the caller may go straight there.
        pub owner: HostAddr,
    }
}
