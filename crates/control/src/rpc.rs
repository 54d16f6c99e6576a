//! Remote calls between nodes and the messages that they carry.

use std::time::Duration;

use figway_admission::{
    CrashReport,
    SurvivalReport, //
};
use figway_profile::{
    FoldState,
    RouteChange,
    RouteTable, //
};
use figway_rate_limit::{
    UsageAnswer,
    UsageReport, //
};
use figway_rollout::{
    EvidenceReport,
    RolloutState, //
};
use figway_types::{
    EndingRun,
    LogRecord,
    Member,
    NodeId,
    Offset, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use crate::route_lease::RouteConfirmation;

/// Protocol version. A node refuses peers with another version.
pub(crate) const PROTOCOL_VERSION: u32 = 1;

/// Handshake message, the first one on a link.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Hello {
    /// Protocol version of the sender.
    pub protocol_version: u32,
    /// Name of the sender's mesh.
    pub cluster: String,
    /// The sender's own member record.
    pub member: Member,
    /// What the sender knows of ending runs of the target beside the receiver, which may have started
    /// again and forgotten them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub ending_runs: Vec<EndingRun>,
    /// Whether the sender keeps ending runs that it is told; earlier builds don't.
    #[serde(default)]
    pub holds_ending_runs: bool,
    /// Whether the sender knows all ends of runs that were acknowledged before it started. Earlier
    /// builds don't say; they are taken to know.
    #[serde(default = "knows_recorded_runs_default")]
    pub knows_recorded_runs: bool,
}

fn knows_recorded_runs_default() -> bool {
    true
}

/// Long poll that is always in flight on a link. The receiver answers as soon as it has an update
/// for the sender, or after `wait_ms`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Ping {
    /// Name of the sender.
    pub node_id: NodeId,
    /// Longest time that the receiver holds the answer back while it has no update, in
    /// milliseconds.
    #[serde(default)]
    pub wait_ms: u64,
    /// Gossip from the sender.
    pub news: Gossip,
}

/// Gossip payload of pings and of their answers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Gossip {
    /// Offset of the last applied record of the change stream.
    pub applied_offset: Offset,
    /// Remaining time for which the region's view of the log's head is fresh, in milliseconds.
    pub head_left_ms: u64,
    /// Digest of the sender's member table.
    pub member_digest: u64,
    /// Number of members that have not left.
    #[serde(default)]
    pub member_count: usize,
    /// Recently changed members.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub rumours: Vec<Member>,
    /// Crash reports that count towards quarantine.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub crashes: Vec<CrashReport>,
    /// Reports of targets that answered requests with crash reports.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub survivals: Vec<SurvivalReport>,
    /// Crashes that were taken back, since the run answered again.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub withdrawals: Vec<CrashReport>,
    /// Place of these reports among all those of the sender.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub report_range: Option<FeedRange>,
    /// Which of the receiver's reports the sender has.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub report_ack: Option<FeedAck>,
    /// Runs of targets that have begun to end.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub ending_runs: Vec<EndingRun>,
    /// Place of these runs among all those that the sender knows.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub run_range: Option<FeedRange>,
    /// Which of the runs that the receiver knows the sender has.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub run_ack: Option<FeedAck>,
    /// Rollouts, the newest of each service.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub rollouts: Vec<RolloutState>,
    /// Place of these rollouts among all those that the sender knows.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rollout_range: Option<FeedRange>,
    /// Which of the rollouts that the receiver knows the sender has.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rollout_ack: Option<FeedAck>,
    /// Gossip about the route table.
    #[serde(default)]
    pub routes: RouteGossip,
}

/// Place of the items in a message in a numbered feed of its sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct FeedRange {
    /// Epoch of the sender's numbers.
    pub epoch: u64,
    /// Number after which the items begin.
    pub after: u64,
    /// Number of the last item.
    pub last: u64,
}

/// Acknowledgement of a peer's numbered feed up to a number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct FeedAck {
    /// Epoch of the peer's numbers; 0 before the first item.
    pub epoch: u64,
    /// Number of the last item.
    pub last: u64,
}

impl FeedAck {
    /// Extends the acknowledgement by the items of one message, if they follow without a gap.
    pub(crate) fn extend(&mut self, range: FeedRange) {
        if self.epoch != range.epoch {
            *self = Self {
                epoch: range.epoch,
                last: 0,
            };
        }
        if range.after <= self.last {
            self.last = self.last.max(range.last);
        }
    }
}

/// Gossip about the route table.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct RouteGossip {
    /// Version of the table that the sender applied last.
    pub version: u64,
    /// Time since the log was known to hold no newer version, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub confirmed_age_ms: Option<u64>,
    /// Changes since the receiver's version, if the sender still keeps them and they are small;
    /// otherwise empty, and the receiver pulls them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub changes: Vec<RouteChange>,
}

impl RouteGossip {
    /// Returns the sender's confirmation of its table, if it has one.
    pub(crate) fn confirmation(&self) -> Option<RouteConfirmation> {
        Some(RouteConfirmation {
            version: self.version,
            age: Duration::from_millis(self.confirmed_age_ms?),
        })
    }
}

