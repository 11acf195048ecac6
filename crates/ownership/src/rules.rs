//! Switches for the rules that keep ownership single.
//!
//! They exist for the model checker, which takes out one rule at a time to show that its search
//! would notice. A host process always runs with the defaults, in which every rule holds.

use model::derive_common;

derive_common! {
    value
    /// Whether a rule is followed.
    #[derive(Default)]
    pub enum Rule {
        /// The rule is followed.
        #[default]
        Kept,
        /// The rule is skipped; for the model checker only.
        Skipped,
    }
}

impl Rule {
    pub(crate) fn is_kept(self) -> bool {
        self == Self::Kept
    }
}

derive_common! {
    value
    /// The rules that keep ownership single, each of which the model checker can take out.
    #[derive(Default)]
    pub struct Rules {
        /// A new owner needs the claim of the former standby ended too, not only the owner's.
        pub standby_claim: Rule,
        /// A new owner needs the claim of the former owner ended.
        pub owner_claim: Rule,
        /// A lapsed session's longest promise is waited out.
        pub lapse_wait: Rule,
        /// A grantor that marked a session as lapsed never promises it anything again.
        pub sticky_lapse: Rule,
        /// Older grantor sets are sealed, and their last promises waited out.
        pub seal: Rule,
        /// A grantor of a new epoch promises nothing before the older sets are sealed.
        pub grant_after_seal: Rule,
        /// A member takes orders only for its current session.
        pub current_session: Rule,
        /// A member takes no order from an epoch below the highest that it knows.
        pub order_epoch: Rule,
        /// A member keeps the promise that it gave with a release.
        pub release_promise: Rule,
        /// A member takes orders only while it holds a valid lease.
        pub lease_for_order: Rule,
        /// A member heeds the end of its own lease.
        pub own_lease_end: Rule,
        /// The lapsed marks of a sealed set bind the grantors that come after it.
        pub inherited_marks: Rule,
    }
}
