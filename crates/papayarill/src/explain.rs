//! `papayarill explain`: shows who owns a key, and why.

use gumdrop::Options;
use serde_json::Value;

use crate::CommandError;
use crate::http::{self, OperatorsAddr};
use crate::output::outln;

/// Options of `papayarill explain`.
#[derive(Debug, Options)]
pub struct ExplainOptions {
    /// print this help
    help: bool,
    /// the operators' address of a host process
    #[options(required, meta = "ADDR")]
    host: OperatorsAddr,
    /// the name of the service
    #[options(required, meta = "NAME")]
    service: String,
    /// the key
    #[options(required, meta = "KEY")]
    key: String,
}

/// Prints the explanation.
pub fn run(options: &ExplainOptions) -> Result<(), CommandError> {
    let service = encode(&options.service);
    let key = encode(&options.key);
    let target = format!("/explain?service={service}&key={key}");
    let explanation: Value = http::get(options.host, &target)?;
    let text = serde_json::to_string_pretty(&explanation).map_err(|e| e.to_string())?;
    outln!("{text}");
    Ok(())
}

/// Percent-encodes all bytes except ASCII letters and digits.
fn encode(text: &str) -> String {
    let mut encoded = String::new();
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() {
            encoded.push(char::from(byte));
        } else {
            encoded.push_str(&format!("%{byte:02X}"));
        }
    }
    encoded
}
