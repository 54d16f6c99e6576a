//! Connections between a node and its back end, on which the back end's answers can be damaged as a
//! faulty back end does: cut anywhere, or written once more.

use std::cell::Cell;
use std::io::ErrorKind;
use std::rc::Rc;
use std::time::{
    Duration,
    Instant, //
};

use tokio::io::{
    AsyncReadExt as _,
    AsyncWriteExt as _, //
};
use tokio::net::tcp::{
    ReadHalf,
    WriteHalf, //
};
use tokio::net::{
    TcpListener,
    TcpStream, //
};
use tokio::sync::watch;

use super::endless::EndlessPart;

/// Damage that is done to the answers of a back end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WireFault {
    /// Answers pass unchanged.
    #[default]
    None,
    /// Each answer ends after this share of its bytes, in thousandths, and its connection closes.
    Cut(usize),
    /// As [`WireFault::Cut`], at a share that rises with each answer.
    CutAnywhere,
    /// When a request arrives on a connection, the previous answer of that connection is written once
    /// more, before its own.
    RepeatBefore,
    /// Each answer is written twice at once.
    RepeatAtOnce,
    /// The body of each answer goes out a byte at a time, with pauses.
    Dribble,
    /// Each answer has this text for its status code and reason.
    Status(&'static str),
    /// In place of each answer, interim answers follow each other without end.
    EndlessInterim,
    /// From this part of each answer on, bytes follow without end and without a pause.
    Endless(EndlessPart),
}

/// What the address of a back end does with connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WireState {
    /// Connections are accepted and served.
    #[default]
    Up,
    /// Connections are accepted and closed at once, and those that were open are closed.
    Reset,
    /// New connections are refused, and those that were open are closed.
    Closed,
    /// New connections are refused, and those that were open stay open and carry nothing.
    Silent,
}

impl WireState {
    fn accepts(self) -> bool {
        matches!(self, WireState::Up | WireState::Reset)
    }
}

/// Longest time for which a reserved port may be in use.
const BIND_TIMEOUT: Duration = Duration::from_secs(2);

/// Pause between two tries to bind a reserved port.
const BIND_PAUSE: Duration = Duration::from_millis(2);

/// Longest time until it is noticed that the node has closed a connection.
const CLOSE_MAX: Duration = Duration::from_millis(3);

/// Pause between two checks whether a connection was closed.
const CLOSE_PAUSE: Duration = Duration::from_millis(1);

/// Step by which [`WireFault::CutAnywhere`] moves, in thousandths of an answer.
const CUT_STEP: usize = 37;

/// Pause between two bytes of an answer that dribbles.
const DRIBBLE_PAUSE: Duration = Duration::from_millis(20);

/// Pause between two interim answers without end.
const INTERIM_PAUSE: Duration = Duration::from_millis(1);

/// Listener between a node and its back end.
pub struct AnswerWire {
    /// Address on which the wire listens for the node.
    pub address: String,
    /// Damage of the answers from now on.
    pub fault: Cell<WireFault>,
    /// Number of connections, idle ones included, above which each further one is reset at once.
    pub connection_max_count: Cell<usize>,
    /// Number of connections that are open.
    connection_count: Cell<usize>,
    /// Number of connections with a request that were reset since too many were open.
    pub reset_count: Cell<usize>,
    state: watch::Sender<WireState>,
    upstream_address: String,
    cut_count: Cell<usize>,
}

impl AnswerWire {
    /// Starts a wire at `address` to the back end at `upstream_address`.
    ///
    /// # Errors
    ///
    /// The address is in use.
    pub async fn start(address: &str, upstream_address: &str) -> anyhow::Result<Rc<Self>> {
        let listener = bind_reserved(address).await?;
        let wire = Rc::new(Self {
            address: listener.local_addr()?.to_string(),
            fault: Cell::default(),
            connection_max_count: Cell::new(usize::MAX),
            connection_count: Cell::new(0),
            reset_count: Cell::new(0),
            state: watch::Sender::default(),
            upstream_address: upstream_address.to_owned(),
            cut_count: Cell::new(0),
        });
        tokio::task::spawn_local(Rc::clone(&wire).accept(listener));
        Ok(wire)
    }

