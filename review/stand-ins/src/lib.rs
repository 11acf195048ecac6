//! Stand-ins of the platform, of upstreams and of callers for the cases of the review.

pub mod caller;
pub mod http;
pub mod json;
pub mod link;
pub mod process;
pub mod record;
pub mod store;
pub mod upstream;

use std::path::PathBuf;

/// The command line of a case: the repository's root, its folder and a temporary folder.
pub struct Args {
    pub root: PathBuf,
    pub case: PathBuf,
    pub tmp: PathBuf,
    pub trouble: bool,
}

pub fn args() -> Args {
    let mut words = std::env::args().skip(1).map(PathBuf::from);
    let mut next = || words.next().expect("ROOT CASE TMP");
    let (root, case, tmp) = (next(), next(), next());
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    Args { root, case, tmp, trouble }
}

/// The largest documents: routes and services of a small deployment.
pub fn manifest(version: u64, routes: &str, services: &str) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{routes}],\"services\":[{services}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":8388608,\
         \"header_timeout_ms\":5000,\"idle_timeout_ms\":15000}}}}"
    )
}

pub fn route(prefix: &str, service: &str, kind: &str, timeout_ms: u64, attempts: u64) -> String {
    format!(
        "{{\"name\":\"r-{service}-{kind}\",\"host\":\"site.example\",\"prefix\":\"{prefix}\",\
         \"type\":\"{kind}\",\"timeout_ms\":{timeout_ms},\"target_latency_ms\":1000,\"priority\":1,\
         \"attempts\":{attempts},\"service\":\"{service}\"}}"
    )
}

pub fn service(name: &str, keyed: bool) -> String {
    format!(
        "{{\"name\":\"{name}\",\"health_path\":\"/healthz\",\"sharded\":{keyed},\"max_conns\":110}}"
    )
}
