//! Switches for the rules that keep ownership single.
//!
//! They exist for the model checker, which takes out one rule at a time to show that its search
//! would notice. A host process always runs with the defaults, in which every rule holds.

use model::derive_common;

derive_common! {
    value
    /// Whether a rule is followed.
    #[derive(Default)]
    pub enum RuleMode {
        /// The rule is followed.
        #[default]
        Enforced,
        /// The rule is skipped; for the model checker only.
        Disabled,
    }
}

impl RuleMode {
    pub(crate) fn is_enforced(self) -> bool {
        self == Self::Enforced
    }
}

derive_common! {
    value
    /// The rules that keep ownership single, each of which the model checker can take out.
    #[derive(Default)]
    pub struct SafetyRules {
        /// A new owner needs the claim of the former standby ended too, not only the owner's.
        pub standby_claim: RuleMode,
        /// A new owner needs the claim of the former owner ended.
        pub owner_claim: RuleMode,
        /// A lapsed session's longest promise is waited out.
        pub expiry_wait: RuleMode,
        /// A grantor that marked a session as lapsed never promises it anything again.
        pub sticky_expiry: RuleMode,
        /// Older grantor sets are sealed, and their last promises waited out.
        pub seal: RuleMode,
        /// A grantor of a new epoch promises nothing before the older sets are sealed.
        pub grant_after_seal: RuleMode,
        /// A member takes orders only for its current session.
        pub current_session: RuleMode,
        /// A member takes no order from an epoch below the highest that it knows.
        pub order_epoch: RuleMode,
        /// A member keeps the promise that it gave with a release.
        pub release_promise: RuleMode,
        /// A member takes orders only while it holds a valid lease.
        pub lease_for_order: RuleMode,
        /// A member heeds the end of its own lease.
        pub own_lease_expiry: RuleMode,
        /// The lapsed marks of a sealed set bind the grantors that come after it.
        pub inherited_expirations: RuleMode,
    }
}
