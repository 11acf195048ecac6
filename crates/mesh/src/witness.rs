//! Witnesses of a lease: hosts that confirm a holder which can't reach the store, or deny it.
//!
//! A lease outlasts an outage of the store only while a majority of its witnesses confirm the
//! holder, so a host that is lost for good is replaced after the short span, and one that only lost
//! the store goes on. Confirming and denying exclude each other: both need a majority of the same
//! witnesses, which the lease row names with the start of their process; a witness that denied
//! never confirms that generation of the lease again, and one that restarted is none.

use model::{Millis, derive_common};

derive_common! {
    value
    /// What a witness is asked.
    #[derive(bincode::Encode, bincode::Decode)]
    pub enum WitnessQuestion {
        /// To confirm that the holder lives.
        Confirm,
        /// To confirm it no more, if it was not heard lately.
        Deny,
    }
}

derive_common! {
    value
    /// A question about one generation of a lease to one start of a witness.
    #[derive(bincode::Encode, bincode::Decode)]
    pub struct WitnessRequest {
        /// What is asked.
        pub question: WitnessQuestion,
        /// The holder of the lease.
        pub holder: std::net::SocketAddr,
        /// The start of the holder's process.
        pub process: u64,
        /// The generation of the lease.
        pub generation: u64,
        /// The start of the witness's process.
        pub witness_process: u64,
    }
}

derive_common! {
    value
    /// The answer of a witness.
    #[derive(bincode::Encode, bincode::Decode)]
    pub enum WitnessReply {
        /// It confirms.
        Confirmed,
        /// It confirms no more; it last did so this long ago, in milliseconds.
        Denied {
            /// The age of its last confirmation, if it gave one.
            confirmed_ago_ms: Option<u64>,
        },
        /// It does neither.
        Refused,
    }
}

/// A holder that was confirmed within this is not denied: it asks twice as often.
const HEARD_LATELY: Millis = Millis(1_500);

/// What was said of a lease is forgotten after this: without news its holder lost it long before.
const FORGET: Millis = Millis(60_000);

#[derive(Clone, Debug)]
struct Memory {
    holder: std::net::SocketAddr,
    process: u64,
    generation: u64,
    used: Millis,
    confirmed: Option<Millis>,
    denied: bool,
}

/// What one process said as a witness. It is lost with the process, which then is no witness.
#[derive(Clone, Debug, Default)]
pub struct Witness {
    all: Vec<Memory>,
}

impl Witness {
    /// Answers a question that came to the start `me` of this process.
    pub fn answer(&mut self, ask: &WitnessRequest, me: u64, now: Millis) -> WitnessReply {
        if ask.witness_process != me {
            return WitnessReply::Refused;
        }
        let memory = self.memory(ask, now);
        match ask.question {
            WitnessQuestion::Confirm if memory.denied => WitnessReply::Refused,
            WitnessQuestion::Confirm => {
                memory.confirmed = Some(now);
                WitnessReply::Confirmed
            }
            WitnessQuestion::Deny => {
                let ago = memory.confirmed.map(|at| now.since(at));
                if !memory.denied && ago.is_some_and(|ago| ago < HEARD_LATELY) {
                    return WitnessReply::Refused;
                }
                memory.denied = true;
                WitnessReply::Denied { confirmed_ago_ms: ago.map(|a| a.0) }
            }
        }
    }

    /// Each generation is remembered on its own: a late question about another one changes nothing.
    fn memory(&mut self, ask: &WitnessRequest, now: Millis) -> &mut Memory {
        self.all.retain(|m| now.since(m.used) < FORGET);
        let same = |m: &Memory| {
            m.holder == ask.holder && m.process == ask.process && m.generation == ask.generation
        };
        let at = self.all.iter().position(same).unwrap_or_else(|| {
            let (holder, process, generation) = (ask.holder, ask.process, ask.generation);
            let (confirmed, denied) = (None, false);
            self.all.push(Memory { holder, process, generation, used: now, confirmed, denied });
            self.all.len() - 1
        });
        self.all[at].used = now;
        &mut self.all[at]
    }
}

/// Returns how many of `count` witnesses are a majority.
pub(crate) fn majority(count: usize) -> usize {
    count / 2 + 1
}
