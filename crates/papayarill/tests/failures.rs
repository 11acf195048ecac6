//! Whichever process fails, no key has two owners, no acknowledged assignment is lost, and every key
//! is served again.
//!
//! The failover time is not checked here; `cargo xtask measure failover` measures it.

use tokio::sync::Mutex;
use trial::failure::{self, Failure};
use trial::process::Program;

/// Makes the tests run one at a time. Each starts 13 processes and its own load. If all ran at once,
/// hosts would lack CPU time and lose their leases, which is not the failure under test.
static TEST_LOCK: Mutex<()> = Mutex::const_new(());

async fn check(failure: Failure) {
    let _guard = TEST_LOCK.lock().await;
    let program = Program(env!("CARGO_BIN_EXE_papayarill").into());

    let report = failure::run(&program, failure).await;

    println!("{failure:?}: worst gap {:?} ms, {}", report.gaps.last(), report.store);
    let none: Vec<String> = Vec::new();
    assert_eq!(report.double_ownership, none, "{failure:?}");
    assert_eq!(report.duplicate_executions, none, "{failure:?}");
    assert_eq!(report.false_not_run, none, "{failure:?}");
    assert_eq!(report.lost_assignments, none, "{failure:?}");
}

macro_rules! failure_tests {
    ($($name:ident: $failure:ident;)*) => {$(
        #[actix_rt::test]
        async fn $name() {
            check(Failure::$failure).await;
        }
    )*};
}

failure_tests! {
    owner_killed: OwnerKilled;
    coordinator_killed: CoordinatorKilled;
    owner_and_coordinator_killed: OwnerAndCoordinatorKilled;
    owner_frozen: OwnerFrozen;
    owner_killed_while_the_store_is_down: OwnerKilledStoreDown;
    coordinator_killed_while_the_store_is_down: CoordinatorKilledStoreDown;
    owner_killed_while_store_responses_are_lost: OwnerKilledAnswersLost;
    owner_killed_while_the_store_is_slow: OwnerKilledStoreSlow;
    backend_server_killed: BackendKilled;
    owner_cut_off: OwnerCutOff;
    host_lost: HostLost;
}
