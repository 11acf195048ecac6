//! Questions to the operators' listener of a host process.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::Refusal;

/// How long a host process may take to answer an operator.
const ANSWER_TIME_LIMIT: Duration = Duration::from_secs(5);

/// The longest answer that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// Defines an address as an option of a command.
macro_rules! addr_option {
    ($(#[$meta:meta])* $name:ident) => {
        $(#[$meta])*
        #[derive(Clone, Copy, Debug)]
        pub struct $name(SocketAddr);

        impl Default for $name {
            /// The option is required, so this value is never used; the option parser wants one.
            fn default() -> Self {
                Self(SocketAddr::from(([0, 0, 0, 0], 0)))
            }
        }

        impl FromStr for $name {
            type Err = String;

            fn from_str(text: &str) -> Result<Self, String> {
                let addr = text.parse().map(Self);
                addr.map_err(|_| format!("found {text:?}, expected an IP number and a port"))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl From<$name> for SocketAddr {
            fn from(addr: $name) -> Self {
                addr.0
            }
        }
    };
}

addr_option! {
    /// The operators' address of a host process.
    OperatorsAddr
}
addr_option! {
    /// The address of the platform.
    PlatformAddr
}

/// Asks for a JSON document.
pub fn get<T: DeserializeOwned>(addr: OperatorsAddr, target: &str) -> Result<T, Refusal> {
    let text = actix_rt::System::new().block_on(send(addr, "GET", target, None::<&()>))?;
    serde_json::from_str(&text).map_err(|e| format!("{addr} sent something else: {e}"))
}

/// Takes back an order.
pub fn delete(addr: OperatorsAddr, target: &str) -> Result<(), Refusal> {
    actix_rt::System::new().block_on(send(addr, "DELETE", target, None::<&()>)).map(|_| ())
}

/// Gives an order.
pub fn post(
    addr: OperatorsAddr,
    target: &str,
    body: Option<&impl Serialize>,
) -> Result<(), Refusal> {
    actix_rt::System::new().block_on(send(addr, "POST", target, body)).map(|_| ())
}

async fn send(
    addr: OperatorsAddr,
    method: &str,
    target: &str,
    body: Option<&impl Serialize>,
) -> Result<String, Refusal> {
    let client = awc::Client::builder().timeout(ANSWER_TIME_LIMIT).finish();
    let method = method.parse().map_err(|_| format!("{method} is no method"))?;
    let req = client.request(method, format!("http://{addr}{target}"));
    let sent = match body {
        Some(body) => req.send_json(body).await,
        None => req.send().await,
    };
    let mut answer = sent.map_err(|e| format!("{addr} did not answer: {e}"))?;
    let bytes = answer.body().limit(MAX_ANSWER_BYTES).await;
    let bytes = bytes.map_err(|e| format!("{addr} broke off its answer: {e}"))?;
    let text = String::from_utf8_lossy(&bytes).into_owned();
    if answer.status().is_success() {
        return Ok(text);
    }
    Err(format!("{addr} refused with {}: {text}", answer.status()))
}
