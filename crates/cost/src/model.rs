//! Cost of a request by its class.

use figway_types::FastMap;

use crate::cells::Cells;

/// Largest number of kinds with estimates of their own. Further ones share one estimate.
const KIND_MAX_COUNT: usize = 256;

/// Weight of a new sample in the mean of a kind once there are many.
const SAMPLE_WEIGHT: f64 = 0.01;

/// Weight of a new sample in the errors by which refinements are judged.
const ERROR_WEIGHT: f64 = 0.01;

/// Samples of a kind before a refinement is used.
const REFINE_MIN_COUNT: u32 = 50;

/// Error of a refined estimate, relative to that of the plain one, below which it is used.
const REFINED_ERROR_RATIO: f64 = 0.9;

/// Upper bound of a sample relative to the estimate, so that a straggler counts little in errors.
const SAMPLE_RATIO_MAX: f64 = 4.0;

/// Bound of the logarithm of a sample relative to the estimate.
const SAMPLE_LOG_MAX: f64 = 0.9;

/// Bodies below this size are of the first size class; each further class is four times as large.
const FIRST_SIZE_BYTES: usize = 1_024;

/// Number of size classes.
const SIZE_CLASS_COUNT: u8 = 8;

/// What is known of a request before it runs.
#[derive(Clone, Copy, Debug)]
pub struct RequestClass<'a> {
    /// Request kind.
    pub kind: &'a str,
    /// Size of the request body.
    pub body_bytes: usize,
    /// Customer to whom the request belongs.
    pub customer: Option<&'a str>,
}

impl RequestClass<'_> {
    fn size_class(&self) -> u8 {
        let mut class = 0;
        let mut bound = FIRST_SIZE_BYTES;
        while self.body_bytes >= bound && class + 1 < SIZE_CLASS_COUNT {
            class += 1;
            bound *= 4;
        }
        class
    }
}

/// Costs by class, in bounded memory.
#[derive(Clone, Debug, Default)]
pub struct CostModel {
    kinds: FastMap<String, KindCost>,
    /// Estimate of the kinds that have none of their own.
    other: KindCost,
    by_size: Cells,
    by_customer: Cells,
}

#[derive(Clone, Debug, Default)]
struct KindCost {
    mean_ms: f64,
    sample_count: u32,
    /// Mean logarithm of run times relative to the expected ones. It is below 0, as the mean of a skewed
    /// distribution is above most samples.
    usual_log: f64,
    plain_error: f64,
    size_error: f64,
    customer_error: f64,
}

/// Estimates for a class by each refinement, in milliseconds.
#[derive(Clone, Copy, Debug)]
struct Refined {
    size_ms: f64,
    customer_ms: f64,
    /// The estimate that has proved best for the kind.
    best_ms: f64,
}

impl CostModel {
    /// Records that a request of the class ran for `ran_ms` at a target of the factor `factor`.
    pub fn record(&mut self, class: &RequestClass<'_>, ran_ms: f64, factor: f64) {
        let cost_ms = ran_ms / factor;
        if !(cost_ms.is_finite() && cost_ms > 0.0) {
            return;
        }
        let size = [class.size_class()];
        let customer = class.customer.unwrap_or("").as_bytes();
        let refined = self.refined(class);
        let kind_cost = self.kind_mut(class.kind);
        if let Some(refined) = refined {
            kind_cost.record_ratio(cost_ms / refined.best_ms);
            kind_cost.record_errors(cost_ms, &refined);
        }
        kind_cost.record(cost_ms);
        self.by_size.record(class.kind, &size, cost_ms);
        self.by_customer.record(class.kind, customer, cost_ms);
    }

    /// Returns the expected run time of a request of the class at a target of factor 1, in milliseconds, if
    /// any request of its kind has run.
    pub fn mean_ms(&self, class: &RequestClass<'_>) -> Option<f64> {
        Some(self.refined(class)?.best_ms)
    }

