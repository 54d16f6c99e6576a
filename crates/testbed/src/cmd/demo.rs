//! `testbed demo`: runs a whole deployment on this machine, with a switch and a retreat under load.

use std::rc::Rc;
use std::time::Duration;

use figway_testbed::deployment::AL_RAMLA;
use figway_testbed::fleet::Fleet;
use figway_testbed::http::client;
use figway_testbed::load::{
    run_load,
    CallOutcome,
    ConstantRate,
    LoadKind,
    LoadReport, //
};
use figway_testbed::load_clients::FigwayClient;
use serde_json::Value;

use crate::cmd::{
    Demo,
    Run, //
};

/// Duration of the load, in seconds.
const LOAD_S: f64 = 10.0;

/// Offered load of all kinds, in calls per second.
const RATE_PER_S: f64 = 400.0;

impl Run for Demo {
    async fn run(&self) -> anyhow::Result<()> {
        println!("starting the log stand-in and 16 hosts in 4 zones ...");
        let services = AL_RAMLA.services;
        let fleet = Fleet::start_deployment("demo", &AL_RAMLA, &services, 4, false).await?;
        fleet
            .publish_and_switch_to_steady(&self.profiles, &services)
            .await?;
        println!("every service is on steady; offering {RATE_PER_S} calls a second");
        let mut nodes = Vec::new();
        for host in &fleet.hosts {
            nodes.push(host.call_address().to_owned());
        }
        let load_client = Rc::new(FigwayClient {
            http: client().await?,
            nodes,
        });
        let plan = ConstantRate {
            rate_per_s: RATE_PER_S,
            duration_s: LOAD_S,
        };
        let kinds = kinds();
        let load = run_load(&kinds, &plan, load_client, 1);
        let (report, operator_result) = futures::join!(load, switch_and_retreat(&fleet));
        operator_result?;
        print_calls(&report);
        print_control_bytes(&fleet).await?;
        Ok(())
    }
}

fn kinds() -> [LoadKind; 3] {
    let lookup = LoadKind {
        name: "stock-lookup",
        service: "stockdesk",
        method: "GET",
        path: "/stock",
        work_ms: 5.0,
        straggler_ratio: 0.01,
        straggler_factor: 20.0,
        worth: 1.0,
        weight: 6.0,
        budget_ms: 500,
        keyed: false,
    };
    let certificate = LoadKind {
        name: "certificate-read",
        service: "certlib",
        path: "/certificates",
        weight: 3.0,
        ..lookup.clone()
    };
    let order = LoadKind {
        name: "supplier-order",
        service: "orderbook",
        method: "POST",
        path: "/orders",
        work_ms: 10.0,
        straggler_ratio: 0.0,
        worth: 20.0,
        weight: 1.0,
        budget_ms: 2_000,
        keyed: true,
        ..lookup.clone()
    };
    [lookup, certificate, order]
}

async fn switch_and_retreat(fleet: &Fleet) -> anyhow::Result<()> {
    tokio::time::sleep(Duration::from_secs(2)).await;
    let switched = fleet
        .figway_ok(&["switch", "stockdesk", "fallback", "--wait", "--json"])
        .await?;
    println!(
        "switch stockdesk to fallback: {}",
        format_outcome(&switched)?
    );
    tokio::time::sleep(Duration::from_secs(2)).await;
    let retreated = fleet.figway_ok(&["retreat", "stockdesk", "--json"]).await?;
    println!(
        "retreat stockdesk to steady: {}",
        format_outcome(&retreated)?
    );
    Ok(())
}

/// Formats the JSON result that a command of the figway binary printed.
fn format_outcome(printed: &str) -> anyhow::Result<String> {
    let result: Value = serde_json::from_str(printed.trim())?;
    Ok(format!(
        "{} on {} nodes after {} ms",
        result["outcome"].as_str().unwrap_or(""),
        result["survey"]["in_force_count"],
        result["took_ms"]
    ))
}

fn print_calls(report: &LoadReport) {
    println!("kind served refused unknown failed p50_ms p99_ms");
    for (name, kind) in report {
        println!(
            "{name} {} {} {} {} {:.1} {:.1}",
            kind.count(CallOutcome::Answered),
            kind.count(CallOutcome::NotRun),
            kind.count(CallOutcome::Unknown),
            kind.count(CallOutcome::Failed),
            kind.latency_ms(0.5),
            kind.latency_ms(0.99)
        );
    }
}

async fn print_control_bytes(fleet: &Fleet) -> anyhow::Result<()> {
    let (mut region_bytes, mut cross_region_bytes) = (0, 0);
    for index in 0..fleet.hosts.len() {
        let status = fleet.status(index).await?;
        region_bytes += status["control_region_bytes"].as_u64().unwrap_or(0);
        cross_region_bytes += status["control_far_bytes"].as_u64().unwrap_or(0);
    }
    println!(
        "control bytes of all nodes since their start: {region_bytes} within regions, \
         {cross_region_bytes} dialled between regions"
    );
    Ok(())
}
