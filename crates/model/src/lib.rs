//! Identifiers, names, clock and outcome types that every other crate shares.
//!
//! The crate does no I/O and has no policy. It exists so that two crates that exchange a value
//! agree on its type, its unit and its printed form.

mod clock;
mod ids;
mod macros;
mod names;
mod outcome;
mod record;
mod request;

pub use clock::{Clock, ManualClock, Millis};
pub use ids::{
    CellId, ConfigVersion, Epoch, Fence, HostAddr, Incarnation, Partition, RowVersion, Session,
    WriterTag, partition_of,
};
pub use names::{Name, NameError, RegionName, ServiceName, ZoneName};
pub use outcome::{NotRunReason, Outcome, UnknownReason};
pub use record::{HandoverRecord, KeptResponse, RecordOutcome};
pub use request::{Priority, RequestId, RequestIdError};
