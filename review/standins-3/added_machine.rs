//! A machine is added to a site that has run for longer than the store's history reaches back. A
//! tenant sends several times its limit, at all machines alike.

use std::collections::HashMap;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use crate::site::{call, config, own_net, Record, Run, Site, SiteSpec};
use crate::Verdict;

const HOST: &str = "desk.example";
const TENANT: &str = "school-7";
const KEY: &str = "k-31f0a2c4";
const DEADLINE: Duration = Duration::from_millis(1200);

/// History of the store, as the sheets state it.
const HISTORY: Duration = Duration::from_secs(20);

const RATE_PER_S: f64 = 40.0;
const BURST: f64 = 10.0;

/// Requests of the tenant at each machine, a second. At five machines 4.5 times its limit.
const MACHINE_RATE_PER_S: f64 = 36.0;
const CLIENTS_PER_MACHINE: usize = 4;

/// Bounds of the rule: `quotaWindow`, `quotaOverrun` and `quotaSlack`.
const WINDOW: Duration = Duration::from_secs(5);
const OVERRUN: f64 = 0.1;
const SLACK: f64 = 20.0;

pub fn run(dir: &Path, record: &Record, trouble: bool) -> Verdict {
    let spec = SiteSpec {
        dir,
        net: own_net(),
        work_ms: 20,
        keep: trouble.then_some(HISTORY),
        bounds: vec![
            ("bounds.quotaWindow", "5s"),
            ("bounds.quotaOverrun", "0.1"),
            ("bounds.quotaSlack", "20"),
        ],
    };
    let machines = [
        ("desk-a-1", "a", "north", "desk"),
        ("desk-a-2", "a", "north", "desk"),
        ("desk-b-1", "b", "north", "desk"),
        ("desk-b-2", "b", "north", "desk"),
    ];
    let mut site = Site::start(spec, &machines);
    let tenants = format!(
        ",\"tenants\":{{\"{TENANT}\":{{\"apiKeys\":[\"{KEY}\"],\"priority\":1,\
         \"ratePerS\":{RATE_PER_S},\"burstSize\":{BURST}}}}}"
    );
    let routes = [(HOST, "/desk/", "idempotent", "desk")];
    site.store.put(
        "keyed.op",
        "config",
        config(5, &routes, &tenants).as_bytes(),
    );
    site.start_nodes(true);
    if !site.wait_ready(Duration::from_secs(10)) {
        return Verdict::NotRun("the nodes are not ready".to_owned());
    }
    // The nodes have appended their contacts in their first half second.
    thread::sleep(HISTORY + Duration::from_millis(1_500));
    let index = site.add_machine(&("desk-a-3", "a", "north", "desk"));
    site.start_node(index, false);
    record.line("a fifth machine is added");
    if !site.wait_ready(Duration::from_secs(10)) {
        return Verdict::NotRun("the added node is not ready".to_owned());
    }
    // Longer than `stabilityWindow`.
    thread::sleep(Duration::from_secs(4));
    let sent = send(&site, record, Duration::from_secs(20));
    for machine in &mut site.machines {
        if let Some(status) = machine.node_has_ended() {
            return Verdict::NotRun(format!("node {} ended: {status}", machine.name));
        }
    }
    judge(&site, record, &sent)
}

/// Sends the tenant's requests to all machines for some time. Returns when each was sent.
fn send(site: &Site, record: &Record, length: Duration) -> HashMap<String, Instant> {
    let ended = AtomicBool::new(false);
    let sent: Mutex<HashMap<String, Instant>> = Mutex::default();
    let every = Duration::from_secs_f64(CLIENTS_PER_MACHINE as f64 / MACHINE_RATE_PER_S);
    thread::scope(|scope| {
        for (machine_index, machine) in site.machines.iter().enumerate() {
            for client in 0..CLIENTS_PER_MACHINE {
                let (ended, sent) = (&ended, &sent);
                scope.spawn(move || {
                    let mut next_at = Instant::now() + every.mul_f64(client as f64 / 4.0);
                    let mut count = 0;
                    while !ended.load(Ordering::Relaxed) {
                        thread::sleep(next_at.saturating_duration_since(Instant::now()));
                        next_at += every;
                        count += 1;
                        let id = format!("{machine_index:02x}{client:02x}{count:012x}");
                        sent.lock().unwrap().insert(id.clone(), Instant::now());
                        let key = format!("Token {KEY}");
                        let headers = [
                            ("Host", HOST),
                            ("Authorization", key.as_str()),
                            ("X-Figway-Attempt-Id", id.as_str()),
                            ("X-Figway-Deadline-Ms", "1200"),
                        ];
                        let answered = call(
                            &machine.outbound(),
                            "GET",
                            "/desk/1",
                            &headers,
                            b"",
                            DEADLINE,
                        );
                        let status = answered.map_or(0, |message| message.status());
                        record.line(format!("sent to {} id={id} status={status}", machine.name));
                    }
                });
            }
        }
        thread::sleep(length);
        ended.store(true, Ordering::Relaxed);
    });
    sent.into_inner().unwrap()
}

/// Counts, for each window, the requests that were sent and arrived at a back end within it.
fn judge(site: &Site, record: &Record, sent: &HashMap<String, Instant>) -> Verdict {
    let mut first_runs: HashMap<String, Run> = HashMap::new();
    for (index, machine) in site.machines.iter().enumerate() {
        let runs = machine.backend.runs.lock().unwrap().clone();
        record.line(format!(
            "{} has run {} requests",
            site.machines[index].name,
            runs.len()
        ));
        for run in runs {
            if run.tenant == TENANT && sent.contains_key(&run.id) {
                first_runs.entry(run.id.clone()).or_insert(run);
            }
        }
    }
    let mut times: Vec<(Instant, Instant)> = Vec::new();
    for (id, run) in &first_runs {
        times.push((sent[id], run.at));
    }
    times.sort();
    let mut most = 0;
    for (begin, _) in &times {
        let end = *begin + WINDOW;
        let within = |(sent_at, run_at): &&(Instant, Instant)| sent_at >= begin && *run_at <= end;
        most = most.max(times.iter().filter(within).count());
    }
    let bound = (RATE_PER_S * WINDOW.as_secs_f64() + BURST) * (1.0 + OVERRUN) + SLACK;
    record.line(format!(
        "sent={} run={} most in 5 s={most} bound={bound:.0}",
        sent.len(),
        times.len()
    ));
    if times.is_empty() {
        return Verdict::NotRun("no request of the tenant has run".to_owned());
    }
    if most as f64 > bound {
        return Verdict::Broken;
    }
    Verdict::Held
}
