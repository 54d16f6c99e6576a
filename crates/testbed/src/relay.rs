//! A TCP relay that the test bed can cut, heal and slow, in place of a network between zones.

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

/// State of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkState {
    /// Takes no connections and ends those there are.
    pub blocked: bool,
    /// Limits a cut to connections from the network `a.b.c.0/24` of this address.
    pub blocked_subnet: Option<Ipv4Addr>,
    /// Delay of each direction, in milliseconds.
    pub delay_ms: u64,
}

impl LinkState {
    fn blocks(&self, from: SocketAddr) -> bool {
        let Some(network) = self.blocked_subnet else {
            return self.blocked;
        };
        let IpAddr::V4(from) = from.ip() else {
            return self.blocked;
        };
        self.blocked && from.octets()[..3] == network.octets()[..3]
    }
}

/// A relay to one address.
pub struct Relay {
    /// Where it listens.
    pub address: SocketAddr,
    state: watch::Sender<LinkState>,
    upstream: watch::Sender<String>,
    byte_count: Arc<AtomicU64>,
}

impl Relay {
    /// Starts a relay on the current thread; it takes no connections before it has a target.
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

    /// Names where the relay leads to, `ip:port`.
    pub fn set_upstream(&self, upstream: &str) {
        self.upstream.send_replace(upstream.to_owned());
    }

    /// Changes the state of the link.
    pub fn set_link_state(&self, state: LinkState) {
        self.state.send_replace(state);
    }

    /// Returns the bytes that crossed, both ways.
    pub fn byte_count(&self) -> u64 {
        self.byte_count.load(Ordering::Relaxed)
    }
}

async fn accept(
    listener: TcpListener,
    upstream: watch::Receiver<String>,
    state: watch::Receiver<LinkState>,
    byte_count: Arc<AtomicU64>,
) {
    while let Ok((near, from)) = listener.accept().await {
        if state.borrow().blocks(from) {
            continue;
        }
        let address = upstream.borrow().clone();
        let Ok(far) = TcpStream::connect(&address).await else {
            continue;
        };
        near.set_nodelay(true).ok();
        far.set_nodelay(true).ok();
        tokio::task::spawn_local(carry(
            near,
            from,
            far,
            state.clone(),
            Arc::clone(&byte_count),
        ));
    }
}

async fn carry(
    near: TcpStream,
    from: SocketAddr,
    far: TcpStream,
    mut state: watch::Receiver<LinkState>,
    byte_count: Arc<AtomicU64>,
) {
    let (near_in, near_out) = near.into_split();
    let (far_in, far_out) = far.into_split();
    let there = copy(near_in, far_out, state.clone(), &byte_count);
    let back = copy(far_in, near_out, state.clone(), &byte_count);
    tokio::select! {
        () = there => {}
        () = back => {}
        _ = state.wait_for(|state| state.blocks(from)) => {}
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
