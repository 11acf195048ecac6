//! The load generator counts outcomes and detects wrong responses.

use std::sync::Arc;

use actix_web::{App, HttpServer, web};
use rand::SeedableRng;
use rand::rngs::StdRng;
use stand_ins::backend::{Backend, BackendSettings, FenceChecking, start};
use stand_ins::load::{Keys, LoadPlan, LoadReport, RequestOutcome, run};

fn run_load(
    headers: &[(&str, &str)],
    make: impl Fn(LoadPlan) -> LoadPlan,
) -> (LoadReport, Backend) {
    let headers = headers.iter().map(|(n, v)| ((*n).to_owned(), (*v).to_owned())).collect();
    actix_rt::System::new().block_on(async {
        let settings =
            BackendSettings::new("playlists").fences(FenceChecking::Unchecked).slots(1_000);
        let backend = start(&settings.on_crash(Arc::new(|| {}))).unwrap();
        let plan = LoadPlan::new(vec![backend.addr()]).requests(200).headers(headers);
        let report = run(make(plan)).await;
        (report, backend)
    })
}

#[test]
fn outcomes_are_classified_and_counted() {
    let check = |headers: &[(&str, &str)], expected: RequestOutcome| {
        let (report, _) = run_load(headers, |plan| plan.connections(8));
        assert_eq!(report.outcomes, [(expected, 200)], "{headers:?}");
    };

    check(&[], RequestOutcome::Answered);
    check(&[("stand-in-answer-bytes", "100000")], RequestOutcome::Answered);
    check(&[("stand-in-fault", "refuse")], RequestOutcome::Failed);
    check(&[("stand-in-fault", "sulk")], RequestOutcome::Rejected);
    check(&[("stand-in-fault", "lose-answer")], RequestOutcome::Disconnected);
    check(&[("stand-in-fault", "break-answer")], RequestOutcome::Truncated);
    check(
        &[("stand-in-fault", "break-answer"), ("stand-in-answer-bytes", "99999")],
        RequestOutcome::Truncated,
    );
}

#[test]
fn response_for_another_key_is_a_mismatch() {
    let check = |body: &'static str, expected: RequestOutcome| {
        let report = actix_rt::System::new().block_on(async {
            let app = move || App::new().default_service(web::to(move || async move { body }));
            let server = HttpServer::new(app).workers(1).bind(("127.0.0.1", 0)).unwrap();
            let addr = server.addrs()[0];
            actix_rt::spawn(server.run());
            run(LoadPlan::new(vec![addr]).requests(1).keys(Keys::uniform(1))).await
        });
        assert_eq!(report.outcomes, [(expected, 1)], "{body:?}");
    };

    check(r#"{"key":"key-0"}"#, RequestOutcome::Answered);
    check(r#"{"key":"key-1"}"#, RequestOutcome::Mismatched);
    check("no JSON", RequestOutcome::Mismatched);
}

#[test]
fn open_loop_sends_all_requests() {
    let (report, backend) = run_load(&[], |plan| plan.rate(Some(10_000.0)).connections(4));

    assert_eq!(report.count(RequestOutcome::Answered), 200);
    assert_eq!(backend.runs().len(), 200);
    assert!(report.latency_us(0.5) <= report.latency_us(0.99));
}

#[test]
fn keys_are_sampled_by_weight() {
    let check = |keys: Keys, count: usize, top_share: std::ops::Range<f64>| {
        let mut rng = StdRng::seed_from_u64(3);
        let drawn: Vec<_> = (0..10_000).map(|_| keys.draw(&mut rng)).collect();
        let top = drawn.iter().filter(|key| *key == "key-0").count() as f64 / 10_000.0;
        let mut distinct = drawn;
        distinct.sort();
        distinct.dedup();
        assert!(distinct.len() <= count);
        assert!(top_share.contains(&top), "{top}");
    };

    check(Keys::uniform(1), 1, 1.0..1.1);
    check(Keys::uniform(10), 10, 0.08..0.12);
    // The first of 10 keys has 1 / (1 + 1/2 + ... + 1/10) of the weight.
    check(Keys::zipf(10, 1.0), 10, 0.32..0.36);
}
