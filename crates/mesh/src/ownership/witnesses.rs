//! What a keeper asks witnesses: to confirm its own lease, and to confirm a lost one no more.

use model::{HostAddr, Millis};

use super::{KeyOwnership, Lease};
use crate::leases::LeaseRow;
use crate::ownership::types::{ConditionalWrite, RowName};
use crate::witness::{self, WitnessQuestion, WitnessReply, WitnessRequest};

/// The answers of witnesses to one question.
#[derive(Clone, Debug)]
pub(super) struct Round {
    pub(super) sent: Millis,
    pub(super) confirmed: usize,
}

/// A witness's word that it confirms a lease no more.
#[derive(Clone, Copy, Debug)]
pub(super) struct Denial {
    pub(super) holder: HostAddr,
    pub(super) process: u64,
    pub(super) generation: u64,
    pub(super) witness: u64,
    /// What it confirmed before has ended by then.
    pub(super) ended: Millis,
}

/// The most witnesses of a lease: two may be lost.
pub(super) const WITNESSES: usize = 5;

/// A denial helps only the eviction that it was asked for.
pub(super) const DENIAL_AGE: Millis = Millis(10_000);

impl Denial {
    pub(super) fn is_for(&self, ask: &WitnessRequest) -> bool {
        let holder = self.holder == HostAddr(ask.holder) && self.process == ask.process;
        holder && self.generation == ask.generation && self.witness == ask.witness_process
    }
}

pub(super) fn asks_of(
    holder: HostAddr,
    row: &LeaseRow,
    question: WitnessQuestion,
) -> Vec<(HostAddr, WitnessRequest)> {
    let ask = |&(host, witness): &(std::net::SocketAddr, u64)| {
        let (process, generation) = (row.process, row.generation);
        (
            HostAddr(host),
            WitnessRequest {
                question,
                holder: holder.0,
                process,
                generation,
                witness_process: witness,
            },
        )
    };
    row.witnesses.iter().map(ask).collect()
}

impl KeyOwnership {
    pub(super) fn puts_other_witnesses(&self, todo: &ConditionalWrite) -> bool {
        let own = RowName::Lease(self.me);
        let row = todo.put.iter().find(|(name, _)| *name == own);
        let row = row.and_then(|(_, bytes)| LeaseRow::decode(bytes).ok());
        row.is_some_and(|row| row.generation != self.row.generation)
    }

    /// Returns the questions that are due to other hosts, to be answered soon or not at all. Each
    /// answer is told with [`KeyOwnership::witness_replied`].
    pub fn witness_requests(&mut self, now: Millis) -> Vec<(HostAddr, WitnessRequest)> {
        if now.since(self.asked_at) < self.times.witness_interval {
            return Vec::new();
        }
        let mut asks = self.own_asks(now);
        asks.extend(self.denial_asks(now));
        if !asks.is_empty() {
            self.asked_at = now;
        }
        asks
    }

    pub(super) fn own_asks(&mut self, now: Millis) -> Vec<(HostAddr, WitnessRequest)> {
        let waits = |l: &Lease| now.since(l.sent) > self.times.confirm_after;
        if !self.settled || !self.lease.as_ref().is_some_and(waits) {
            self.rounds.clear();
            return Vec::new();
        }
        self.rounds.push(Round { sent: now, confirmed: 0 });
        asks_of(self.me, &self.row, WitnessQuestion::Confirm)
    }

    pub(super) fn denial_asks(&mut self, now: Millis) -> Vec<(HostAddr, WitnessRequest)> {
        self.denials.retain(|d| now.since(d.ended) < DENIAL_AGE);
        let fresh = now.since(self.watched_at) <= self.times.lease_read_interval + Millis(500);
        if !fresh || self.lease.is_none() {
            return Vec::new();
        }
        // Asked a little early, so that the words are there when the short span ends.
        let early = self.times.base_term.since(Millis(500));
        let mut asks = Vec::new();
        for (holder, _) in self.watch.unchanged_for(early, now) {
            if holder == self.me {
                continue;
            }
            let Some((_, row, _)) = self.watch.get(holder, now) else { continue };
            let of_row = asks_of(holder, row, WitnessQuestion::Deny);
            let told = |ask: &WitnessRequest| self.denials.iter().any(|d| d.is_for(ask));
            asks.extend(of_row.into_iter().filter(|(_, ask)| !told(ask)));
        }
        asks
    }

    /// Takes in the answer of a witness to a question that was sent at `sent`.
    pub fn witness_replied(
        &mut self,
        ask: &WitnessRequest,
        word: WitnessReply,
        sent: Millis,
        now: Millis,
    ) {
        match (ask.question, word) {
            (WitnessQuestion::Confirm, WitnessReply::Confirmed) => self.confirmed(ask, sent),
            (WitnessQuestion::Confirm, _) => self.refused = true,
            (WitnessQuestion::Deny, WitnessReply::Denied { confirmed_ago_ms }) => {
                let left = confirmed_ago_ms.map_or(Millis::ZERO, |ago| {
                    (self.times.base_term + self.times.drift_margin).since(Millis(ago))
                });
                self.denials.push(Denial {
                    holder: HostAddr(ask.holder),
                    process: ask.process,
                    generation: ask.generation,
                    witness: ask.witness_process,
                    ended: now + left,
                });
            }
            (WitnessQuestion::Deny, WitnessReply::Confirmed | WitnessReply::Refused) => {}
        }
    }

    pub(super) fn confirmed(&mut self, ask: &WitnessRequest, sent: Millis) {
        let current = ask.generation == self.row.generation && self.settled;
        let needed = witness::majority(self.row.witnesses.len());
        let Some(round) = self.rounds.iter_mut().find(|r| r.sent == sent) else { return };
        round.confirmed += 1;
        if current
            && round.confirmed >= needed
            && let Some(lease) = &mut self.lease
        {
            lease.confirmed = lease.confirmed.max(sent);
        }
    }

    /// Tells whether the lease of `holder` surely ended, as the store has it.
    pub(super) fn ended(&self, holder: HostAddr, now: Millis) -> bool {
        let Some((_, row, silent)) = self.watch.get(holder, now) else { return true };
        if silent > self.times.max_term + self.times.drift_margin {
            return true;
        }
        if silent <= self.times.base_term + self.times.drift_margin {
            return false;
        }
        let asks = asks_of(holder, row, WitnessQuestion::Deny);
        let denied = |(_, ask): &&(HostAddr, WitnessRequest)| {
            self.denials.iter().any(|d| d.is_for(ask) && d.ended <= now)
        };
        row.witnesses.is_empty()
            || asks.iter().filter(denied).count() >= witness::majority(row.witnesses.len())
    }

    /// Picks the next hosts by address, so that all are picked about as often.
    pub(super) fn wanted_witnesses(&self) -> Vec<(std::net::SocketAddr, u64)> {
        let hosts = self.watch.hosts();
        let after = hosts.partition_point(|(h, _)| *h <= self.me);
        let others = hosts[after..].iter().chain(&hosts[..after]).filter(|(h, _)| *h != self.me);
        others.take(WITNESSES).map(|(h, row)| (h.0, row.process)).collect()
    }
}
