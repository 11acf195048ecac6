//! Scenarios of the versions and documents that a process receives, and the configuration that it
//! may use afterwards.

use std::sync::Arc;

use model::{ConfigVersion, Millis, NotRunReason};
use papayarill_config::{Config, ConfigTracker, FreshnessLimits};
use quickcheck::{Gen, QuickCheck};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const LIMITS: FreshnessLimits =
    FreshnessLimits { max_age: Millis(1_000), max_fetch_delay: Millis(100) };
const SEED: u64 = 42;

/// One step of a scenario: an event, or an expectation.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// The platform confirmed that this version was the newest one at this time.
    Confirm(u64, u64),
    /// The document of this version was fetched.
    Adopt(u64),
    /// The process restarted.
    Restart,
    /// The state that is expected at this time: the version in force (0 if there is none or it
    /// is stale), and the version to fetch (0 for none).
    Expect(u64, u64, u64),
}

use Step::{Adopt, Confirm, Expect, Restart};

fn apply(tracker: &mut ConfigTracker, step: Step) {
    match step {
        Confirm(version, as_of) => tracker.confirm(ConfigVersion(version), Millis(as_of)),
        Adopt(version) => {
            tracker.adopt(ConfigVersion(version), Arc::new(Config::default()));
        }
        Restart => *tracker = ConfigTracker::new(LIMITS),
        Expect(now, version_in_force, version_to_fetch) => {
            let found = tracker.fresh_config(Millis(now));
            let version = found.map(|_| tracker.version().unwrap_or_default().0);
            assert_eq!(
                version,
                if version_in_force == 0 {
                    Err(NotRunReason::StaleConfig)
                } else {
                    Ok(version_in_force)
                }
            );
            assert_eq!(
                tracker.to_fetch(),
                (version_to_fetch > 0).then_some(ConfigVersion(version_to_fetch))
            );
        }
    }
}

fn check(steps: &[Step]) {
    let mut tracker = ConfigTracker::new(LIMITS);
    for step in steps {
        apply(&mut tracker, *step);
    }
}

#[test]
fn a_configuration_is_used_only_when_fetched_and_confirmed() {
    check(&[Expect(0, 0, 0), Confirm(1, 5), Expect(5, 0, 1), Adopt(1), Expect(5, 1, 0)]);
    check(&[Adopt(1), Expect(5, 0, 0), Confirm(1, 5), Expect(5, 1, 0)]);
}

#[test]
fn a_confirmation_expires() {
    check(&[Adopt(1), Confirm(1, 0), Expect(1_000, 1, 0), Expect(1_001, 0, 0)]);
    check(&[Adopt(1), Confirm(1, 0), Confirm(1, 500), Expect(1_500, 1, 0), Expect(1_501, 0, 0)]);
    check(&[Adopt(1), Confirm(1, 500), Confirm(1, 0), Expect(1_500, 1, 0)]);
}

#[test]
fn an_outdated_response_neither_downgrades_nor_confirms() {
    check(&[Adopt(2), Confirm(2, 0), Confirm(1, 900), Expect(900, 2, 0), Expect(1_001, 0, 0)]);
    check(&[Adopt(2), Confirm(2, 0), Adopt(1), Expect(5, 2, 0)]);
    check(&[Adopt(2), Confirm(1, 0), Expect(5, 0, 0)]);
}

#[test]
fn a_replayed_document_neither_downgrades_nor_hides_a_newer_version() {
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
fn after_an_outage_before_distribution_requests_are_refused_until_the_new_version_arrives() {
    check(&[
        Adopt(1),
        Confirm(1, 0),
        // Version 2 is accepted at time 1, and the platform goes down before any host polls it.
        Expect(1_000, 1, 0),
        Expect(1_001, 0, 0),
        // The platform is available again.
        Confirm(2, 5_000),
        Expect(5_000, 1, 2),
        Adopt(2),
        Confirm(1, 5_500),
        Expect(6_000, 2, 0),
    ]);
}

#[test]
fn requests_are_refused_if_a_newer_version_cannot_be_fetched_in_time() {
    check(&[Adopt(1), Confirm(2, 0), Expect(100, 1, 2), Confirm(2, 90), Expect(101, 0, 2)]);
    check(&[
        Adopt(1),
        Confirm(2, 0),
        Confirm(3, 90),
        Expect(101, 0, 3),
        Adopt(3),
        Expect(101, 3, 0),
    ]);
    // Each version is fetched in time, although a newer one is always known already.
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
fn a_restarted_process_starts_without_a_configuration() {
    check(&[
        Adopt(2),
        Confirm(2, 0),
        Restart,
        Expect(5, 0, 0),
        // Another host that does not know version 2 yet sends version 1.
        Adopt(1),
        Expect(5, 0, 0),
        Confirm(2, 5),
        Expect(5, 1, 2),
        Expect(106, 0, 2),
        Adopt(2),
        Expect(106, 2, 0),
    ]);
}

fn random_step(rng: &mut StdRng) -> Step {
    match rng.random_range(0..20) {
        0 => Adopt(u64::MAX),
        1..9 => Adopt(rng.random_range(0..20)),
        _ => Confirm(rng.random_range(0..20), rng.random_range(0..3_000)),
    }
}

#[test]
fn no_order_of_events_downgrades_the_version() {
    fn never_goes_back(seed: u64) -> bool {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut tracker = ConfigTracker::new(LIMITS);
        (0..200).all(|_| {
            let before = (tracker.version(), tracker.to_fetch().max(tracker.version()));
            apply(&mut tracker, random_step(&mut rng));
            let after = (tracker.version(), tracker.to_fetch().max(tracker.version()));
            before.0 <= after.0 && before.1 <= after.1
        })
    }
    let rng = Gen::from_size_and_seed(64, SEED);
    QuickCheck::new().rng(rng).tests(200).quickcheck(never_goes_back as fn(u64) -> bool);
}
