//! Messages and rows with random content must cause no panic and no overflow.

mod simulation;

use model::{ConfigVersion, Epoch, Fence, Millis, Partition, RowVersion, Session};
use ownership::{
    ClaimRef, Event, Join, Message, RefusalReason, Release, Renew, RoutesVersion, SafetyRules,
    Timing, VersionedRow,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use simulation::{Simulation, addr, first_row, grantor, report, zone};

const HOSTS: usize = 3;
const EVENTS: usize = 3_000;

fn number(rng: &mut StdRng) -> u64 {
    match rng.random_range(0..10) {
        0 => u64::MAX,
        1 => u64::MAX - 1,
        2 => rng.random(),
        _ => rng.random_range(0..8),
    }
}

fn session(rng: &mut StdRng) -> Session {
    let known = simulation::session(rng.random_range(0..HOSTS));
    Session { number: rng.random_range(0..4), ..known }
}

fn claim(rng: &mut StdRng) -> ClaimRef {
    ClaimRef {
        epoch: Epoch(number(rng)),
        session: session(rng),
        partition: Partition(rng.random_range(0..4)),
        fence: Fence(number(rng)),
    }
}

fn row(rng: &mut StdRng) -> VersionedRow {
    let owners: Vec<(usize, usize)> =
        (0..4).map(|_| (rng.random_range(0..HOSTS), rng.random_range(0..HOSTS))).collect();
    let grantors: Vec<usize> = (0..rng.random_range(0..4)).collect();
    let mut known = first_row(HOSTS, &grantors, &owners);
    known.version = RowVersion(number(rng));
    known.row.epoch = Epoch(number(rng));
    known.row.assignments[0].fence = Fence(number(rng));
    if rng.random() {
        known.row.members.pop();
    }
    known
}

fn message(rng: &mut StdRng) -> Message {
    let host = rng.random_range(0..HOSTS);
    let (epoch, session, sent_at) = (Epoch(number(rng)), session(rng), Millis(number(rng)));
    let (incarnation, grantors) = (simulation::incarnation(host, 0), vec![grantor(host)]);
    let routes = RoutesVersion { row: RowVersion(number(rng)), revision: 1 };
    let (claim, fence) = (claim(rng), Fence(number(rng)));
    match rng.random_range(0..16) {
        0 => Message::Join(Join { session, addr: addr(host), zone: zone(host), slots: 1 }),
        1 => Message::Renew(Renew { epoch, session, sent_at, report: report(1) }),
        2 => Message::Renewed {
            epoch,
            session,
            sent_at,
            routes,
            config: ConfigVersion(1),
            config_age: Millis(number(rng)),
        },
        3 => Message::RenewRefused { session, sent_at, reason: RefusalReason::SessionExpired },
        4 => {
            let reason = RefusalReason::OtherEpoch { epoch, grantors };
            Message::RenewRefused { session, sent_at, reason }
        }
        5 => Message::Assign { claim, handed_over_from: Some(fence), first: false },
        6 => Message::TakeOver(claim),
        7 => Message::Serving(claim),
        8 => Message::Release(Release { claim, next: None, time_limit: sent_at }),
        9 => Message::Released { claim, handed_over: true },
        10 => Message::ExpireSession { epoch, session },
        11 => Message::SessionExpired { epoch, session, remaining: sent_at },
        12 => Message::Seal { epoch, sealed: Epoch(number(rng)), grantors, incarnation },
        13 => Message::Sealed { epoch, sealed: Epoch(1), incarnation, expired: vec![session] },
        14 => Message::RowChanged(row(rng)),
        _ => Message::GetRoutes(routes),
    }
}

#[test]
fn random_messages_cause_no_panic() {
    for seed in 0..40 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut sim = Simulation::new(HOSTS, 4, Timing::default(), SafetyRules::default());
        for _ in 0..EVENTS {
            let (host, from) = (rng.random_range(0..HOSTS), rng.random_range(0..HOSTS));
            let event = Event::Received { from: addr(from), message: message(&mut rng) };
            sim.feed(host, event);
            let message_loop = sim.violation.as_ref().filter(|v| v.contains("message exchange"));
            assert!(message_loop.is_none(), "seed {seed}: {message_loop:?}");
            if rng.random_range(0..10) == 0 {
                sim.step(Millis(100));
            }
        }
    }
}
