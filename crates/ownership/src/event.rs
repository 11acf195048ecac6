//! The inputs and outputs of a node: events that happened, commands for the host process.

use model::{
    ConfigVersion, Fence, HostAddr, Millis, Partition, RowVersion, Session, derive_common,
};

use crate::{CellRow, Message, Report, VersionedRow};

/// An input of the node.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// Time passed. Expected at least every 50 ms.
    Tick,
    /// A message was received.
    Received {
        /// The sender.
        from: HostAddr,
        /// The message.
        message: Message,
    },
    /// The row was read; `None` if it does not exist yet.
    RowRead(Option<VersionedRow>),
    /// The row could not be read.
    RowReadFailed,
    /// The row was written and now has this version.
    RowWritten(RowVersion),
    /// The row had another version than expected; nothing was written.
    RowConflict,
    /// The write may or may not have taken effect.
    RowWriteUnknown,
    /// The write certainly had no effect.
    RowWriteFailed,
    /// The host's own state changed: the backend server is up with some slots or down with none,
    /// and what else the member reports with its renewals.
    Reported(Report),
    /// No request of a partition that is being released runs any more.
    Quiesced {
        /// The partition.
        partition: Partition,
        /// The fence under which it was served.
        fence: Fence,
        /// Whether the request records reached the next owner.
        handed_over: bool,
    },
    /// The operator drains this host: it gives up its partitions and leaves the cell.
    Drain,
    /// Wall clock and boot clock diverged by more than the drift margin, so the lease counts as
    /// lost.
    ClockJumped,
    /// The platform reported this as the newest configuration version.
    ConfigSeen(ConfigVersion),
    /// The operator declared that the processes of these sessions are dead for good.
    DeclaredDead(Vec<Session>),
}

derive_common! {
    value
    /// How an owner got its partition. It decides for which request ids the owner can tell whether
    /// the request ran.
    pub enum Origin {
        /// Nobody owned the partition before.
        First,
        /// The previous owner handed over its request records.
        Planned {
            /// The fence under which the previous owner served.
            from: Fence,
        },
        /// The previous owner was lost without handing over its request records.
        Unplanned,
    }
}

/// An output of the node, which the host process carries out.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Command {
    /// Send a message; a failure is not reported back.
    Send {
        /// The recipient.
        to: HostAddr,
        /// The message.
        message: Message,
    },
    /// Read the cell's row and answer with [`Event::RowRead`] or [`Event::RowReadFailed`].
    ReadRow,
    /// Write the cell's row if it still has the expected version.
    WriteRow {
        /// The version to replace; `None` to create the row.
        expected: Option<RowVersion>,
        /// The new content, to be written as it is.
        row: CellRow,
    },
    /// Start serving a partition.
    Serve {
        /// The partition.
        partition: Partition,
        /// The fence to serve under.
        fence: Fence,
        /// How this host got the partition.
        origin: Origin,
    },
    /// Accept no new requests for a partition, finish the running ones, hand the request records
    /// to `next`, and answer with [`Event::Quiesced`] within the time limit.
    Quiesce {
        /// The partition.
        partition: Partition,
        /// The fence under which it is served.
        fence: Fence,
        /// The address of the next owner, if it is known.
        next: Option<HostAddr>,
        /// How long all of that may take.
        time_limit: Millis,
    },
    /// Go on serving a partition that was being quiesced.
    Resume {
        /// The partition.
        partition: Partition,
        /// The fence to serve under, as before.
        fence: Fence,
    },
    /// The lease is lost: stop serving all partitions at once and cancel the running requests.
    StopAll,
    /// A grantor knows this configuration version; fetch it if it is newer than the local one.
    ConfigKnown {
        /// The version.
        version: ConfigVersion,
        /// When the version was known to be the newest, on this host's clock.
        as_of: Millis,
    },
    /// The drain is complete: this host holds no claim and grants no leases any more.
    Drained,
    /// Log a decision, count it and keep it for the `explain` command.
    Record(Decision),
}

/// A decision of the protocol that operators can look up.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Decision {
    /// The partition that the decision is about, if any.
    pub partition: Option<Partition>,
    /// The kind of decision: a fixed term, such as `takeover`, which is also a metric label.
    pub kind: &'static str,
    /// The reason, in one short sentence.
    pub reason: String,
}
