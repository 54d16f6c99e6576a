//! `testbed convergence`: measures how long a change takes to be in force on every node, and the
//! costs of the control plane, for a given number of nodes.

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

/// Number of services of the farm.
const SERVICE_COUNT: usize = 4;

/// Number of switches that are timed.
const SWITCH_COUNT: usize = 20;

/// Number of departures that are measured.
const DEPARTURE_COUNT: usize = 10;

/// Pause after each departure, in which its acknowledgements travel.
const DEPARTURE_PAUSE: Duration = Duration::from_millis(1_000);

/// Time over which the costs of the idle mesh are measured.
const IDLE_PERIOD: Duration = Duration::from_secs(10);

/// Timeout of each wait; 20 s is the stated limit for a change to be in force everywhere.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Body of the profiles; its contents do not affect the measurement.
const PROFILE: &str = "kinds:\n  - {name: lookup, path_prefix: /}\n";

impl Run for Convergence {
    async fn run(&self) -> anyhow::Result<()> {
        println!(
            "nodes joined_ms idle_b_per_s_node idle_far_b_per_s idle_cpu_percent_node \
             switch_p50_ms switch_p99_ms switch_max_ms b_per_change_node far_b_per_change \
             outage_max_ms departed_max_ms b_per_departure_node idle_after_b_per_s_node"
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
        let mut writer = ChangeWriter::new(&log_url).await?;
        writer.publish_and_switch_all(&farm).await?;
        eprintln!("a profile is in force for every service");
        let mut times = Vec::new();
        let before = farm.control_bytes();
        for round in 0..SWITCH_COUNT {
            let switched = writer.switch(&farm, round).await?;
            if let Some(slowest) = switched.iter().max() {
                eprintln!("switch {round}: in force after {} ms", slowest.as_millis());
            }
            times.extend(switched);
            tokio::time::sleep(Duration::from_millis(250)).await;
        }
        let after = farm.control_bytes();
        let busy_s = 0.25 * SWITCH_COUNT as f64;
        let departures = departure_costs(&farm, &idle).await?;
        let outage_max = writer.switch_before_outage(&farm, &log_url).await?;
        times.sort_unstable();
        let quantile_ms = |quantile: f64| {
            let index = ((times.len() - 1) as f64 * quantile) as usize;
            times[index].as_secs_f64() * 1e3
        };
        let nodes = node_count as f64;
        let per_change = |before: u64, after: u64, idle_per_s: f64| {
            ((after - before) as f64 - idle_per_s * busy_s) / SWITCH_COUNT as f64
        };
        println!(
            "{node_count} {} {:.0} {:.0} {:.2} {:.1} {:.1} {:.1} {:.0} {:.0} {:.1} {:.1} {:.0} {:.0}",
            joined.as_millis(),
            idle.region_bytes_per_s / nodes,
            idle.cross_region_bytes_per_s / 2.0,
            idle.cpu_ratio / nodes * 100.0,
            quantile_ms(0.5),
            quantile_ms(0.99),
            quantile_ms(1.0),
            per_change(before.0, after.0, idle.region_bytes_per_s) / nodes,
            per_change(before.1, after.1, idle.cross_region_bytes_per_s) / 2.0,
            outage_max.as_secs_f64() * 1e3,
            departures.slowest.as_secs_f64() * 1e3,
            departures.region_bytes / nodes,
            departures.idle_after.region_bytes_per_s / nodes,
        );
        Ok(())
    }
}

struct IdleCosts {
    region_bytes_per_s: f64,
    cross_region_bytes_per_s: f64,
    cpu_ratio: f64,
}

/// Measures control bytes and processor time of the whole farm while nothing changes.
async fn idle_costs(farm: &Farm) -> anyhow::Result<IdleCosts> {
    let (bytes_before, cpu_before) = (farm.control_bytes(), cpu_time()?);
    let started_at = Instant::now();
    tokio::time::sleep(IDLE_PERIOD).await;
    let (bytes_after, cpu_after) = (farm.control_bytes(), cpu_time()?);
    let took_s = started_at.elapsed().as_secs_f64();
    Ok(IdleCosts {
        region_bytes_per_s: (bytes_after.0 - bytes_before.0) as f64 / took_s,
        cross_region_bytes_per_s: (bytes_after.1 - bytes_before.1) as f64 / took_s,
        cpu_ratio: (cpu_after - cpu_before).as_secs_f64() / took_s,
    })
}

struct DepartureCosts {
    slowest: Duration,
    /// Control bytes of all nodes within regions for one departure.
    region_bytes: f64,
    /// Costs while all nodes know the departures and nothing else changes.
    idle_after: IdleCosts,
}

/// Measures how long departures of targets take to be known on all nodes, and what they cost.
async fn departure_costs(farm: &Farm, idle: &IdleCosts) -> anyhow::Result<DepartureCosts> {
    let started_at = Instant::now();
    let (bytes_before, _) = farm.control_bytes();
    let mut slowest = Duration::ZERO;
    for index in 0..DEPARTURE_COUNT {
        slowest = slowest.max(farm.depart(index, TIMEOUT).await?);
        tokio::time::sleep(DEPARTURE_PAUSE).await;
    }
    let (bytes_after, _) = farm.control_bytes();
    let idle_bytes = idle.region_bytes_per_s * started_at.elapsed().as_secs_f64();
    Ok(DepartureCosts {
        slowest,
        region_bytes: ((bytes_after - bytes_before) as f64 - idle_bytes) / DEPARTURE_COUNT as f64,
        idle_after: idle_costs(farm).await?,
    })
}

/// Appends changes to the log as an operator's commands do.
struct ChangeWriter {
    log: HttpLog,
    picks: [Offset; SERVICE_COUNT],
}

impl ChangeWriter {
    async fn new(log_url: &str) -> anyhow::Result<Self> {
        Ok(Self {
            log: HttpLog::new(log_url).await?,
            picks: [Offset(0); SERVICE_COUNT],
        })
    }