/// Route updates that bring a node up to date.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum MissingRoutes {
    /// The receiver is up to date.
    Nothing,
    /// Changes from the receiver's version to the sender's, oldest first.
    Changes(Vec<RouteChange>),
    /// The whole table.
    Table(Box<RouteTable>),
}

/// Answer to a ping.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Pong {
    /// Gossip from the answering node.
    pub news: Gossip,
    /// Whether the answering node is behind and asks the sender of the ping for a `deliver` call.
    pub wants_delivery: bool,
    /// Time for which the answer was held back, in milliseconds.
    #[serde(default)]
    pub held_ms: u64,
}

/// Records or state that bring a node up to date with the change stream.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum MissingRecords {
    /// Records that follow the receiver's offset without a gap.
    Records(Vec<LogRecord>),
    /// Whole state, sent when the sender no longer keeps the records.
    State(Box<FoldState>),
    /// The sender has reached its limit of state transfers; retry later.
    Busy,
}

/// Asks whether a version of a service is in force on a set of nodes.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct SurveyRequest {
    /// Name of the changed service.
    pub service: String,
    /// Offset of the record that changed it.
    pub version_offset: Offset,
    /// Time left for the answer, in milliseconds.
    pub left_ms: u64,
    /// Nodes below the receiver in the survey's tree, which the receiver asks.
    pub below: Vec<SurveyNode>,
}

/// A node to survey.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct SurveyNode {
    /// Name of the node.
    pub node_id: NodeId,
    /// Control address.
    pub control_address: String,
}

/// Result of a survey.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct SurveyReport {
    /// Number of nodes on which the version, or a later one, is in force.
    pub in_force_count: usize,
    /// Number of nodes that answered and are behind.
    pub lagging_count: usize,
    /// Number of nodes that did not answer.
    pub silent_count: usize,
    /// The nodes that are behind, with the reasons; the list is truncated.
    pub lagging: Vec<LaggingNode>,
    /// The nodes that did not answer; the list is truncated.
    pub silent: Vec<NodeId>,
}

/// A node on which a surveyed version is not in force yet.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LaggingNode {
    /// Name of the node.
    pub node_id: NodeId,
    /// Offset of the last record that the node applied.
    pub applied_offset: Offset,
    /// References that the node can't resolve yet, if it holds the version back; otherwise empty.
    pub findings: String,
}

/// Claim of an idempotency key by one attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// `SERVICE/KEY`, with the idempotency key of the caller.
    pub key: String,
    /// Random id of the attempt.
    pub attempt_id: u64,
    /// Node that runs the attempt.
    pub owner: NodeId,
    /// Control address of the owner.
    pub owner_address: String,
    /// Earlier attempt that this one replaces, if that one ended without running.
    pub after_attempt_id: Option<u64>,
}

/// Result of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimVerdict {
    /// The claiming attempt holds the key.
    Won,
    /// An earlier attempt holds the key; carries its claim.
    Lost(Box<Claim>),
    /// The claim could not be recorded, or it is not known whether it was; carries the reason.
    Unavailable(String),
}

/// Outcome of an attempt with an idempotency key, as stored by the attempt's owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeyOutcome {
    /// The attempt is still running.
    Running,
    /// The target answered; carries the whole answer.
    Answered(StoredAnswer),
    /// The attempt ended without running and will never run.
    NotRun,
    /// The owner does not store the attempt, or can't tell whether it ran.
    Unknown,
}

/// An answer that the owner stores to replay it for resent requests with the same key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type, empty if the answer has none.
    pub content_type: String,
    /// Whole body.
    pub body: Vec<u8>,
}

/// Remote calls between nodes.
#[tarpc::service]
pub(crate) trait Peer {
    /// Opens a link with a handshake. An error carries the reason of the refusal.
    async fn hello(hello: Hello) -> Result<Hello, String>;
    /// Exchanges gossip.
    async fn ping(ping: Ping) -> Pong;
    /// Returns the records after `applied_offset`, or the whole state.
    async fn pull(applied_offset: Offset) -> MissingRecords;
    /// Sends the records or state that the receiver lacks; returns its applied offset afterwards.
    async fn deliver(missing: MissingRecords) -> Offset;
    /// Returns the route updates after `version`.
    async fn pull_routes(version: u64) -> MissingRoutes;
    /// Returns the members of the buckets that differ from `buckets`.
    async fn sync_members(buckets: Vec<u32>) -> Vec<Member>;
    /// Sends members that the receiver may not know.
    async fn tell_members(members: Vec<Member>) -> ();
    /// Surveys the receiver and the nodes below it.
    async fn survey(request: SurveyRequest) -> SurveyReport;
    /// Claims a key at the node that batches the claims of the key's partition.
    async fn claim(claim: Claim, left_ms: u64) -> ClaimVerdict;
    /// Returns the outcome of an attempt that the receiver owns.
    async fn outcome(attempt_id: u64) -> KeyOutcome;
    /// Reports requests of customers with a limit; returns the customers above it. Peers of an earlier
    /// build close the connection.
    async fn report_usage(report: UsageReport) -> UsageAnswer;
    /// Reports evidence about a rollout to the node that decides. Returns what that knows of the
    /// rollouts.
    async fn report_evidence(report: EvidenceReport) -> Vec<RolloutState>;
}
