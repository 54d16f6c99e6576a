//! Counters, gauges and histograms of a node. A cadence sink aggregates them in the process and
//! renders them in the Prometheus text exposition format.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io;
use std::sync::{
    Arc,
    Mutex,
    MutexGuard, //
};

use cadence::{
    MetricSink,
    StatsdClient, //
};
use figway_types::FastMap;

/// Upper bounds of the buckets of a histogram, in milliseconds.
const BUCKETS_MS: [u64; 14] = [
    1, 2, 5, 10, 20, 50, 100, 200, 300, 500, 800, 1_200, 2_500, 5_000,
];

/// Largest number of series. Metrics that would add another series are counted as dropped.
const SERIES_MAX_COUNT: usize = 2_000;

/// Aggregates the metrics that cadence emits.
#[derive(Clone, Default)]
pub struct Registry {
    series: Arc<Mutex<Series>>,
}

#[derive(Default)]
struct Series {
    counters: FastMap<String, u64>,
    gauges: FastMap<String, f64>,
    histograms: FastMap<String, Histogram>,
    dropped_count: u64,
}

#[derive(Clone, Debug, Default)]
struct Histogram {
    bucket_counts: [u64; BUCKETS_MS.len()],
    count: u64,
    sum_ms: u64,
}

impl Registry {
    /// Returns a client that records its metrics in this registry and prefixes them with `prefix`.
    pub fn client(&self, prefix: &str) -> StatsdClient {
        StatsdClient::builder(prefix, self.clone()).build()
    }

    /// Renders all series in the Prometheus text exposition format.
    pub fn render(&self) -> String {
        let series = self.series();
        let mut text = String::new();
        for (name, count) in sorted(&series.counters) {
            push_line(&mut text, name, "", &count.to_string());
        }
        for (name, value) in sorted(&series.gauges) {
            push_line(&mut text, name, "", &value.to_string());
        }
        for (name, histogram) in sorted(&series.histograms) {
            let mut cumulative_count = 0;
            for (bound_ms, count) in BUCKETS_MS.iter().zip(histogram.bucket_counts) {
                cumulative_count += count;
                let label = format!("le=\"{bound_ms}\"");
                push_line(
                    &mut text,
                    &suffixed(name, "_bucket"),
                    &label,
                    &cumulative_count.to_string(),
                );
            }
            let total = histogram.count.to_string();
            push_line(&mut text, &suffixed(name, "_bucket"), "le=\"+Inf\"", &total);
            push_line(
                &mut text,
                &suffixed(name, "_sum"),
                "",
                &histogram.sum_ms.to_string(),
            );
            push_line(&mut text, &suffixed(name, "_count"), "", &total);
        }
        push_line(
            &mut text,
            "figway_metrics_dropped",
            "",
            &series.dropped_count.to_string(),
        );
        text
    }

    fn series(&self) -> MutexGuard<'_, Series> {
        self.series.lock().expect("no holder panics")
    }
}

impl MetricSink for Registry {
    fn emit(&self, metric: &str) -> io::Result<usize> {
        let mut series = self.series();
        if !series.record(metric) {
            series.dropped_count += 1;
        }
        Ok(metric.len())
    }
}

impl Series {
    /// Records one metric in the statsd format, `name:value|type|#tag:value,tag:value`. Returns
    /// `false` if the metric is malformed or would exceed the number of series.
    fn record(&mut self, metric: &str) -> bool {
        let mut parts = metric.split('|');
        let (Some(name_and_value), Some(metric_type)) = (parts.next(), parts.next()) else {
            return false;
        };
        let Some((name, value)) = name_and_value.rsplit_once(':') else {
            return false;
        };
        let tags = parts.find_map(|part| part.strip_prefix('#')).unwrap_or("");
        let key = series_key(name, tags);
        if self.len() >= SERIES_MAX_COUNT && !self.contains(&key) {
            return false;
        }
        match (metric_type, value.parse::<f64>()) {
            ("c", Ok(value)) => *self.counters.entry(key).or_default() += value.max(0.0) as u64,
            ("g", Ok(value)) => {
                self.gauges.insert(key, value);
            }
            ("ms", Ok(value)) => self.histograms.entry(key).or_default().record(value as u64),
            _ => return false,
        }
        true
    }

    fn len(&self) -> usize {
        self.counters.len() + self.gauges.len() + self.histograms.len()
    }

    fn contains(&self, key: &str) -> bool {
        self.counters.contains_key(key)
            || self.gauges.contains_key(key)
            || self.histograms.contains_key(key)
    }
}

impl Histogram {
    fn record(&mut self, value_ms: u64) {
        self.count += 1;
        self.sum_ms += value_ms;
        let bucket = BUCKETS_MS.iter().position(|bound_ms| value_ms <= *bound_ms);
        if let Some(bucket) = bucket {
            self.bucket_counts[bucket] += 1;
        }
    }
}

/// Returns the name with its labels: `figway.calls` and `outcome:answered` become
/// `figway_calls{outcome="answered"}`.
fn series_key(name: &str, tags: &str) -> String {
    let mut key = name.replace('.', "_");
    if tags.is_empty() {
        return key;
    }
    key.push('{');
    for (index, tag) in tags.split(',').enumerate() {
        let (label, value) = tag.split_once(':').unwrap_or(("tag", tag));
        let comma = if index > 0 { "," } else { "" };
        write!(key, "{comma}{label}=\"{value}\"").expect("writing to a String can't fail");
    }
    key.push('}');
    key
}

fn suffixed(key: &str, suffix: &str) -> String {
    match key.split_once('{') {
        Some((name, labels)) => format!("{name}{suffix}{{{labels}"),
        None => format!("{key}{suffix}"),
    }
}

fn push_line(text: &mut String, key: &str, label: &str, value: &str) {
    let key = match (label, key.strip_suffix('}')) {
        ("", _) => key.to_owned(),
        (label, Some(open)) => format!("{open},{label}}}"),
        (label, None) => format!("{key}{{{label}}}"),
    };
    writeln!(text, "{key} {value}").expect("writing to a String can't fail");
}

fn sorted<T>(series: &FastMap<String, T>) -> BTreeMap<&String, &T> {
    series.iter().collect()
}
