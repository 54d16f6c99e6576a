//! TCP relay that simulates a network link between zones. Tests can block, unblock and delay it.

use std::net::{
    IpAddr,
    Ipv4Addr,
    SocketAddr, //
};
use std::sync::atomic::{
    AtomicU64,
    Ordering, //
};
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{
    AsyncReadExt as _,
    AsyncWriteExt as _, //
};
use tokio::net::{
    TcpListener,
    TcpStream, //
};
use tokio::sync::watch;

/// State of the simulated link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkState {
    /// Whether the relay drops new connections and closes the existing ones.
    pub blocked: bool,
    /// If set, `blocked` applies only to connections from the /24 subnet of this address.
    pub blocked_subnet: Option<Ipv4Addr>,
    /// Delay of each chunk that is forwarded, in either direction, in milliseconds.
    pub delay_ms: u64,
}

impl LinkState {
    fn blocks(&self, client: SocketAddr) -> bool {
        let Some(subnet) = self.blocked_subnet else {
            return self.blocked;
        };
        let IpAddr::V4(client) = client.ip() else {
            return self.blocked;
        };
        self.blocked && client.octets()[..3] == subnet.octets()[..3]
    }
}

/// Relay that listens on a loopback port and forwards connections to one upstream address.
pub struct Relay {
    /// Address on which the relay listens.
    pub address: SocketAddr,
    state: watch::Sender<LinkState>,
    upstream: watch::Sender<String>,
    byte_count: Arc<AtomicU64>,
}

impl Relay {
    /// Starts a relay as a local task of the current thread. It drops connections until
    /// [`Relay::set_upstream`] is called.
    ///
    /// # Errors
    ///
    /// No port is free.
    pub async fn start() -> anyhow::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let state = watch::Sender::new(LinkState::default());
        let byte_count = Arc::new(AtomicU64::new(0));
        let upstream = watch::Sender::new(String::new());
        tokio::task::spawn_local(accept(
            listener,
            upstream.subscribe(),
            state.subscribe(),
            Arc::clone(&byte_count),
        ));
        Ok(Self {
            address,
            state,
            upstream,
            byte_count,
        })
    }

    /// Sets the address, `ip:port`, to which new connections are forwarded.
    pub fn set_upstream(&self, upstream: &str) {
        self.upstream.send_replace(upstream.to_owned());
    }

    /// Sets the state of the link, for existing connections too.
    pub fn set_link_state(&self, state: LinkState) {
        self.state.send_replace(state);
    }

    /// Returns how many bytes were received for forwarding, in both directions together.
    pub fn byte_count(&self) -> u64 {
        self.byte_count.load(Ordering::Relaxed)
    }
}

async fn accept(
    listener: TcpListener,
    upstream_address: watch::Receiver<String>,
    state: watch::Receiver<LinkState>,
    byte_count: Arc<AtomicU64>,
) {
    while let Ok((downstream, client)) = listener.accept().await {
        if state.borrow().blocks(client) {
            continue;
        }
        let address = upstream_address.borrow().clone();
        let Ok(upstream) = TcpStream::connect(&address).await else {
            continue;
        };
        downstream.set_nodelay(true).ok();
        upstream.set_nodelay(true).ok();
        tokio::task::spawn_local(forward(
            downstream,
            client,
            upstream,
            state.clone(),
            Arc::clone(&byte_count),
        ));
    }
}

async fn forward(
    downstream: TcpStream,
    client: SocketAddr,
    upstream: TcpStream,
    mut state: watch::Receiver<LinkState>,
    byte_count: Arc<AtomicU64>,
) {
    let (downstream_in, downstream_out) = downstream.into_split();
    let (upstream_in, upstream_out) = upstream.into_split();
    let to_upstream = copy(downstream_in, upstream_out, state.clone(), &byte_count);
    let to_downstream = copy(upstream_in, downstream_out, state.clone(), &byte_count);
    tokio::select! {
        () = to_upstream => {}
        () = to_downstream => {}
        _ = state.wait_for(|state| state.blocks(client)) => {}
    }
}

async fn copy(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    state: watch::Receiver<LinkState>,
    byte_count: &AtomicU64,
) {
    let mut buffer = vec![0; 64 * 1_024];
    while let Ok(count) = from.read(&mut buffer).await {
        if count == 0 {
            return;
        }
        byte_count.fetch_add(count as u64, Ordering::Relaxed);
        let delay_ms = state.borrow().delay_ms;
        if delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}