    /// Returns the mean cost of all requests of the kind, in milliseconds.
    pub fn kind_mean_ms(&self, kind: &str) -> Option<f64> {
        let kind_cost = self.kind(kind);
        (kind_cost.sample_count > 0).then_some(kind_cost.mean_ms)
    }

    /// Returns a run time as a multiple of the usual one of the class, as [`TargetFactor::record`] takes it.
    ///
    /// [`TargetFactor::record`]: crate::TargetFactor::record
    pub fn usual_ratio(&self, class: &RequestClass<'_>, ran_ms: f64) -> Option<f64> {
        let usual_ms = self.mean_ms(class)? * self.kind(class.kind).usual_log.exp();
        Some(ran_ms / usual_ms)
    }

    /// Returns the number of kinds with estimates of their own.
    pub fn kind_count(&self) -> usize {
        self.kinds.len()
    }

    fn refined(&self, class: &RequestClass<'_>) -> Option<Refined> {
        let kind_cost = self.kind(class.kind);
        if kind_cost.sample_count == 0 {
            return None;
        }
        let customer = class.customer.unwrap_or("").as_bytes();
        let kind_ms = kind_cost.mean_ms;
        let size_ms = self
            .by_size
            .mean_ms(class.kind, &[class.size_class()], kind_ms);
        let customer_ms = self.by_customer.mean_ms(class.kind, customer, kind_ms);
        let by_size = kind_cost.refines(kind_cost.size_error);
        let by_customer = kind_cost.refines(kind_cost.customer_error);
        let size_is_best = kind_cost.size_error <= kind_cost.customer_error;
        let best_ms = match (by_size, by_customer) {
            (true, false) => size_ms,
            (true, true) if size_is_best => size_ms,
            (_, true) => customer_ms,
            (false, false) => kind_ms,
        };
        Some(Refined {
            size_ms,
            customer_ms,
            best_ms,
        })
    }

    fn kind(&self, kind: &str) -> &KindCost {
        self.kinds.get(kind).unwrap_or(&self.other)
    }

    fn kind_mut(&mut self, kind: &str) -> &mut KindCost {
        if !self.kinds.contains_key(kind) {
            if self.kinds.len() >= KIND_MAX_COUNT {
                return &mut self.other;
            }
            self.kinds.insert(kind.to_owned(), KindCost::default());
        }
        self.kinds
            .get_mut(kind)
            .expect("the entry exists or was just inserted")
    }
}

impl KindCost {
    fn refines(&self, error: f64) -> bool {
        self.sample_count >= REFINE_MIN_COUNT && error < REFINED_ERROR_RATIO * self.plain_error
    }

    fn record_ratio(&mut self, ratio: f64) {
        let sample_log = ratio.ln().clamp(-SAMPLE_LOG_MAX, SAMPLE_LOG_MAX);
        self.usual_log += ERROR_WEIGHT * (sample_log - self.usual_log);
    }

    fn record_errors(&mut self, cost_ms: f64, refined: &Refined) {
        let weight = ERROR_WEIGHT.max(1.0 / f64::from(self.sample_count.saturating_add(1)));
        let sample_ratio = (cost_ms / self.mean_ms).min(SAMPLE_RATIO_MAX);
        for (error, expected_ms) in [
            (&mut self.plain_error, self.mean_ms),
            (&mut self.size_error, refined.size_ms),
            (&mut self.customer_error, refined.customer_ms),
        ] {
            let expected_ratio = expected_ms / self.mean_ms;
            *error += weight * ((sample_ratio - expected_ratio).abs() - *error);
        }
    }

    fn record(&mut self, cost_ms: f64) {
        self.sample_count = self.sample_count.saturating_add(1);
        let weight = SAMPLE_WEIGHT.max(1.0 / f64::from(self.sample_count));
        self.mean_ms += weight * (cost_ms - self.mean_ms);
    }
}
