//! Back ends make a call of their own during each run, without a key, as the pages say. The ids of these
//! calls have the form of all other ids. Without the trouble they begin with the id of the run.

use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use crate::site::{call, config, own_net, NestedCall, Record, Site, SiteSpec};
use crate::Verdict;

const HOST: &str = "desk.example";
const TENANT: &str = "school-7";
const KEY: &str = "k-31f0a2c4";
const DEADLINE: Duration = Duration::from_millis(1_200);
const LOAD_TIME: Duration = Duration::from_secs(10);

/// Longer than a node that has just started lets keyless calls pass.
const QUIET_TIME: Duration = Duration::from_secs(12);

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
        ("vault-a-1", "a", "north", "vault"),
        ("vault-b-1", "b", "north", "vault"),
    ];
    let mut site = Site::start(spec, &machines);
    for machine in &site.machines {
        if machine.service == "desk" {
            *machine.backend.nested_call.lock().unwrap() = Some(NestedCall {
                outbound: machine.outbound(),
                host: HOST.to_owned(),
                path: "/licences/1".to_owned(),
                names_run: !trouble,
            });
        }
    }
    let tenants = format!(
        ",\"tenants\":{{\"{TENANT}\":{{\"apiKeys\":[\"{KEY}\"],\"priority\":1,\
         \"ratePerS\":0,\"burstSize\":0}}}}"
    );
    let routes = [
        (HOST, "/desk/", "idempotent", "desk"),
        (HOST, "/licences/", "idempotent", "vault"),
    ];
    site.store.put(
        "keyed.op",
        "config",
        config(5, &routes, &tenants).as_bytes(),
    );
    site.start_nodes(true);
    if !site.wait_ready(Duration::from_secs(10)) {
        return Verdict::NotRun("the nodes are not ready".to_owned());
    }
    thread::sleep(QUIET_TIME);

    let until = Instant::now() + LOAD_TIME;
    let (mut sent, mut served, mut own_refused) = (0, 0, 0);
    while Instant::now() < until {
        for machine in &site.machines {
            let id = format!("{:016x}", 0x5a00_0000_0000_0000_u64 + sent as u64);
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
            sent += 1;
            served += usize::from(status == 200);
            own_refused += usize::from((300..500).contains(&status));
            record.line(format!(
                "request at {} id={id} status={status}",
                machine.name
            ));
        }
        thread::sleep(Duration::from_millis(20));
    }
    let mut nested_sent = 0;
    let mut nested_denied = 0;
    for machine in &mut site.machines {
        if let Some(status) = machine.node_has_ended() {
            return Verdict::NotRun(format!("node {} ended: {status}", machine.name));
        }
        for (id, status) in machine.backend.nested_statuses.lock().unwrap().iter() {
            record.line(format!(
                "nested call at {} id={id} status={status}",
                machine.name
            ));
            nested_sent += 1;
            let is_excluded = [408, 421, 429].contains(status);
            nested_denied += usize::from((300..500).contains(status) && !is_excluded);
        }
    }
    let denied = nested_denied + own_refused;
    let allowed = 5 + (sent + nested_sent) / 500;
    record.line(format!(
        "requests of clients={sent} served={served}, nested calls={nested_sent}, ended with 3xx or \
         4xx={denied}, allowed={allowed}"
    ));
    if nested_sent == 0 {
        return Verdict::NotRun("no back end has made a call".to_owned());
    }
    if denied > allowed {
        return Verdict::Broken;
    }
    Verdict::Held
}
