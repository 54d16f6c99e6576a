//! `testbed experiment`: compares figway with a baseline under load, case by case.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use figway_testbed::deployment::{
    Deployment,
    AL_RAMLA,
    VERBAND, //
};
use figway_testbed::fleet::Fleet;
use figway_testbed::http::client;
use figway_testbed::load::{
    run_load,
    CallOutcome,
    ConstantRate,
    LoadClient,
    LoadKind,
    LoadReport,
    PeakRate,
    RatePlan, //
};
use figway_testbed::load_clients::{
    BaselineClient,
    FigwayClient, //
};
use figway_types::mix;

use crate::cmd::{
    Experiment,
    Run, //
};

/// Slots of each target, scaled down to run on one machine.
const SLOT_COUNT: u32 = 4;

/// Number of targets of the service under load.
const TARGET_COUNT: u32 = 4;

/// Offered load of the steady cases, and before and after the crest, as a ratio of the capacity.
const LOAD_RATIO: f64 = 0.6;

/// Duration of a steady case, in seconds.
const STEADY_S: f64 = 12.0;

/// Time that a target stays slowed, in milliseconds.
const SLOW_MS: u64 = 1_000;

/// Factor on the service times of a slowed target.
const SLOW_FACTOR: f64 = 10.0;

/// Attempts per call of the baseline: the first one and two retries.
const BASELINE_ATTEMPT_MAX_COUNT: usize = 3;

/// Disturbance of the targets during a case.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Disturbance {
    None,
    Slowed,
    Churn,
}

struct Case {
    name: &'static str,
    plan: Box<dyn RatePlan>,
    disturbance: Disturbance,
    straggler_ratio: f64,
}

impl Run for Experiment {
    async fn run(&self) -> anyhow::Result<()> {
        let deployment = match self.deployment.as_deref() {
            Some("al-ramla") => AL_RAMLA,
            _ => VERBAND,
        };
        println!(
            "case,way,kind,offered,answered,not_run,unknown,failed,worth_share,\
             p50_ms,p99_ms,p999_ms,runs_per_call"
        );
        for case in cases() {
            if self
                .case
                .as_deref()
                .is_some_and(|wanted| wanted != case.name)
            {
                continue;
            }
            for way in ["figway", "baseline"] {
                if self.way.as_deref().is_some_and(|wanted| wanted != way) {
                    continue;
                }
                let seed = self.seed.unwrap_or(7);
                run_case(&case, way, &deployment, &self.profiles, seed).await?;
            }
        }
        Ok(())
    }
}

fn cases() -> Vec<Case> {
    let capacity_per_s = capacity_per_s();
    let steady = || {
        Box::new(ConstantRate {
            rate_per_s: capacity_per_s * LOAD_RATIO,
            duration_s: STEADY_S,
        })
    };
    vec![
        Case {
            name: "crest",
            plan: Box::new(PeakRate {
                base_per_s: capacity_per_s * LOAD_RATIO,
                peak_per_s: capacity_per_s * 3.0,
                base_s: 3.0,
                ramp_s: 2.0,
                hold_s: 4.0,
            }),
            disturbance: Disturbance::None,
            straggler_ratio: 0.0,
        },
        Case {
            name: "head-of-line",
            plan: steady(),
            disturbance: Disturbance::None,
            straggler_ratio: 0.01,
        },
        Case {
            name: "slowed",
            plan: steady(),
            disturbance: Disturbance::Slowed,
            straggler_ratio: 0.0,
        },
        Case {
            name: "churn",
            plan: steady(),
            disturbance: Disturbance::Churn,
            straggler_ratio: 0.0,
        },
    ]
}

/// Returns the capacity of the targets without stragglers, in calls per second.
fn capacity_per_s() -> f64 {
    let (mut weight, mut work_ms) = (0.0, 0.0);
    for kind in kinds(&VERBAND, 0.0) {
        weight += kind.weight;
        work_ms += kind.weight * kind.work_ms;
    }
    f64::from(SLOT_COUNT * TARGET_COUNT) / (work_ms / weight / 1_000.0)
}

/// Returns the request kinds of a deployment. All of them call its first service that handles
/// writes, so that they compete for the same slots.
fn kinds(deployment: &Deployment, straggler_ratio: f64) -> Vec<LoadKind> {
    let names = match deployment.name {
        "al-ramla" => [
            ("stock-lookup", "/stock"),
            ("certificate-read", "/certificates"),
            ("supplier-order", "/orders"),
        ],
        _ => [
            ("part-lookup", "/parts"),
            ("repair-record", "/records"),
            ("booking", "/bookings"),
        ],
    };
    let lookup = LoadKind {
        name: names[0].0,
        service: deployment.services[1],
        method: "GET",
        path: names[0].1,
        work_ms: 10.0,
        straggler_ratio,
        straggler_factor: 50.0,
        worth: 1.0,
        weight: 6.0,
        budget_ms: 500,
        keyed: false,
    };
    let record = LoadKind {
        name: names[1].0,
        path: names[1].1,
        work_ms: 20.0,
        worth: 2.0,
        weight: 3.0,
        ..lookup.clone()
    };
    let order = LoadKind {
        name: names[2].0,
        path: names[2].1,
        method: "POST",
        work_ms: 30.0,
        straggler_ratio: 0.0,
        worth: 15.0,
        weight: 1.0,
        budget_ms: 2_000,
        ..lookup.clone()
    };
    vec![lookup, record, order]
}

