//! The configuration in force: tables of what a process hears, and what it may rely on then.

use std::sync::Arc;

use model::{ConfigVersion, Millis, NotRunReason};
use papayarill_config::{Config, ConfigTracker, FreshnessLimits};
use quickcheck::{Gen, QuickCheck};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const LIMITS: FreshnessLimits =
    FreshnessLimits { max_age: Millis(1_000), max_fetch_delay: Millis(100) };
const SEED: u64 = 42;

/// What a process hears.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// This version was the newest at this time.
    Confirm(u64, u64),
    /// The document of this version arrived.
    Adopt(u64),
    /// The process was replaced by a new one.
    Restart,
    /// Expected at this time: the version to run by (0 for none that is fresh), and the version
    /// to fetch (0 for none).
    Expect(u64, u64, u64),
}

use Step::{Adopt, Confirm, Expect, Restart};

fn apply(machine: &mut ConfigTracker, step: Step) {
    match step {
        Confirm(version, as_of) => machine.confirm(ConfigVersion(version), Millis(as_of)),
        Adopt(version) => {
            machine.adopt(ConfigVersion(version), Arc::new(Config::default()));
        }
        Restart => *machine = ConfigTracker::new(LIMITS),
        Expect(now, runs_by, fetches) => {
            let found = machine.fresh_config(Millis(now));
            let version = found.map(|_| machine.version().unwrap_or_default().0);
            assert_eq!(
                version,
                if runs_by == 0 { Err(NotRunReason::StaleConfig) } else { Ok(runs_by) }
            );
            assert_eq!(machine.to_fetch(), (fetches > 0).then_some(ConfigVersion(fetches)));
        }
    }
}

fn check(steps: &[Step]) {
    let mut machine = ConfigTracker::new(LIMITS);
    for step in steps {
        apply(&mut machine, *step);
    }
}

#[test]
fn nothing_runs_before_a_document_is_there_and_confirmed() {
    check(&[Expect(0, 0, 0), Confirm(1, 5), Expect(5, 0, 1), Adopt(1), Expect(5, 1, 0)]);
    check(&[Adopt(1), Expect(5, 0, 0), Confirm(1, 5), Expect(5, 1, 0)]);
}

#[test]
fn a_confirmation_runs_out() {
    check(&[Adopt(1), Confirm(1, 0), Expect(1_000, 1, 0), Expect(1_001, 0, 0)]);
    check(&[Adopt(1), Confirm(1, 0), Confirm(1, 500), Expect(1_500, 1, 0), Expect(1_501, 0, 0)]);
    check(&[Adopt(1), Confirm(1, 500), Confirm(1, 0), Expect(1_500, 1, 0)]);
}

#[test]
fn a_stale_answer_neither_goes_back_nor_confirms() {
    check(&[Adopt(2), Confirm(2, 0), Confirm(1, 900), Expect(900, 2, 0), Expect(1_001, 0, 0)]);
    check(&[Adopt(2), Confirm(2, 0), Adopt(1), Expect(5, 2, 0)]);
    check(&[Adopt(2), Confirm(1, 0), Expect(5, 0, 0)]);
}

#[test]
fn a_replayed_document_neither_goes_back_nor_hides_a_newer_version() {
    check(&[
        Adopt(1),
        Adopt(2),
        Confirm(3, 0),
        Adopt(1),
        Adopt(2),
        Expect(50, 2, 3),
        Adopt(3),
        Expect(500, 3, 0),
    ]);
}

#[test]
fn an_outage_between_accept_and_spread_ends_in_refusals_and_then_in_the_new_version() {
    check(&[
        Adopt(1),
        Confirm(1, 0),
        // Version 2 is accepted at 1 and the platform goes down before anybody polls.
        Expect(1_000, 1, 0),
        Expect(1_001, 0, 0),
        // It is back.
        Confirm(2, 5_000),
        Expect(5_000, 1, 2),
        Adopt(2),
        Confirm(1, 5_500),
        Expect(6_000, 2, 0),
    ]);
}

#[test]
fn an_outage_between_word_and_document_ends_in_refusals() {
    check(&[Adopt(1), Confirm(2, 0), Expect(100, 1, 2), Confirm(2, 90), Expect(101, 0, 2)]);
    check(&[
        Adopt(1),
        Confirm(2, 0),
        Confirm(3, 90),
        Expect(101, 0, 3),
        Adopt(3),
        Expect(101, 3, 0),
    ]);
    // Each version is fetched in time, although a newer one is known at every moment.
    check(&[
        Adopt(1),
        Confirm(2, 0),
        Confirm(3, 80),
        Adopt(2),
        Expect(120, 2, 3),
        Confirm(4, 160),
        Adopt(3),
        Expect(260, 3, 4),
        Expect(261, 0, 4),
    ]);
}

#[test]
fn a_restart_in_between_starts_from_nothing() {
    check(&[
        Adopt(2),
        Confirm(2, 0),
        Restart,
        Expect(5, 0, 0),
        // A neighbour that has not heard of version 2 hands over version 1.
        Adopt(1),
        Expect(5, 0, 0),
        Confirm(2, 5),
        Expect(5, 1, 2),
        Expect(106, 0, 2),
        Adopt(2),
        Expect(106, 2, 0),
    ]);
}

fn any_step(rng: &mut StdRng) -> Step {
    match rng.random_range(0..20) {
        0 => Adopt(u64::MAX),
        1..9 => Adopt(rng.random_range(0..20)),
        _ => Confirm(rng.random_range(0..20), rng.random_range(0..3_000)),
    }
}

#[test]
fn no_order_of_words_and_documents_goes_back() {
    fn never_goes_back(seed: u64) -> bool {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut machine = ConfigTracker::new(LIMITS);
        (0..200).all(|_| {
            let before = (machine.version(), machine.to_fetch().max(machine.version()));
            apply(&mut machine, any_step(&mut rng));
            let after = (machine.version(), machine.to_fetch().max(machine.version()));
            before.0 <= after.0 && before.1 <= after.1
        })
    }
    let numbers = Gen::from_size_and_seed(64, SEED);
    QuickCheck::new().rng(numbers).tests(200).quickcheck(never_goes_back as fn(u64) -> bool);
}
