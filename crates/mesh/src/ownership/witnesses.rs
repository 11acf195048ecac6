//! Requests to witnesses: to confirm this host's lease, and to deny the lease of a host that may be
//! lost.

use model::{HostAddr, Millis};

use super::{KeyOwnership, Lease, PeerHost, WATCHING_HOLDERS};
use crate::leases::LeaseRow;
use crate::ownership::types::{ConditionalWrite, RowName};
use crate::witness::{self, WitnessQuestion, WitnessReply, WitnessRequest};

/// The confirmations received for one round of confirm requests.
#[derive(Clone, Debug)]
pub(super) struct ConfirmRound {
    pub(super) sent: Millis,
    pub(super) confirmations: usize,
}

/// A reply of a witness that it will no longer confirm a lease.
#[derive(Clone, Copy, Debug)]
pub(super) struct Denial {
    pub(super) holder: HostAddr,
    pub(super) process: u64,
    pub(super) generation: u64,
    pub(super) witness_process: u64,
    /// Any extension that the witness confirmed before has ended by then.
    pub(super) extension_end: Millis,
}

/// The maximum number of witnesses of a lease. With five, two may be lost.
pub(super) const MAX_WITNESSES: usize = 5;

/// How long a denial is kept, which is only needed for the eviction that it was requested for.
pub(super) const DENIAL_TTL: Millis = Millis(10_000);

impl Denial {
    /// Returns whether this is the reply to `request`.
    pub(super) fn answers(&self, request: &WitnessRequest) -> bool {
        let holder = self.holder == HostAddr(request.holder) && self.process == request.process;
        holder
            && self.generation == request.generation
            && self.witness_process == request.witness_process
    }
}

