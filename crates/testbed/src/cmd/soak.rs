//! `testbed soak`: plays seeds one after the other.

use std::time::Duration;

use anyhow::ensure;

use figway_testbed::soak::soak;

use crate::cmd::{
    Run,
    Soak, //
};

impl Run for Soak {
    async fn run(&self) -> anyhow::Result<()> {
        let first = self
            .seed
            .unwrap_or_else(|| figway_types::entropy() % 1_000_000);
        let span = Duration::from_secs(self.seconds.unwrap_or(20));
        let mut failed = false;
        for seed in first..first + self.count.unwrap_or(1) {
            let report = soak(seed, span).await?;
            println!(
                "seed {seed}: {} calls, {} served, {} faults, {} promises broken",
                report.call_count,
                report.served_count,
                report.faults.len(),
                report.violations.len()
            );
            for broken in report.violations.iter().take(10) {
                println!("  {broken}");
            }
            if !report.violations.is_empty() {
                failed = true;
                println!("  faults: {}", report.faults.join("; "));
            }
        }
        ensure!(!failed, "promises were broken");
        Ok(())
    }
}
