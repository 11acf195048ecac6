//! `papayarill lift`: lifts the quarantine of a request.

use gumdrop::Options;

use crate::CommandError;
use crate::http::{self, OperatorsAddr};
use crate::output::outln;

/// Options of `papayarill lift`.
#[derive(Debug, Options)]
pub struct LiftOptions {
    /// print this help
    help: bool,
    /// the operators' address of any host process in the cell
    #[options(required, meta = "ADDR")]
    host: OperatorsAddr,
    /// the digest of the request, as 'status' prints it
    #[options(required, meta = "DIGEST")]
    digest: String,
}

/// Lifts the quarantine on all hosts of the cell.
pub fn run(options: &LiftOptions) -> Result<(), CommandError> {
    http::delete(options.host, &format!("/quarantine/{}", options.digest))?;
    outln!("The quarantine of request {} is lifted.", options.digest);
    Ok(())
}
