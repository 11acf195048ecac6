//! `papayarill declare-dead`: an operator's word that lost hosts never come back.

use gumdrop::Options;
use serde::Serialize;

use crate::Refusal;
use crate::http::{self, OperatorsAddr};
use crate::out::say;

/// Options of `papayarill declare-dead`.
#[derive(Debug, Options)]
pub struct DeclareDeadOptions {
    /// print this help
    help: bool,
    /// the operators' address of a host process of the cell
    #[options(required, meta = "ADDR")]
    host: OperatorsAddr,
    /// a session that is dead, as 'status' prints it; may be given several times
    #[options(required, meta = "SESSION")]
    session: Vec<String>,
}

#[derive(Serialize)]
struct DeadSessions<'a> {
    sessions: &'a [String],
}

/// Tells the host process.
pub fn run(options: &DeclareDeadOptions) -> Result<(), Refusal> {
    let body = DeadSessions { sessions: &options.session };
    http::post(options.host, "/declare-dead", Some(&body))?;
    say!("Told {} that {} are dead.", options.host, options.session.join(", "));
    Ok(())
}
