//! `papayarill drain`: drains and stops one host process.

use gumdrop::Options;

use crate::CommandError;
use crate::http::{self, OperatorsAddr};
use crate::output::outln;

/// Options of `papayarill drain`.
#[derive(Debug, Options)]
pub struct DrainOptions {
    /// print this help
    help: bool,
    /// the operators' address of the host process
    #[options(required, meta = "ADDR")]
    host: OperatorsAddr,
}

/// Asks the host process to drain.
pub fn run(options: &DrainOptions) -> Result<(), CommandError> {
    http::post(options.host, "/drain", None::<&()>)?;
    outln!("{} is draining: it leaves its cell and stops when no work is left.", options.host);
    Ok(())
}
