//! JSON over HTTP interface of a node for operators and targets.

use std::time::{
    Duration,
    Instant, //
};

use figway_control::survey_everywhere;
use figway_http::{
    Answer,
    Request, //
};
use figway_types::{
    Announcement,
    MemberState,
    Offset,
    Target, //
};
use serde::Serialize;
use serde_json::{
    json,
    Value, //
};

use crate::explain::{
    explain_request,
    ExplainRequest, //
};
use crate::worker::Worker;

/// Timeout of a survey of all members.
const SURVEY_TIMEOUT: Duration = Duration::from_secs(3);

/// Prefix of the paths that operators and targets request.
const PATH_PREFIX: &str = "/figway/";

/// Answers a request of an operator or of the local target. Returns `None` for any other request.
pub(crate) async fn answer(worker: &Worker, request: &Request) -> Option<Answer> {
    if !request.path.starts_with(PATH_PREFIX) {
        return None;
    }
    let (path, query) = request.path.split_once('?').unwrap_or((&request.path, ""));
    let answer = match (request.method.as_str(), path) {
        ("POST", "/figway/announce") => announce(worker, &request.body).await,
        ("GET", "/figway/in-force") => in_force(worker, query).await,
        ("GET", "/figway/status") => json_answer(200, &node_status(worker)),
        ("POST", "/figway/explain") => explain(worker, &request.body),
        ("GET", "/figway/members") => members(worker),
        _ => Answer::of_status(404),
    };
    Some(answer)
}

/// `POST /figway/announce`: the local target announces its address, its service, its slots and
/// whether it is draining.
async fn announce(worker: &Worker, body: &[u8]) -> Answer {
    let target = match serde_json::from_slice::<Target>(body) {
        // These announcements carry no sequence number, so they are not ordered by start either.
        Ok(target) if target.address.parse::<std::net::SocketAddr>().is_ok() => Target {
            started_at_ms: 0,
            ..target
        },
        Ok(_) => return bad_request("address: expected IP:PORT"),
        Err(error) => return bad_request(&error.to_string()),
    };
    let announcement = Announcement {
        target,
        sequence: 0,
        cold_start_remaining_ms: 0,
    };
    match worker.plane.record_announcement(&announcement).await {
        Ok(_) => Answer::of_status(204),
        Err(why) => bad_request(&why),
    }
}

/// `GET /figway/in-force?service=S&version=N`: asks every member whether the version is in force.
async fn in_force(worker: &Worker, query: &str) -> Answer {
    let mut service = None;
    let mut version = None;
    for pair in query.split('&') {
        match pair.split_once('=') {
            Some(("service", value)) => service = Some(value),
            Some(("version", value)) => version = value.parse().ok().map(Offset),
            _ => {}
        }
    }
    let (Some(service), Some(version)) = (service, version) else {
        return bad_request("service and version are required");
    };
    let mesh = &worker.plane.mesh;
    let deadline = Instant::now() + SURVEY_TIMEOUT;
    json_answer(
        200,
        &survey_everywhere(mesh, service, version, deadline).await,
    )
}

/// `POST /figway/explain`: returns where a request would go now. Nothing is sent.
fn explain(worker: &Worker, body: &[u8]) -> Answer {
    match serde_json::from_slice::<ExplainRequest>(body) {
        Ok(request) => json_answer(200, &explain_request(worker, &request)),
        Err(error) => bad_request(&error.to_string()),
    }
}

/// `GET /figway/members`: returns all members as this node knows them.
fn members(worker: &Worker) -> Answer {
    let members = worker.plane.mesh.members();
    let list: Vec<_> = members.members().collect();
    json_answer(200, &list)
}

fn bad_request(why: &str) -> Answer {
    json_answer(400, &json!({ "error": why }))
}

fn json_answer(status: u16, value: &impl Serialize) -> Answer {
    match serde_json::to_string(value) {
        Ok(body) => Answer::of_json(status, body),
        Err(error) => {
            log::error!("could not serialize an answer: {error}");
            Answer::of_status(500)
        }
    }
}

fn node_status(worker: &Worker) -> Value {
    let plane = &worker.plane;
    let mesh = &plane.mesh;
    let view = mesh.view();
    let mut services = serde_json::Map::new();
    for (service, in_force) in &view.services {
        let entry = json!({
            "profile": in_force.profile_name,
            "version": in_force.version_offset,
        });
        services.insert(service.clone(), entry);
    }
    let mut held = serde_json::Map::new();
    for (service, held_move) in &view.held {
        let entry = json!({
            "profile": held_move.profile_name,
            "version": held_move.version_offset,
            "findings": held_move.findings.to_string(),
        });
        held.insert(service.clone(), entry);
    }
    let (running_count, waiting_count) = plane.gate.counts();
    let members = mesh.members();
    let mut live_count = 0;
    let mut suspect_count = 0;
    for member in members.members() {
        match member.state {
            MemberState::Live => live_count += 1,
            MemberState::Suspect => suspect_count += 1,
            MemberState::Draining | MemberState::Left => {}
        }
    }
    json!({
        "node": members.own(),
        "applied": mesh.applied_offset(),
        "routes": view.routes.version,
        "services": services,
        "held": held,
        "live_count": live_count,
        "suspect_count": suspect_count,
        "running_count": running_count,
        "waiting_count": waiting_count,
        "control_region_bytes": mesh.meter().region_bytes(),
        "control_far_bytes": mesh.meter().cross_region_bytes(),
    })
}
