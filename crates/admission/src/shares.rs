//! Weighted max-min shares of the customers whose calls compete for the same slots.
//!
//! The calls of each customer are counted, and the counts decay exponentially. The calls that can be served
//! are divided by weight. A customer that asks for less than its share gets all of it, and the rest is
//! divided among the others.

use std::time::{
    Duration,
    Instant, //
};

use figway_types::stable_hash;

/// Half-life of the counts: 1 call a second has a count of about 2. With a longer one a surge takes shares of
/// others until it is noticed; with a shorter one customers with few calls are not known.
const HALF_LIFE: Duration = Duration::from_millis(1500);

/// Count of calls from which on a customer is held to its own share at the callers' nodes. Customers with
/// fewer calls share as one, so that none is refused for a few calls that arrive close together.
const KNOWN_MIN_COUNT: f64 = 4.0;

/// Waiting calls per slot from which on a call of a customer above its share no longer waits.
const ABOVE_SHARE_WAITING_RATIO: f64 = 0.5;

/// Largest number of customers that are counted. A further one replaces the one with the fewest calls.
const CUSTOMER_MAX_COUNT: usize = 128;

/// Count of calls below which a customer is no longer counted.
const COUNT_MIN: f64 = 0.01;

/// Unit at which all counts are scaled back, so that they don't overflow.
const UNIT_MAX: f64 = 1e12;

/// Smallest weight of a customer. Weights come from the operator.
const WEIGHT_MIN: f64 = 1e-6;

/// Share of the calls served from which on there is room for all.
const SERVED_RATIO_MAX: f64 = 0.999;

/// Returns the rank in a queue of a call of `rank`: calls of customers above their share come after the other
/// ones of their rank.
pub fn queue_rank(rank: u32, is_above_share: bool) -> u32 {
    rank.saturating_mul(2)
        .saturating_add(u32::from(is_above_share))
}

/// Returns whether a call of a customer above its share may wait for a slot. Behind more calls it would be
/// overtaken by those of others until it is refused late.
pub fn may_wait_above_share(waiting_count: usize, slot_count: u32) -> bool {
    (waiting_count as f64) < f64::from(slot_count) * ABOVE_SHARE_WAITING_RATIO
}

/// Customer of a call, with its weight among the others.
#[derive(Clone, Copy, Debug)]
pub struct ShareHolder<'a> {
    /// Name of the customer.
    pub name: &'a str,
    /// Weight by which customers share what can be served.
    pub weight: f64,
}

/// Calls of one customer, in the unit of [`Shares::unit`].
#[derive(Clone, Copy, Debug)]
struct Usage {
    /// Hash of the customer's name.
    code: u64,
    weight: f64,
    asked_count: f64,
    served_count: f64,
}

/// Counts of the calls of each customer at one service and rank.
#[derive(Clone, Debug)]
pub struct Shares {
    usages: Vec<Usage>,
    /// Time at which the unit of the counts is one call. The unit doubles each half-life, so that no count
    /// has to be changed as time passes.
    unit_at: Instant,
}

impl Shares {
    /// Creates shares without calls.
    pub fn new(now: Instant) -> Self {
        Self {
            usages: Vec::new(),
            unit_at: now,
        }
    }

    /// Records a call of `holder`, and whether it was served.
    pub fn record(&mut self, holder: ShareHolder<'_>, served: bool, now: Instant) {
        let unit = self.rescale(now);
        let code = stable_hash(holder.name);
        let index = match self.usages.iter().position(|usage| usage.code == code) {
            Some(index) => index,
            None => self.insert(code, unit),
        };
        let usage = &mut self.usages[index];
        usage.weight = holder.weight.max(WEIGHT_MIN);
        usage.asked_count += unit;
        if served {
            usage.served_count += unit;
        }
    }

