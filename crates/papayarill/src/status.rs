//! `papayarill status`: what a host process knows of its cell.

use gumdrop::Options;
use host::operators::Status;

use crate::Refusal;
use crate::http::{self, OperatorsAddr};
use crate::out::say;

/// Options of `papayarill status`.
#[derive(Debug, Options)]
pub struct StatusOptions {
    /// print this help
    help: bool,
    /// the operators' address of a host process
    #[options(required, meta = "ADDR")]
    host: OperatorsAddr,
    /// print JSON
    #[options(no_short)]
    json: bool,
}

/// Prints the status.
pub fn run(options: &StatusOptions) -> Result<(), Refusal> {
    let status: Status = http::get(options.host, "/status")?;
    if options.json {
        let text = serde_json::to_string_pretty(&status).map_err(|e| e.to_string())?;
        say!("{text}");
        return Ok(());
    }
    print(&status);
    Ok(())
}

fn print(status: &Status) {
    let Status { cell, addr, zone, epoch, row_version, config_version, .. } = status;
    let none = || "none".to_owned();
    let role = if status.coordinator { "coordinator" } else { "member" };
    say!("cell {cell}, epoch {epoch}, row version {row_version}");
    say!("host {addr} in {zone}, {role}, {:?}", status.state);
    say!("session {}", status.session.clone().unwrap_or_else(none));
    say!("lease {}", status.lease_left_ms.map_or_else(none, |ms| format!("{ms} ms left")));
    say!("backend server {}", status.backend_server.clone().unwrap_or_else(none));
    say!("requests {} running, {} waiting", status.running, status.waiting);
    say!("configuration version {config_version}");
    for (rank, grantor) in status.grantors.iter().enumerate() {
        say!("grantor {rank} {grantor}");
    }
    for member in &status.members {
        say!("member {} {} {}", member.session, member.addr, member.zone);
    }
    for partition in &status.partitions {
        let standby = partition.standby.clone().unwrap_or_else(none);
        let (number, fence, owner) = (partition.partition, partition.fence, &partition.owner);
        say!("partition {number} fence {fence} owner {owner} standby {standby}");
    }
    for digest in &status.quarantined {
        say!("quarantined {digest}");
    }
}
