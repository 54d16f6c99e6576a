//! What operators and targets ask of a node, as JSON over HTTP.

use std::rc::Rc;
use std::time::{
    Duration,
    Instant, //
};

use figway_control::survey_everywhere;
use figway_types::{
    MemberState,
    Offset,
    Target, //
};
use ntex::web::types::{
    Json,
    Query,
    State, //
};
use ntex::web::HttpResponse;
use serde::Deserialize;
use serde_json::{
    json,
    Value, //
};

use crate::plane::Worker;

/// How long a survey takes at most.
const SURVEY_WAIT: Duration = Duration::from_secs(3);

#[derive(Deserialize)]
pub(crate) struct InForceQuery {
    service: String,
    version: Offset,
}

/// `POST /figway/announce`: the target beside the node says what it is and whether it drains.
pub(crate) async fn announce(worker: State<Rc<Worker>>, target: Json<Target>) -> HttpResponse {
    let target = target.into_inner();
    if target.address.parse::<std::net::SocketAddr>().is_err() || target.slot_count == 0 {
        return HttpResponse::BadRequest().json(&json!({
            "error": "an announcement needs address: IP:PORT and slot_count: 1 or more",
        }));
    }
    let plane = &worker.plane;
    plane.target_watch.announce(&plane.mesh, &target);
    HttpResponse::NoContent().finish()
}

/// `GET /figway/in-force?service=S&version=N`: asks every member.
pub(crate) async fn in_force(
    worker: State<Rc<Worker>>,
    query: Query<InForceQuery>,
) -> HttpResponse {
    let mesh = &worker.plane.mesh;
    let deadline = Instant::now() + SURVEY_WAIT;
    let report = survey_everywhere(mesh, &query.service, query.version, deadline).await;
    HttpResponse::Ok().json(&report)
}

/// `GET /figway/status`: the node, what is in force on it and what it holds back.
pub(crate) async fn status(worker: State<Rc<Worker>>) -> HttpResponse {
    HttpResponse::Ok().json(&status_of(&worker))
}

/// `GET /figway/members`: every member as the node sees it.
pub(crate) async fn members(worker: State<Rc<Worker>>) -> HttpResponse {
    let members = worker.plane.mesh.members();
    let list: Vec<_> = members.members().collect();
    HttpResponse::Ok().json(&list)
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
        "services": services,
        "held": held,
        "live_count": live_count,
        "suspect_count": suspect_count,
        "running_count": running_count,
        "waiting_count": waiting_count,
        "control_region_bytes": mesh.meter().region_bytes(),
        "control_far_bytes": mesh.meter().far_bytes(),
    })
}
