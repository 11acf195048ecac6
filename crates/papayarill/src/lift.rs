//! `papayarill lift`: let a quarantined request run again.

use gumdrop::Options;

use crate::Refusal;
use crate::http::{self, OperatorsAddr};
use crate::out::say;

/// Options of `papayarill lift`.
#[derive(Debug, Options)]
pub struct LiftOptions {
    /// print this help
    help: bool,
    /// the operators' address of a host process of the cell
    #[options(required, meta = "ADDR")]
    host: OperatorsAddr,
    /// the digest of the request, as 'status' prints it
    #[options(required, meta = "DIGEST")]
    digest: String,
}

/// Lifts the quarantine in the whole cell.
pub fn run(options: &LiftOptions) -> Result<(), Refusal> {
    http::delete(options.host, &format!("/quarantine/{}", options.digest))?;
    say!("The quarantine of request {} is lifted.", options.digest);
    Ok(())
}
