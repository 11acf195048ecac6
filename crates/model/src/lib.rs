//! Identifiers, names, time and outcome types that all other crates share.
//!
//! Crates that exchange a value thus agree on its type, its unit and its text form. Apart from
//! reading clocks, this crate performs no I/O, and it implements no policy.

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
pub use outcome::{NotRunReason, Outcome, UnknownReason, is_final_status};
pub use record::{HandoverRecord, KeptResponse, RecordOutcome};
pub use request::{Priority, RequestId, RequestIdError};
