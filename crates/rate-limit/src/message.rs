//! Reports of nodes and answers of coordinators. Field names are short, since the messages are frequent.

use serde::{
    Deserialize,
    Serialize, //
};

/// Number of bits of a customer's code. Two of 1,000 customers have the same one with a probability of
/// 5e-7.
const CODE_BITS: u32 = 40;

/// Returns the code by which messages name a customer.
pub fn customer_code(customer: &str) -> u64 {
    figway_types::stable_hash(customer) >> (u64::BITS - CODE_BITS)
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
    /// Counts since the report before.
    #[serde(rename = "c", default, skip_serializing_if = "Vec::is_empty")]
    pub counts: Vec<UsageCount>,
}

/// Code of a customer, the requests that arrived, and those admitted less those given back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageCount(pub u64, pub u32, pub i32);

/// Answer of a coordinator.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct UsageAnswer {
    /// Whether the coordinator has received reports for long enough to decide.
    #[serde(rename = "r", default)]
    pub ready: bool,
    /// Customers above their limit.
    #[serde(rename = "l", default, skip_serializing_if = "Vec::is_empty")]
    pub limited: Vec<LimitedCustomer>,
}

/// Code of a customer above its limit, the ratio of its requests to admit in thousandths, and the
/// shortest time to come back after in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitedCustomer(pub u64, pub u32, pub u32);
