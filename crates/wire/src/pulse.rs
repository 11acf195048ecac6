//! Finds out by h2 pings whether the process at the other end still answers.
//!
//! TCP alone does not tell: the kernel of a frozen process goes on accepting bytes. A pong may be
//! late, though, behind a long answer on a slow link, so received bytes count as an answer too.

use std::cell::Cell;
use std::future::poll_fn;
use std::rc::Rc;
use std::time::Duration;

use h2::{Ping, PingPong};
use model::Millis;
use tokio::time::{sleep, timeout};

use crate::meter::Traffic;

/// Checks one connection.
pub(crate) struct Pulse {
    pings: PingPong,
    traffic: Rc<Cell<Traffic>>,
    waiting: bool,
}

impl Pulse {
    /// Watches a connection whose bytes are counted in `traffic`.
    pub(crate) fn new(pings: PingPong, traffic: Rc<Cell<Traffic>>) -> Self {
        Self { pings, traffic, waiting: false }
    }

    /// Returns whether the peer answers within `limit`.
    pub(crate) async fn answers(&mut self, limit: Millis) -> bool {
        let before = self.traffic.get().received;
        match timeout(Duration::from(limit), self.pong()).await {
            Ok(answered) => answered,
            Err(_) => self.traffic.get().received != before,
        }
    }

    /// Sends a ping, unless one is on its way, and waits for its answer.
    async fn pong(&mut self) -> bool {
        if !self.waiting && self.pings.send_ping(Ping::opaque()).is_err() {
            return false;
        }
        self.waiting = true;
        let pong = poll_fn(|cx| self.pings.poll_pong(cx)).await;
        self.waiting = false;
        pong.is_ok()
    }

    /// Checks the peer whenever it sent nothing for `interval`, and returns once it does not answer
    /// within `limit`.
    pub(crate) async fn until_silent(mut self, interval: Millis, limit: Millis) {
        loop {
            let before = self.traffic.get().received;
            sleep(interval.into()).await;
            if self.traffic.get().received == before && !self.answers(limit).await {
                return;
            }
        }
    }
}
