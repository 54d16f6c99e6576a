//! `testbed convergence`: how fast a change is in force everywhere, and what control costs, by size.

use std::time::{
    Duration,
    Instant, //
};

use anyhow::Context as _;
use figway_log_client::{
    HttpLog,
    LogService as _,
    CHANGE_STREAM, //
};
use figway_profile::{
    Change,
    ChangeRecord, //
};
use figway_testbed::deployment::AL_RAMLA;
use figway_testbed::http::{
    client,
    send,
    Request, //
};
use figway_testbed::log_server::LogFaults;
use figway_testbed::mesh_farm::{
    Farm,
    FarmSpec, //
};
use figway_testbed::process::{
    cpu_time,
    Process,
    Programs, //
};
use figway_types::{
    ChangeId,
    Offset, //
};

use crate::cmd::{
    Convergence,
    Run, //
};

/// Services of the farm.
const SERVICE_COUNT: usize = 4;

/// Switches that are timed.
const SWITCH_COUNT: usize = 20;

/// How long the idle mesh is watched.
const IDLE: Duration = Duration::from_secs(10);

/// Longest wait for what must come about; the stated target is 20 s.
const WAIT: Duration = Duration::from_secs(20);

/// Body of the profiles; what it says does not matter here.
const PROFILE: &str = "kinds:\n  - {name: lookup, path_prefix: /}\n";

impl Run for Convergence {
    async fn run(&self) -> anyhow::Result<()> {
        println!(
            "nodes joined_ms idle_b_per_s_node idle_far_b_per_s idle_cpu_percent_node \
             switch_p50_ms switch_p99_ms switch_max_ms b_per_change_node far_b_per_change \
             outage_max_ms"
        );
        let node_count = self.nodes;
        let programs = Programs::find()?;
        let log_process = Process::start(&programs.testbed, &["log"], None)?;
        let log_url = format!("http://{}", log_process.address("log"));
        let farm = Farm::start(&FarmSpec {
            node_count,
            service_count: SERVICE_COUNT,
            log_url: log_url.clone(),
            zones: AL_RAMLA.zones.to_vec(),
        })?;
        let joined = farm.wait_joined(Duration::from_secs(120)).await?;
        eprintln!("{node_count} nodes joined after {} ms", joined.as_millis());
        tokio::time::sleep(Duration::from_secs(3)).await;
        let idle = idle_costs(&farm).await?;
        let mut writer = Writer::new(&log_url).await?;
        writer.take_up(&farm).await?;
        eprintln!("every service follows a profile");
        let mut times = Vec::new();
        let before = farm.control_bytes();
        for turn in 0..SWITCH_COUNT {
            let switched = writer.switch(&farm, turn).await?;
            if let Some(slowest) = switched.iter().max() {
                eprintln!("switch {turn}: in force after {} ms", slowest.as_millis());
            }
            times.extend(switched);
            tokio::time::sleep(Duration::from_millis(250)).await;
        }
        let after = farm.control_bytes();
        let busy_s = 0.25 * SWITCH_COUNT as f64;
        let outage_max = writer.switch_and_outage(&farm, &log_url).await?;
        times.sort_unstable();
        let at = |quantile: f64| {
            let index = ((times.len() - 1) as f64 * quantile) as usize;
            times[index].as_secs_f64() * 1e3
        };
        let nodes = node_count as f64;
        let per_change = |before: u64, after: u64, idle_per_s: f64| {
            ((after - before) as f64 - idle_per_s * busy_s) / SWITCH_COUNT as f64
        };
        println!(
            "{node_count} {} {:.0} {:.0} {:.2} {:.1} {:.1} {:.1} {:.0} {:.0} {:.1}",
            joined.as_millis(),
            idle.region_per_s / nodes,
            idle.far_per_s / 2.0,
            idle.cpu_ratio / nodes * 100.0,
            at(0.5),
            at(0.99),
            at(1.0),
            per_change(before.0, after.0, idle.region_per_s) / nodes,
            per_change(before.1, after.1, idle.far_per_s) / 2.0,
            outage_max.as_secs_f64() * 1e3,
        );
        Ok(())
    }
}

