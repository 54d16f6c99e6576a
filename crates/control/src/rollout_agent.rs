//! Tasks of a node while a rollout is under way: they report what the target beside the node shows, and
//! on the first node by rank for the log they decide and record the status. Without a rollout they
//! wait.

use std::rc::Rc;
use std::sync::Arc;
use std::time::{
    Duration,
    Instant, //
};

use figway_log_client::{
    AppendError,
    StatusLog, //
};
use figway_rollout::{
    needs_status,
    plan_status,
    EvidenceReport,
    Phase,
    RolloutStatus,
    StatusState,
    StatusStep,
    OWN_STOP_LEVEL,
    STOP_LEVEL, //
};
use figway_types::{
    Member,
    NodeId,
    Offset, //
};

use crate::dial::{
    context_until,
    dial, //
};
use crate::mesh::Mesh;
use crate::rpc::PeerClient;

/// Shortest time between two rounds of a node.
const ROUND_MIN: Duration = Duration::from_millis(100);

/// Time of a round for each node of the mesh, so that with up to 250 nodes the node that decides gets at
/// most 500 reports a second.
const ROUND_PER_NODE: Duration = Duration::from_millis(2);

/// Longest time of a round.
const ROUND_MAX: Duration = Duration::from_millis(500);

/// Rounds between two reports of a target of the old version, which only show what is usual.
const OLD_REPORT_ROUND_COUNT: u32 = 4;

/// Timeout of one report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);

/// Pause of the node that decides between two checks whether the log has to be asked.
const STATUS_PAUSE: Duration = Duration::from_millis(50);

/// Pause after a request to the log that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Timeout of one request to the log.
const STATUS_TIMEOUT: Duration = Duration::from_millis(700);

/// Reports evidence, or decides, while a rollout is open. Runs until the process ends.
pub(crate) async fn run_rollouts(mesh: Arc<Mesh>) {
    let mut reporter = Reporter::default();
    loop {
        wait_for_rollout(&mesh).await;
        let report = mesh.own_evidence();
        let decides = mesh.log_rank() == Some(0);
        if let Some(report) = &report {
            let limit = match !decides && reporter.reaches_decider() {
                true => OWN_STOP_LEVEL,
                false => STOP_LEVEL,
            };
            mesh.merge_evidence(report, limit);
        }
        if decides {
            mesh.advance_rollouts();
        } else if let Some(report) = report {
            reporter.send(&mesh, &report).await;
        }
        tokio::time::sleep(round(&mesh)).await;
    }
}

/// Returns the time of a round. It leaves room for several rounds before a bad version may get no more
/// requests.
fn round(mesh: &Mesh) -> Duration {
    let by_size = ROUND_PER_NODE * mesh.view().node_count as u32;
    let rollback = mesh.rollouts().limits().rollback;
    let longest = (rollback / 10).clamp(ROUND_MIN, ROUND_MAX);
    by_size.clamp(ROUND_MIN, longest)
}

/// Waits until a rollout is open.
async fn wait_for_rollout(mesh: &Mesh) {
    let mut changes = mesh.watch_rollouts();
    while !mesh.rollouts().has_open() {
        if changes.changed().await.is_err() {
            return;
        }
    }
}

/// Sends reports to the node that decides.
#[derive(Default)]
struct Reporter {
    connection: Option<(NodeId, PeerClient)>,
    /// Receiver and number of runs of the last report that arrived.
    last: Option<(NodeId, u64, u64)>,
    skipped_count: u32,
    /// Whether the last report arrived.
    last_arrived: bool,
}

impl Reporter {
    /// Returns whether the reports of this node reach the one that decides.
    fn reaches_decider(&self) -> bool {
        self.last_arrived
    }

    /// Opens a connection to the node that decides, unless there is one.
    async fn connect(&mut self, mesh: &Mesh, decider: &Member) {
        let connected = self.connection.as_ref();
        if connected.is_some_and(|(to, _)| *to == decider.node_id) {
            return;
        }
        let cross_region = decider.region != mesh.members().own().region;
        self.connection = match dial(mesh, &decider.control_address, cross_region).await {
            Ok(client) => Some((decider.node_id.clone(), client)),
            Err(error) => {
                log::info!(
                    "could not report evidence node={} why={error:#}",
                    decider.node_id
                );
                None
            }
        };
    }

    /// Sends the report, unless the same counts have arrived or its turn has not come.
    async fn send(&mut self, mesh: &Mesh, report: &EvidenceReport) {
        let Some(decider) = mesh.first_log_reader() else {
            return;
        };
        let run_count = run_count(mesh, report);
        let sent = (decider.node_id.clone(), report.order_offset.0, run_count);
        if self.last.as_ref() == Some(&sent) {
            return;
        }
        if !has_new_version(mesh, report) && self.skipped_count + 1 < OLD_REPORT_ROUND_COUNT {
            self.skipped_count += 1;
            return;
        }
        self.skipped_count = 0;
        self.connect(mesh, &decider).await;
        let Some((_, client)) = &self.connection else {
            self.last_arrived = false;
            return;
        };
        let context = context_until(Instant::now() + REPORT_TIMEOUT);
        let reported = client.report_evidence(context, report.clone()).await;
        self.last_arrived = reported.is_ok();
        match reported {
            Ok(states) => {
                mesh.merge_rollout_states(&states);
                self.last = Some(sent);
            }
            Err(error) => {
                log::info!(
                    "could not report evidence node={} why={error}",
                    decider.node_id
                );
                self.connection = None;
            }
        }
    }
}

