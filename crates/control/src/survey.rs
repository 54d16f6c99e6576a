//! Survey of whether a version is in force everywhere, as a scatter-gather over a tree of the
//! members that have not left.

use std::sync::Arc;
use std::time::Instant;

use figway_types::{
    deadline_after_ms,
    MemberState,
    Offset, //
};
use futures::future::LocalBoxFuture;
use futures::stream::{
    FuturesUnordered,
    StreamExt as _, //
};

use crate::dial::{
    context_until,
    dial, //
};
use crate::mesh::Mesh;
use crate::rpc::{
    LaggingNode,
    SurveyNode,
    SurveyReport,
    SurveyRequest, //
};

/// Largest number of children of each node of the tree.
const FAN_OUT: usize = 16;

/// Largest number of nodes in each list of a report.
const NAME_MAX_COUNT: usize = 32;

/// Part of the remaining time that a child gets, so that its answer arrives before the parent's
/// deadline.
const CHILD_TIME_RATIO: f64 = 0.8;

/// Asks all members that have not left whether `version_offset` of `service` is in force.
pub async fn survey_everywhere(
    mesh: &Mesh,
    service: &str,
    version_offset: Offset,
    deadline: Instant,
) -> SurveyReport {
    let mut below = Vec::new();
    {
        let members = mesh.members();
        for member in members.members() {
            if member.state == MemberState::Left || member.node_id == members.own().node_id {
                continue;
            }
            below.push(SurveyNode {
                node_id: member.node_id.clone(),
                control_address: member.control_address.clone(),
            });
        }
    }
    let left = deadline.saturating_duration_since(Instant::now());
    let request = SurveyRequest {
        service: service.to_owned(),
        version_offset,
        left_ms: left.as_millis() as u64,
        below,
    };
    run_survey(mesh, &request).await
}

/// Surveys this node and the nodes below it.
pub(crate) fn run_survey<'a>(
    mesh: &'a Mesh,
    request: &'a SurveyRequest,
) -> LocalBoxFuture<'a, SurveyReport> {
    Box::pin(async move {
        let deadline = deadline_after_ms(Instant::now(), request.left_ms);
        let mut report = own_report(mesh, &request.service, request.version_offset);
        let chunk_len = request.below.len().div_ceil(FAN_OUT).max(1);
        let mut asked = FuturesUnordered::new();
        for chunk in request.below.chunks(chunk_len) {
            asked.push(survey_chunk(mesh, request, chunk, deadline));
        }
        while let Some(part) = asked.next().await {
            report.add(part);
        }
        report
    })
}

/// Asks the first node of the chunk to survey the whole chunk. If it does not answer, asks the
/// next one to survey the remaining nodes.
async fn survey_chunk(
    mesh: &Mesh,
    request: &SurveyRequest,
    chunk: &[SurveyNode],
    deadline: Instant,
) -> SurveyReport {
    let mut report = SurveyReport::default();
    for (index, node) in chunk.iter().enumerate() {
        let now = Instant::now();
        if deadline <= now {
            report.silent_count += chunk.len() - index;
            for node in &chunk[index..] {
                report.silent.push(node.node_id.clone());
            }
            break;
        }
        let left_ms = deadline.saturating_duration_since(now).as_millis() as f64 * CHILD_TIME_RATIO;
        let below = SurveyRequest {
            service: request.service.clone(),
            version_offset: request.version_offset,
            left_ms: left_ms as u64,
            below: chunk[index + 1..].to_vec(),
        };
        match survey_node(mesh, node, below).await {
            Ok(part) => {
                report.add(part);
                break;
            }
            Err(error) => {
                log::debug!("could not survey node={}: {error:#}", node.node_id);
                report.silent_count += 1;
                report.silent.push(node.node_id.clone());
            }
        }
    }
    report.truncate();
    report
}

async fn survey_node(
    mesh: &Mesh,
    node: &SurveyNode,
    request: SurveyRequest,
) -> anyhow::Result<SurveyReport> {
    let cross_region = {
        let members = mesh.members();
        members
            .get(&node.node_id)
            .is_some_and(|member| member.region != members.own().region)
    };
    let deadline = deadline_after_ms(Instant::now(), request.left_ms);
    let client = dial(mesh, &node.control_address, cross_region).await?;
    Ok(client.survey(context_until(deadline), request).await?)
}

fn own_report(mesh: &Mesh, service: &str, version_offset: Offset) -> SurveyReport {
    let view: Arc<_> = mesh.view();
    if view.version_in_force(service) >= version_offset {
        return SurveyReport {
            in_force_count: 1,
            ..SurveyReport::default()
        };
    }
    let findings = view.held.get(service).map(|held| held.findings.to_string());
    SurveyReport {
        lagging_count: 1,
        lagging: vec![LaggingNode {
            node_id: mesh.members().own().node_id.clone(),
            applied_offset: mesh.applied_offset(),
            findings: findings.unwrap_or_default(),
        }],
        ..SurveyReport::default()
    }
}

impl SurveyReport {
    fn add(&mut self, part: SurveyReport) {
        self.in_force_count += part.in_force_count;
        self.lagging_count += part.lagging_count;
        self.silent_count += part.silent_count;
        self.lagging.extend(part.lagging);
        self.silent.extend(part.silent);
        self.truncate();
    }

    fn truncate(&mut self) {
        self.lagging.sort_by_key(|node| node.applied_offset);
        self.lagging.truncate(NAME_MAX_COUNT);
        self.silent.truncate(NAME_MAX_COUNT);
    }
}
