//! Counters, gauges and histograms of a node. A cadence sink aggregates them in the process and
//! renders them in the Prometheus text exposition format.

mod stalls;

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

pub use crate::stalls::{
    StallWatch,
    Stalls, //
};

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

/// Series by the name and the tags of their metrics, as cadence writes them. They are renamed and
/// sorted when they are rendered, so that recording a metric allocates nothing.
#[derive(Default)]
struct Series {
    names: FastMap<String, FastMap<String, Value>>,
    series_count: usize,
    dropped_count: u64,
}

enum Value {
    Counter(u64),
    Gauge(f64),
    Histogram(Histogram),
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
        let mut counters = BTreeMap::new();
        let mut gauges = BTreeMap::new();
        let mut histograms = BTreeMap::new();
        for (name, tagged) in &series.names {
            for (tags, value) in tagged {
                let key = series_key(name, tags);
                match value {
                    Value::Counter(count) => drop(counters.insert(key, count)),
                    Value::Gauge(value) => drop(gauges.insert(key, value)),
                    Value::Histogram(histogram) => drop(histograms.insert(key, histogram)),
                }
            }
        }
        let mut text = String::new();
        for (name, count) in &counters {
            push_line(&mut text, name, "", &count.to_string());
        }
        for (name, value) in &gauges {
            push_line(&mut text, name, "", &value.to_string());
        }
        for (name, histogram) in &histograms {
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
        let Ok(number) = value.parse::<f64>() else {
            return false;
        };
        let Some(value) = self.value_mut(name, tags, metric_type) else {
            return false;
        };
        match (metric_type, value) {
            ("c", Value::Counter(count)) => *count += number.max(0.0) as u64,
            ("g", Value::Gauge(value)) => *value = number,
            ("ms", Value::Histogram(histogram)) => histogram.record(number as u64),
            _ => return false,
        }
        true
    }

    /// Returns the value of the series, which is added if it is new. Returns `None` if the type is
    /// unknown or there are too many series.
    fn value_mut(&mut self, name: &str, tags: &str, metric_type: &str) -> Option<&mut Value> {
        let is_known = self
            .names
            .get(name)
            .is_some_and(|tagged| tagged.contains_key(tags));
        if !is_known {
            if self.series_count >= SERIES_MAX_COUNT {
                return None;
            }
            let value = Value::of_type(metric_type)?;
            let tagged = self.names.entry(name.to_owned()).or_default();
            tagged.insert(tags.to_owned(), value);
            self.series_count += 1;
        }
        self.names.get_mut(name)?.get_mut(tags)
    }
}

impl Value {
    /// Returns the first value of a series whose metrics have this type in the statsd format.
    fn of_type(metric_type: &str) -> Option<Self> {
        match metric_type {
            "c" => Some(Value::Counter(0)),
            "g" => Some(Value::Gauge(0.0)),
            "ms" => Some(Value::Histogram(Histogram::default())),
            _ => None,
        }
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
