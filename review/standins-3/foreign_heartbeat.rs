//! Another writer sends each machine one heartbeat that names no back end to use. The back ends of
//! the machines stay up and go on sending their own heartbeats.

use std::path::Path;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use crate::site::{app_address, beat_body, call, config, now_ms, own_net, Record, Site, SiteSpec};
use crate::Verdict;

const HOST: &str = "desk.example";
const DEADLINE: Duration = Duration::from_millis(800);

pub fn run(dir: &Path, record: &Record, trouble: bool) -> Verdict {
    let spec = SiteSpec {
        dir,
        net: own_net(),
        work_ms: 20,
        keep: None,
        bounds: Vec::new(),
    };
    let machines = [
        ("desk-a-1", "a", "north", "reads"),
        ("desk-b-1", "b", "north", "reads"),
        ("desk-a-2", "a", "north", "orders"),
        ("desk-b-2", "b", "north", "orders"),
    ];
    let mut site = Site::start(spec, &machines);
    let routes = [
        (HOST, "/reads/", "idempotent", "reads"),
        (HOST, "/orders/", "non_idempotent", "orders"),
    ];
    site.store
        .put("keyed.op", "config", config(5, &routes, "").as_bytes());
    site.start_nodes(true);
    if !site.wait_ready(Duration::from_secs(10)) {
        return Verdict::NotRun("the nodes are not ready".to_owned());
    }
    // The back ends have announced themselves, and traffic has not begun.
    thread::sleep(Duration::from_secs(4));
    if trouble {
        for machine in &site.machines {
            let body = beat_body(
                "probe-tool",
                &app_address(&machine.ip),
                &machine.zone,
                "ready",
                1,
                now_ms(),
            );
            let headers = [("Content-Type", "application/json")];
            let path = "/instances/i-probe-tool/heartbeat";
            let sent = call(
                &machine.control(),
                "POST",
                path,
                &headers,
                body.as_bytes(),
                DEADLINE,
            );
            let status = sent.map_or(0, |message| message.status());
            record.line(format!(
                "foreign heartbeat to {} status={status} body={body}",
                machine.name
            ));
        }
    }
    thread::sleep(Duration::from_secs(4));
    let acks_before: Vec<u64> = acks(&site);
    let day = serve_day(&site, record, Duration::from_secs(30));
    for (index, machine) in site.machines.iter_mut().enumerate() {
        if let Some(status) = machine.node_has_ended() {
            return Verdict::NotRun(format!("node {} ended: {status}", machine.name));
        }
        let acked = machine.backend.beat_acks.load(Ordering::Relaxed) - acks_before[index];
        record.line(format!(
            "{} acknowledged {acked} heartbeats of its back end meanwhile",
            machine.name
        ));
    }
    if day.sent == 0 || !trouble && day.served * 10 < day.sent * 9 {
        return Verdict::NotRun("the site does not serve without the disruption".to_owned());
    }
    if day.served == 0 {
        return Verdict::Broken;
    }
    Verdict::Held
}

fn acks(site: &Site) -> Vec<u64> {
    let mut acks = Vec::new();
    for machine in &site.machines {
        acks.push(machine.backend.beat_acks.load(Ordering::Relaxed));
    }
    acks
}

struct Counts {
    sent: usize,
    served: usize,
}

/// Sends a request of each kind to each machine in turn, each on a connection of its own.
fn serve_day(site: &Site, record: &Record, length: Duration) -> Counts {
    let until = Instant::now() + length;
    let runs_before = site.runs().len();
    let mut counts = Counts { sent: 0, served: 0 };
    let mut statuses = std::collections::BTreeMap::new();
    while Instant::now() < until {
        for machine in &site.machines {
            for (method, path) in [("GET", "/reads/1"), ("POST", "/orders/1")] {
                let id = format!("{:016x}", 0x5a00_0000_0000_0000_u64 + counts.sent as u64);
                let headers = [
                    ("Host", HOST),
                    ("X-Figway-Attempt-Id", id.as_str()),
                    ("X-Figway-Deadline-Ms", "800"),
                ];
                let sent = call(&machine.outbound(), method, path, &headers, b"", DEADLINE);
                let status = sent.as_ref().map_or(0, |message| message.status());
                counts.sent += 1;
                let sealed = sent.is_ok_and(|m| m.header("x-figway-response-seal").is_some());
                counts.served += usize::from(status == 200 && sealed);
                *statuses.entry(status).or_insert(0) += 1;
                record.line(format!(
                    "request at {} {method} {path} id={id} status={status}",
                    machine.name
                ));
            }
        }
        thread::sleep(Duration::from_millis(100));
    }
    let runs = site.runs().len() - runs_before;
    record.line(format!(
        "sent={} served={} runs={runs} statuses={statuses:?}",
        counts.sent, counts.served
    ));
    counts
}
