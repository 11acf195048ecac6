//! What a node is told, and what it tells the host process to do.

use model::{
    ConfigVersion, Fence, HostAddr, Millis, Partition, RowVersion, Session, derive_common,
};

use crate::{CellRow, Message, Report, VersionedRow};

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

/// A decision that operators can ask about.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Decision {
    /// The partition that it is about, if it is about one.
    pub partition: Option<Partition>,
    /// What was decided: a short fixed term, such as `takeover`, that also names a metric.
    pub kind: &'static str,
    /// Why, in one short sentence.
    pub reason: String,
}
