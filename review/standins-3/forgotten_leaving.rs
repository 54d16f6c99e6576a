//! A back end deregisters, which is acknowledged. Soon afterwards the store is away for a moment and
//! comes back from a copy that is some seconds old, and all nodes are killed meanwhile and start again.
//! A heartbeat from before the deregistration arrives late.

use std::collections::HashMap;
use std::path::Path;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use crate::site::{app_address, beat_body, call, config, own_net, Record, Site, SiteSpec};
use crate::Verdict;

const HOST: &str = "desk.example";
const DEADLINE: Duration = Duration::from_millis(800);

/// Bounds of the site.
const DRAIN: Duration = Duration::from_secs(3);
const STABILITY_WINDOW: Duration = Duration::from_secs(3);

/// Times after the acknowledgement.
const AWAY_AT: Duration = Duration::from_millis(500);
const KILL_AT: Duration = Duration::from_millis(600);
const START_AT: Duration = Duration::from_millis(900);
const BACK_AT: Duration = Duration::from_millis(1_000);
const LATE_AT: Duration = Duration::from_millis(3_000);
const END_AT: Duration = Duration::from_millis(8_000);

pub fn run(dir: &Path, record: &Record, trouble: bool) -> Verdict {
    // One of the two disruptions alone, for trials.
    let only = std::env::var("ONLY").unwrap_or_default();
    let (drill, kill) = (trouble && only != "kill", trouble && only != "drill");
    let spec = SiteSpec {
        dir,
        net: own_net(),
        work_ms: 20,
        keep: None,
        bounds: Vec::new(),
    };
    let machines = [
        ("desk-a-1", "a", "north", "desk"),
        ("desk-a-2", "a", "north", "desk"),
        ("desk-b-1", "b", "north", "desk"),
        ("desk-b-2", "b", "north", "desk"),
    ];
    let mut site = Site::start(spec, &machines);
    let routes = [(HOST, "/desk/", "non_idempotent", "desk")];
    site.store
        .put("keyed.op", "config", config(5, &routes, "").as_bytes());
    site.start_nodes(true);
    if !site.wait_ready(Duration::from_secs(10)) {
        return Verdict::NotRun("the nodes are not ready".to_owned());
    }
    thread::sleep(Duration::from_secs(10));
    let leaving = 0;
    if send(&site, record, Duration::from_secs(2)).runs_at(&site, leaving) == 0 {
        return Verdict::NotRun("the back end gets no orders before it leaves".to_owned());
    }
    let copy = site.store.copy();
    thread::sleep(Duration::from_secs(1));

    // The late heartbeat is the one before the deregistration.
    let backend = &site.machines[leaving].backend;
    backend.beats.store(false, Ordering::Relaxed);
    thread::sleep(Duration::from_millis(100));
    let instance = backend.instance.lock().unwrap().clone();
    let born_ms = backend.born_ms.load(Ordering::Relaxed);
    let sequence = backend.sequence.fetch_add(1, Ordering::Relaxed) + 1;
    let control = site.machines[leaving].control();
    let address = app_address(&site.machines[leaving].ip);
    let late_beat = beat_body("desk", &address, "a", "ready", sequence, born_ms);
    let post = |what: &str, body: &str| {
        let path = format!("/instances/{instance}/{what}");
        let headers = [("Content-Type", "application/json")];
        let limit = Duration::from_secs(1);
        let answered = call(&control, "POST", &path, &headers, body.as_bytes(), limit);
        let status = answered.map_or(0, |message| message.status());
        record.line(format!("{what} of {instance} status={status} body={body}"));
        status
    };
    if post("deregister", &format!("{{\"born\":{born_ms}}}")) != 200 {
        return Verdict::NotRun("the deregistration is not acknowledged".to_owned());
    }
    let acknowledged_at = Instant::now();
    let wait_until = |after: Duration| {
        thread::sleep((acknowledged_at + after).saturating_duration_since(Instant::now()));
    };

    wait_until(AWAY_AT);
    if drill {
        site.store.go_away();
        record.line("the store is away");
    }
    wait_until(KILL_AT);
    if kill {
        site.end();
        record.line("all nodes are killed");
    }
    wait_until(START_AT);
    if kill {
        site.start_nodes(false);
    }
    let started_at = Instant::now();
    wait_until(BACK_AT);
    if drill {
        site.store.come_back(copy);
        record.line("the store is back from the copy");
    }
    let back_at = Instant::now();
    wait_until(LATE_AT);
    post("heartbeat", &late_beat);

    // From here on all machines are in touch.
    let in_touch_at = started_at.max(back_at) + STABILITY_WINDOW;
    let begin = in_touch_at.max(acknowledged_at + DRAIN);
    thread::sleep(begin.saturating_duration_since(Instant::now()) + Duration::from_millis(100));
    let end = acknowledged_at + END_AT;
    let load = send(&site, record, end.saturating_duration_since(Instant::now()));
    for machine in &mut site.machines {
        if let Some(status) = machine.node_has_ended() {
            return Verdict::NotRun(format!("node {} ended: {status}", machine.name));
        }
    }
    let run_count = load.runs_at(&site, leaving);
    record.line(format!(
        "orders={} answered with 200={} of them at the back end that has left={run_count}",
        load.sent.len(),
        load.served
    ));
    if load.served == 0 {
        return Verdict::NotRun("no order is served".to_owned());
    }
    if run_count > 0 {
        return Verdict::Broken;
    }
    Verdict::Held
}

struct Load {
    sent: HashMap<String, Instant>,
    served: usize,
}

impl Load {
    /// Returns how many of the orders have run at the back end of a machine.
    fn runs_at(&self, site: &Site, index: usize) -> usize {
        let runs = site.machines[index].backend.runs.lock().unwrap();
        runs.iter()
            .filter(|run| self.sent.contains_key(&run.id))
            .count()
    }
}

/// Sends orders at all machines in turn for some time.
fn send(site: &Site, record: &Record, length: Duration) -> Load {
    let until = Instant::now() + length;
    let mut load = Load {
        sent: HashMap::new(),
        served: 0,
    };
    while Instant::now() < until {
        for machine in &site.machines {
            let id = format!(
                "{:016x}",
                crate::site::now_ms() << 16 | load.sent.len() as u64
            );
            load.sent.insert(id.clone(), Instant::now());
            let headers = [
                ("Host", HOST),
                ("X-Figway-Attempt-Id", id.as_str()),
                ("X-Figway-Deadline-Ms", "800"),
            ];
            let out = machine.outbound();
            let answered = call(&out, "POST", "/desk/1", &headers, b"", DEADLINE);
            let status = answered.map_or(0, |message| message.status());
            load.served += usize::from(status == 200);
            record.line(format!("order at {} id={id} status={status}", machine.name));
        }
        thread::sleep(Duration::from_millis(20));
    }
    load
}
