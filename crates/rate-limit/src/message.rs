//! Reports of nodes and answers of coordinators. Field names are short, since the messages are frequent.

use serde::{
    Deserialize,
    Serialize, //
};

/// Requests in a report from which on its node is busy.
const BUSY_REQUEST_COUNT: u64 = 3;

/// Returns the code by which messages name a customer.
///
/// Two of 100 customers have the same code with a probability of 1e-6. They would share their limits.
pub fn customer_code(customer: &str) -> u32 {
    (figway_types::stable_hash(customer) >> 32) as u32
}

/// Report of a node to a coordinator, which knows the node by the connection.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct UsageReport {
    /// Random number of the node's process.
    #[serde(rename = "e")]
    pub epoch: u32,
    /// Number of the report in its epoch. A repeated report keeps its number.
    #[serde(rename = "s")]
    pub sequence: u64,
    /// Time within which the node reports again, in milliseconds.
    #[serde(rename = "p")]
    pub period_ms: u64,
    /// Customers with one request since the report before, which was admitted. Most are such. Their codes
    /// are in order, each as the difference to the one before.
    #[serde(rename = "o", default, skip_serializing_if = "Vec::is_empty")]
    pub single: Vec<u32>,
    /// Counts of the other customers since the report before.
    #[serde(rename = "c", default, skip_serializing_if = "Vec::is_empty")]
    pub counts: Vec<UsageCount>,
}

impl UsageReport {
    /// Sets the counts.
    pub fn set_counts(&mut self, counts: &[UsageCount]) {
        self.single.clear();
        self.counts.clear();
        for count in counts {
            match *count {
                UsageCount(code, 1, 1) => self.single.push(code),
                other => self.counts.push(other),
            }
        }
        self.single.sort_unstable();
        let mut before = 0;
        for code in &mut self.single {
            (before, *code) = (*code, *code - before);
        }
    }

    /// Returns whether the node has received several requests since the report before. It then reports
    /// again within the stated period, also without requests.
    pub fn is_busy(&self) -> bool {
        let arrival_count: u64 = self.all_counts().map(|count| u64::from(count.1)).sum();
        arrival_count >= BUSY_REQUEST_COUNT
    }

    /// Returns all counts.
    pub fn all_counts(&self) -> impl Iterator<Item = UsageCount> + '_ {
        let single = self.single.iter().scan(0_u32, |code, difference| {
            *code = code.wrapping_add(*difference);
            Some(UsageCount(*code, 1, 1))
        });
        single.chain(self.counts.iter().copied())
    }
}

/// Code of a customer, the requests that arrived, and those admitted less those given back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageCount(pub u32, pub u32, pub i32);

/// Answer of a coordinator.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct UsageAnswer {
    /// Whether the coordinator has received reports for long enough to decide.
    #[serde(rename = "r", default)]
    pub ready: bool,
    /// Whether a customer may be about to exceed its limit, so that nodes report more often for a moment.
    #[serde(rename = "w", default, skip_serializing_if = "std::ops::Not::not")]
    pub watched: bool,
    /// Customers above their limit.
    #[serde(rename = "l", default, skip_serializing_if = "Vec::is_empty")]
    pub limited: Vec<LimitedCustomer>,
}

/// Code of a customer above its limit, the ratio of its requests to admit in thousandths, and the
/// shortest time to come back after in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitedCustomer(pub u32, pub u32, pub u32);
