//! Tests of the reservation of ports.

use std::net::TcpListener;
use std::process::Command;
use std::sync::atomic::{
    AtomicBool,
    Ordering, //
};

use figway_testbed::ports::ReservedPorts;

const TRY_COUNT: usize = 20_000;

const STARTING_THREAD_COUNT: usize = 4;

/// Guards against a node that can't listen on its port because another test started a process while
/// the port was reserved.
#[test]
fn a_reserved_port_is_free_while_other_threads_start_processes() {
    let done = AtomicBool::new(false);
    let in_use_count = std::thread::scope(|scope| {
        for _ in 0..STARTING_THREAD_COUNT {
            scope.spawn(|| {
                while !done.load(Ordering::Relaxed) {
                    Command::new("true").status().unwrap();
                }
            });
        }
        let mut in_use_count = 0;
        for _ in 0..TRY_COUNT {
            let port = ReservedPorts::default().reserve();
            if TcpListener::bind(("127.0.0.1", port)).is_err() {
                in_use_count += 1;
            }
        }
        done.store(true, Ordering::Relaxed);
        in_use_count
    });
    assert_eq!(in_use_count, 0, "of {TRY_COUNT} ports");
}
