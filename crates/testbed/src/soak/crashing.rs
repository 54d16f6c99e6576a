//! Requests that crash the back ends which run them and come again at other hosts.

use std::time::{
    Duration,
    Instant, //
};

use crate::site::backend::HANGING_PREFIX;
use crate::site::crash::{
    CrashRule,
    Crashes, //
};
use crate::site::wire::WireState;

use super::{
    RandomSequence,
    Soak,
    HOST_COUNT, //
};

/// Number of arrivals of one such request.
const ARRIVAL_COUNT: u64 = 14;

/// Time after the third crash from which on arrivals at back ends count.
const STABILITY_WINDOW: Duration = Duration::from_secs(3);

/// Arrivals at back ends that are allowed from then on.
const LATE_MAX_COUNT: usize = 3;

/// A request that crashed back ends, and when.
pub(super) struct CrashingRequest {
    path: String,
    crashed_at: Vec<Instant>,
}

impl Soak {
    /// Sends one request again and again at hosts that are drawn, and lets it crash the back ends that
    /// run it: sooner or later than its deadline, with or without a close.
    pub(super) async fn send_crashing_request(&self, seed: u64) {
        let mut random = RandomSequence(seed);
        let path = format!("{HANGING_PREFIX}-{seed:x}");
        let ending = [WireState::Closed, WireState::Silent, WireState::Reset];
        let rule = CrashRule {
            path_prefix: path.clone(),
            origin: None,
            after: Duration::from_millis(random.below(400)),
            ends_as: ending[random.below(3) as usize],
            down_for: Duration::from_millis(40 + random.below(1_500)),
        };
        let budget = Duration::from_millis(60 + random.below(700));
        let crashes = Crashes::start(&self.site.borrow(), &rule);
        for _ in 0..ARRIVAL_COUNT {
            let index = random.below(HOST_COUNT as u64) as usize;
            let caller = self.caller(index);
            let result = caller.call_alike("GET", &path, budget).await;
            self.results.borrow_mut().push((index, false, result));
            tokio::time::sleep(Duration::from_millis(random.below(900))).await;
        }
        let crashed_at = crashes.stop().await;
        let request = CrashingRequest { path, crashed_at };
        self.crashing_requests.borrow_mut().push(request);
    }

    pub(super) fn check_crashing_requests(&self) {
        for request in self.crashing_requests.borrow().iter() {
            let Some(third) = request.crashed_at.get(2) else {
                continue;
            };
            let mut late_count = 0;
            for host in &self.site.borrow().hosts {
                for run in host.backend.runs() {
                    let is_late = run.started_at > *third + STABILITY_WINDOW;
                    let is_same = run.request_line.split(' ').nth(1) == Some(&request.path);
                    late_count += usize::from(is_same && is_late);
                }
            }
            if late_count > LATE_MAX_COUNT {
                self.record_violation(format!(
                    "{} reached back ends {late_count} times more, {} ended in all",
                    request.path,
                    request.crashed_at.len()
                ));
            }
        }
    }
}
