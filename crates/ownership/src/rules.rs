//! Switches for the safety rules, which ensure that a partition has at most one owner at a time.
//!
//! They exist for the model checker, which disables one rule at a time to show that its search
//! finds the violation. A host process always runs with the defaults, which enforce every rule.

use model::derive_common;

derive_common! {
    value
    /// Whether a safety rule is enforced.
    #[derive(Default)]
    pub enum RuleMode {
        /// The rule is enforced.
        #[default]
        Enforced,
        /// The rule is ignored; for the model checker only.
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
    /// The safety rules, each of which the model checker can disable.
    #[derive(Default)]
    pub struct SafetyRules {
        /// A new owner is named only after the claim of the previous standby has ended, too.
        pub standby_claim: RuleMode,
        /// A new owner is named only after the claim of the previous owner has ended.
        pub owner_claim: RuleMode,
        /// An expired session counts as over only when its last lease grant has run out.
        pub expiry_wait: RuleMode,
        /// A grantor that marked a session as expired never grants it a lease again.
        pub sticky_expiry: RuleMode,
        /// Older grantor sets are sealed, and their last lease grants waited out.
        pub seal: RuleMode,
        /// A grantor of a new epoch grants no lease before the older grantor sets are sealed.
        pub grant_after_seal: RuleMode,
        /// A member accepts orders only for its current session.
        pub current_session: RuleMode,
        /// A member accepts no order from an epoch below the highest that it knows.
        pub order_epoch: RuleMode,
        /// A member that released a partition refuses all orders up to the released fence.
        pub release_promise: RuleMode,
        /// A member accepts orders only while it holds a valid lease.
        pub lease_for_order: RuleMode,
        /// A member stops serving when its own lease runs out.
        pub own_lease_expiry: RuleMode,
        /// Sessions that a sealed grantor set expired stay expired for the grantors that follow it.
        pub inherited_expirations: RuleMode,
    }
}