struct Costs {
    region_per_s: f64,
    far_per_s: f64,
    cpu_ratio: f64,
}

async fn idle_costs(farm: &Farm) -> anyhow::Result<Costs> {
    let (bytes_before, cpu_before) = (farm.control_bytes(), cpu_time()?);
    let started_at = Instant::now();
    tokio::time::sleep(IDLE).await;
    let (bytes_after, cpu_after) = (farm.control_bytes(), cpu_time()?);
    let took_s = started_at.elapsed().as_secs_f64();
    Ok(Costs {
        region_per_s: (bytes_after.0 - bytes_before.0) as f64 / took_s,
        far_per_s: (bytes_after.1 - bytes_before.1) as f64 / took_s,
        cpu_ratio: (cpu_after - cpu_before).as_secs_f64() / took_s,
    })
}

/// Writes changes as an operator would.
struct Writer {
    log: HttpLog,
    picks: [Offset; SERVICE_COUNT],
}

impl Writer {
    async fn new(log_url: &str) -> anyhow::Result<Self> {
        Ok(Self {
            log: HttpLog::new(log_url).await?,
            picks: [Offset(0); SERVICE_COUNT],
        })
    }

    async fn append(&self, change: Change) -> anyhow::Result<Offset> {
        let record = ChangeRecord {
            change_id: ChangeId(figway_types::entropy()),
            author: "operator".to_owned(),
            change,
        };
        let deadline = Instant::now() + WAIT;
        let appended = self
            .log
            .append(CHANGE_STREAM, &record.to_body(), deadline)
            .await?;
        Ok(appended.offset)
    }

    /// Publishes the profiles and switches every service to the first.
    async fn take_up(&mut self, farm: &Farm) -> anyhow::Result<()> {
        for profile in ["steady", "fallback"] {
            self.append(Change::Publish {
                profile: profile.to_owned(),
                expected_version_offset: Offset(0),
                body: PROFILE.to_owned(),
            })
            .await?;
        }
        for turn in 0..SERVICE_COUNT {
            self.switch(farm, turn).await?;
        }
        Ok(())
    }

    /// Switches one service and returns when it was in force on each node.
    async fn switch(&mut self, farm: &Farm, turn: usize) -> anyhow::Result<Vec<Duration>> {
        let (service, version) = self.append_switch(turn).await?;
        farm.wait_in_force(&service, version, WAIT).await
    }

    async fn append_switch(&mut self, turn: usize) -> anyhow::Result<(String, Offset)> {
        let index = turn % SERVICE_COUNT;
        let service = format!("service-{index}");
        let profile = ["steady", "fallback"][turn / SERVICE_COUNT % 2];
        let version = self
            .append(Change::Switch {
                service: service.clone(),
                expected_pick_offset: self.picks[index],
                profile: profile.to_owned(),
            })
            .await?;
        self.picks[index] = version;
        Ok((service, version))
    }

    /// Switches a service and takes the log down as soon as the change is accepted.
    async fn switch_and_outage(&mut self, farm: &Farm, log_url: &str) -> anyhow::Result<Duration> {
        let (service, version) = self.append_switch(0).await?;
        let down = LogFaults {
            down: true,
            ..LogFaults::default()
        };
        let body = serde_json::to_string(&down)?;
        let request = Request {
            method: "POST",
            url: &format!("{log_url}/testbed/faults"),
            headers: &[("content-type", "application/json")],
            body: &body,
        };
        send(&client().await?, request, WAIT).await?;
        let times = farm.wait_in_force(&service, version, WAIT).await?;
        times.into_iter().max().context("the farm has no nodes")
    }
}
