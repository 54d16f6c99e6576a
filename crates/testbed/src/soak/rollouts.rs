//! Rollout of a new version, good or bad, while nodes are killed and the store is down.

use std::rc::Rc;
use std::time::{
    Duration,
    Instant, //
};

use crate::site::{
    Site,
    READS, //
};

use super::fault::Fault;
use super::{
    RandomSequence,
    Soak,
    HOST_COUNT, //
};

/// Version that is rolled out.
const NEW_VERSION: &str = "v2";

/// Duration of the rollout in its order.
const DURATION: Duration = Duration::from_secs(9);

/// Time after the deadline for which the end of the rollout is awaited.
const LATE_MAX: Duration = Duration::from_secs(3);

const POLL_PERIOD: Duration = Duration::from_millis(10);

/// Delay of a bad version that is slow, several times the usual run time.
const BAD_SLOW_MS: u64 = 100;

/// Share and number of requests that a bad version may get, as `expose_share` and `expose_slack` in the
/// settings of nodes.
const EXPOSE_SHARE: f64 = 0.1;
const EXPOSE_SLACK: f64 = 50.0;

/// Time within which a bad version must be rolled back, from its [`BAD_ANSWER_COUNT`]th bad answer on.
const ROLLBACK_MAX: Duration = Duration::from_secs(5);

/// Number of bad answers after which a version must be rolled back.
const BAD_ANSWER_COUNT: usize = 50;

/// Behaviour of the new version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Quality {
    Good,
    Failing,
    Slow,
}

/// Rollout that was ordered.
pub(super) struct Rollout {
    quality: Quality,
    ordered_at: Instant,
    /// When the version began to be bad, if it is.
    bad_from: Option<Instant>,
    /// When the store first held the end of the rollout, and its state.
    end: Option<(Instant, String)>,
    states: Vec<String>,
}

/// Adds hosts for the new version, whose back ends do not announce themselves yet.
pub(super) async fn add_new_hosts(site: &mut Site) -> anyhow::Result<()> {
    // Services alternate with each host.
    for version in [NEW_VERSION, "v1", NEW_VERSION] {
        site.add_host_of(version).await?;
        let host = &site.hosts[site.hosts.len() - 1];
        host.backend.heartbeat_paused.set(version == NEW_VERSION);
    }
    Ok(())
}

impl Soak {
    /// Orders a rollout and waits for its end, while a node is killed or the store is down at a time
    /// that is drawn.
    pub(super) async fn roll_out(self: Rc<Self>, seed: u64) {
        let mut random = RandomSequence(seed);
        let qualities = [Quality::Good, Quality::Failing, Quality::Slow];
        let quality = qualities[random.below(3) as usize];
        let fault = [Fault::KillNode, Fault::StoreDown][random.below(2) as usize];
        let index = random.below(HOST_COUNT as u64) as usize;
        let fault_after = Duration::from_millis(random.below(DURATION.as_millis() as u64));
        let bad_after = Duration::from_millis(random.below(DURATION.as_millis() as u64 / 2));
        tokio::time::sleep(Duration::from_millis(random.below(1_500))).await;
        self.report.borrow_mut().faults.push(format!(
            "{quality:?} version after {} ms, {fault:?} host {index} after {} ms",
            bad_after.as_millis(),
            fault_after.as_millis()
        ));
        let ordered_at = self.order_rollout();
        let inject = async {
            tokio::time::sleep(fault_after).await;
            let duration = Duration::from_millis(200 + random.below(1_000));
            self.inject_fault(fault, index, duration, 0).await;
        };
        let turn_bad = async {
            if quality == Quality::Good {
                return None;
            }
            tokio::time::sleep(bad_after).await;
            for host in self.site.borrow().hosts.iter().skip(HOST_COUNT).step_by(2) {
                host.backend.fails.set(quality == Quality::Failing);
                let slow_ms = u64::from(quality == Quality::Slow) * BAD_SLOW_MS;
                host.backend.slow_ms.set(slow_ms);
            }
            Some(Instant::now())
        };
        let ((), bad_from, end) = tokio::join!(inject, turn_bad, self.rollout_end(ordered_at));
        let states = self.site.borrow().store.rollout_states(READS);
        *self.rollout.borrow_mut() = Some(Rollout {
            quality,
            ordered_at,
            bad_from,
            end,
            states,
        });
    }

