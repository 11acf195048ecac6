//! An accepted configuration comes into force on every host process, and no host process returns to
//! an older one, even after a platform outage and a restart.

use std::cell::RefCell;

use model::{ConfigVersion, Millis, WriterTag};
use platform::PlatformClient;
use trial::deployment::{self, Deployment, SERVICE, ZONES, start_deployment, wait_for};
use trial::http;
use trial::process::Program;

const PLATFORM_TIME_LIMIT: Millis = Millis(5_000);
const OUTAGE: &str = "{\"outage\": true}";
const NO_FAULT: &str = "{}";

fn program() -> Program {
    Program(env!("CARGO_BIN_EXE_papayarill").into())
}

/// Applies the next version, which differs in the number of slots.
async fn apply_next_version(deployment: &Deployment, based_on: u64) {
    let platform = PlatformClient::new(deployment.platform_addr, PLATFORM_TIME_LIMIT);
    let slots = format!("slots: {}\n", 7 + based_on);
    let yaml = deployment::config().replacen("slots: 6\n", &slots, 1);
    let base = Some(ConfigVersion(based_on));
    let version = platform.apply_config(base, &yaml, WriterTag(100 + based_on)).await;
    assert_eq!(version.ok(), Some(ConfigVersion(based_on + 1)));
}

/// The last version that each host has reported, which must never decrease.
struct VersionWatch(RefCell<Vec<u64>>);

impl VersionWatch {
    fn new() -> Self {
        Self(RefCell::new(vec![1; 3]))
    }

    /// Records that a host was replaced by a new one, which is the last in the list.
    fn replace(&self, host: usize) {
        let mut highest = self.0.borrow_mut();
        highest.remove(host);
        highest.push(0);
    }

    /// Polls every host once, checks that no version decreased, and returns the versions.
    async fn poll(&self, deployment: &Deployment) -> Vec<u64> {
        for (index, host) in deployment.hosts.iter().enumerate() {
            let Some(status) = host.status().await else { continue };
            let before = std::mem::replace(&mut self.0.borrow_mut()[index], status.config_version);
            assert!(status.config_version >= before, "the version of {} decreased", host.operators);
        }
        self.0.borrow().clone()
    }

    async fn wait_for_all(&self, deployment: &Deployment, version: u64) {
        let all = async || self.poll(deployment).await.iter().all(|v| *v == version);
        wait_for("the version to be in force", all).await;
    }
}

/// Sends one request through a host and returns its outcome.
async fn outcome(deployment: &Deployment, host: usize) -> String {
    let url = format!("http://{}/{SERVICE}/keys/1", deployment.hosts[host].callers);
    let seen = http::send(http::client().get(url), "".into()).await;
    seen.outcome
}

#[actix_rt::test]
async fn accepted_versions_come_into_force_everywhere() {
    let deployment = start_deployment(&program(), &ZONES[..3]).await;
    let watch = VersionWatch::new();
    for version in 2..=4 {
        apply_next_version(&deployment, version - 1).await;
        watch.wait_for_all(&deployment, version).await;
    }
    assert_eq!(outcome(&deployment, 0).await, "ran");
}

#[actix_rt::test]
async fn an_accepted_version_survives_a_platform_outage_and_a_restart_before_it_is_rolled_out() {
    let mut deployment = start_deployment(&program(), &ZONES[..3]).await;
    let watch = VersionWatch::new();

    apply_next_version(&deployment, 1).await;
    deployment.set_platform_faults(OUTAGE).await;

    // Hosts that have a configuration continue to serve.
    for host in 0..3 {
        assert_eq!(outcome(&deployment, host).await, "ran");
    }
    watch.poll(&deployment).await;

    // A host that starts now cannot learn which version is in force.
    let replaced = usize::from(deployment.coordinator().await == 0);
    deployment.hosts.remove(replaced).process.kill();
    deployment.add_host(ZONES[replaced]);
    watch.replace(replaced);
    assert_eq!(outcome(&deployment, 2).await, "not-run");
    assert_eq!(watch.poll(&deployment).await[2], 0);

    deployment.set_platform_faults(NO_FAULT).await;
    watch.wait_for_all(&deployment, 2).await;
    deployment.wait_until_served().await;
    assert_eq!(outcome(&deployment, 2).await, "ran");
}
