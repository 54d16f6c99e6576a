//! A request crashes the back ends that run it, until it is refused. All nodes are killed and start
//! again. Later than `stabilityWindow` after that the request comes again.

use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::site::{call, config, own_net, CrashRule, Record, Site, SiteSpec};
use crate::Verdict;

const HOST: &str = "desk.example";
const PATH: &str = "/desk/deadly";
const DEADLINE: Duration = Duration::from_millis(1_200);
const STABILITY_WINDOW: Duration = Duration::from_secs(3);

/// Retries that may reach back ends after the third crash and `stabilityWindow`.
const ALLOWED: usize = 3;

const CRASH_AFTER: Duration = Duration::from_millis(400);

/// Time between two arrivals of the first round and of later ones.
const FIRST_GAP: Duration = Duration::from_millis(30);
const GAP: Duration = Duration::from_millis(60);

/// Time until a crashed back end starts again.
const DOWN_FOR: Duration = Duration::from_secs(2);

/// Longer than a back end needs until it gets requests again.
const REST: Duration = Duration::from_secs(6);

pub fn run(dir: &Path, record: &Record, trouble: bool) -> Verdict {
    let spec = SiteSpec {
        dir,
        net: own_net(),
        work_ms: 20,
        keep: None,
        bounds: Vec::new(),
    };
    let machines = [
        ("desk-a-1", "a", "north", "desk"),
        ("desk-b-1", "b", "north", "desk"),
        ("desk-a-2", "a", "north", "desk"),
        ("desk-b-2", "b", "north", "desk"),
        ("desk-a-3", "a", "north", "desk"),
        ("desk-b-3", "b", "north", "desk"),
    ];
    let mut site = Site::start(spec, &machines);
    let rule = CrashRule {
        path: PATH.to_owned(),
        after: CRASH_AFTER,
        down_for: DOWN_FOR,
    };
    for machine in &site.machines {
        *machine.backend.crash_rule.lock().unwrap() = Some(rule.clone());
    }
    let routes = [(HOST, "/desk/", "idempotent", "desk")];
    site.store
        .put("keyed.op", "config", config(5, &routes, "").as_bytes());
    site.start_nodes(true);
    if !site.wait_ready(Duration::from_secs(10)) {
        return Verdict::NotRun("the nodes are not ready".to_owned());
    }
    thread::sleep(REST);

    // Two arrivals at each machine, so that at least three back ends run the request before the first one
    // crashes.
    arrive(&site, record, 2, FIRST_GAP);
    thread::sleep(REST);
    let mut crashes: Vec<Instant> = Vec::new();
    for machine in &site.machines {
        crashes.extend(machine.backend.crashed_at.lock().unwrap().iter());
    }
    crashes.sort();
    record.line(format!("back ends have crashed: {}", crashes.len()));
    let Some(third_at) = crashes.get(2).copied() else {
        return Verdict::NotRun("the request has not crashed three back ends".to_owned());
    };

    // The request is refused now.
    let mut reached = arrive(&site, record, 1, GAP);
    thread::sleep(REST);
    if trouble {
        site.end();
        thread::sleep(Duration::from_millis(300));
        site.start_nodes(false);
        record.line("all nodes were killed and have started again");
        if !site.wait_ready(Duration::from_secs(10)) {
            return Verdict::NotRun("the nodes are not ready again".to_owned());
        }
    }
    thread::sleep(STABILITY_WINDOW.max(REST));
    assert!(third_at.elapsed() > STABILITY_WINDOW);
    reached += arrive(&site, record, 1, GAP);
    thread::sleep(REST);
    reached += arrive(&site, record, 1, GAP);
    for machine in &mut site.machines {
        if let Some(status) = machine.node_has_ended() {
            return Verdict::NotRun(format!("node {} ended: {status}", machine.name));
        }
    }
    record.line(format!(
        "retries that reached back ends since: {reached}, allowed {ALLOWED}"
    ));
    if reached > ALLOWED {
        return Verdict::Broken;
    }
    Verdict::Held
}

/// Lets the request come at each machine some times. Returns how many of these retries reached back ends.
fn arrive(site: &Site, record: &Record, times: usize, gap: Duration) -> usize {
    static COUNT: AtomicU64 = AtomicU64::new(0);
    let mut ids = Vec::new();
    thread::scope(|scope| {
        for machine in std::iter::repeat_n(&site.machines, times).flatten() {
            let number = COUNT.fetch_add(1, Ordering::Relaxed);
            let id = format!("{:016x}", 0x5a00_0000_0000_0000_u64 + number);
            ids.push(id.clone());
            scope.spawn(move || {
                let headers = [
                    ("Host", HOST),
                    ("X-Figway-Attempt-Id", id.as_str()),
                    ("X-Figway-Deadline-Ms", "1200"),
                ];
                let answered = call(&machine.outbound(), "GET", PATH, &headers, b"", DEADLINE);
                let status = answered.map_or(0, |message| message.status());
                record.line(format!(
                    "arrival at {} id={id} status={status}",
                    machine.name
                ));
            });
            thread::sleep(gap);
        }
    });
    let mut reached = 0;
    for id in &ids {
        let mut run_count = 0;
        for machine in &site.machines {
            let runs = machine.backend.runs.lock().unwrap();
            run_count += runs.iter().filter(|run| run.id == *id).count();
        }
        record.line(format!("id={id} has run {run_count} times"));
        reached += usize::from(run_count > 0);
    }
    reached
}
