//! Ownership stays single, acknowledged assignments stay, and every key comes back, whatever
//! process fails.
//!
//! The time that it takes is measured by `cargo xtask measure failover`, not here.

use tokio::sync::Mutex;
use trial::failure::{self, Failure};
use trial::process::Program;

/// One case runs at a time. Each has 13 processes and a load of its own; all at once would starve
/// hosts of processor time until they lose leases, which is another failure than the one at hand.
static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

async fn check(failure: Failure) {
    let _turn = ONE_AT_A_TIME.lock().await;
    let program = Program(env!("CARGO_BIN_EXE_papayarill").into());

    let report = failure::run(&program, failure).await;

    println!("{failure:?}: worst gap {:?} ms, {}", report.gaps.last(), report.store);
    let none: Vec<String> = Vec::new();
    assert_eq!(report.double_ownership, none, "{failure:?}");
    assert_eq!(report.duplicate_executions, none, "{failure:?}");
    assert_eq!(report.false_not_run, none, "{failure:?}");
    assert_eq!(report.lost_assignments, none, "{failure:?}");
}

macro_rules! cases {
    ($($name:ident: $failure:ident;)*) => {$(
        #[actix_rt::test]
        async fn $name() {
            check(Failure::$failure).await;
        }
    )*};
}

cases! {
    owner_killed: OwnerKilled;
    coordinator_killed: CoordinatorKilled;
    owner_and_coordinator_killed: OwnerAndCoordinatorKilled;
    owner_frozen: OwnerFrozen;
    owner_killed_while_the_store_is_down: OwnerKilledStoreDown;
    coordinator_killed_while_the_store_is_down: CoordinatorKilledStoreDown;
    owner_killed_while_answers_of_the_store_are_lost: OwnerKilledAnswersLost;
    owner_killed_while_the_store_is_slow: OwnerKilledStoreSlow;
    backend_server_killed: BackendKilled;
    owner_cut_off: OwnerCutOff;
    host_lost: HostLost;
}