    /// Sets what the address does with connections.
    pub fn set_state(&self, state: WireState) {
        self.state.send_replace(state);
    }

    async fn accept(self: Rc<Self>, mut listener: TcpListener) {
        let mut state = self.state.subscribe();
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    let Ok((downstream, _)) = accepted else {
                        return;
                    };
                    tokio::task::spawn_local(Rc::clone(&self).serve_and_count(downstream));
                }
                () = wait_while(&mut state, WireState::accepts) => {
                    drop(listener);
                    wait_while(&mut state, |state| !state.accepts()).await;
                    listener = bind_reserved(&self.address)
                        .await
                        .expect("the port is reserved");
                }
            }
        }
    }

    async fn serve_and_count(self: Rc<Self>, downstream: TcpStream) {
        if !self.has_room().await {
            // A connection by which a node only checks that the back end accepts any carries no request.
            let peeked = tokio::time::timeout(CLOSE_MAX, downstream.peek(&mut [0])).await;
            if matches!(peeked, Ok(Ok(1))) {
                self.reset_count.set(self.reset_count.get() + 1);
            }
            downstream.set_zero_linger().ok();
            return;
        }
        self.connection_count.set(self.connection_count.get() + 1);
        self.serve_while_up(downstream).await;
        self.connection_count.set(self.connection_count.get() - 1);
    }

    /// Returns whether one more connection may be open. Waits for up to [`CLOSE_MAX`], since it may take
    /// that long to notice that another one was closed.
    async fn has_room(&self) -> bool {
        let deadline = Instant::now() + CLOSE_MAX;
        while self.connection_count.get() >= self.connection_max_count.get() {
            if Instant::now() >= deadline {
                return false;
            }
            tokio::time::sleep(CLOSE_PAUSE).await;
        }
        true
    }

    async fn serve_while_up(&self, mut downstream: TcpStream) {
        let mut state = self.state.subscribe();
        tokio::select! {
            () = self.serve(&mut downstream) => return,
            () = wait_while(&mut state, |state| state == WireState::Up) => {}
        }
        // A silent connection closes when the address is in use again.
        wait_while(&mut state, |state| state == WireState::Silent).await;
    }

    async fn serve(&self, downstream: &mut TcpStream) {
        let Ok(mut upstream) = TcpStream::connect(&self.upstream_address).await else {
            return;
        };
        downstream.set_nodelay(true).ok();
        upstream.set_nodelay(true).ok();
        let (mut request_in, mut answer_out) = downstream.split();
        let (mut answer_in, mut request_out) = upstream.split();
        let mut earlier = Vec::new();
        let mut buffer = vec![0; 64 * 1_024];
        loop {
            let mut answer = Vec::new();
            tokio::select! {
                count = request_in.read(&mut buffer) => {
                    let count = count.unwrap_or(0);
                    if count == 0 || request_out.write_all(&buffer[..count]).await.is_err() {
                        return;
                    }
                    if self.fault.get() == WireFault::RepeatBefore
                        && answer_out.write_all(&earlier).await.is_err()
                    {
                        return;
                    }
                    continue;
                }
                read = read_answer(&mut answer_in, &mut answer) => if !read {
                    return;
                },
            }
            if !self.write_answer(&mut answer_out, &answer).await {
                return;
            }
            earlier = answer;
        }
    }

    /// Writes the answer with the present fault. Returns whether the connection stays open.
    async fn write_answer(&self, out: &mut WriteHalf<'_>, answer: &[u8]) -> bool {
        let cut_permille = match self.fault.get() {
            WireFault::Cut(permille) => permille,
            WireFault::CutAnywhere => {
                self.cut_count.set(self.cut_count.get() + 1);
                self.cut_count.get() * CUT_STEP % 1_000
            }
            WireFault::RepeatAtOnce => {
                return out.write_all(&answer.repeat(2)).await.is_ok();
            }
            WireFault::Dribble => return dribble(out, answer).await,
            WireFault::Status(status) => {
                return out.write_all(&with_status(answer, status)).await.is_ok();
            }
            WireFault::EndlessInterim => return write_interim(out).await,
            WireFault::Endless(part) => {
                part.write(out, answer).await;
                return false;
            }
            WireFault::None | WireFault::RepeatBefore => {
                return out.write_all(answer).await.is_ok();
            }
        };
        out.write_all(&answer[..answer.len() * cut_permille / 1_000])
            .await
            .ok();
        false
    }
}

