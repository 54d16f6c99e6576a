//! `testbed slopes`: measures how state size, bytes and processor time of the control plane grow
//! with the number of services and of members, in one process.

use std::collections::BTreeMap;
use std::hint::black_box;
use std::sync::Arc;
use std::time::Instant;

use anyhow::Context as _;
use figway_control::Mesh;
use figway_customers::{
    identify,
    Credentials,
    Customer,
    CustomerIndex,
    KeyDigest,
    Parent, //
};
use figway_profile::{
    Change,
    ChangeRecord,
    Fold, //
};
use figway_types::{
    ChangeId,
    LogEra,
    LogRecord,
    Member,
    MemberState,
    NodeId,
    Offset,
    Target, //
};

use crate::cmd::{
    Run,
    Slopes, //
};

/// Numbers of services that are measured.
const SERVICE_COUNTS: [usize; 5] = [10, 100, 1_300, 5_000, 10_000];

/// Numbers of members that are measured.
const MEMBER_COUNTS: [usize; 5] = [10, 100, 1_000, 6_700, 10_000];

/// Numbers of customers that are measured.
const CUSTOMER_COUNTS: [usize; 3] = [1, 85, 1_000];

/// Number of identifications that are timed together.
const IDENTIFY_COUNT: u32 = 200_000;

/// Number of profiles that services pick from.
const PROFILE_COUNT: usize = 3;

/// Number of repetitions of a timed step.
const REPEAT_COUNT: u32 = 20;

impl Run for Slopes {
    async fn run(&self) -> anyhow::Result<()> {
        println!("services fold_us_per_record state_bytes state_load_ms");
        for service_count in SERVICE_COUNTS {
            measure_services(service_count)?;
        }
        println!(
            "members member_bytes merge_us_per_member view_rebuild_ms change_install_ms \
             resident_mib"
        );
        for member_count in MEMBER_COUNTS {
            measure_members(member_count)?;
        }
        println!("customers identify_known_us identify_unknown_us identify_nested_us");
        for customer_count in CUSTOMER_COUNTS {
            measure_identification(customer_count)?;
        }
        Ok(())
    }
}

fn record(offset: u64, change: Change) -> LogRecord {
    let record = ChangeRecord {
        change_id: ChangeId(figway_types::mix(offset)),
        restores: None,
        author: "operator".to_owned(),
        change,
    };
    LogRecord {
        offset: Offset(offset),
        written_era: LogEra::default(),
        appended_at_ms: 1,
        body: record.to_body(),
    }
}

/// Returns log records that publish the profiles and switch each service once.
fn change_records(service_count: usize) -> Vec<LogRecord> {
    let mut records = Vec::new();
    for profile in 0..PROFILE_COUNT {
        let mut body = String::from("kinds:\n");
        for kind in 0..8 {
            body += &format!("  - {{name: kind-{kind}, path_prefix: /kind-{kind}, worth: 2}}\n");
        }
        let change = Change::Publish {
            profile: format!("profile-{profile}"),
            expected_version_offset: Offset(0),
            body,
        };
        records.push(record(records.len() as u64 + 1, change));
    }
    for service in 0..service_count {
        let change = Change::Switch {
            service: format!("service-{service}"),
            expected_pick_offset: Offset(0),
            profile: format!("profile-{}", service % PROFILE_COUNT),
        };
        records.push(record(records.len() as u64 + 1, change));
    }
    records
}

/// Measures the fold of a log with one switch for each service, and prints one line.
fn measure_services(service_count: usize) -> anyhow::Result<()> {
    let records = change_records(service_count);
    let started_at = Instant::now();
    let mut fold = Fold::default();
    for record in &records {
        fold.apply(record);
    }
    let fold_us = started_at.elapsed().as_micros() as f64 / records.len() as f64;
    let text = serde_json::to_string(fold.state())?;
    let started_at = Instant::now();
    let loaded = Fold::from_state(serde_json::from_str(&text)?);
    anyhow::ensure!(
        loaded.as_of_offset() == fold.as_of_offset(),
        "the loaded state has another offset than the saved one"
    );
    println!(
        "{service_count} {fold_us:.1} {} {:.1}",
        text.len(),
        started_at.elapsed().as_secs_f64() * 1e3
    );
    Ok(())
}

