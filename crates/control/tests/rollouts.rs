//! Rollouts at one node: orders that wait for their service, reports to a node that takes none, and
//! runs while no rollout is known.

mod common;

use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::mpsc;
use std::sync::Arc;
use std::time::{
    Duration,
    Instant, //
};

use figway_control::{
    ControlBuilder,
    ControlPlane,
    Mesh, //
};
use figway_log_client::{
    AppendError,
    OrderRecord,
    ReadError,
    StatusLog,
    StatusPage, //
};
use figway_profile::{
    RouteTable,
    TargetLimits, //
};
use figway_rollout::{
    ExposureLimits,
    RolloutOrder,
    RolloutStatus,
    RunSample, //
};
use figway_test_support::live_member;
use figway_types::{
    Member,
    Offset,
    Target, //
};
use futures::future::LocalBoxFuture;
use tokio::net::TcpListener;
use tokio::task::LocalSet;

use crate::common::MemoryLog;

const SERVICE: &str = "shop";

/// Log of statuses that never answers.
struct SilentLog;

impl StatusLog for SilentLog {
    fn read_statuses(&self, _: Instant) -> LocalBoxFuture<'_, Result<StatusPage, ReadError>> {
        Box::pin(async { Err(ReadError::Unavailable("no log".to_owned())) })
    }

    fn append_status<'a>(
        &'a self,
        _: &'a RolloutStatus,
        _: Offset,
        _: Instant,
    ) -> LocalBoxFuture<'a, Result<(), AppendError>> {
        Box::pin(async { Err(AppendError::Unknown("no log".to_owned())) })
    }
}

fn target(version: &str) -> Target {
    Target {
        service: SERVICE.to_owned(),
        instance: "i-1".to_owned(),
        started_at_ms: 1,
        address: "127.0.0.1:1".to_owned(),
        slot_count: 4,
        labels: BTreeMap::from([("version".to_owned(), version.to_owned())]),
        draining: false,
    }
}

fn order(offset: u64, duration_ms: u64) -> OrderRecord {
    OrderRecord {
        order: RolloutOrder {
            service: SERVICE.to_owned(),
            target_version: "v2".to_owned(),
            duration_ms,
        },
        offset: Offset(offset),
    }
}

fn install_service(mesh: &Mesh) {
    let limits = TargetLimits {
        connection_max_count: 8,
    };
    mesh.install_route_table(RouteTable {
        version: 1,
        source_offset: Offset(1),
        services: BTreeMap::from([(SERVICE.to_owned(), limits)]),
        ..RouteTable::default()
    });
}

/// Starts a node far from the log, with a target of the new version.
async fn start_node() -> ControlPlane {
    let own = Member {
        log_round_trip_ms: 10_000,
        target: Some(target("v2")),
        ..live_member("node-1", "land", "east")
    };
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    ControlBuilder::new("rollouts", own, Rc::new(MemoryLog::default()))
        .rollouts(Rc::new(SilentLog), ExposureLimits::default())
        .start(listener)
        .unwrap()
}

/// Guards against an order that is dropped since it was read before the configuration with its service,
/// and against one that begins after its time.
#[tokio::test(flavor = "current_thread")]
async fn an_order_waits_until_its_service_is_known_or_it_has_ended() {
    let run = async {
        for (duration_ms, begins) in [(12_000, true), (200, false)] {
            let mesh = start_node().await.mesh;
            mesh.record_orders(&[order(5, duration_ms)], true);
            tokio::time::sleep(Duration::from_millis(300)).await;
            assert!(mesh.rollouts().get(SERVICE).is_none());
            install_service(&mesh);
            let until = Instant::now() + Duration::from_millis(500);
            while mesh.rollouts().get(SERVICE).is_none() && Instant::now() < until {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
            assert_eq!(mesh.rollouts().get(SERVICE).is_some(), begins);
            let book = mesh.rollouts();
            let Some(rollout) = book.get(SERVICE) else {
                continue;
            };
            let left = rollout.deadline() - Instant::now();
            assert!(left < Duration::from_millis(11_700), "{left:?}");
        }
    };
    LocalSet::new().run_until(run).await;
}

/// Accepts connections and closes them, as a node of an earlier build, which has no rollouts, does
/// on a report.
/// Returns the address and the number of connections.
async fn start_closing_peer() -> (String, Rc<Cell<usize>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let count = Rc::new(Cell::new(0));
    let counted = Rc::clone(&count);
    tokio::task::spawn_local(async move {
        while listener.accept().await.is_ok() {
            counted.set(counted.get() + 1);
        }
    });
    (address, count)
}

/// Guards against a node that connects ten times a second to one that closes each connection.
#[tokio::test(flavor = "current_thread")]
async fn reports_to_a_node_that_takes_none_become_rare() {
    let run = async {
        let (address, count) = start_closing_peer().await;
        let mesh = start_node().await.mesh;
        let decider = Member {
            control_address: address,
            ..live_member("node-2", "land", "west")
        };
        mesh.merge_members(&[decider]);
        install_service(&mesh);
        mesh.record_orders(&[order(5, 60_000)], true);
        let sample = RunSample::Failed;
        mesh.record_run(&target("v2"), "reads", sample, false);
        tokio::time::sleep(Duration::from_secs(4)).await;
        let reports = count.get();
        assert!((2..16).contains(&reports), "{reports} connections");
    };
    LocalSet::new().run_until(run).await;
}

/// Guards against calls that wait for the rollouts of a node that knows none.
#[test]
fn a_run_waits_for_no_rollout_while_none_is_known() {
    let mesh = Mesh::new("rollouts", live_member("node-1", "land", "east"), None, 1);
    assert!(!mesh.has_rollouts());
    let held = mesh.rollouts();
    let (done, is_done) = mpsc::channel();
    let caller = Arc::clone(&mesh);
    std::thread::spawn(move || {
        caller.record_run(&target("v1"), "reads", RunSample::Failed, false);
        done.send(()).ok();
    });
    assert!(is_done.recv_timeout(Duration::from_secs(2)).is_ok());
    drop(held);
    install_service(&mesh);
    mesh.record_orders(&[order(5, 12_000)], true);
    assert!(mesh.has_rollouts());
}
