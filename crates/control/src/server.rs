//! Server side of the remote calls: accepts connections of peers, with one task for each.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{
    Duration,
    Instant, //
};

use figway_rate_limit::{
    UsageAnswer,
    UsageReport, //
};
use figway_rollout::{
    EvidenceReport,
    RolloutState,
    STOP_LEVEL, //
};
use figway_types::{
    deadline_after_ms,
    Member,
    MemberState,
    NodeId,
    Offset, //
};
use futures::StreamExt as _;
use tarpc::context::Context;
use tarpc::serde_transport;
use tarpc::server::{
    BaseChannel,
    Channel as _, //
};
use tokio::net::{
    TcpListener,
    TcpStream, //
};

use crate::claims::ClaimBatchers;
use crate::codec::PackedJson;
use crate::dial::{
    check_hello,
    dial,
    framed,
    own_hello, //
};
use crate::mesh::Mesh;
use crate::meter::MeteredStream;
use crate::rpc::{
    Claim,
    ClaimVerdict,
    Hello,
    KeyOutcome,
    MissingRecords,
    MissingRoutes,
    Peer,
    Ping,
    Pong,
    SurveyReport,
    SurveyRequest, //
};
use crate::survey::run_survey;

/// Largest number of messages of one connection that are handled concurrently.
const CONCURRENT_MESSAGE_MAX_COUNT: usize = 256;

/// Longest random delay of a long poll's answer, so that a peer that has received the update from
/// another node in the meantime does not receive it twice.
const GOSSIP_JITTER: Duration = Duration::from_millis(10);

/// Accepts connections of peers until the process ends.
pub(crate) async fn serve_peers(
    mesh: Arc<Mesh>,
    listener: TcpListener,
    batchers: Rc<ClaimBatchers>,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let server = PeerServer {
                    mesh: Arc::clone(&mesh),
                    batchers: Rc::clone(&batchers),
                    peer: Rc::default(),
                };
                tokio::task::spawn_local(serve_connection(server, stream));
            }
            Err(error) => {
                log::warn!("could not accept a peer: {error}");
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        }
    }
}

async fn serve_connection(server: PeerServer, stream: TcpStream) {
    figway_http::set_socket_options(&stream);
    // The peer's region is known only after its handshake, so bytes of incoming connections count
    // as bytes within the region.
    let metered = MeteredStream::new(stream, server.mesh.meter().counter(false));
    let transport = serde_transport::new(framed(metered), PackedJson::default());
    let channel = BaseChannel::with_defaults(transport);
    channel
        .execute(server.clone().serve())
        .for_each_concurrent(CONCURRENT_MESSAGE_MAX_COUNT, |handled| handled)
        .await;
    probe_disconnected_peer(&server).await;
}

/// Checks immediately whether a linked peer that closed its connection is still reachable.
async fn probe_disconnected_peer(server: &PeerServer) {
    let Some(peer) = server.peer.borrow().clone() else {
        return;
    };
    let known = server.mesh.members().get(&peer.node_id).cloned();
    let Some(known) = known.filter(|known| known.state == MemberState::Live) else {
        return;
    };
    let cross_region = known.region != server.mesh.members().own().region;
    if let Err(error) = dial(&server.mesh, &known.control_address, cross_region).await {
        server.mesh.suspect(&known.node_id, &format!("{error:#}"));
    }
}

/// Waits until this node has an update for the peer, or until `wait_until`.
async fn wait_for_updates(mesh: &Mesh, peer: &NodeId, wait_until: Instant) {
    let mut changes = mesh.watch_gossip();
    loop {
        changes.borrow_and_update();
        if mesh.has_updates_for(peer) {
            tokio::time::sleep(mesh.jitter(GOSSIP_JITTER)).await;
            return;
        }
        tokio::select! {
            _ = changes.changed() => {}
            () = tokio::time::sleep_until(wait_until.into()) => return,
        }
    }
}

#[derive(Clone)]
struct PeerServer {
    mesh: Arc<Mesh>,
    batchers: Rc<ClaimBatchers>,
    peer: Rc<RefCell<Option<Member>>>,
}

impl Peer for PeerServer {
    async fn hello(self, _: Context, hello: Hello) -> Result<Hello, String> {
        check_hello(&self.mesh, &hello)?;
        log::debug!("link opened by node={}", hello.member.node_id);
        self.mesh.merge_hello(&hello);
        let answer = own_hello(&self.mesh, Some(&hello.member.node_id));
        *self.peer.borrow_mut() = Some(hello.member);
        Ok(answer)
    }

    async fn ping(self, _: Context, ping: Ping) -> Pong {
        let received_at = Instant::now();
        // How long the ping was under way is not known, so that it tells nothing about the head.
        self.mesh.merge_gossip(&ping.node_id, &ping.news, None);
        let behind = ping.news.applied_offset > self.mesh.applied_offset();
        if !behind {
            let wait_until = deadline_after_ms(Instant::now(), ping.wait_ms);
            wait_for_updates(&self.mesh, &ping.node_id, wait_until).await;
        }
        Pong {
            wants_delivery: behind && self.mesh.try_begin_fetch(),
            held_ms: received_at.elapsed().as_millis() as u64,
            news: self.mesh.gossip_for(&ping.node_id),
        }
    }

    async fn pull(self, _: Context, applied_offset: Offset) -> MissingRecords {
        self.mesh.missing_records_after(applied_offset)
    }

    async fn deliver(self, _: Context, missing: MissingRecords) -> Offset {
        self.mesh.apply_missing_records(missing);
        self.mesh.applied_offset()
    }

    async fn pull_routes(self, _: Context, version: u64) -> MissingRoutes {
        self.mesh.missing_routes_after(version)
    }

    async fn sync_members(self, _: Context, buckets: Vec<u32>) -> Vec<Member> {
        let members = self.mesh.members();
        let differing = members.digest().differing_buckets(&buckets);
        members.members_in_buckets(&differing)
    }

    async fn tell_members(self, _: Context, members: Vec<Member>) {
        self.mesh.merge_members(&members);
    }

    async fn survey(self, _: Context, request: SurveyRequest) -> SurveyReport {
        run_survey(&self.mesh, &request).await
    }

    async fn claim(self, _: Context, claim: Claim, left_ms: u64) -> ClaimVerdict {
        let deadline = deadline_after_ms(Instant::now(), left_ms);
        self.batchers.claim(claim, deadline).await
    }

    async fn outcome(self, _: Context, attempt_id: u64) -> KeyOutcome {
        self.mesh.outcome(attempt_id)
    }

    async fn report_usage(self, _: Context, report: UsageReport) -> UsageAnswer {
        let node = self.peer.borrow().as_ref().map(|peer| peer.node_id.clone());
        match node {
            Some(node) => self.mesh.merge_usage(&node, &report),
            None => UsageAnswer::default(),
        }
    }

    async fn report_evidence(self, _: Context, report: EvidenceReport) -> Vec<RolloutState> {
        self.mesh.merge_evidence(&report, STOP_LEVEL);
        self.mesh.rollout_states_of(&report.service)
    }
}