    fn order_rollout(&self) -> Instant {
        let site = self.site.borrow();
        let duration = format!("{}s", DURATION.as_secs());
        site.store.order_rollout(READS, NEW_VERSION, &duration);
        for host in site.hosts.iter().skip(HOST_COUNT).step_by(2) {
            host.backend.heartbeat_paused.set(false);
        }
        Instant::now()
    }

    /// Waits for the end of the rollout in the store, and for its deadline.
    async fn rollout_end(&self, ordered_at: Instant) -> Option<(Instant, String)> {
        let mut end = None;
        while ordered_at.elapsed() < DURATION
            || (end.is_none() && ordered_at.elapsed() < DURATION + LATE_MAX)
        {
            tokio::time::sleep(POLL_PERIOD).await;
            let states = self.site.borrow().store.rollout_states(READS);
            let Some(last) = states.last() else {
                continue;
            };
            if end.is_none() && !last.ends_with("running") {
                end = Some((Instant::now(), last.clone()));
            }
        }
        end
    }

    /// Checks the end of the rollout, and what a bad version got.
    pub(super) fn check_rollout(&self) {
        let rollout = self.rollout.borrow();
        let Some(rollout) = &*rollout else {
            return;
        };
        if let Some(bad_from) = rollout.bad_from {
            self.check_exposure(rollout, bad_from);
        }
        let deadline = rollout.ordered_at + DURATION;
        for (copied_at, restored_at) in self.store_restores.borrow().iter() {
            if *copied_at < deadline + LATE_MAX && *restored_at > rollout.ordered_at {
                // The order or its end was lost with the store's records.
                return;
            }
        }
        // The end cannot be recorded while the store is down.
        let mut end_max = deadline;
        for (began_at, ended_at) in self.store_outages.borrow().iter() {
            if *began_at < deadline && *ended_at > rollout.ordered_at {
                end_max += *ended_at - *began_at;
            }
        }
        let expected = match rollout.quality {
            Quality::Good => format!("{NEW_VERSION} completed"),
            Quality::Failing | Quality::Slow => format!("{NEW_VERSION} rolled_back"),
        };
        let is_in_time = match &rollout.end {
            Some((ended_at, state)) => *state == expected && *ended_at <= end_max,
            None => false,
        };
        let is_recorded_once = rollout.states == [format!("{NEW_VERSION} running"), expected];
        if !is_in_time || !is_recorded_once {
            let ended_after = rollout.end.as_ref().map(|(at, _)| *at - rollout.ordered_at);
            self.record_violation(format!(
                "rollout of a version that is {:?} ended after {ended_after:?} with {:?}",
                rollout.quality, rollout.states
            ));
        }
    }

    fn check_exposure(&self, rollout: &Rollout, bad_from: Instant) {
        let deadline = rollout.ordered_at + DURATION;
        let (mut new_starts, mut all_count) = (Vec::new(), 0_u32);
        for (index, host) in self.site.borrow().hosts.iter().enumerate().step_by(2) {
            for run in host.backend.runs() {
                if run.started_at < rollout.ordered_at || run.started_at > deadline {
                    continue;
                }
                all_count += 1;
                if index >= HOST_COUNT {
                    new_starts.push(run.started_at);
                }
            }
        }
        new_starts.sort();
        let permitted = EXPOSE_SHARE * f64::from(all_count) + EXPOSE_SLACK;
        if new_starts.len() as f64 > permitted {
            self.record_violation(format!(
                "a bad version got {} of {all_count} requests, permitted {permitted}",
                new_starts.len()
            ));
        }
        let bad_starts = &new_starts[new_starts.partition_point(|at| *at < bad_from)..];
        let Some(last_bad) = bad_starts.get(BAD_ANSWER_COUNT - 1) else {
            return;
        };
        let late_count = bad_starts
            .iter()
            .filter(|at| **at > *last_bad + ROLLBACK_MAX)
            .count();
        if late_count > 0 {
            self.record_violation(format!(
                "a bad version got {late_count} requests after its rollback was due"
            ));
        }
    }
}
