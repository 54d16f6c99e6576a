//! A backend leaves, and the node that acknowledged it is killed and started again. A heartbeat from
//! before the leaving arrives late at the new process. Checks DRAIN.

#[path = "../common/mod.rs"]
mod common;

use common::*;

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Time from the start of the leaving to the arrival of the late heartbeat.
const HEARTBEAT_DELAY: Duration = Duration::from_millis(2_500);
/// Time after the acknowledgement at which the backend ends.
const SERVE_ON: Duration = Duration::from_millis(6_000);
/// Clients on each machine.
const CLIENT_COUNT: usize = 2;

fn main() {
    let record = Record::create();
    // The last machine is the one whose backend leaves.
    let plan = Plan {
        services: &["reads", "orders", "reads", "orders", "reads", "orders"],
        timeout_ms: 1_000,
    };
    let Some(mut site) = Site::start(&plan, &record) else {
        println!("exit 2: the nodes do not serve");
        std::process::exit(2);
    };
    thread::sleep(STABILITY_WINDOW);
    let last = site.machines.len() - 1;
    let stop = Arc::new(AtomicBool::new(false));
    let results = Arc::new(Mutex::new(BTreeMap::new()));
    let mut clients = Vec::new();
    for machine in &site.machines {
        machine.backend.work_ms.store(100, Ordering::SeqCst);
    }
    // Only clients of machines that stay untouched count, and only these send.
    for machine in &site.machines[..last] {
        for _ in 0..CLIENT_COUNT {
            let (address, stop, record) = (machine.outbound.clone(), Arc::clone(&stop), Arc::clone(&record));
            let results = Arc::clone(&results);
            clients.push(thread::spawn(move || {
                while !stop.load(Ordering::SeqCst) {
                    let id = new_id();
                    let answer = call(&address, "POST", "/orders/new", &id, 1_000, b"order");
                    let result = answer.map(|answer| answer.status());
                    record.line(format!("client id={id}: {result:?}"));
                    results.lock().unwrap().insert(id, result);
                    thread::sleep(ms(15));
                }
            }));
        }
    }
    thread::sleep(ms(2_000));
    let backend = Arc::clone(&site.machines[last].backend);
    backend.stop_beating();
    // The heartbeat that will arrive late is sent before the deregistration, by its sequence.
    let late_sequence = backend.next_sequence();
    let late_at = Instant::now() + HEARTBEAT_DELAY;
    let acknowledged = backend.deregister();
    let left_at = Instant::now();
    record.line(format!(
        "deregistered {} acknowledged={acknowledged}",
        backend.start().instance
    ));
    let mut restarted_at = left_at;
    if trouble() {
        thread::sleep(ms(200));
        record.line(format!("SIGKILL to {}", site.machines[last].name));
        site.machines[last].kill();
        thread::sleep(ms(300));
        site.machines[last].start_node();
        restarted_at = Instant::now();
        record.line(format!("{} started again", site.machines[last].name));
    }
    thread::sleep(late_at.saturating_duration_since(Instant::now()));
    let taken = backend.send_beat("ready", late_sequence);
    record.line(format!(
        "late heartbeat sequence={late_sequence} acknowledged={taken}"
    ));
    thread::sleep((left_at + SERVE_ON).saturating_duration_since(Instant::now()));
    record.line(format!("{} ends", backend.start().instance));
    backend.end();
    thread::sleep(ms(500));
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        client.join().unwrap();
    }
    // Both the machine that took the request and the one that sent it on must be in touch.
    let counted_from = (left_at + DRAIN).max(restarted_at + STABILITY_WINDOW);
    let results = results.lock().unwrap();
    let (mut before, mut after, mut lost) = (0, 0, 0);
    for run in backend.runs() {
        if run.began_at > counted_from && !run.answered {
            lost += 1;
            record.line(format!(
                "cut off by the backend's end id={}: {:?}",
                run.id,
                results.get(&run.id)
            ));
        }
        if run.began_at < left_at {
            before += 1;
        }
        if run.began_at > counted_from {
            after += 1;
            record.line(format!(
                "DRAIN id={} ran {} ms after the acknowledgement",
                run.id,
                (run.began_at - left_at).as_millis()
            ));
        }
    }
    let verdict = format!(
        "acknowledged={acknowledged}; runs before the leaving {before}, later than {} ms after its acknowledgement {after}, \
         of these orders cut off by its end {lost}",
        (counted_from - left_at).as_millis()
    );
    if before == 0 || !acknowledged {
        record.finish(site, 2, &verdict);
    }
    record.finish(site, i32::from(after > 0), &verdict)
}
