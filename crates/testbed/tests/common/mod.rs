//! What the failure runs share.

#![allow(dead_code)]

use std::path::PathBuf;
use std::time::Duration;

use figway_testbed::deployment::{
    Deployment,
    AL_RAMLA,
    VERBAND, //
};
use figway_testbed::fleet::Fleet;
use figway_testbed::process::Signal;

/// Longest wait for what must come about within seconds; the stated target is 20 s.
pub(crate) const WAIT: Duration = Duration::from_secs(20);

/// Folder of a deployment's profiles.
pub(crate) fn profiles(deployment: &Deployment) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("../../deploy")
        .join(deployment.name)
        .join("profiles")
}

/// Starts Al Ramla with one host for each service in each of the first zones, on steady.
pub(crate) async fn al_ramla(name: &str, services: &[&str], zone_count: usize) -> Fleet {
    let fleet = Fleet::start_deployment(name, &AL_RAMLA, services, zone_count, false)
        .await
        .unwrap();
    fleet
        .publish_and_switch_to_steady(&profiles(&AL_RAMLA), services)
        .await
        .unwrap();
    fleet
}

/// Starts the Verband likewise.
pub(crate) async fn verband(name: &str, services: &[&str], zone_count: usize) -> Fleet {
    let fleet = Fleet::start_deployment(name, &VERBAND, services, zone_count, false)
        .await
        .unwrap();
    fleet
        .publish_and_switch_to_steady(&profiles(&VERBAND), services)
        .await
        .unwrap();
    fleet
}

/// Sends a signal to the node of each host.
pub(crate) fn signal_nodes(fleet: &Fleet, signal: Signal) {
    for host in &fleet.hosts {
        host.node.signal(signal).unwrap();
    }
}
