//! Helpers of the tests of requests that crash the back ends which run them.

use std::time::Duration;

use figway_testbed::site::crash::{
    CrashRule,
    Crashes, //
};
use figway_testbed::site::wire::WireState;
use figway_testbed::site::Site;

use super::{
    wait_site_joined,
    wait_site_ready, //
};

/// Hosts of a site. Those with an even index run reads, those with an odd one call them.
pub(crate) const HOST_COUNT: usize = 8;

/// Path of the request that crashes back ends.
pub(crate) const CRASHING: &str = "/reads/crashing";

/// Arrivals of the crashing request, in turn at the hosts that call reads.
pub(crate) const ARRIVAL_COUNT: usize = 9;

/// Back ends that one request may crash.
pub(crate) const CRASH_MAX_COUNT: usize = 3;

/// How a caller sends the crashing request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Arrivals {
    /// Deadline of each request.
    pub(crate) budget: Duration,
    /// Time after which the caller leaves, if it does not wait.
    pub(crate) leaves_after: Option<Duration>,
    /// Pause between two arrivals.
    pub(crate) pause: Duration,
}

pub(crate) const PROMPT_ARRIVALS: Arrivals = Arrivals {
    budget: Duration::from_millis(800),
    leaves_after: None,
    pause: Duration::from_millis(1_200),
};

/// Returns the rule by which a back end ends at once, and is back after a while.
pub(crate) fn prompt_crash() -> CrashRule {
    CrashRule {
        path_prefix: CRASHING.to_owned(),
        origin: None,
        after: Duration::ZERO,
        ends_as: WireState::Closed,
        down_for: Duration::from_millis(700),
    }
}

/// Starts a site whose nodes know each other and serve.
pub(crate) async fn start_site(name: &str, host_count: usize) -> Site {
    let site = Site::start(name, host_count).await.unwrap();
    wait_site_ready(&site).await;
    wait_site_joined(&site).await;
    site
}

/// Lets the crashing request arrive at one host after the other.
pub(crate) async fn send_crashing(site: &Site, arrivals: Arrivals) {
    for number in 0..ARRIVAL_COUNT {
        let caller = site.caller((2 * number + 1) % HOST_COUNT);
        let call = caller.call_alike("GET", CRASHING, arrivals.budget);
        match arrivals.leaves_after {
            // The request is cancelled, which closes its connection.
            Some(leaves_after) => drop(tokio::time::timeout(leaves_after, call).await),
            None => drop(call.await),
        }
        tokio::time::sleep(arrivals.pause).await;
    }
}

pub(crate) fn assert_few_crashes(crashes: &Crashes) {
    let crash_count = crashes.times().len();
    assert!(crash_count > 0, "nothing crashed");
    assert!(
        crash_count <= CRASH_MAX_COUNT,
        "{crash_count} back ends crashed in {ARRIVAL_COUNT} arrivals"
    );
}
