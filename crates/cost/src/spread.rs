//! Distribution of run times around the expected one.

/// Number of buckets.
const BUCKET_COUNT: usize = 32;

/// Buckets for each doubling of the run time.
const BUCKETS_PER_DOUBLING: f64 = 4.0;

/// Binary logarithm of the lower bound of the first bucket, as a multiple of the expected run time.
const FIRST_LOG2: f64 = -3.0;

/// Weight of all samples at which the weights are halved, so that newer samples prevail.
const WEIGHT_MAX: f32 = 512.0;

/// Weight of the assumed distribution before the first sample.
const PRIOR_WEIGHT: f32 = 8.0;

/// Assumed distribution: multiples of the expected run time with their shares.
const PRIOR: [(f64, f32); 6] = [
    (0.6, 0.2),
    (0.8, 0.25),
    (1.0, 0.2),
    (1.2, 0.2),
    (1.6, 0.13),
    (5.0, 0.02),
];

/// Remaining time, as a multiple of the elapsed time, of a call that has run longer than all samples.
const BEYOND_RATIO: f64 = 0.5;

/// Share of the samples below which those that ran longer than a call are too few to estimate its remaining
/// time.
const BEYOND_SHARE_MAX: f64 = 1e-4;

/// Distribution of the ratio of run times to the expected one, in buckets of logarithmic width.
#[derive(Clone, Debug)]
pub struct Spread {
    weights: [f32; BUCKET_COUNT],
    total: f32,
}

impl Default for Spread {
    fn default() -> Self {
        let mut spread = Self {
            weights: [0.0; BUCKET_COUNT],
            total: PRIOR_WEIGHT,
        };
        for (ratio, share) in PRIOR {
            spread.weights[bucket(ratio)] += share * PRIOR_WEIGHT;
        }
        spread
    }
}

impl Spread {
    /// Records a run time as a multiple of the expected one.
    pub fn record(&mut self, ratio: f64) {
        if !ratio.is_finite() {
            return;
        }
        self.weights[bucket(ratio)] += 1.0;
        self.total += 1.0;
        if self.total < WEIGHT_MAX {
            return;
        }
        self.total = 0.0;
        for weight in &mut self.weights {
            *weight /= 2.0;
            self.total += *weight;
        }
    }

    /// Returns the multiple of the expected run time that the share `share` of the calls doesn't exceed.
    pub fn quantile(&self, share: f64) -> f64 {
        let wanted = f64::from(self.total) * share.clamp(0.0, 1.0);
        let mut below = 0.0;
        for (index, weight) in self.weights.iter().enumerate() {
            let weight = f64::from(*weight);
            if weight > 0.0 && below + weight >= wanted {
                let (low, high) = bounds(index);
                return low + (high - low) * (wanted - below) / weight;
            }
            below += weight;
        }
        bounds(BUCKET_COUNT - 1).1
    }

    /// Returns the expected remaining run time of a call that has run for `elapsed`; both are multiples
    /// of the expected run time.
    pub fn remaining(&self, elapsed: f64) -> f64 {
        let elapsed = elapsed.max(0.0);
        let mut weight_sum = 0.0;
        let mut remaining_sum = 0.0;
        for index in bucket(elapsed)..BUCKET_COUNT {
            let (low, high) = bounds(index);
            if high <= elapsed {
                continue;
            }
            let left_from = low.max(elapsed);
            let weight = f64::from(self.weights[index]) * (high - left_from) / (high - low);
            weight_sum += weight;
            remaining_sum += weight * ((left_from + high) / 2.0 - elapsed);
        }
        if weight_sum < f64::from(self.total) * BEYOND_SHARE_MAX {
            return elapsed * BEYOND_RATIO;
        }
        remaining_sum / weight_sum
    }
}

fn bucket(ratio: f64) -> usize {
    let steps = (ratio.max(1e-6).log2() - FIRST_LOG2) * BUCKETS_PER_DOUBLING;
    (steps.max(0.0) as usize).min(BUCKET_COUNT - 1)
}

/// Returns the bounds of a bucket. The first one begins at 0.
fn bounds(index: usize) -> (f64, f64) {
    (BOUNDS[index], BOUNDS[index + 1])
}

/// Bounds of the buckets: 2 to the power of `FIRST_LOG2 + index / BUCKETS_PER_DOUBLING`, and 0 first.
const BOUNDS: [f64; BUCKET_COUNT + 1] = {
    // Fourth root of 2; powers are not constant functions.
    let step = 1.189_207_115_002_721;
    let mut bounds = [0.0; BUCKET_COUNT + 1];
    let mut bound = 0.125;
    let mut index = 1;
    while index <= BUCKET_COUNT {
        bound *= step;
        bounds[index] = bound;
        index += 1;
    }
    bounds
};