    async fn append(&self, change: Change) -> anyhow::Result<Offset> {
        let record = ChangeRecord {
            change_id: ChangeId(figway_types::entropy()),
            restores: None,
            author: "operator".to_owned(),
            change,
        };
        let deadline = Instant::now() + TIMEOUT;
        let appended = self
            .log
            .append(CHANGE_STREAM, &record.to_body(), deadline)
            .await?;
        Ok(appended.offset)
    }

    /// Publishes two profiles and switches every service to the first.
    async fn publish_and_switch_all(&mut self, farm: &Farm) -> anyhow::Result<()> {
        for profile in ["steady", "fallback"] {
            self.append(Change::Publish {
                profile: profile.to_owned(),
                expected_version_offset: Offset(0),
                body: PROFILE.to_owned(),
            })
            .await?;
        }
        for round in 0..SERVICE_COUNT {
            self.switch(farm, round).await?;
        }
        Ok(())
    }

    /// Switches one service and returns, for each node, how long after the append the change was in
    /// force.
    async fn switch(&mut self, farm: &Farm, round: usize) -> anyhow::Result<Vec<Duration>> {
        let (service, version) = self.append_switch(round).await?;
        farm.wait_in_force(&service, version, TIMEOUT).await
    }

    /// Appends the switch of round `round`: each round switches the next service, and the profile
    /// alternates after every service was switched.
    async fn append_switch(&mut self, round: usize) -> anyhow::Result<(String, Offset)> {
        let index = round % SERVICE_COUNT;
        let service = format!("service-{index}");
        let profile = ["steady", "fallback"][round / SERVICE_COUNT % 2];
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

    /// Switches one service and takes the log down as soon as the change is appended. Returns how
    /// long after that the change was in force on every node.
    async fn switch_before_outage(
        &mut self,
        farm: &Farm,
        log_url: &str,
    ) -> anyhow::Result<Duration> {
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
        send(&client().await?, request, TIMEOUT).await?;
        let times = farm.wait_in_force(&service, version, TIMEOUT).await?;
        times.into_iter().max().context("the farm has no nodes")
    }
}
