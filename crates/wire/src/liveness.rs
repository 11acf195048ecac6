//! Detects unresponsive peers with HTTP/2 pings.
//!
//! TCP alone does not suffice, because the kernel of a frozen process continues to accept bytes. On
//! a slow link, a pong may be delayed behind a long response, so any received bytes count as a
//! sign of life too.

use std::cell::Cell;
use std::future::poll_fn;
use std::rc::Rc;
use std::time::Duration;

use h2::{Ping, PingPong};
use model::Millis;
use tokio::time::{sleep, timeout};

use crate::meter::Traffic;

/// Probes the peer of one connection.
pub(crate) struct LivenessProbe {
    pings: PingPong,
    traffic: Rc<Cell<Traffic>>,
    /// Whether a ping was sent and its pong is outstanding.
    ping_pending: bool,
}

impl LivenessProbe {
    /// Creates a probe for a connection whose bytes are counted in `traffic`.
    pub(crate) fn new(pings: PingPong, traffic: Rc<Cell<Traffic>>) -> Self {
        Self { pings, traffic, ping_pending: false }
    }

    /// Probes the peer, and returns whether it responds within `limit`.
    pub(crate) async fn is_responsive(&mut self, limit: Millis) -> bool {
        let before = self.traffic.get().received;
        match timeout(Duration::from(limit), self.pong()).await {
            Ok(responded) => responded,
            Err(_) => self.traffic.get().received != before,
        }
    }

    /// Sends a ping, unless one is outstanding, and waits for the pong.
    async fn pong(&mut self) -> bool {
        if !self.ping_pending && self.pings.send_ping(Ping::opaque()).is_err() {
            return false;
        }
        self.ping_pending = true;
        let pong = poll_fn(|cx| self.pings.poll_pong(cx)).await;
        self.ping_pending = false;
        pong.is_ok()
    }

    /// Probes the peer whenever it has sent nothing for `interval`, and returns once it does not
    /// respond within `limit`.
    pub(crate) async fn wait_until_unresponsive(mut self, interval: Millis, limit: Millis) {
        loop {
            let before = self.traffic.get().received;
            sleep(interval.into()).await;
            if self.traffic.get().received == before && !self.is_responsive(limit).await {
                return;
            }
        }
    }
}
