//! HTTP requests to the operators' listener of a host process.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::CommandError;

/// The time limit of a request to a host process.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);

/// The maximum size of a response, in bytes.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// Defines an address type for command line options.
macro_rules! addr_option {
    ($(#[$meta:meta])* $name:ident) => {
        $(#[$meta])*
        #[derive(Clone, Copy, Debug)]
        pub struct $name(SocketAddr);

        impl Default for $name {
            /// The option parser requires a default, but the option itself is required, so this value
            /// is never used.
            fn default() -> Self {
                Self(SocketAddr::from(([0, 0, 0, 0], 0)))
            }
        }

        impl FromStr for $name {
            type Err = String;

            fn from_str(text: &str) -> Result<Self, String> {
                let addr = text.parse().map(Self);
                addr.map_err(|_| format!("found {text:?}, expected an IP address and a port"))
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

/// Sends a GET request and parses the response as JSON.
pub fn get<T: DeserializeOwned>(addr: OperatorsAddr, target: &str) -> Result<T, CommandError> {
    let text = actix_rt::System::new().block_on(send(addr, "GET", target, None::<&()>))?;
    serde_json::from_str(&text).map_err(|e| format!("{addr} sent an invalid response: {e}"))
}

/// Sends a DELETE request.
pub fn delete(addr: OperatorsAddr, target: &str) -> Result<(), CommandError> {
    actix_rt::System::new().block_on(send(addr, "DELETE", target, None::<&()>)).map(|_| ())
}

/// Sends a POST request, with a JSON body if there is one.
pub fn post(
    addr: OperatorsAddr,
    target: &str,
    body: Option<&impl Serialize>,
) -> Result<(), CommandError> {
    actix_rt::System::new().block_on(send(addr, "POST", target, body)).map(|_| ())
}

async fn send(
    addr: OperatorsAddr,
    method: &str,
    target: &str,
    body: Option<&impl Serialize>,
) -> Result<String, CommandError> {
    let client = awc::Client::builder().timeout(RESPONSE_TIMEOUT).finish();
    let method = method.parse().map_err(|_| format!("invalid HTTP method {method}"))?;
    let req = client.request(method, format!("http://{addr}{target}"));
    let sent = match body {
        Some(body) => req.send_json(body).await,
        None => req.send().await,
    };
    let mut res = sent.map_err(|e| format!("no response from {addr}: {e}"))?;
    let bytes = res.body().limit(MAX_RESPONSE_BYTES).await;
    let bytes = bytes.map_err(|e| format!("the response from {addr} could not be read: {e}"))?;
    let text = String::from_utf8_lossy(&bytes).into_owned();
    if res.status().is_success() {
        return Ok(text);
    }
    Err(format!("{addr} returned {}: {text}", res.status()))
}
