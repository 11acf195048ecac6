//! How long things last that a keeper counts on.

use model::Millis;

/// How long things last. All spans in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnershipTiming {
    /// A lease runs this long from before its renewal was sent, if nobody confirms its holder.
    pub short: Millis,
    /// A lease runs at most this long from before its renewal was sent, if witnesses confirm.
    pub term: Millis,
    /// Witnesses are asked if the last renewal was sent longer ago than this.
    pub ask_after: Millis,
    /// Witnesses are asked again after this.
    pub ask_every: Millis,
    /// A lease is renewed this long after the last renewal was sent.
    pub renew_after: Millis,
    /// A renewal that failed is sent again after this.
    pub retry_after: Millis,
    /// A grant runs at most this long.
    pub hold: Millis,
    /// A host whose renewal is late by this is given no keys.
    pub doubt: Millis,
    /// Others wait this much longer than the term before they take the keys.
    pub margin: Millis,
    /// The first map waits this long for other hosts to show up.
    pub gather: Millis,
    /// Leases are read this often by the first member; later members read less often.
    pub watch_every: Millis,
    /// Loads are measured anew for this long before more keys are given away.
    pub settle: Millis,
    /// A backend server without heartbeats for this long after its last grant ended is gone.
    pub silence: Millis,
}

impl OwnershipTiming {
    model::setters! {
        /// Sets how long a grant runs at most.
        hold: Millis,
        /// Sets how long a lease runs that nobody confirms.
        short: Millis,
        /// Sets how long a lease runs at most.
        term: Millis,
    }
}

impl Default for OwnershipTiming {
    fn default() -> Self {
        Self {
            // Users want a key served again within 3 s of a loss; two renewals may fail before.
            short: Millis(3_000),
            // Outages of the store of 9 s occur; shorter leases would stop all keyed work in them.
            term: Millis(12_000),
            // A renewal takes up to 0.4 s while the store is slow.
            ask_after: Millis(1_500),
            // Two questions may be lost before a witness counts the holder as silent.
            ask_every: Millis(500),
            renew_after: Millis(1_000),
            retry_after: Millis(300),
            // Outlasts three heartbeats, so one or two may be lost.
            hold: Millis(4_000),
            // Leases are read each second, and a renewal takes some of the next.
            doubt: Millis(1_300),
            margin: Millis(300),
            // Hosts of a new deployment start within 0.3 s; the rest is their first renewal.
            gather: Millis(2_000),
            watch_every: Millis(1_000),
            // A move takes about a second, and the counts fade in 1.5 s.
            settle: Millis(3_000),
            silence: Millis(500),
        }
    }
}
