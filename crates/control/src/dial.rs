//! Opening a connection to a peer.

use std::time::{
    Duration,
    Instant, //
};

use crate::codec::PackedJson;
use crate::mesh::Mesh;
use crate::meter::Metered;
use crate::rpc::{
    Hello,
    PeerClient,
    PROTOCOL_VERSION, //
};
use anyhow::{
    anyhow,
    Context as _, //
};
use figway_types::Member;
use tarpc::context::Context;
use tarpc::serde_transport;
use tarpc::tokio_util::codec::{
    Framed,
    LengthDelimitedCodec, //
};

/// How long a peer has to take a connection and answer a message.
pub(crate) const PEER_WAIT: Duration = Duration::from_millis(1_500);

/// Largest message between nodes, in bytes.
const FRAME_MAX_BYTES: usize = 32 * 1_024 * 1_024;

/// Frames messages on a connection.
pub(crate) fn framed(stream: Metered) -> Framed<Metered, LengthDelimitedCodec> {
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(FRAME_MAX_BYTES)
        .new_codec();
    Framed::new(stream, codec)
}

/// Returns the context of a call that is given up at `deadline`.
pub(crate) fn context_until(deadline: Instant) -> Context {
    let mut context = tarpc::context::current();
    context.deadline = deadline;
    context
}

/// Returns the context of a call that a healthy peer answers at once.
pub(crate) fn prompt_context() -> Context {
    context_until(Instant::now() + PEER_WAIT)
}

/// Connects to the peer at `address`; `far` says whether it is in another region.
///
/// # Errors
///
/// The peer is not there or does not answer in time.
pub(crate) async fn dial(mesh: &Mesh, address: &str, far: bool) -> anyhow::Result<PeerClient> {
    let connect = tokio::time::timeout(PEER_WAIT, figway_http::connect(address, mesh.control_ip()));
    let stream = connect
        .await
        .map_err(|_| anyhow!("could not connect to {address} in time"))?
        .with_context(|| format!("could not connect to {address}"))?;
    let metered = Metered::new(stream, mesh.meter().counter(far));
    let transport = serde_transport::new(framed(metered), PackedJson::default());
    let new_client = PeerClient::new(tarpc::client::Config::default(), transport);
    tokio::task::spawn_local(async move {
        if let Err(error) = new_client.dispatch.await {
            log::debug!("connection to peer ended: {error}");
        }
    });
    Ok(new_client.client)
}

/// Introduces this node on a new connection and returns the peer as it sees itself.
///
/// # Errors
///
/// The peer refuses the link, or did not answer.
pub(crate) async fn introduce(mesh: &Mesh, client: &PeerClient) -> anyhow::Result<Member> {
    let hello = client.hello(prompt_context(), own_hello(mesh)).await;
    let theirs = hello
        .context("could not introduce this node")?
        .map_err(|refusal| anyhow!("the peer refused the link: {refusal}"))?;
    check_hello(mesh, &theirs).map_err(|refusal| anyhow!("the link is refused: {refusal}"))?;
    mesh.merge_members(std::slice::from_ref(&theirs.member));
    Ok(theirs.member)
}

/// Returns this node's first message on a link.
pub(crate) fn own_hello(mesh: &Mesh) -> Hello {
    Hello {
        protocol_version: PROTOCOL_VERSION,
        cluster: mesh.cluster().to_owned(),
        member: mesh.members().own().clone(),
    }
}

/// Returns why a peer with this first message is refused, if it is.
///
/// # Errors
///
/// The refusal, for the peer's log.
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
