//! Measures how late the node's timers wake it, which shows how long it is suspended after it has used
//! up its share of the processor.

use std::time::{
    Duration,
    Instant, //
};

use figway_metrics::StallWatch;

use crate::metrics::Metrics;

/// Period of the wake-ups that are measured. It is no multiple of 100 ms, the usual period of
/// processor limits, so that the wake-ups fall on all parts of it.
const WAKE_PERIOD: Duration = Duration::from_millis(470);

/// Measures the delays of wake-ups. Runs until the process ends.
pub(crate) async fn watch_stalls(metrics: &Metrics) {
    let mut watch = StallWatch::default();
    // Without stalls the metrics are 0, not absent.
    metrics.count_by("stalls", 0);
    metrics.count_by("stalled_ms", 0);
    metrics.set_gauge("stall_longest_ms", 0);
    loop {
        let due_at = Instant::now() + WAKE_PERIOD;
        tokio::time::sleep_until(due_at.into()).await;
        let woken_at = Instant::now();
        let delay = woken_at.saturating_duration_since(due_at);
        metrics.record_time("wake_delay_ms", delay);
        if !watch.record(due_at, woken_at) {
            continue;
        }
        metrics.count("stalls");
        metrics.count_by("stalled_ms", delay.as_millis() as u64);
        let longest_ms = watch.total().longest.as_millis() as u64;
        metrics.set_gauge("stall_longest_ms", longest_ms);
        if let Some(stalls) = watch.take_report(woken_at) {
            log::info!(
                "processor stalled stalls={} stalled_ms={} longest_ms={}",
                stalls.count,
                stalls.total.as_millis(),
                stalls.longest.as_millis(),
            );
        }
    }
}
