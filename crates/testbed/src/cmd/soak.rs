//! `testbed soak`: runs the randomized soak test for one seed after the other.

use std::time::Duration;

use anyhow::ensure;

use figway_testbed::soak::{
    soak,
    Scenarios, //
};

use crate::cmd::{
    Run,
    Soak, //
};

impl Run for Soak {
    async fn run(&self) -> anyhow::Result<()> {
        let first_seed = self
            .seed
            .unwrap_or_else(|| figway_types::entropy() % 1_000_000);
        let duration = Duration::from_secs(self.seconds.unwrap_or(20));
        let scenarios = Scenarios {
            customers: self.customers,
            rollouts: self.rollouts,
            kills_all: self.kill_all,
        };
        let mut failed = false;
        for seed in first_seed..first_seed + self.count.unwrap_or(1) {
            let report = soak(seed, duration, scenarios).await?;
            println!(
                "seed {seed}: {} calls, {} served, {} faults, {} promises broken",
                report.call_count,
                report.served_count,
                report.faults.len(),
                report.violations.len()
            );
            for violation in report.violations.iter().take(10) {
                println!("  {violation}");
            }
            if !report.violations.is_empty() {
                failed = true;
                println!("  faults: {}", report.faults.join("; "));
            }
        }
        ensure!(!failed, "guarantees were violated");
        Ok(())
    }
}
