//! Checks of a soak's guarantees, from what callers and back ends observed.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use crate::site::{
    ORDERS,
    READS, //
};

use super::{
    Soak,
    HOST_COUNT, //
};

impl Soak {
    pub(super) async fn check_guarantees(&self) {
        self.check_calls();
        self.check_drains();
        self.check_notices();
        self.check_crashing_requests();
        self.check_memory();
        self.check_customers();
        self.check_rollout();
        self.check_configuration().await;
    }

    fn check_calls(&self) {
        let site = self.site.borrow();
        let mut run_counts: BTreeMap<String, usize> = BTreeMap::new();
        for (index, host) in site.hosts.iter().enumerate() {
            let service = if index % 2 == 0 { READS } else { ORDERS };
            for run in host.backend.runs() {
                if !run.request_line.contains(service) {
                    self.record_violation(format!(
                        "back end of {service} on host {index} ran {}",
                        run.request_line
                    ));
                }
                if run.origin != READS && run.origin != ORDERS {
                    self.record_violation(format!(
                        "request {} has the unknown origin {}",
                        run.id, run.origin
                    ));
                }
                *run_counts.entry(run.id).or_default() += 1;
            }
        }
        let mut report = self.report.borrow_mut();
        for (index, is_order, result) in self.results.borrow().iter() {
            report.call_count += 1;
            let run_count = run_counts.remove(&result.id).unwrap_or(0);
            let at = format!("request {} at host {index}", result.id);
            if *is_order && run_count > 1 {
                report
                    .violations
                    .push(format!("{at} ran {run_count} times"));
            }
            if matches!(result.status, 408 | 421 | 429 | 503) && *is_order && run_count > 0 {
                report.violations.push(format!(
                    "{at} ran although it was refused with {}",
                    result.status
                ));
            }
            if result.status == 200 {
                report.served_count += 1;
                if !result.sealed || run_count == 0 {
                    report.violations.push(format!(
                        "{at} was answered with 200, but without a run or a valid seal"
                    ));
                }
            }
            if (400..500).contains(&result.status) && !matches!(result.status, 408 | 421 | 429) {
                report
                    .violations
                    .push(format!("{at} was rejected with {}", result.status));
            }
        }
        for id in run_counts.into_keys() {
            report
                .violations
                .push(format!("request {id} ran, but no caller sent it"));
        }
    }

    fn check_drains(&self) {
        let site = self.site.borrow();
        for (index, generation, deadline) in self.drained_backends.borrow().iter() {
            for run in site.hosts[*index].backend.runs() {
                if run.generation == *generation && run.started_at > *deadline {
                    self.record_violation(format!(
                        "request {} reached the drained back end of host {index}",
                        run.id
                    ));
                }
            }
        }
    }

    /// Publishes one more configuration, and checks that it is in force on every node after 2 s.
    async fn check_configuration(&self) {
        self.config_version.set(self.config_version.get() + 1);
        let store = Rc::clone(&self.site.borrow().store);
        store.publish(&self.config(self.config_version.get(), "/moved/"));
        tokio::time::sleep(Duration::from_millis(2_000)).await;
        for index in 0..HOST_COUNT {
            let caller = self.caller(index);
            let (moved, old) = (
                caller.call("GET", "/moved/1").await,
                caller.call("GET", "/reads/1").await,
            );
            if moved.status != 200 || old.status != 404 {
                self.record_violation(format!(
                    "host {index} does not apply the newest configuration: \
                     status {} for the new path and {} for the old path",
                    moved.status, old.status
                ));
            }
        }
    }
}
