//! Case 8: the platform moves the store to another address, replaces the settings and sends SIGHUP to
//! each node. Some seconds later the operator writes a version that adds a route. Counted are the
//! requests on that route that are refused as unknown.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::relay::Relay;
use crate::world::{call, config, next_id, World, SIGHUP};
use crate::Verdict;

const SERVICES: [&str; 2] = ["stock", "orders"];

/// Bound of the rule: a version is in force this long after its acknowledgement.
const CONFIG_APPLY: Duration = Duration::from_millis(2_000);

/// Time without disruption after which machines are in touch and the store is stable.
const STABILITY_WINDOW: Duration = Duration::from_millis(3_000);

/// Time from SIGHUP until the old address of the store is closed.
const MOVE_TIME: Duration = Duration::from_secs(5);

const LOAD_TIME: Duration = Duration::from_secs(3);

pub fn run(trouble: bool) -> Verdict {
    let mut world = World::start(&["muscat-a", "sohar-a"], &SERVICES, 800);
    world.wait_ready(&SERVICES)?;
    let record = Arc::clone(&world.record);
    std::thread::sleep(STABILITY_WINDOW);
    if trouble {
        let moved = Relay::start(&world.store.address);
        record.line(&format!(
            "the store answers at {} too; settings replaced, SIGHUP to each node",
            moved.address
        ));
        for machine in &mut world.machines {
            machine.store = moved.address.clone();
            machine.write_settings();
            machine.signal(SIGHUP);
        }
        std::thread::sleep(MOVE_TIME);
        world.store_link.close();
        record.line("the old address of the store is closed");
    } else {
        std::thread::sleep(MOVE_TIME);
    }
    std::thread::sleep(STABILITY_WINDOW + Duration::from_millis(500));
    let added = ["stock", "orders", "news"];
    let mut version = config(2, &added, 800);
    // The added route leads to the service that runs already.
    version = version.replace("\"service\":\"news\"", "\"service\":\"stock\"");
    world.store.write_config(&version);
    let acknowledged_at = Instant::now();
    record.line("version 2 is acknowledged: it adds the route /news/");
    std::thread::sleep(CONFIG_APPLY + Duration::from_millis(100));
    let (mut sent_count, mut refused_count) = (0, 0);
    while acknowledged_at.elapsed() < CONFIG_APPLY + LOAD_TIME {
        for (index, machine) in world.machines.iter().enumerate() {
            let id = next_id();
            let after = acknowledged_at.elapsed().as_millis();
            let called = call(&machine.callers, "POST", "/news/1", &id, 800, b"");
            record.line(&format!(
                "sent {id} POST /news/1 at machine {index} {after} ms after it: status {}",
                called.status
            ));
            sent_count += 1;
            refused_count += usize::from(called.status == 404);
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    world.record_runs(acknowledged_at);
    for machine in &mut world.machines {
        if let Some(status) = machine.ended() {
            record.line(&format!("{} has ended: {status}", machine.name));
        }
    }
    let broken = refused_count > 0;
    let text = format!(
        "{sent_count} requests on the added route sent, {refused_count} refused with 404: rule {}",
        if broken { "broken" } else { "held" }
    );
    record.line(&text);
    println!("{text}");
    Ok(broken)
}