fn member(index: usize, service_count: usize) -> Member {
    Member {
        node_id: NodeId(format!("zone-{}-host-{index:05}", index % 12)),
        generation_ms: 1_796_000_000_000,
        incarnation: 3,
        state: MemberState::Live,
        region: format!("region-{}", index % 3),
        zone: format!("zone-{}", index % 12),
        control_address: format!("10.{}.{}.7:7100", index / 250, index % 250),
        call_address: format!("10.{}.{}.7:7101", index / 250, index % 250),
        log_round_trip_ms: 0,
        link_mbps: 0,
        target: Some(Target {
            service: format!("service-{}", index % service_count),
            instance: String::new(),
            started_at_ms: 0,
            address: format!("10.{}.{}.7:8080", index / 250, index % 250),
            slot_count: 17,
            labels: BTreeMap::from([("track".to_owned(), "stable".to_owned())]),
            draining: false,
        }),
    }
}

/// Measures a mesh with `member_count` remote members, and prints one line.
fn measure_members(member_count: usize) -> anyhow::Result<()> {
    // One service for every five targets, the ratio of the largest deployment that figway is
    // designed for.
    let service_count = (member_count / 5).max(1);
    let members: Vec<Member> = (0..member_count)
        .map(|index| member(index, service_count))
        .collect();
    let member_bytes = serde_json::to_string(&members[0])?.len();
    let mesh = Mesh::new("farm", member(member_count, service_count), None, 1);
    let started_at = Instant::now();
    mesh.merge_members(&members);
    let merge_us = started_at.elapsed().as_micros() as f64 / member_count as f64;
    mesh.apply_records(&change_records(service_count));
    mesh.rebuild_view();
    let started_at = Instant::now();
    for _ in 0..REPEAT_COUNT {
        mesh.rebuild_view();
    }
    let rebuild_ms = started_at.elapsed().as_secs_f64() * 1e3 / f64::from(REPEAT_COUNT);
    let mut offset = mesh.applied_offset().0;
    let started_at = Instant::now();
    for round in 0..REPEAT_COUNT {
        offset += 1;
        let change = Change::Switch {
            service: "service-0".to_owned(),
            expected_pick_offset: pick_offset(&mesh),
            profile: format!("profile-{}", round % 2),
        };
        mesh.apply_records(&[record(offset, change)]);
    }
    let install_ms = started_at.elapsed().as_secs_f64() * 1e3 / f64::from(REPEAT_COUNT);
    println!(
        "{member_count} {member_bytes} {merge_us:.1} {rebuild_ms:.2} {install_ms:.2} {:.1}",
        resident_mib()?
    );
    Ok(())
}

/// Measures the processor time of the identification of a caller.
fn measure_identification(customer_count: usize) -> anyhow::Result<()> {
    let mut customers = BTreeMap::new();
    for number in 0..customer_count {
        let key = KeyDigest::of_key(&format!("{number:020}")).context("the key is valid")?;
        let customer = Customer {
            key_digests: vec![key],
            ..Customer::default()
        };
        customers.insert(format!("c{number}"), Arc::new(customer));
    }
    let index = CustomerIndex::new(&customers);
    let known = format!("{:020}", customer_count / 2);
    let parent = Parent::Running(Some(Arc::from("c0")));
    let mut spent_us = Vec::new();
    for (credentials, parent) in [
        (Credentials::Key(&known), Parent::None),
        (Credentials::Key("unknown-key-of-a-call"), Parent::None),
        (Credentials::Absent, parent),
    ] {
        let started = Instant::now();
        for _ in 0..IDENTIFY_COUNT {
            black_box(identify(
                Some(&index),
                black_box(credentials),
                false,
                parent.clone(),
            ));
        }
        spent_us.push(started.elapsed().as_secs_f64() * 1e6 / f64::from(IDENTIFY_COUNT));
    }
    println!(
        "{customer_count} {:.3} {:.3} {:.3}",
        spent_us[0], spent_us[1], spent_us[2]
    );
    Ok(())
}

fn pick_offset(mesh: &Mesh) -> Offset {
    let fold = mesh.fold();
    fold.state()
        .picks
        .get("service-0")
        .map_or(Offset(0), |pick| pick.pick_offset)
}

/// Returns the resident memory of this process, in MiB. Assumes pages of 4 KiB.
fn resident_mib() -> anyhow::Result<f64> {
    let statm = std::fs::read_to_string("/proc/self/statm")?;
    let pages: f64 = statm.split(' ').nth(1).unwrap_or("0").parse()?;
    Ok(pages * 4.0 / 1_024.0)
}
