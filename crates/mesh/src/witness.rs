//! Witnesses of a lease: hosts that confirm that a holder which can't reach the store is still
//! alive, or deny it.
//!
//! During an outage of the store, a lease is extended beyond its base term only while a majority of
//! its witnesses confirm the holder. A host that is lost for good is therefore replaced after the
//! base term, and one that only lost its connection to the store keeps its keys.
//!
//! A lease can't be both confirmed and denied: either needs a majority of the same witnesses, which
//! the lease row lists with the ids of their processes. A witness that has denied a generation of
//! the lease never confirms it again, and one that has restarted no longer counts as a witness: its
//! new process says so, which proves that the former one gives no more confirmations. Without that,
//! a restart of the whole deployment would keep the keys of lost hosts for the longest term.

use model::{Millis, derive_common};

derive_common! {
    value
    /// The question to a witness.
    #[derive(bincode::Encode, bincode::Decode)]
    pub enum WitnessQuestion {
        /// Asks to confirm that the holder is alive.
        Confirm,
        /// Asks to stop confirming the holder, unless it has been heard from recently.
        Deny,
        /// Asks whether the witness still runs; changes nothing.
        Present,
    }
}

derive_common! {
    value
    /// A request to the process of a witness about one generation of a lease.
    #[derive(bincode::Encode, bincode::Decode)]
    pub struct WitnessRequest {
        /// The question.
        pub question: WitnessQuestion,
        /// The holder of the lease.
        pub holder: std::net::SocketAddr,
        /// The id of the holder's process.
        pub process: u64,
        /// The generation of the lease.
        pub generation: u64,
        /// The id of the witness's process.
        pub witness_process: u64,
    }
}

derive_common! {
    value
    /// The reply of a witness.
    #[derive(bincode::Encode, bincode::Decode)]
    pub enum WitnessReply {
        /// The witness confirms the holder.
        Confirmed,
        /// The witness will not confirm this generation again.
        Denied {
            /// The time since its last confirmation in milliseconds, if it gave any.
            confirmed_ago_ms: Option<u64>,
        },
        /// The witness neither confirms nor denies.
        Refused,
        /// Another process runs at the address of the witness, which has therefore ended.
        Replaced,
    }
}

/// A holder that was confirmed within this time is not denied. Holders ask at least twice as often.
const RECENTLY_CONFIRMED: Millis = Millis(1_500);

/// The replies about a lease are forgotten after this time without requests. By then a holder that
/// sends no requests has long lost the lease.
const RETENTION: Millis = Millis(60_000);

/// The leases about which replies are kept at most. Hosts have one each, with few generations in that
/// time. Nothing is forgotten for another one: what was denied must not be confirmed.
const MAX_LEASES: usize = 8_192;

#[derive(Clone, Debug)]
struct LeaseState {
    holder: std::net::SocketAddr,
    process: u64,
    generation: u64,
    last_used: Millis,
    last_confirmed: Option<Millis>,
    denied: bool,
}

/// The replies given by one process as a witness. They are lost with the process, which then no
/// longer counts as a witness.
#[derive(Clone, Debug, Default)]
pub struct Witness {
    leases: Vec<LeaseState>,
}

impl Witness {
    /// Answers a request. `process` is the id of this process.
    pub fn answer(&mut self, request: &WitnessRequest, process: u64, now: Millis) -> WitnessReply {
        if request.witness_process != process {
            return WitnessReply::Replaced;
        }
        let Some(state) = self.lease_state(request, now) else { return WitnessReply::Refused };
        match request.question {
            WitnessQuestion::Present => WitnessReply::Refused,
            WitnessQuestion::Confirm if state.denied => WitnessReply::Refused,
            WitnessQuestion::Confirm => {
                state.last_confirmed = Some(now);
                WitnessReply::Confirmed
            }
            WitnessQuestion::Deny => {
                let ago = state.last_confirmed.map(|at| now.since(at));
                if !state.denied && ago.is_some_and(|ago| ago < RECENTLY_CONFIRMED) {
                    return WitnessReply::Refused;
                }
                state.denied = true;
                WitnessReply::Denied { confirmed_ago_ms: ago.map(|a| a.0) }
            }
        }
    }

    /// Returns the state of the requested lease. Each generation has its own, so that a delayed
    /// request about another generation has no effect. `None` if there are too many.
    fn lease_state(&mut self, request: &WitnessRequest, now: Millis) -> Option<&mut LeaseState> {
        self.leases.retain(|l| now.since(l.last_used) < RETENTION);
        let same = |l: &LeaseState| {
            l.holder == request.holder
                && l.process == request.process
                && l.generation == request.generation
        };
        let known = self.leases.iter().position(same);
        if known.is_none() && self.leases.len() >= MAX_LEASES {
            return None;
        }
        let at = known.unwrap_or_else(|| {
            let (holder, process, generation) =
                (request.holder, request.process, request.generation);
            let (last_confirmed, denied) = (None, false);
            self.leases.push(LeaseState {
                holder,
                process,
                generation,
                last_used: now,
                last_confirmed,
                denied,
            });
            self.leases.len() - 1
        });
        self.leases[at].last_used = now;
        Some(&mut self.leases[at])
    }
}

/// Returns the number of witnesses that form a majority of `count`.
pub(crate) fn majority(count: usize) -> usize {
    count / 2 + 1
}
