//! `papayarill declare-dead`: declares that lost hosts will not come back.

use gumdrop::Options;
use serde::Serialize;

use crate::CommandError;
use crate::http::{self, OperatorsAddr};
use crate::output::outln;

/// Options of `papayarill declare-dead`.
#[derive(Debug, Options)]
pub struct DeclareDeadOptions {
    /// print this help
    help: bool,
    /// the operators' address of any host process in the cell
    #[options(required, meta = "ADDR")]
    host: OperatorsAddr,
    /// a session that is dead, as 'status' prints it; may be given multiple times
    #[options(required, meta = "SESSION")]
    session: Vec<String>,
}

#[derive(Serialize)]
struct DeadSessions<'a> {
    sessions: &'a [String],
}

/// Sends the dead sessions to the host process.
pub fn run(options: &DeclareDeadOptions) -> Result<(), CommandError> {
    let body = DeadSessions { sessions: &options.session };
    http::post(options.host, "/declare-dead", Some(&body))?;
    outln!(
        "{} was notified that these sessions are dead: {}",
        options.host,
        options.session.join(", ")
    );
    Ok(())
}
