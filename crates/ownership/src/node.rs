//! One host process's part in its cell: member, and grantor and coordinator when named.
//!
//! This is the face of the crate towards the host process. It feeds events to the machines and
//! gathers their commands.

use model::{
    CellId, ConfigVersion, Epoch, Fence, HostAddr, Incarnation, Millis, Partition, RowVersion,
    Session, ZoneName, derive_common,
};

use crate::{CellRow, Message, Report, RouteTable, VersionedRow};

derive_common! {
    value
    /// The time limits of the protocol, the same on every host of a cell.
    pub struct Timing {
        /// How long a grantor's promise runs.
        pub term: Millis,
        /// How far two clocks may drift apart during one term.
        pub drift_margin: Millis,
        /// The pause between two renewals.
        pub renew_interval: Millis,
        /// How long a grantor goes without a renewal before it ends the session.
        pub silence_limit: Millis,
        /// How long a coordinator waits for the store before it orders takeovers.
        pub store_patience: Millis,
        /// How long an owner may take to finish requests when it releases a partition.
        pub release_time_limit: Millis,
        /// How long partitions wait after a lease ended whose backend server checks no fences.
        pub unfenced_grace: Millis,
    }
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            term: Millis(1_000),
            drift_margin: Millis(50),
            renew_interval: Millis(300),
            silence_limit: Millis(900),
            store_patience: Millis(500),
            release_time_limit: Millis(10_000),
            unfenced_grace: Millis(0),
        }
    }
}

/// What a node has to know before it starts.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// The cell to join.
    pub cell: CellId,
    /// Where this host process listens.
    pub addr: HostAddr,
    /// This run of the host process.
    pub incarnation: Incarnation,
    /// The availability zone of this host.
    pub zone: ZoneName,
    /// The partitions of the cell: from the first to before the second.
    pub partitions: (Partition, Partition),
    /// The time limits.
    pub timing: Timing,
}

/// What happened outside the node.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// Time passed. Expected at least every 50 ms.
    Tick,
    /// A message came in.
    Received {
        /// Who sent it.
        from: HostAddr,
        /// The message.
        message: Message,
    },
    /// The row was read; `None` if there is none yet.
    RowRead(Option<VersionedRow>),
    /// The row could not be read.
    RowReadFailed,
    /// The row was written and has this version now.
    RowWritten(RowVersion),
    /// The write lost a race; nothing was changed.
    RowConflict,
    /// The write may or may not have taken effect.
    RowWriteUnknown,
    /// The write certainly had no effect.
    RowWriteFailed,
    /// The backend server is up with so many slots, or down with zero. Anything else that the
    /// member reports about itself comes along.
    Reported(Report),
    /// A partition that was to be released is quiet: nothing of it runs any more.
    Quiesced {
        /// The partition.
        partition: Partition,
        /// The fence under which it was served.
        fence: Fence,
        /// Whether the request records reached the next owner.
        handed_over: bool,
    },
    /// The operator wants this host to leave.
    Drain,
    /// Wall time and boot time moved apart by more than the margin: the lease counts as lost.
    ClockJumped,
    /// The platform said that this is the newest configuration.
    ConfigSeen(ConfigVersion),
    /// The operator states that these sessions are dead for good.
    DeclaredDead(Vec<Session>),
}

derive_common! {
    value
    /// How a partition came to its owner. It decides which request ids the owner can vouch for.
    pub enum Origin {
        /// Nobody owned the partition before.
        First,
        /// The former owner handed over its request records.
        Planned {
            /// The fence under which the former owner served.
            from: Fence,
        },
        /// The former owner is lost, and its records with it.
        Unplanned,
    }
}

/// What the host process has to do.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Command {
    /// Send a message; a failure needs no report.
    Send {
        /// The receiver.
        to: HostAddr,
        /// The message.
        message: Message,
    },
    /// Read the cell's row and report `RowRead` or `RowReadFailed`.
    ReadRow,
    /// Write the cell's row if it still has the expected version.
    WriteRow {
        /// The version to replace; `None` creates the row.
        expected: Option<RowVersion>,
        /// The new content. The host process fills in nothing.
        row: CellRow,
    },
    /// Start to serve a partition.
    Serve {
        /// The partition.
        partition: Partition,
        /// The fence to serve under.
        fence: Fence,
        /// How the partition came here.
        origin: Origin,
    },
    /// Take no new work for a partition, finish what runs, hand the records to `next`, and
    /// report `Quiesced` within the time limit.
    Quiesce {
        /// The partition.
        partition: Partition,
        /// The fence under which it is served.
        fence: Fence,
        /// The next owner, if it is known.
        next: Option<HostAddr>,
        /// How long that may take.
        time_limit: Millis,
    },
    /// Go on serving a partition that was being quiesced.
    Resume {
        /// The partition.
        partition: Partition,
        /// The fence to serve under, as before.
        fence: Fence,
    },
    /// The lease is lost: stop serving everything at once and cancel what runs.
    StopAll,
    /// A grantor knows this configuration version; fetch it if it is newer.
    ConfigKnown {
        /// The version.
        version: ConfigVersion,
        /// When it was known to be the newest, on this host's clock.
        as_of: Millis,
    },
    /// The drain is over: this host owns nothing any more.
    Drained,
    /// Log a decision, count it and keep it for `explain`.
    Record(Decision),
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
/// A decision that operators can ask about.
pub struct Decision {
    /// The partition that it is about, if it is about one.
    pub partition: Option<Partition>,
    /// What was decided: a short fixed term, such as `takeover`, that also names a metric.
    pub kind: &'static str,
    /// Why, in one short sentence.
    pub reason: String,
}

/// One host process's part in its cell.
#[derive(Clone, Debug)]
pub struct Node {
    settings: NodeSettings,
}

impl Node {
    /// Makes a node that is not a member yet.
    pub fn new(settings: NodeSettings) -> Self {
        Self { settings }
    }

    /// Handles one event and returns what is to be done, in order.
    pub fn handle(&mut self, _event: Event, _now: Millis) -> Vec<Command> {
        Vec::new()
    }

    /// Returns the fence under which this host may serve `partition` right now.
    pub fn serves(&self, _partition: Partition, _now: Millis) -> Option<Fence> {
        None
    }

    /// Returns the session and the end of its lease, if there is one.
    pub fn lease(&self, _now: Millis) -> Option<(Session, Millis)> {
        None
    }

    /// Returns the newest routing table that this node knows.
    pub fn routes(&self) -> &RouteTable {
        unreachable!("the stub knows no routes")
    }

    /// Returns the epoch that this node knows.
    pub fn epoch(&self) -> Epoch {
        Epoch::default()
    }

    /// Returns the newest row that this node knows.
    pub fn row(&self) -> Option<&VersionedRow> {
        None
    }

    /// Returns whether this node acts as the coordinator of its cell.
    pub fn is_coordinator(&self) -> bool {
        false
    }

    /// Returns the settings.
    pub fn settings(&self) -> &NodeSettings {
        &self.settings
    }
}
