//! `papayarill drain`: a planned stop of one host process.

use gumdrop::Options;

use crate::Refusal;
use crate::http::{self, OperatorsAddr};
use crate::out::say;

/// Options of `papayarill drain`.
#[derive(Debug, Options)]
pub struct DrainOptions {
    /// print this help
    help: bool,
    /// the operators' address of the host process
    #[options(required, meta = "ADDR")]
    host: OperatorsAddr,
}

/// Asks the host process to leave.
pub fn run(options: &DrainOptions) -> Result<(), Refusal> {
    http::post(options.host, "/drain", None::<&()>)?;
    say!("{} is leaving its cell and stops when nothing is left.", options.host);
    Ok(())
}
