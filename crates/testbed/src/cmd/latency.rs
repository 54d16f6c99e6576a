//! `testbed latency`: measures the latency that one and two nodes add to a call, compared with a
//! direct call to the target.

use std::path::Path;
use std::time::{
    Duration,
    Instant, //
};

use figway_testbed::deployment::AL_RAMLA;
use figway_testbed::fleet::{
    Fleet,
    HostSpec, //
};
use figway_testbed::http::{
    client,
    send,
    Request, //
};
use figway_testbed::process::Usage;
use futures::future::join_all;
use hdrhistogram::Histogram;
use ntex::client::Client;

use crate::cmd::{
    Latency,
    Run, //
};

/// Pause of each connection between two calls.
const CALL_PAUSE: Duration = Duration::from_millis(20);

/// Duration of one phase; phases of the three ways alternate.
const PHASE_DURATION: Duration = Duration::from_secs(1);

/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Numbers of connections that are measured, one after the other.
const CONNECTION_COUNTS: [usize; 3] = [4, 16, 110];

impl Run for Latency {
    async fn run(&self) -> anyhow::Result<()> {
        let level = self.level.as_deref().unwrap_or("info");
        let fleet = start_fleet(&self.profiles, level).await?;
        let target_address = fleet.hosts[1].target.address("target").to_owned();
        let entry_node = fleet.hosts[0].call_address().to_owned();
        let target_node = fleet.hosts[1].call_address().to_owned();
        println!("connections way p50_us p99_us calls added_p50_us added_p99_us");
        for connection_count in CONNECTION_COUNTS {
            let urls = [
                ("direct", format!("http://{target_address}/stock")),
                ("one-node", format!("http://{target_node}/stock")),
                ("two-nodes", format!("http://{entry_node}/stock")),
            ];
            let mut histograms = [new_histogram(), new_histogram(), new_histogram()];
            let (mut call_count, mut cpu_us, mut wake_count) = (0, 0, 0);
            for _ in 0..self.rounds.unwrap_or(8) {
                for (index, (_, url)) in urls.iter().enumerate() {
                    let before = total_usage(&fleet)?;
                    let calls_before = histograms[index].len();
                    run_phase(url, connection_count, &mut histograms[index]).await?;
                    let after = total_usage(&fleet)?;
                    if index == 2 {
                        call_count += histograms[index].len() - calls_before;
                        cpu_us += after.cpu_us - before.cpu_us;
                        wake_count += after.wake_count - before.wake_count;
                    }
                }
            }
            println!(
                "{connection_count} two-nodes: both nodes use {} us of processor and {:.1} wake-ups a call",
                cpu_us / call_count.max(1),
                wake_count as f64 / call_count.max(1) as f64,
            );
            let direct = quantiles(&histograms[0]);
            for (index, (way, _)) in urls.iter().enumerate() {
                let (p50, p99) = quantiles(&histograms[index]);
                println!(
                    "{connection_count} {way} {p50} {p99} {} {} {}",
                    histograms[index].len(),
                    p50 as i64 - direct.0 as i64,
                    p99 as i64 - direct.1 as i64,
                );
            }
        }
        Ok(())
    }
}

async fn start_fleet(profiles: &Path, level: &str) -> anyhow::Result<Fleet> {
    let mut fleet = Fleet::start("latency", AL_RAMLA.log_region).await?;
    fleet.quiet = level == "warn";
    for (name, zone, service) in [
        ("muscat-a-1", 0, "orderbook"),
        ("muscat-b-1", 1, "stockdesk"),
    ] {
        fleet.add_host(&HostSpec {
            name,
            zone: AL_RAMLA.zones[zone],
            service,
            slot_count: 200,
            labels: &[],
            control_ip: "127.0.0.1",
            extra_settings: "",
        })?;
    }
    fleet.wait_live(2, Duration::from_secs(10)).await?;
    let steady = profiles.join("steady.yaml");
    fleet
        .figway_ok(&["publish", "steady", &steady.to_string_lossy()])
        .await?;
    fleet
        .figway_ok(&["switch", "stockdesk", "steady", "--wait"])
        .await?;
    Ok(fleet)
}

/// Returns the resource usage of both nodes since their start, summed up.
fn total_usage(fleet: &Fleet) -> anyhow::Result<Usage> {
    let mut sum = Usage::default();
    for host in &fleet.hosts {
        let usage = Usage::of(&host.node)?;
        sum.cpu_us += usage.cpu_us;
        sum.wake_count += usage.wake_count;
        sum.resident_bytes += usage.resident_bytes;
    }
    Ok(sum)
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 10_000_000, 3).expect("the bounds are valid")
}

fn quantiles(histogram: &Histogram<u64>) -> (u64, u64) {
    (
        histogram.value_at_quantile(0.5),
        histogram.value_at_quantile(0.99),
    )
}

async fn run_phase(
    url: &str,
    connection_count: usize,
    histogram: &mut Histogram<u64>,
) -> anyhow::Result<()> {
    let http = client().await?;
    let ends_at = Instant::now() + PHASE_DURATION;
    let connections = (0..connection_count).map(|index| {
        // Spreads the starts of the connections over one pause, so that calls don't arrive in
        // bursts.
        let starts_after = CALL_PAUSE.mul_f64(index as f64 / connection_count as f64);
        run_connection(&http, url, starts_after, ends_at)
    });
    for latencies in join_all(connections).await {
        // Leaves out the first two calls of each connection, since they open connections.
        for latency_us in latencies?.into_iter().skip(2) {
            histogram.record(latency_us)?;
        }
    }
    Ok(())
}

async fn run_connection(
    http: &Client,
    url: &str,
    starts_after: Duration,
    ends_at: Instant,
) -> anyhow::Result<Vec<u64>> {
    let mut latencies = Vec::new();
    tokio::time::sleep(starts_after).await;
    while Instant::now() < ends_at {
        let request = Request {
            method: "GET",
            url,
            headers: &[("x-figway-service", "stockdesk")],
            body: "",
        };
        let started_at = Instant::now();
        let reply = send(http, request, CALL_TIMEOUT).await?;
        anyhow::ensure!(
            reply.status == 200,
            "status {}: {}",
            reply.status,
            reply.text()
        );
        latencies.push(started_at.elapsed().as_micros() as u64);
        tokio::time::sleep(CALL_PAUSE).await;
    }
    Ok(latencies)
}
