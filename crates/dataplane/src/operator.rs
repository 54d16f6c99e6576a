//! What operators and targets ask of a node, as JSON over HTTP.

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

use crate::worker::Worker;

/// How long a survey takes at most.
const SURVEY_WAIT: Duration = Duration::from_secs(3);

/// Start of the paths that operators and targets ask.
const PATH_PREFIX: &str = "/figway/";

/// Answers a request of an operator or a target, if it is one.
pub(crate) async fn answer(worker: &Worker, request: &Request) -> Option<Answer> {
    if !request.path.starts_with(PATH_PREFIX) {
        return None;
    }
    let (path, query) = request.path.split_once('?').unwrap_or((&request.path, ""));
    let answer = match (request.method.as_str(), path) {
        ("POST", "/figway/announce") => announce(worker, &request.body),
        ("GET", "/figway/in-force") => in_force(worker, query).await,
        ("GET", "/figway/status") => of_value(200, &status_of(worker)),
        ("GET", "/figway/members") => members(worker),
        _ => Answer::of_status(404),
    };
    Some(answer)
}

/// `POST /figway/announce`: the target beside the node says what it is and whether it drains.
fn announce(worker: &Worker, body: &[u8]) -> Answer {
    let target = match serde_json::from_slice::<Target>(body) {
        Ok(target) if target.address.parse::<std::net::SocketAddr>().is_ok() => target,
        Ok(_) => return refused("address: expected IP:PORT"),
        Err(error) => return refused(&error.to_string()),
    };
    let announcement = Announcement {
        target,
        started_at_ms: 0,
        sequence: 0,
        cold_start_remaining_ms: 0,
    };
    match worker.plane.record_announcement(&announcement) {
        Ok(_) => Answer::of_status(204),
        Err(why) => refused(&why),
    }
}

/// `GET /figway/in-force?service=S&version=N`: asks every member.
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
        return refused("service and version are required");
    };
    let mesh = &worker.plane.mesh;
    let deadline = Instant::now() + SURVEY_WAIT;
    of_value(
        200,
        &survey_everywhere(mesh, service, version, deadline).await,
    )
}

/// `GET /figway/members`: every member as the node sees it.
fn members(worker: &Worker) -> Answer {
    let members = worker.plane.mesh.members();
    let list: Vec<_> = members.members().collect();
    of_value(200, &list)
}

fn refused(why: &str) -> Answer {
    of_value(400, &json!({ "error": why }))
}

fn of_value(status: u16, value: &impl Serialize) -> Answer {
    match serde_json::to_string(value) {
        Ok(body) => Answer::of_json(status, body),
        Err(error) => {
            log::error!("could not write an answer: {error}");
            Answer::of_status(500)
        }
    }
}

fn status_of(worker: &Worker) -> Value {
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
