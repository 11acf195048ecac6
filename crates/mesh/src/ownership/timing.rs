//! How long things last that a keeper counts on.

use model::Millis;

/// How long things last. All spans in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnershipTiming {
    /// A lease runs this long from before its renewal was sent, if nobody confirms its holder.
    pub base_term: Millis,
    /// A lease runs at most this long from before its renewal was sent, if witnesses confirm.
    pub max_term: Millis,
    /// Witnesses are asked if the last renewal was sent longer ago than this.
    pub confirm_after: Millis,
    /// Witnesses are asked again after this.
    pub witness_interval: Millis,
    /// A lease is renewed this long after the last renewal was sent.
    pub renew_interval: Millis,
    /// A renewal that failed is sent again after this.
    pub retry_interval: Millis,
    /// A grant runs at most this long.
    pub grant_duration: Millis,
    /// A host whose renewal is late by this is given no keys.
    pub renewal_grace: Millis,
    /// Others wait this much longer than the term before they take the keys.
    pub drift_margin: Millis,
    /// The first map waits this long for other hosts to show up.
    pub bootstrap_wait: Millis,
    /// Leases are read this often by the first member; later members read less often.
    pub lease_read_interval: Millis,
    /// Loads are measured anew for this long before more keys are given away.
    pub shed_interval: Millis,
    /// A backend server without heartbeats for this long after its last grant ended is gone.
    pub silence_limit: Millis,
}

impl OwnershipTiming {
    model::setters! {
        /// Sets how long a grant runs at most.
        grant_duration: Millis,
        /// Sets how long a lease runs that nobody confirms.
        base_term: Millis,
        /// Sets how long a lease runs at most.
        max_term: Millis,
    }
}

impl Default for OwnershipTiming {
    fn default() -> Self {
        Self {
            // Users want a key served again within 3 s of a loss; two renewals may fail before.
            base_term: Millis(3_000),
            // Outages of the store of 9 s occur; shorter leases would stop all keyed work in them.
            max_term: Millis(12_000),
            // A renewal takes up to 0.4 s while the store is slow.
            confirm_after: Millis(1_500),
            // Two questions may be lost before a witness counts the holder as silent.
            witness_interval: Millis(500),
            renew_interval: Millis(1_000),
            retry_interval: Millis(300),
            // Outlasts three heartbeats, so one or two may be lost.
            grant_duration: Millis(4_000),
            // Leases are read each second, and a renewal takes some of the next.
            renewal_grace: Millis(1_300),
            drift_margin: Millis(300),
            // Hosts of a new deployment start within 0.3 s; the rest is their first renewal.
            bootstrap_wait: Millis(2_000),
            lease_read_interval: Millis(1_000),
            // A move takes about a second, and the counts fade in 1.5 s.
            shed_interval: Millis(3_000),
            silence_limit: Millis(500),
        }
    }
}
