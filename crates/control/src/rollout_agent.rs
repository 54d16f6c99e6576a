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
    RolloutState,
    RolloutStatus,
    StatusRecord,
    StatusState,
    StatusStep,
    OWN_STOP_LEVEL,
    STOP_LEVEL, //
};
use figway_types::{
    Backoff,
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

/// First pause before a node that took no report is contacted again.
const REDIAL_FIRST_MS: u64 = 200;

/// Longest such pause. A node of an earlier build, which has no rollouts, closes each connection.
const REDIAL_MAX_MS: u64 = 3_000;

/// Pause of the node that decides between two checks whether the log has to be asked.
const STATUS_PAUSE: Duration = Duration::from_millis(50);

/// Pause after a request to the log that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Timeout of one request to the log.
const STATUS_TIMEOUT: Duration = Duration::from_millis(700);

/// Reports evidence, or decides, while a rollout is open. Runs until the process ends.
pub(crate) async fn run_rollouts(mesh: Arc<Mesh>) {
    let mut reporter = Reporter::new(mesh.random());
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

/// Records orders once the configuration contains their service. Runs until the process ends.
pub(crate) async fn record_waiting_orders(mesh: Arc<Mesh>) {
    let mut orders = mesh.watch_rollouts();
    let mut views = mesh.watch_view();
    loop {
        let is_waiting = mesh.has_waiting_orders();
        let changed = match is_waiting {
            true => views.changed().await.is_ok(),
            false => orders.changed().await.is_ok(),
        };
        if !changed {
            return;
        }
        mesh.record_waiting_orders();
    }
}

/// Sends reports to the node that decides.
struct Reporter {
    connection: Option<(NodeId, PeerClient)>,
    /// Receiver and number of runs of the last report that arrived.
    last: Option<(NodeId, u64, u64)>,
    skipped_count: u32,
    /// Whether the last report arrived.
    last_arrived: bool,
    backoff: Backoff,
    /// Node that took no report, and when it is contacted again.
    redial: Option<(NodeId, Instant)>,
}

impl Reporter {
    fn new(seed: u64) -> Self {
        Self {
            connection: None,
            last: None,
            skipped_count: 0,
            last_arrived: false,
            backoff: Backoff::new(REDIAL_FIRST_MS, REDIAL_MAX_MS, seed),
            redial: None,
        }
    }

    /// Returns whether the pause after a report that `decider` did not take has not passed.
    fn must_wait(&self, decider: &NodeId) -> bool {
        let redial = self.redial.as_ref();
        redial.is_some_and(|(node, at)| node == decider && Instant::now() < *at)
    }

    /// Closes the connection to `decider`, which took no report.
    fn record_failure(&mut self, decider: &NodeId, why: &dyn std::fmt::Display) {
        log::info!("could not report evidence node={decider} why={why:#}");
        let is_other = self
            .redial
            .as_ref()
            .is_some_and(|(node, _)| node != decider);
        if is_other {
            self.backoff.reset();
        }
        let redial_at = self.backoff.next_attempt_at(Instant::now());
        self.redial = Some((decider.clone(), redial_at));
        self.connection = None;
        self.last_arrived = false;
    }

    /// Returns whether the reports of this node reach the one that decides.
    fn reaches_decider(&self) -> bool {
        self.last_arrived
    }

    /// Returns a connection to the node that decides.
    async fn connect(&mut self, mesh: &Mesh, decider: &Member) -> anyhow::Result<&PeerClient> {
        let connected = self.connection.as_ref();
        if connected.is_none_or(|(to, _)| *to != decider.node_id) {
            let cross_region = decider.region != mesh.members().own().region;
            let client = dial(mesh, &decider.control_address, cross_region).await?;
            self.connection = Some((decider.node_id.clone(), client));
        }
        let (_, client) = self.connection.as_ref().expect("it was opened");
        Ok(client)
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
        if self.must_wait(&decider.node_id) {
            return;
        }
        match self.report(mesh, &decider, report).await {
            Ok(states) => {
                mesh.merge_rollout_states(&states);
                self.last = Some(sent);
                self.last_arrived = true;
                self.redial = None;
                self.backoff.reset();
            }
            Err(error) => self.record_failure(&decider.node_id, &error),
        }
    }

    async fn report(
        &mut self,
        mesh: &Mesh,
        decider: &Member,
        report: &EvidenceReport,
    ) -> anyhow::Result<Vec<RolloutState>> {
        let client = self.connect(mesh, decider).await?;
        let context = context_until(Instant::now() + REPORT_TIMEOUT);
        Ok(client.report_evidence(context, report.clone()).await?)
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
            .find(|record| record.status.service == service);
        let Some(planned) = plan(mesh, &service, newest, asked_at) else {
            continue;
        };
        let order_offset = planned.order_offset;
        let newest_at = newest.map_or(page.end_offset, |record| record.offset);
        match planned.step {
            StatusStep::Nothing => {}
            StatusStep::Adopt(phase) => {
                mesh.record_rollout_end(&service, order_offset, phase, newest_at);
            }
            StatusStep::Recorded => {
                mesh.record_rollout_running(&service, order_offset, newest_at);
            }
            StatusStep::Append(state) => {
                let status = RolloutStatus {
                    service: service.clone(),
                    target_version: planned.target_version,
                    state,
                };
                // The log took the record only if it ended there.
                let status_at = page.end_offset;
                append(log, &status, status_at).await?;
                let end = match state {
                    StatusState::Running => None,
                    StatusState::Completed => Some(Phase::Completed),
                    StatusState::RolledBack => Some(Phase::RolledBack),
                };
                match end {
                    Some(phase) => {
                        mesh.record_rollout_end(&service, order_offset, phase, status_at);
                    }
                    None => mesh.record_rollout_running(&service, order_offset, status_at),
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
    newest: Option<&StatusRecord>,
    asked_at: Instant,
) -> Option<PlannedStep> {
    let has_targets = mesh.has_new_targets(service);
    let mut book = mesh.rollouts();
    book.record_log_contact(service, asked_at);
    if let Some(newest) = newest {
        book.record_completed_before(newest, Instant::now());
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
