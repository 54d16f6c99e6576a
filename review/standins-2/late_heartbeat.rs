//! Case 7: a back end deregisters and is acknowledged, all nodes are killed at once and start again,
//! and a heartbeat from before arrives late. Counted are the requests that the back end still gets.

use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::world::{call, next_id, World};
use crate::Verdict;

const SERVICES: [&str; 2] = ["stock", "orders"];

/// Bound of the rule: no request reaches the back end later than this after the acknowledgement.
const DRAIN: Duration = Duration::from_millis(2_000);

/// Time for which a machine must have run to be in touch.
const STABILITY_WINDOW: Duration = Duration::from_millis(3_000);

/// Delay of the late heartbeat.
const HEARTBEAT_DELAY: Duration = Duration::from_millis(3_000);

const LOAD_TIME: Duration = Duration::from_millis(2_500);

pub fn run(trouble: bool) -> Verdict {
    let mut world = World::start(&["muscat-a", "sohar-a"], &SERVICES, 800);
    world.wait_ready(&SERVICES)?;
    let record = Arc::clone(&world.record);
    std::thread::sleep(STABILITY_WINDOW + Duration::from_millis(500));
    let backend = Arc::clone(&world.machines[1].backend);
    // The last heartbeat before the end leaves the back end now and is under way for some seconds.
    backend.beats.store(false, Ordering::Relaxed);
    let late_sequence = backend.next_sequence();
    let late_until = Instant::now() + HEARTBEAT_DELAY;
    record.line(&format!(
        "heartbeat {late_sequence} of {} is sent, ready",
        backend.id
    ));
    let acknowledged = backend.deregister();
    let acknowledged_at = Instant::now();
    record.line(&format!(
        "deregistration of {}: acknowledged {acknowledged}",
        backend.id
    ));
    if !acknowledged {
        return Err("the deregistration was not acknowledged".to_owned());
    }
    std::thread::sleep(Duration::from_millis(500));
    if trouble {
        for machine in &mut world.machines {
            machine.kill_node();
        }
        record.line("all nodes were killed");
        for machine in &mut world.machines {
            machine.restart_node();
        }
        record.line("all nodes were started again");
    }
    let restarted_at = Instant::now();
    std::thread::sleep(late_until.saturating_duration_since(Instant::now()));
    let late_answer = backend.heartbeat_of(late_sequence);
    record.line(&format!(
        "heartbeat {late_sequence} arrives late: answered with success {late_answer}"
    ));
    let in_touch_at = restarted_at + STABILITY_WINDOW + Duration::from_millis(100);
    std::thread::sleep(
        in_touch_at
            .max(acknowledged_at + DRAIN)
            .saturating_duration_since(Instant::now()),
    );
    record.line("all machines are in touch, and the drain time is over");
    let judged_from = Instant::now();
    let sent = Arc::new(Mutex::new(Vec::new()));
    let mut clients = Vec::new();
    for (index, machine) in world.machines.iter().enumerate() {
        let (address, sent, record) = (
            machine.callers.clone(),
            Arc::clone(&sent),
            Arc::clone(&record),
        );
        clients.push(std::thread::spawn(move || {
            while judged_from.elapsed() < LOAD_TIME {
                let id = next_id();
                record.line(&format!("sent {id} POST orders at machine {index}"));
                let called = call(&address, "POST", "/orders/1", &id, 800, b"order");
                record.line(&format!(
                    "ended {id} status {} after {} ms",
                    called.status,
                    called.took.as_millis()
                ));
                sent.lock()
                    .expect("no holder panics")
                    .push((id, called.status));
                std::thread::sleep(Duration::from_millis(20));
            }
        }));
    }
    for client in clients {
        client.join().expect("a client does not panic");
    }
    world.record_runs(judged_from);
    let sent = sent.lock().expect("no holder panics");
    let mut late_count = 0;
    for run in backend.runs.lock().expect("no holder panics").iter() {
        if run.at < judged_from || !sent.iter().any(|(id, _)| *id == run.id) {
            continue;
        }
        late_count += 1;
        let after = run.at.saturating_duration_since(acknowledged_at);
        record.line(&format!(
            "{} reached {} {} ms after the acknowledgement",
            run.id,
            backend.id,
            after.as_millis()
        ));
    }
    let served_count = sent.iter().filter(|(_, status)| *status == 200).count();
    let text = format!(
        "{} requests sent, {served_count} served, {late_count} reached the back end that had left: rule {}",
        sent.len(),
        if late_count > 0 { "broken" } else { "held" }
    );
    record.line(&text);
    println!("{text}");
    Ok(late_count > 0)
}
