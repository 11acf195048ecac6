//! `papayarill status`: what a host process knows of its cell.

use gumdrop::Options;
use host::operators::Status;

use crate::Refusal;
use crate::http::{self, OperatorsAddr};

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
        println!("{text}");
        return Ok(());
    }
    print(&status);
    Ok(())
}

fn print(status: &Status) {
    let Status { cell, addr, zone, epoch, row_version, config_version, .. } = status;
    let none = || "none".to_owned();
    let role = if status.coordinator { "coordinator" } else { "member" };
    println!("cell {cell}, epoch {epoch}, row version {row_version}");
    println!("host {addr} in {zone}, {role}, {:?}", status.state);
    println!("session {}", status.session.clone().unwrap_or_else(none));
    println!("lease {}", status.lease_left_ms.map_or_else(none, |ms| format!("{ms} ms left")));
    println!("backend server {}", status.backend_server.clone().unwrap_or_else(none));
    println!("requests {} running, {} waiting", status.running, status.waiting);
    println!("configuration version {config_version}");
    for (rank, grantor) in status.grantors.iter().enumerate() {
        println!("grantor {rank} {grantor}");
    }
    for member in &status.members {
        println!("member {} {} {}", member.session, member.addr, member.zone);
    }
    for partition in &status.partitions {
        let standby = partition.standby.clone().unwrap_or_else(none);
        let (number, fence, owner) = (partition.partition, partition.fence, &partition.owner);
        println!("partition {number} fence {fence} owner {owner} standby {standby}");
    }
    for digest in &status.quarantined {
        println!("quarantined {digest}");
    }
}