fn run_count(mesh: &Mesh, report: &EvidenceReport) -> u64 {
    let book = mesh.rollouts();
    let rollout = book.get(&report.service);
    rollout.map_or(0, |rollout| rollout.counter().run_count())
}

fn has_new_version(mesh: &Mesh, report: &EvidenceReport) -> bool {
    let book = mesh.rollouts();
    let rollout = book.get(&report.service);
    rollout.is_some_and(|rollout| {
        report
            .versions
            .contains_key(&rollout.order().target_version)
    })
}

/// Records the status of rollouts in the log, on the node that decides. Runs until the process ends.
pub(crate) async fn record_statuses(mesh: Arc<Mesh>, log: Rc<dyn StatusLog>) {
    loop {
        wait_for_rollout(&mesh).await;
        if mesh.log_rank() != Some(0) || !is_status_needed(&mesh) {
            tokio::time::sleep(STATUS_PAUSE).await;
            continue;
        }
        if let Err(why) = record_once(&mesh, log.as_ref()).await {
            log::warn!("could not record a rollout why={why}");
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        tokio::time::sleep(STATUS_PAUSE).await;
    }
}

fn is_status_needed(mesh: &Mesh) -> bool {
    let now = Instant::now();
    let book = mesh.rollouts();
    let needed = book.open().any(|rollout| needs_status(rollout, now));
    needed
}

/// Reads the statuses once, and takes over or appends what follows from them.
async fn record_once(mesh: &Mesh, log: &dyn StatusLog) -> Result<(), String> {
    let asked_at = Instant::now();
    let page = log
        .read_statuses(asked_at + STATUS_TIMEOUT)
        .await
        .map_err(|error| error.to_string())?;
    for service in mesh.open_rollouts() {
        let newest = page
            .statuses
            .iter()
            .find(|status| status.service == service);
        let Some(planned) = plan(mesh, &service, newest, asked_at) else {
            continue;
        };
        let order_offset = planned.order_offset;
        match planned.step {
            StatusStep::Nothing => {}
            StatusStep::Adopt(phase) => mesh.record_rollout_end(&service, order_offset, phase),
            StatusStep::Recorded => mesh.record_rollout_running(&service, order_offset),
            StatusStep::Append(state) => {
                let status = RolloutStatus {
                    service: service.clone(),
                    target_version: planned.target_version,
                    state,
                };
                append(log, &status, page.end_offset).await?;
                match state {
                    StatusState::Running => mesh.record_rollout_running(&service, order_offset),
                    StatusState::Completed => {
                        mesh.record_rollout_end(&service, order_offset, Phase::Completed);
                    }
                    StatusState::RolledBack => {
                        mesh.record_rollout_end(&service, order_offset, Phase::RolledBack);
                    }
                }
                // The end has moved; the next append needs the new one.
                return Ok(());
            }
        }
    }
    Ok(())
}

/// What to do with the status of a rollout.
struct PlannedStep {
    step: StatusStep,
    order_offset: Offset,
    target_version: String,
}

/// Decides what to do with the `newest` status of a service, which was asked for at `asked_at`.
fn plan(
    mesh: &Mesh,
    service: &str,
    newest: Option<&RolloutStatus>,
    asked_at: Instant,
) -> Option<PlannedStep> {
    let has_targets = mesh.has_new_targets(service);
    let mut book = mesh.rollouts();
    book.record_log_contact(service, asked_at);
    if let Some(completed) = newest.filter(|status| status.state == StatusState::Completed) {
        book.record_completed_before(service, &completed.target_version);
    }
    let rollout = book.get(service)?;
    Some(PlannedStep {
        step: plan_status(rollout, newest, has_targets, Instant::now()),
        order_offset: rollout.order_offset(),
        target_version: rollout.order().target_version.clone(),
    })
}

/// Appends a status. After a lost answer the next read shows whether it is in the log.
async fn append(
    log: &dyn StatusLog,
    status: &RolloutStatus,
    end_offset: Offset,
) -> Result<(), String> {
    let deadline = Instant::now() + STATUS_TIMEOUT;
    let appended = log.append_status(status, end_offset, deadline).await;
    log::info!(
        "rollout status service={} version={} state={:?} end={end_offset} result={}",
        status.service,
        status.target_version,
        status.state,
        match &appended {
            Ok(()) => "appended".to_owned(),
            Err(error) => error.to_string(),
        },
    );
    appended.map_err(|error: AppendError| error.to_string())
}