    /// Returns the share of the calls of `holder` to refuse, so that about `refused_ratio` of the calls of
    /// all customers are refused, and first those above their share.
    pub fn refused_ratio(&self, holder: ShareHolder<'_>, refused_ratio: f64, now: Instant) -> f64 {
        if refused_ratio <= 0.0 {
            return 0.0;
        }
        let unit = self.unit(now);
        let is_known = |usage: &&Usage| usage.asked_count >= KNOWN_MIN_COUNT * unit;
        let mut others = Claim::default();
        for usage in &self.usages {
            if is_known(&usage) || usage.asked_count < COUNT_MIN * unit {
                continue;
            }
            others.weight += usage.weight;
            others.count += usage.asked_count;
        }
        let claims = || {
            let known = self.usages.iter().filter(is_known).map(Usage::claim);
            known.chain([others])
        };
        let asked_count: f64 = claims().map(|claim| claim.count).sum();
        let level = fill_level(claims, asked_count * (1.0 - refused_ratio));
        let own = self.find(holder).filter(is_known).map(Usage::claim);
        own.unwrap_or(others).excess_ratio(level)
    }

    /// Returns whether `holder` was served its share, while not all calls can be served.
    pub fn is_above(&self, holder: ShareHolder<'_>, now: Instant) -> bool {
        let Some(own) = self.find(holder) else {
            return false;
        };
        let (mut asked_count, mut served_count) = (0.0, 0.0);
        for usage in &self.usages {
            asked_count += usage.asked_count;
            served_count += usage.served_count;
        }
        if served_count >= SERVED_RATIO_MAX * asked_count || asked_count < self.unit(now) {
            return false;
        }
        let level = fill_level(|| self.usages.iter().map(Usage::claim), served_count);
        own.served_count >= own.weight * level
    }

    /// Returns the number of customers that are counted.
    pub fn customer_count(&self) -> usize {
        self.usages.len()
    }

    fn find(&self, holder: ShareHolder<'_>) -> Option<&Usage> {
        let code = stable_hash(holder.name);
        self.usages.iter().find(|usage| usage.code == code)
    }

    /// Adds a customer without calls and returns its index.
    fn insert(&mut self, code: u64, unit: f64) -> usize {
        self.usages
            .retain(|usage| usage.asked_count >= COUNT_MIN * unit);
        if self.usages.len() >= CUSTOMER_MAX_COUNT {
            let mut least = 0;
            for (index, usage) in self.usages.iter().enumerate() {
                if usage.asked_count < self.usages[least].asked_count {
                    least = index;
                }
            }
            self.usages.swap_remove(least);
        }
        self.usages.push(Usage {
            code,
            weight: WEIGHT_MIN,
            asked_count: 0.0,
            served_count: 0.0,
        });
        self.usages.len() - 1
    }

    /// Returns what one call counts now.
    fn unit(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.unit_at);
        2.0_f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64())
    }

    /// Returns what one call counts now. Scales the counts back first if that is too much.
    fn rescale(&mut self, now: Instant) -> f64 {
        let unit = self.unit(now);
        if unit < UNIT_MAX {
            return unit;
        }
        for usage in &mut self.usages {
            usage.asked_count /= unit;
            usage.served_count /= unit;
        }
        self.unit_at = now;
        1.0
    }
}

impl Usage {
    fn claim(&self) -> Claim {
        Claim {
            weight: self.weight,
            count: self.asked_count,
        }
    }
}

/// Calls that a customer, or several as one, asks for.
#[derive(Clone, Copy, Debug, Default)]
struct Claim {
    weight: f64,
    count: f64,
}

impl Claim {
    /// Returns the share of the calls that are above `level`, in calls per unit of weight.
    fn excess_ratio(self, level: f64) -> f64 {
        if self.count <= 0.0 {
            return 0.0;
        }
        (1.0 - self.weight * level / self.count).max(0.0)
    }
}

/// Returns the level up to which each claim is met, in calls per unit of weight, so that `capacity_count`
/// calls are met in total. It is infinite if all claims can be met.
fn fill_level<I>(claims: impl Fn() -> I, capacity_count: f64) -> f64
where
    I: Iterator<Item = Claim>,
{
    let mut level = 0.0;
    // Each round meets at least one claim more in full, or is the last one.
    for _ in 0..=CUSTOMER_MAX_COUNT {
        let mut left_count = capacity_count;
        let mut open_weight = 0.0;
        for claim in claims() {
            if claim.count <= claim.weight * level {
                left_count -= claim.count;
            } else {
                open_weight += claim.weight;
            }
        }
        if open_weight <= 0.0 {
            return f64::INFINITY;
        }
        let next = left_count / open_weight;
        if next <= level {
            break;
        }
        level = next;
    }
    level
}