/// Binds a reserved port. A process that another test starts holds a copy of a listener that was just
/// closed until it runs its program.
async fn bind_reserved(address: &str) -> std::io::Result<TcpListener> {
    let deadline = Instant::now() + BIND_TIMEOUT;
    loop {
        match TcpListener::bind(address).await {
            Err(error) if error.kind() == ErrorKind::AddrInUse && Instant::now() < deadline => {}
            bound => return bound,
        }
        tokio::time::sleep(BIND_PAUSE).await;
    }
}

/// Waits while the state is one for which `is_same` returns true.
async fn wait_while(state: &mut watch::Receiver<WireState>, is_same: impl Fn(WireState) -> bool) {
    // The sender outlives its connections, so that the wait ends by a change only.
    state.wait_for(|state| !is_same(*state)).await.ok();
}

/// Returns the answer with another status code and reason.
fn with_status(answer: &[u8], status: &str) -> Vec<u8> {
    let line_end = answer.iter().position(|byte| *byte == b'\r');
    let rest = &answer[line_end.unwrap_or(answer.len())..];
    [b"HTTP/1.1 ", status.as_bytes(), rest].concat()
}

/// Writes interim answers until the connection closes, and returns that it does not stay open.
async fn write_interim(out: &mut WriteHalf<'_>) -> bool {
    while out
        .write_all(b"HTTP/1.1 100 Continue\r\n\r\n")
        .await
        .is_ok()
    {
        tokio::time::sleep(INTERIM_PAUSE).await;
    }
    false
}

/// Writes the head of the answer at once and its body a byte at a time. Returns whether the connection
/// stays open.
async fn dribble(out: &mut WriteHalf<'_>, answer: &[u8]) -> bool {
    let body_start = head_len(answer).unwrap_or(answer.len());
    if out.write_all(&answer[..body_start]).await.is_err() {
        return false;
    }
    for byte in &answer[body_start..] {
        tokio::time::sleep(DRIBBLE_PAUSE).await;
        if out.write_all(&[*byte]).await.is_err() {
            return false;
        }
    }
    true
}

/// Reads one answer with a `content-length` into `answer`. Returns whether it is complete.
async fn read_answer(from: &mut ReadHalf<'_>, answer: &mut Vec<u8>) -> bool {
    let mut buffer = vec![0; 64 * 1_024];
    loop {
        let count = from.read(&mut buffer).await.unwrap_or(0);
        if count == 0 {
            return false;
        }
        answer.extend_from_slice(&buffer[..count]);
        if answer_len(answer).is_some_and(|len| answer.len() >= len) {
            return true;
        }
    }
}

/// Returns the size of the answer that `bytes` begin with, if they hold its whole head.
fn answer_len(bytes: &[u8]) -> Option<usize> {
    let head_len = head_len(bytes)?;
    let head = String::from_utf8_lossy(&bytes[..head_len]).to_ascii_lowercase();
    let mut body_len = 0;
    for line in head.lines() {
        if let Some(length) = line.strip_prefix("content-length:") {
            body_len = length.trim().parse().ok()?;
        }
    }
    Some(head_len + body_len)
}

/// Returns the size of the head that `bytes` begin with, if it is whole.
fn head_len(bytes: &[u8]) -> Option<usize> {
    let end = bytes.windows(4).position(|four| four == b"\r\n\r\n")?;
    Some(end + 4)
}
