//! `papayarill status`: shows a host process's view of its cell.

use gumdrop::Options;
use host::operators::Status;

use crate::CommandError;
use crate::http::{self, OperatorsAddr};
use crate::output::outln;

/// Options of `papayarill status`.
#[derive(Debug, Options)]
pub struct StatusOptions {
    /// print this help
    help: bool,
    /// the operators' address of a host process
    #[options(required, meta = "ADDR")]
    host: OperatorsAddr,
    /// print the status as JSON
    #[options(no_short)]
    json: bool,
}

/// Requests the status and prints it.
pub fn run(options: &StatusOptions) -> Result<(), CommandError> {
    let status: Status = http::get(options.host, "/status")?;
    if options.json {
        let text = serde_json::to_string_pretty(&status).map_err(|e| e.to_string())?;
        outln!("{text}");
        return Ok(());
    }
    print(&status);
    Ok(())
}

fn print(status: &Status) {
    let Status { cell, addr, zone, epoch, row_version, config_version, .. } = status;
    let none = || "none".to_owned();
    let role = if status.coordinator { "coordinator" } else { "member" };
    outln!("cell {cell}, epoch {epoch}, row version {row_version}");
    outln!("host {addr} in {zone}, {role}, {:?}", status.state);
    outln!("session {}", status.session.clone().unwrap_or_else(none));
    outln!("lease {}", status.lease_left_ms.map_or_else(none, |ms| format!("{ms} ms left")));
    outln!("backend server {}", status.backend_server.clone().unwrap_or_else(none));
    outln!("requests {} running, {} waiting", status.running, status.waiting);
    outln!("configuration version {config_version}");
    for (rank, grantor) in status.grantors.iter().enumerate() {
        outln!("grantor {rank} {grantor}");
    }
    for member in &status.members {
        outln!("member {} {} {}", member.session, member.addr, member.zone);
    }
    for partition in &status.partitions {
        let standby = partition.standby.clone().unwrap_or_else(none);
        let (number, fence, owner) = (partition.partition, partition.fence, &partition.owner);
        outln!("partition {number} fence {fence} owner {owner} standby {standby}");
    }
    for digest in &status.quarantined {
        outln!("quarantined {digest}");
    }
}
