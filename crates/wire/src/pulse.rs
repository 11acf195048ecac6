//! Finds out by h2 pings whether the process at the other end still answers.
//!
//! TCP alone does not tell: the kernel of a frozen process goes on accepting bytes.

use std::time::Duration;

use h2::{Ping, PingPong};
use model::Millis;
use tokio::time::{sleep, timeout};

/// Returns whether the peer answers within `limit`. After a `false` the connection must go, as h2
/// allows one ping at a time.
pub(crate) async fn answers(pings: &mut PingPong, limit: Millis) -> bool {
    let pong = timeout(Duration::from(limit), pings.ping(Ping::opaque())).await;
    matches!(pong, Ok(Ok(_)))
}

/// Checks the peer at every `interval` and returns once it does not answer within `limit`.
pub(crate) async fn until_silent(mut pings: PingPong, interval: Millis, limit: Millis) {
    loop {
        sleep(interval.into()).await;
        if !answers(&mut pings, limit).await {
            return;
        }
    }
}
