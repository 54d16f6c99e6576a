//! Outgoing connections to peers and the handshake on them.

use std::time::{
    Duration,
    Instant, //
};

use crate::codec::PackedJson;
use crate::mesh::Mesh;
use crate::meter::MeteredStream;
use crate::rpc::{
    Hello,
    PeerClient,
    PROTOCOL_VERSION, //
};
use anyhow::{
    anyhow,
    Context as _, //
};
use figway_types::{
    Member,
    NodeId, //
};
use tarpc::context::Context;
use tarpc::serde_transport;
use tarpc::tokio_util::codec::{
    Framed,
    LengthDelimitedCodec, //
};

/// Timeout for opening a connection to a peer and, separately, for the answer to one message.
pub(crate) const PEER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Largest message between nodes, in bytes.
const FRAME_MAX_BYTES: usize = 32 * 1_024 * 1_024;

/// Splits the byte stream of a connection into length-prefixed messages.
pub(crate) fn framed(stream: MeteredStream) -> Framed<MeteredStream, LengthDelimitedCodec> {
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(FRAME_MAX_BYTES)
        .new_codec();
    Framed::new(stream, codec)
}

/// Returns the context of a remote call that is cancelled at `deadline`.
pub(crate) fn context_until(deadline: Instant) -> Context {
    let mut context = tarpc::context::current();
    context.deadline = deadline;
    context
}

/// Returns the context of a remote call that is cancelled after `PEER_TIMEOUT`.
pub(crate) fn peer_timeout_context() -> Context {
    context_until(Instant::now() + PEER_TIMEOUT)
}

/// Connects to the peer at `address`; `cross_region` says whether it is in another region.
///
/// # Errors
///
/// The connection could not be opened, or not within `PEER_TIMEOUT`.
pub(crate) async fn dial(
    mesh: &Mesh,
    address: &str,
    cross_region: bool,
) -> anyhow::Result<PeerClient> {
    let connect = tokio::time::timeout(
        PEER_TIMEOUT,
        figway_http::connect(address, mesh.control_ip()),
    );
    let stream = connect
        .await
        .map_err(|_| anyhow!("could not connect to {address} in time"))?
        .with_context(|| format!("could not connect to {address}"))?;
    let metered = MeteredStream::new(stream, mesh.meter().counter(cross_region));
    let transport = serde_transport::new(framed(metered), PackedJson::default());
    let new_client = PeerClient::new(tarpc::client::Config::default(), transport);
    tokio::task::spawn_local(async move {
        if let Err(error) = new_client.dispatch.await {
            log::debug!("connection to peer ended: {error}");
        }
    });
    Ok(new_client.client)
}

/// Performs the handshake on a new connection to `peer`, whose name is not known if it was found
/// through a contact. Returns the peer's own member record.
///
/// # Errors
///
/// The peer did not answer, or one of the two nodes refused the link.
pub(crate) async fn handshake(
    mesh: &Mesh,
    client: &PeerClient,
    peer: Option<&NodeId>,
) -> anyhow::Result<Member> {
    let hello = client
        .hello(peer_timeout_context(), own_hello(mesh, peer))
        .await;
    let theirs = hello
        .context("could not introduce this node")?
        .map_err(|refusal| anyhow!("the peer refused the link: {refusal}"))?;
    check_hello(mesh, &theirs).map_err(|refusal| anyhow!("the link is refused: {refusal}"))?;
    mesh.merge_hello(&theirs);
    Ok(theirs.member)
}

/// Returns this node's handshake message to `receiver`.
pub(crate) fn own_hello(mesh: &Mesh, receiver: Option<&NodeId>) -> Hello {
    let members = mesh.members();
    let ending_runs = match receiver {
        Some(receiver) => members.ending_runs().reports_on(receiver, Instant::now()),
        None => Vec::new(),
    };
    Hello {
        protocol_version: PROTOCOL_VERSION,
        cluster: mesh.cluster().to_owned(),
        member: members.own().clone(),
        ending_runs,
        holds_ending_runs: true,
        knows_recorded_runs: mesh.knows_recorded_runs(),
    }
}

/// Checks the handshake message of a peer.
///
/// # Errors
///
/// The peer has another protocol version or belongs to another mesh. The text is sent to the peer.
pub(crate) fn check_hello(mesh: &Mesh, hello: &Hello) -> Result<(), String> {
    if hello.protocol_version != PROTOCOL_VERSION {
        return Err(format!(
            "messages of version {} are spoken, the peer has {}",
            PROTOCOL_VERSION, hello.protocol_version
        ));
    }
    if hello.cluster != mesh.cluster() {
        return Err(format!(
            "this is cluster {}, the peer is of {}",
            mesh.cluster(),
            hello.cluster
        ));
    }
    Ok(())
}
