//! Timing parameters of key ownership.

use model::Millis;

/// Timing parameters of key ownership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnershipTiming {
    /// The term of a lease without confirmation by witnesses, measured from before its renewal was
    /// sent.
    pub base_term: Millis,
    /// The longest term of a lease that witnesses confirm, measured from before its renewal was
    /// sent.
    pub max_term: Millis,
    /// Witnesses are asked to confirm the lease if the last successful renewal was sent longer ago.
    pub confirm_after: Millis,
    /// The interval between requests to witnesses.
    pub witness_interval: Millis,
    /// A lease that was not renewed for this long is overdue.
    pub overdue_after: Millis,
    /// The interval between renewals of the lease.
    pub renew_interval: Millis,
    /// The delay before a failed write is retried.
    pub retry_interval: Millis,
    /// The longest duration of a grant.
    pub grant_duration: Millis,
    /// A host whose renewal is overdue by this is assigned no keys.
    pub renewal_grace: Millis,
    /// The additional time that other hosts wait before they regard a lease as expired.
    pub drift_margin: Millis,
    /// How long the initial map is delayed for other hosts to register.
    pub bootstrap_wait: Millis,
    /// The interval at which the first member reads the leases; the others read less often.
    pub lease_read_interval: Millis,
    /// The minimum time between moves of keys off an overloaded host, to measure the loads again.
    pub shed_interval: Millis,
    /// A backend server is considered gone if it sends no heartbeats for this long after its last
    /// grant ended.
    pub silence_limit: Millis,
}

impl OwnershipTiming {
    model::setters! {
        /// Sets the longest duration of a grant.
        grant_duration: Millis,
        /// Sets the term of a lease without confirmation by witnesses.
        base_term: Millis,
        /// Sets the longest term of a lease that witnesses confirm.
        max_term: Millis,
    }
}

impl Default for OwnershipTiming {
    fn default() -> Self {
        Self {
            // Users require that a key is served again within 3 s after its host was lost. Allows
            // for two failed renewals.
            base_term: Millis(3_000),
            // Store outages of 9 s occur. With a shorter term, no request with a key could be
            // served during them.
            max_term: Millis(12_000),
            // The renewal interval plus the up to 0.4 s that a renewal takes while the store is
            // slow.
            confirm_after: Millis(1_500),
            // Two requests may be lost before a witness denies the holder.
            witness_interval: Millis(500),
            renew_interval: Millis(1_000),
            // Leases are read every second, and a renewal takes part of another second.
            overdue_after: Millis(2_300),
            retry_interval: Millis(300),
            // Longer than three heartbeat intervals, so one or two heartbeats may be lost.
            grant_duration: Millis(4_000),
            // Leases are read every second, and a renewal takes part of another second.
            renewal_grace: Millis(1_300),
            drift_margin: Millis(300),
            // Hosts of a new deployment start within 0.3 s; the rest allows for their first
            // renewal.
            bootstrap_wait: Millis(2_000),
            lease_read_interval: Millis(1_000),
            // A move takes about a second, and the request counts decay in 1.5 s.
            shed_interval: Millis(3_000),
            silence_limit: Millis(500),
        }
    }
}