async fn run_case(
    case: &Case,
    way: &str,
    deployment: &Deployment,
    profiles: &std::path::Path,
    seed: u64,
) -> anyhow::Result<()> {
    let scaled = Deployment {
        slot_count: SLOT_COUNT,
        ..*deployment
    };
    let service = deployment.services[1];
    let mut fleet = Fleet::start_deployment("experiment", &scaled, &[service], 4, true).await?;
    let profiles = profiles.join(deployment.name).join("profiles");
    fleet
        .publish_and_switch_to_steady(&profiles, &[service])
        .await?;
    let kinds = kinds(deployment, case.straggler_ratio);
    let load_client = new_load_client(way, &fleet, service).await?;
    let load = run_load(&kinds, case.plan.as_ref(), load_client, seed);
    let report = disturb_during(load, case.disturbance, &mut fleet, seed).await?;
    let run_count = run_count(&fleet, case.disturbance).await?;
    print_report(case.name, way, &report, run_count);
    Ok(())
}

async fn new_load_client(
    way: &str,
    fleet: &Fleet,
    service: &str,
) -> anyhow::Result<Rc<dyn LoadClient>> {
    let http = client().await?;
    if way == "figway" {
        let mut nodes = Vec::new();
        for host in &fleet.hosts {
            nodes.push(host.call_address().to_owned());
        }
        return Ok(Rc::new(FigwayClient { http, nodes }));
    }
    let mut targets = Vec::new();
    for host in &fleet.hosts {
        targets.push(host.target.address("target").to_owned());
    }
    Ok(Rc::new(BaselineClient {
        http,
        targets: BTreeMap::from([(service.to_owned(), targets)]),
        attempt_counts: RefCell::default(),
        attempt_max_count: BASELINE_ATTEMPT_MAX_COUNT,
    }))
}

/// Runs the load and disturbs one random target per second until it ends; returns its report.
async fn disturb_during(
    load: impl std::future::Future<Output = LoadReport>,
    disturbance: Disturbance,
    fleet: &mut Fleet,
    seed: u64,
) -> anyhow::Result<LoadReport> {
    tokio::pin!(load);
    let mut state = seed;
    loop {
        tokio::select! {
            report = &mut load => return Ok(report),
            () = tokio::time::sleep(Duration::from_secs(1)) => {}
        }
        state = mix(state);
        let index = (state % fleet.hosts.len() as u64) as usize;
        match disturbance {
            Disturbance::None => {}
            Disturbance::Slowed => slow_target(fleet, index).await?,
            // The target restarts on the same port, so that the baseline can reach it again.
            Disturbance::Churn => fleet.kill_and_restart_target(index)?,
        }
    }
}

async fn slow_target(fleet: &Fleet, index: usize) -> anyhow::Result<()> {
    let address = fleet.hosts[index].target.address("target");
    let url = format!("http://{address}/testbed/slow");
    let body = format!(r#"{{"factor":{SLOW_FACTOR},"for_ms":{SLOW_MS}}}"#);
    let headers = [("content-type", "application/json")];
    fleet.post(&url, &headers, &body).await?;
    Ok(())
}

/// Returns how many requests the targets ran, or `None` if restarts lost their journals.
async fn run_count(fleet: &Fleet, disturbance: Disturbance) -> anyhow::Result<Option<usize>> {
    if disturbance == Disturbance::Churn {
        return Ok(None);
    }
    let mut run_count = 0;
    for index in 0..fleet.hosts.len() {
        run_count += fleet.journal(index).await?.len();
    }
    Ok(Some(run_count))
}

fn print_report(case: &str, way: &str, report: &LoadReport, run_count: Option<usize>) {
    let mut offered_sum = 0;
    let (mut worth, mut offered_worth) = (0.0, 0.0);
    for (name, kind) in report {
        let offered: u64 = kind.outcome_counts.values().sum();
        offered_sum += offered;
        worth += kind.answered_worth;
        offered_worth += kind.offered_worth;
        println!(
            "{case},{way},{name},{offered},{},{},{},{},{:.3},{:.1},{:.1},{:.1},",
            kind.count(CallOutcome::Answered),
            kind.count(CallOutcome::NotRun),
            kind.count(CallOutcome::Unknown),
            kind.count(CallOutcome::Failed),
            kind.answered_worth / kind.offered_worth.max(1e-9),
            kind.latency_ms(0.5),
            kind.latency_ms(0.99),
            kind.latency_ms(0.999),
        );
    }
    let runs_per_call = match run_count {
        Some(run_count) => format!("{:.3}", run_count as f64 / offered_sum.max(1) as f64),
        None => String::new(),
    };
    println!(
        "{case},{way},all,{offered_sum},,,,,{:.3},,,,{runs_per_call}",
        worth / offered_worth.max(1e-9)
    );
}
