//! Decision on a request by the answer of a coordinator or by the node's own share.

use std::time::{
    Duration,
    Instant, //
};

use figway_types::FastMap;

use crate::local_bucket::{
    LocalBucket,
    Share, //
};
use crate::message::LimitedCustomer;
use crate::report_feed::Totals;

/// Shortest and longest time to come back that a node states by its own share.
const LOCAL_RETURN_MS: (u64, u64) = (700, 5_000);

/// Who limits a customer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitSource {
    /// A coordinator, which had this ratio of the requests admitted.
    Coordinator(f64),
    /// The node itself by its share, since it has no valid answer of a coordinator.
    OwnShare,
}

/// What is left of a customer's limit, as the node that its request would enter at knows it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Standing {
    /// Who limits the customer, with the ratio of 1 if all its requests are admitted.
    pub source: LimitSource,
    /// Tokens of the node's own share; negative if it has admitted more.
    pub own_share_count: f64,
}

/// What a coordinator says about a customer above its limit.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Verdict {
    /// Ratio of its requests that are admitted.
    pub(crate) ratio: f64,
    /// Shortest time after which a refused request may come back.
    wait: Duration,
}

impl From<&LimitedCustomer> for Verdict {
    fn from(limited: &LimitedCustomer) -> Self {
        Self {
            ratio: f64::from(limited.1.min(1_000)) / 1_000.0,
            wait: Duration::from_millis(u64::from(limited.2.min(60_000))),
        }
    }
}

/// Last answer of a coordinator.
#[derive(Clone, Debug, Default)]
pub(crate) struct Answer {
    pub(crate) valid_until: Option<Instant>,
    /// Whether the coordinator has failed to answer since.
    pub(crate) is_stale: bool,
    pub(crate) limited: FastMap<u32, Verdict>,
}

/// Requests of one customer at this node.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Usage {
    pub(crate) code: u32,
    pub(crate) totals: Totals,
    /// Part of a request that the ratio has yielded so far.
    pub(crate) credit: f64,
    pub(crate) bucket: LocalBucket,
}

/// Refusal of a request.
pub(crate) struct Refusal {
    /// Shortest time after which the request may come back.
    pub(crate) wait: Duration,
    pub(crate) source: LimitSource,
}

impl Usage {
    /// Returns why the answer of a coordinator refuses the next request, if it does.
    pub(crate) fn refusal_by_answer(&mut self, answer: &Answer) -> Option<Refusal> {
        let verdict = answer.limited.get(&self.code)?;
        self.credit += verdict.ratio;
        if self.credit >= 1.0 {
            self.credit -= 1.0;
            return None;
        }
        Some(Refusal {
            wait: verdict.wait,
            source: LimitSource::Coordinator(verdict.ratio),
        })
    }

    /// Returns why the node's own share refuses the next request, if it does.
    pub(crate) fn refusal_by_share(&self, share: &Share) -> Option<Refusal> {
        if self.bucket.has_token() {
            return None;
        }
        let (min_ms, max_ms) = LOCAL_RETURN_MS;
        let (min, max) = (Duration::from_millis(min_ms), Duration::from_millis(max_ms));
        Some(Refusal {
            wait: self.bucket.wait(share).clamp(min, max),
            source: LimitSource::OwnShare,
        })
    }
}
