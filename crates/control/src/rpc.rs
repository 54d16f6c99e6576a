//! Messages between nodes.

use figway_admission::CrashReport;
use figway_profile::{
    FoldState,
    RouteChange,
    RouteTable, //
};
use figway_types::{
    LogRecord,
    Member,
    NodeId,
    Offset, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// Version of these messages; peers of another version are refused.
pub(crate) const PROTOCOL_VERSION: u32 = 1;

/// First message on a link.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Hello {
    /// Version of the messages.
    pub protocol_version: u32,
    /// Name of the mesh.
    pub cluster: String,
    /// Sender as it sees itself.
    pub member: Member,
}

/// Message that is always under way on a link: the answer comes when there is news for the sender,
/// or after its wait.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Ping {
    /// Sender.
    pub node_id: NodeId,
    /// How long the answer may wait for records that the sender lacks, in milliseconds.
    #[serde(default)]
    pub wait_ms: u64,
    /// What the sender has heard.
    pub news: News,
}

/// What a node has heard, as pings and their answers carry it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct News {
    /// Last record of the change stream that was folded.
    pub applied_offset: Offset,
    /// Time for which the region's view of the log's head is fresh, in milliseconds.
    pub head_left_ms: u64,
    /// Hash of the member table.
    pub member_digest: u64,
    /// Members that have not left.
    #[serde(default)]
    pub member_count: usize,
    /// Members that changed lately.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub rumours: Vec<Member>,
    /// Crashes that count.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub crashes: Vec<CrashReport>,
    /// Routes by host and path.
    #[serde(default)]
    pub routes: RouteNews,
}

/// What a node has heard of the route table.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct RouteNews {
    /// Version that is applied.
    pub version: u64,
    /// Changes from the receiver's version, if they are at hand and small; else it pulls them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub changes: Vec<RouteChange>,
}

/// Routes that a node lacks.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum MissingRoutes {
    /// The receiver has as much.
    Nothing,
    /// What leads from the receiver's version to the sender's.
    Changes(Vec<RouteChange>),
    /// The whole table.
    Table(Box<RouteTable>),
}

/// Answer to a ping.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Pong {
    /// What the answering node has heard.
    pub news: News,
    /// Whether the sender of the ping shall deliver what is missing here.
    pub wants_delivery: bool,
}

/// Records or state that a node lacks.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum Missing {
    /// Records that follow the wanted offset without a gap.
    Records(Vec<LogRecord>),
    /// Whole state, when the records are no longer at hand.
    State(Box<FoldState>),
    /// The giver serves others; try again later.
    Busy,
}

/// Question whether a service's version is in force on a set of nodes.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct SurveyRequest {
    /// Service that was changed.
    pub service: String,
    /// Record that changed it.
    pub version_offset: Offset,
    /// Time left for the answer, in milliseconds.
    pub left_ms: u64,
    /// Nodes that the receiver asks on the sender's behalf.
    pub below: Vec<SurveyNode>,
}

/// A node to ask.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct SurveyNode {
    /// Name.
    pub node_id: NodeId,
    /// Control address.
    pub control_address: String,
}

/// Counts and names of a survey.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct SurveyReport {
    /// Nodes on which the version, or a later one, is in force.
    pub in_force_count: usize,
    /// Nodes that answered and are behind.
    pub lagging_count: usize,
    /// Nodes that did not answer.
    pub silent_count: usize,
    /// Some of the nodes that are behind, with why.
    pub lagging: Vec<LaggingNode>,
    /// Some of the nodes that did not answer.
    pub silent: Vec<NodeId>,
}

/// A node that is behind.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LaggingNode {
    /// Name.
    pub node_id: NodeId,
    /// Last record that it folded.
    pub applied_offset: Offset,
    /// What it still lacks, if it holds the move back.
    pub findings: String,
}

/// Claim of a key for one attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Service and key of the caller.
    pub key: String,
    /// Random id of the attempt.
    pub attempt_id: u64,
    /// Node that runs the attempt.
    pub owner: NodeId,
    /// Its control address.
    pub owner_address: String,
    /// Attempt that this one follows, which ended without running.
    pub after_attempt_id: Option<u64>,
}

/// Who holds a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimVerdict {
    /// The claim's own attempt.
    Won,
    /// An earlier attempt.
    Lost(Box<Claim>),
    /// The claim could not be recorded or its fate is not known.
    Unavailable(String),
}

/// Outcome of an attempt, as its owner remembers it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeyOutcome {
    /// Still running.
    Running,
    /// Answered; the whole answer.
    Answered(StoredAnswer),
    /// Ended without running; it never will.
    NotRun,
    /// Not remembered, or its fate is not known.
    Unknown,
}

/// An answer that is kept for resends of its key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type, empty if none.
    pub content_type: String,
    /// Whole body.
    pub body: Vec<u8>,
}

/// Calls between nodes.
#[tarpc::service]
pub(crate) trait Peer {
    /// Opens a link; a refusal says why.
    async fn hello(hello: Hello) -> Result<Hello, String>;
    /// Exchanges news.
    async fn ping(ping: Ping) -> Pong;
    /// Asks for what follows `applied_offset`.
    async fn pull(applied_offset: Offset) -> Missing;
    /// Hands over what the receiver lacks and returns its offset after.
    async fn deliver(missing: Missing) -> Offset;
    /// Asks for the routes, if they are newer than `version`.
    async fn pull_routes(version: u64) -> MissingRoutes;
    /// Returns the members of the buckets that differ from `buckets`.
    async fn sync_members(buckets: Vec<u32>) -> Vec<Member>;
    /// Tells members that the receiver may not know.
    async fn tell_members(members: Vec<Member>) -> ();
    /// Asks whether a version is in force on the receiver and the nodes below it.
    async fn survey(request: SurveyRequest) -> SurveyReport;
    /// Claims a key at the node that batches its partition.
    async fn claim(claim: Claim, left_ms: u64) -> ClaimVerdict;
    /// Asks the owner of an attempt for its outcome.
    async fn outcome(attempt_id: u64) -> KeyOutcome;
}
