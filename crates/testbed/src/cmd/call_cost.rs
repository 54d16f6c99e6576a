//! `testbed call-cost`: measures the processor time and the wake-ups of both nodes for a call that
//! passes two nodes by the route table of the users' platform.

use std::time::{
    Duration,
    Instant, //
};

use figway_testbed::process::{
    Process,
    Usage, //
};
use figway_testbed::site::caller::Caller;
use figway_testbed::site::Site;
use futures::future::join_all;

use crate::cmd::{
    CallCost,
    Run, //
};

/// Pause of each connection between two calls.
const CALL_PAUSE: Duration = Duration::from_millis(20);

/// Time for the nodes to find each other and their targets.
const SETTLE_TIME: Duration = Duration::from_secs(4);

/// Numbers of connections that are measured, one after the other.
const CONNECTION_COUNTS: [usize; 3] = [4, 16, 110];

/// Path of the calls. Its route leads to the service of the second host only.
const PATH: &str = "/orders/call-cost";

impl Run for CallCost {
    async fn run(&self) -> anyhow::Result<()> {
        let site = Site::start("call-cost", 2).await?;
        tokio::time::sleep(SETTLE_TIME).await;
        let node_ids: Vec<String> = nodes(&site)
            .iter()
            .map(|node| node.id().to_string())
            .collect();
        let phase_duration = Duration::from_secs(self.seconds.unwrap_or(8));
        for connection_count in CONNECTION_COUNTS {
            let callers: Vec<Caller> = (0..connection_count).map(|_| site.caller(0)).collect();
            // Opens the connections, which are not measured.
            run_phase(&callers, Duration::from_secs(1)).await;
            println!(
                "connections={connection_count} nodes={}",
                node_ids.join(",")
            );
            let before = total_usage(&site)?;
            let (call_count, failed_count) = run_phase(&callers, phase_duration).await;
            let after = total_usage(&site)?;
            println!(
                "connections={connection_count} calls={call_count} failed={failed_count} \
                 cpu_us_a_call={} wake_ups_a_call={:.2}",
                (after.cpu_us - before.cpu_us) / call_count.max(1),
                (after.wake_count - before.wake_count) as f64 / call_count.max(1) as f64,
            );
        }
        Ok(())
    }
}

/// Returns the processes of the nodes.
fn nodes(site: &Site) -> Vec<&Process> {
    let mut nodes = Vec::new();
    for host in &site.hosts {
        nodes.extend(&host.node);
    }
    nodes
}

/// Returns the resource usage of all nodes since their start, summed up.
fn total_usage(site: &Site) -> anyhow::Result<Usage> {
    let mut sum = Usage::default();
    for node in nodes(site) {
        let usage = Usage::of(node)?;
        sum.cpu_us += usage.cpu_us;
        sum.wake_count += usage.wake_count;
    }
    Ok(sum)
}

/// Makes calls on one connection for each caller. Returns the number of calls and of those that
/// failed.
async fn run_phase(callers: &[Caller], duration: Duration) -> (u64, u64) {
    let ends_at = Instant::now() + duration;
    let connections = callers.iter().enumerate().map(|(index, caller)| {
        // Spreads the starts over one pause, so that calls don't arrive in bursts.
        let starts_after = CALL_PAUSE.mul_f64(index as f64 / callers.len() as f64);
        run_connection(caller, starts_after, ends_at)
    });
    let mut totals = (0, 0);
    for (call_count, failed_count) in join_all(connections).await {
        totals.0 += call_count;
        totals.1 += failed_count;
    }
    totals
}

async fn run_connection(caller: &Caller, starts_after: Duration, ends_at: Instant) -> (u64, u64) {
    let (mut call_count, mut failed_count) = (0, 0);
    tokio::time::sleep(starts_after).await;
    while Instant::now() < ends_at {
        let result = caller.call("GET", PATH).await;
        call_count += 1;
        failed_count += u64::from(result.status != 200);
        tokio::time::sleep(CALL_PAUSE).await;
    }
    (call_count, failed_count)
}
