//! The memory that recorded samples take. The only test of its process, which it measures.

use std::time::Duration;

use metrics_exporter_prometheus::PrometheusBuilder;
use sidecar::maintain_metrics;

const SAMPLES: usize = 10_000_000;

/// Ten million samples of eight bytes take more.
const MAX_HELD: usize = 40 << 20;

/// Returns the resident memory of this process in bytes.
fn resident_bytes() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:")).unwrap();
    line.trim().trim_end_matches("kB").trim().parse::<usize>().unwrap() << 10
}

/// Guards against memory that grows with each request: samples stayed in the recorder until somebody
/// read the metrics.
#[actix_rt::test]
async fn samples_that_nobody_reads_take_bounded_memory() {
    let recorder = PrometheusBuilder::new().build_recorder();
    let handle = recorder.handle();
    metrics::set_global_recorder(recorder).unwrap();
    actix_rt::spawn(maintain_metrics(handle.clone(), Duration::from_millis(5)));
    let before = resident_bytes();

    let mut peak = before;
    for i in 0..SAMPLES {
        metrics::histogram!("papayarill_request_ms").record((i % 3_000) as f64);
        if i % 10_000 == 0 {
            // The samples are summarized between the requests of a process.
            tokio::time::sleep(Duration::from_millis(1)).await;
            peak = peak.max(resident_bytes());
        }
    }

    let held = peak - before;
    assert!(held < MAX_HELD, "{held} bytes for {SAMPLES} samples");
    let text = handle.render();
    assert!(text.contains(&format!("papayarill_request_ms_count {SAMPLES}")), "{text}");
}