/// Returns a request to each witness of a lease.
pub(super) fn requests_for(
    holder: HostAddr,
    row: &LeaseRow,
    question: WitnessQuestion,
) -> Vec<(HostAddr, WitnessRequest)> {
    let request = |&(host, witness): &(std::net::SocketAddr, u64)| {
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
    row.witnesses.iter().map(request).collect()
}

impl KeyOwnership {
    /// Returns whether a write changes the generation, and thereby possibly the witnesses, of this
    /// host's lease.
    pub(super) fn changes_generation(&self, write: &ConditionalWrite) -> bool {
        let own = RowName::Lease(self.me);
        let row = write.put.iter().find(|(name, _)| *name == own);
        let row = row.and_then(|(_, bytes)| LeaseRow::decode(bytes).ok());
        row.is_some_and(|row| row.generation != self.own_row.generation)
    }

    /// Returns whether the witnesses in `own_row` are certainly those in the store: no write that
    /// changes them is on its way or can still be applied.
    pub(super) fn witnesses_certain(&self) -> bool {
        let changing = self.pending_write.as_ref().is_some_and(|(w, _)| self.changes_generation(w));
        let unsettled = |l: &Lease| self.unsettled_witnesses == Some(l.version);
        !changing && !self.lease.as_ref().is_some_and(unsettled)
    }

    /// Returns the requests that are due to other hosts. Only an early reply is of use, so requests
    /// should time out quickly, and lost ones are not resent. Replies are passed to
    /// [`KeyOwnership::witness_replied`].
    pub fn witness_requests(&mut self, now: Millis) -> Vec<(HostAddr, WitnessRequest)> {
        if now.since(self.witnesses_asked_at) < self.timing.witness_interval {
            return Vec::new();
        }
        let mut requests = self.confirm_requests(now);
        requests.extend(self.deny_requests(now));
        if !requests.is_empty() {
            self.witnesses_asked_at = now;
        }
        requests
    }

    /// Returns the requests to confirm this host's lease, if its renewal is overdue.
    pub(super) fn confirm_requests(&mut self, now: Millis) -> Vec<(HostAddr, WitnessRequest)> {
        let renewal_overdue = |l: &Lease| now.since(l.renewal_sent) > self.timing.confirm_after;
        if !self.witnesses_certain() || !self.lease.as_ref().is_some_and(renewal_overdue) {
            self.confirm_rounds.clear();
            return Vec::new();
        }
        self.confirm_rounds.push(ConfirmRound { sent: now, confirmations: 0 });
        requests_for(self.me, &self.own_row, WitnessQuestion::Confirm)
    }

    /// Returns the requests to deny the leases that are about to reach the end of their base term,
    /// and to find out early which witnesses of overdue leases have ended.
    pub(super) fn deny_requests(&mut self, now: Millis) -> Vec<(HostAddr, WitnessRequest)> {
        self.denials.retain(|d| now.since(d.extension_end) < DENIAL_TTL);
        if !self.leases_fresh(now) || self.lease.is_none() || self.rank(now) >= WATCHING_HOLDERS {
            return Vec::new();
        }
        // Requested early, so that the replies have arrived when the base term ends.
        let early = self.timing.base_term.since(Millis(500));
        let mut requests = Vec::new();
        for (holder, _) in self.observed_leases.unchanged_for(self.timing.overdue_after, now) {
            if holder == self.me {
                continue;
            }
            let Some((_, row, unchanged_for)) = self.observed_leases.get(holder, now) else {
                continue;
            };
            if row.era < self.era() {
                continue;
            }
            let question = if unchanged_for > early {
                WitnessQuestion::Deny
            } else {
                WitnessQuestion::Present
            };
            let to_witnesses = requests_for(holder, row, question);
            let already_denied =
                |request: &WitnessRequest| self.denials.iter().any(|d| d.answers(request));
            requests
                .extend(to_witnesses.into_iter().filter(|(_, request)| !already_denied(request)));
        }
        requests
    }

    /// Applies the reply of a witness to a request sent at `sent`.
    pub fn witness_replied(
        &mut self,
        request: &WitnessRequest,
        reply: WitnessReply,
        sent: Millis,
        now: Millis,
    ) {
        match (request.question, reply) {
            (WitnessQuestion::Confirm, WitnessReply::Confirmed) => self.confirmed(request, sent),
            (WitnessQuestion::Confirm, _) => self.witness_refused = true,
            (WitnessQuestion::Deny, WitnessReply::Denied { confirmed_ago_ms }) => {
                let left = confirmed_ago_ms.map_or(Millis::ZERO, |ago| {
                    (self.timing.base_term + self.timing.drift_margin).since(Millis(ago))
                });
                self.denied(request, now + left);
            }
            // It may have confirmed the holder until just before it ended.
            (WitnessQuestion::Deny | WitnessQuestion::Present, WitnessReply::Replaced) => {
                self.denied(request, now + self.timing.base_term + self.timing.drift_margin);
            }
            (WitnessQuestion::Deny | WitnessQuestion::Present, _) => {}
        }
    }

    /// Records that a witness gives no more confirmations. All that it gave have ended by
    /// `extension_end`.
    fn denied(&mut self, request: &WitnessRequest, extension_end: Millis) {
        self.denials.push(Denial {
            holder: HostAddr(request.holder),
            process: request.process,
            generation: request.generation,
            witness_process: request.witness_process,
            extension_end,
        });
    }

    /// Counts a confirmation, and extends the lease if a majority of the witnesses has confirmed
    /// it.
    pub(super) fn confirmed(&mut self, request: &WitnessRequest, sent: Millis) {
        let current = request.generation == self.own_row.generation && self.witnesses_certain();
        let needed = witness::majority(self.own_row.witnesses.len());
        let Some(round) = self.confirm_rounds.iter_mut().find(|r| r.sent == sent) else { return };
        round.confirmations += 1;
        if current
            && round.confirmations >= needed
            && let Some(lease) = &mut self.lease
        {
            lease.confirm_sent = lease.confirm_sent.max(sent);
        }
    }

    /// Returns whether the lease of `holder` has certainly expired.
    pub(super) fn lease_expired(&self, holder: HostAddr, now: Millis) -> bool {
        let Some((_, row, unchanged_for)) = self.observed_leases.get(holder, now) else {
            return true;
        };
        if unchanged_for > self.timing.max_term + self.timing.drift_margin {
            return true;
        }
        // A row of a former era may be older than the holder's last renewal, so it may name witnesses
        // that the holder no longer asks.
        if row.era < self.era() {
            return false;
        }
        if unchanged_for <= self.timing.base_term + self.timing.drift_margin {
            return false;
        }
        let requests = requests_for(holder, row, WitnessQuestion::Deny);
        let denied = |(_, request): &&(HostAddr, WitnessRequest)| {
            self.denials.iter().any(|d| d.answers(request) && d.extension_end <= now)
        };
        row.witnesses.is_empty()
            || requests.iter().filter(denied).count() >= witness::majority(row.witnesses.len())
    }

    /// Chooses the next hosts by address as witnesses, so that all hosts are chosen about equally
    /// often. Hosts of failure domains that have none yet come first.
    pub(super) fn choose_witnesses(&self) -> Vec<(std::net::SocketAddr, u64)> {
        let after = self.peers.partition_point(|p| p.host <= self.me);
        let ring = || self.peers[after..].iter().chain(&self.peers[..after]);
        let mut chosen: Vec<&PeerHost> = Vec::new();
        for p in ring() {
            if !chosen.iter().any(|c| c.failure_domain == p.failure_domain) {
                chosen.push(p);
            }
        }
        chosen.truncate(MAX_WITNESSES);
        let missing = MAX_WITNESSES - chosen.len();
        let others: Vec<&PeerHost> = ring().filter(|p| !chosen.contains(p)).take(missing).collect();
        chosen.extend(others);
        chosen.into_iter().map(|p| (p.host.0, p.process)).collect()
    }
}
