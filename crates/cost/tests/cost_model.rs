//! Estimates of cost: that they converge, stay bounded in memory, and refine only where that helps.

use std::time::{
    Duration,
    Instant, //
};

use figway_cost::{
    CostModel,
    RequestClass,
    Spread,
    TargetFactor, //
};
use figway_types::mix;

struct Random(u64);

impl Random {
    fn ratio(&mut self) -> f64 {
        self.0 = mix(self.0);
        (self.0 >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// Draws a multiple of the mean run time: 0.5 to 1.5, 3 in 100 seven times as long.
    fn run_ratio(&mut self) -> f64 {
        let tail = if self.ratio() < 0.03 { 7.0 } else { 1.0 };
        (0.5 + self.ratio()) * tail / 1.18
    }
}

fn class(kind: &str) -> RequestClass<'_> {
    RequestClass {
        kind,
        body_bytes: 100,
        customer: None,
    }
}

/// Guards against factors and costs that drift apart: many pairs of them explain the same run times.
#[test]
fn costs_of_kinds_and_factors_of_targets_converge() {
    let mut random = Random(61);
    let start = Instant::now();
    let mut costs = CostModel::default();
    let speeds = [0.7, 0.85, 1.0, 1.2, 1.7];
    let mut factors = [TargetFactor::new(start); 5];
    let kinds = [("read", 135.0), ("nested", 38.0), ("upload", 165.0)];
    let mut now = start;
    for _ in 0..60_000 {
        now += Duration::from_millis(5);
        let target = (random.ratio() * 5.0) as usize;
        let (kind, mean_ms) = kinds[(random.ratio() * 3.0) as usize];
        let ran_ms = mean_ms * speeds[target] * random.run_ratio();
        let class = class(kind);
        if let Some(ratio) = costs.usual_ratio(&class, ran_ms) {
            factors[target].record(ratio, now);
        }
        costs.record(&class, ran_ms, factors[target].lasting(now));
    }
    let cost_of = |kind| costs.mean_ms(&class(kind)).unwrap();
    let nested_ratio = cost_of("nested") / cost_of("read");
    assert!((0.24..0.33).contains(&nested_ratio), "{nested_ratio}");
    let slow_ratio = factors[4].lasting(now) / factors[0].lasting(now);
    assert!((2.0..2.9).contains(&slow_ratio), "{slow_ratio}");
    // Costs and factors together give the run times.
    let run_ms = cost_of("read") * factors[2].lasting(now);
    assert!((100.0..170.0).contains(&run_ms), "{run_ms}");
}

/// Guards against an estimate that stays high after a short disturbance, or that misses it.
#[test]
fn a_short_disturbance_raises_the_factor_at_once_and_is_soon_forgotten() {
    let start = Instant::now();
    let mut factor = TargetFactor::new(start);
    let mut now = start;
    for _ in 0..200 {
        now += Duration::from_millis(25);
        factor.record(1.0, now);
    }
    for _ in 0..3 {
        now += Duration::from_millis(25);
        factor.record(2.5, now);
    }
    assert!(factor.current(now) > 1.6, "{factor:?}");
    assert!(factor.lasting(now) < 1.3, "{factor:?}");
    now += Duration::from_millis(600);
    assert!(factor.current(now) < 1.3, "{factor:?}");
}

/// Guards against memory that grows with paths or customers, and against estimates that suffer from it.
#[test]
fn thousands_of_paths_and_customers_take_bounded_memory() {
    let mut random = Random(62);
    let mut costs = CostModel::default();
    for index in 0..100_000 {
        let kind = format!("/path/{}", index % 5_000);
        let customer = format!("customer-{}", index % 7_000);
        let class = RequestClass {
            kind: &kind,
            body_bytes: index,
            customer: Some(&customer),
        };
        costs.record(&class, 100.0 * random.run_ratio(), 1.0);
    }
    assert!(costs.kind_count() <= 256, "{}", costs.kind_count());
    for kind in ["/path/0", "/path/4999", "/never"] {
        let mean_ms = costs.mean_ms(&class(kind)).unwrap();
        assert!((50.0..260.0).contains(&mean_ms), "{kind}: {mean_ms}");
    }
}

/// Guards against a mean that hides classes of very different cost, and against refining by noise.
#[test]
fn size_and_customer_refine_the_estimate_only_where_they_explain_run_times() {
    let mut random = Random(63);
    let mut costs = CostModel::default();
    let of = |customer, body_bytes| RequestClass {
        kind: "read",
        body_bytes,
        customer: Some(customer),
    };
    for index in 0..8_000 {
        let customer = ["a", "b", "c", "d"][index % 4];
        let large = random.ratio() < 0.5;
        let (body_bytes, mean_ms) = if large { (300_000, 300.0) } else { (100, 50.0) };
        let class = of(customer, body_bytes);
        costs.record(&class, mean_ms * random.run_ratio(), 1.0);
    }
    let small_ms = costs.mean_ms(&of("a", 100)).unwrap();
    let large_ms = costs.mean_ms(&of("a", 300_000)).unwrap();
    assert!((35.0..75.0).contains(&small_ms), "{small_ms}");
    assert!((220.0..420.0).contains(&large_ms), "{large_ms}");
    assert_eq!(costs.mean_ms(&of("b", 100)), Some(small_ms));
    // Without samples of the kind nothing is known; one sample is the estimate of all its classes.
    let mut new = CostModel::default();
    assert_eq!(new.mean_ms(&class("read")), None);
    new.record(&class("read"), 10.0, 1.0);
    assert_eq!(new.mean_ms(&of("a", 300_000)), Some(10.0));
}

/// Guards against a remaining time of 0 for a call that has run longer than usual: it is likely a
/// straggler, and its slot is taken for long.
#[test]
fn a_call_that_runs_for_twice_its_mean_has_much_left() {
    let mut random = Random(64);
    let mut spread = Spread::default();
    let mut samples = Vec::new();
    for _ in 0..20_000 {
        let ratio = random.run_ratio();
        spread.record(ratio);
        samples.push(ratio);
    }
    assert!(spread.remaining(2.0) > 2.0, "{}", spread.remaining(2.0));
    assert!(spread.remaining(0.8) < 0.8, "{}", spread.remaining(0.8));
    for elapsed in [0.0, 0.5, 0.9, 2.0, 4.0] {
        let longer: Vec<f64> = samples
            .iter()
            .copied()
            .filter(|run| *run > elapsed)
            .collect();
        let exact = longer.iter().sum::<f64>() / longer.len() as f64 - elapsed;
        let estimated = spread.remaining(elapsed);
        assert!(
            (estimated - exact).abs() < 0.25 * exact.max(0.4),
            "{elapsed}: {estimated} instead of {exact}"
        );
    }
    // Never 0, also beyond all samples.
    for elapsed in [8.0, 20.0, 100.0, 1e9] {
        assert!(spread.remaining(elapsed) > 0.05, "{elapsed}");
    }
    samples.sort_by(f64::total_cmp);
    let exact = samples[samples.len() * 9 / 10];
    let estimated = spread.quantile(0.9);
    assert!(
        (estimated / exact - 1.0).abs() < 0.15,
        "{estimated} {exact}"
    );
    let rare = spread.quantile(0.99);
    assert!(rare > 3.0, "{rare}");
}

/// Guards against estimates that are not numbers after samples that are not.
#[test]
fn odd_samples_are_ignored() {
    let now = Instant::now();
    let mut costs = CostModel::default();
    let mut factor = TargetFactor::new(now);
    for odd in [0.0, -1.0, f64::NAN, f64::INFINITY] {
        costs.record(&class("read"), odd, 1.0);
        costs.record(&class("read"), 1.0, odd);
        factor.record(odd, now);
        factor.record_mean(odd, now);
    }
    assert_eq!(costs.mean_ms(&class("read")), None);
    assert_eq!(factor.current(now), 1.0);
}
