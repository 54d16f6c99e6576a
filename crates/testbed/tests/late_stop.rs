//! Planned stops of a node while clients send or read slowly.
//!
//! The tests guard against a request that is read, perhaps run, and never answered, because the node
//! ends while the request is still being sent, or its answer still being read.

mod common;

use std::time::{
    Duration,
    Instant, //
};

use figway_testbed::process::Signal;
use figway_testbed::site::{
    Site,
    HOST_HEADER, //
};
use tokio::io::{
    AsyncReadExt as _,
    AsyncWriteExt as _, //
};
use tokio::net::{
    TcpSocket,
    TcpStream, //
};

use crate::common::wait_site_ready;

/// Number of pieces in which a slow client sends a body.
const PIECE_COUNT: usize = 10;

/// Size of each piece, in bytes.
const PIECE_BYTES: usize = 200;

/// Longest time that a client waits for its answer after its last byte.
const ANSWER_MAX: Duration = Duration::from_millis(3_000);

/// Answer as a client received it.
#[derive(Debug)]
struct RawAnswer {
    status: u16,
    head: String,
    body_bytes: usize,
}

impl RawAnswer {
    fn parse(bytes: &[u8]) -> Option<Self> {
        let head_bytes = bytes.windows(4).position(|end| end == b"\r\n\r\n")? + 4;
        let head = String::from_utf8_lossy(&bytes[..head_bytes]).into_owned();
        Some(Self {
            status: head.get(9..12)?.parse().ok()?,
            head,
            body_bytes: bytes.len() - head_bytes,
        })
    }

    fn length(&self) -> Option<usize> {
        let line = self
            .head
            .lines()
            .find(|line| line.to_ascii_lowercase().starts_with("content-length:"))?;
        line.split_once(':')?.1.trim().parse().ok()
    }

    fn is_whole(&self) -> bool {
        self.length() == Some(self.body_bytes)
    }
}

fn request_head(method: &str, path: &str, id: &str, body_bytes: usize) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST_HEADER}\r\nX-Figway-Attempt-Id: {id}\r\n\
         X-Figway-Deadline-Ms: 5000\r\nContent-Length: {body_bytes}\r\nConnection: close\r\n\r\n"
    )
}

/// Sends an order with pauses between the pieces of its body. Returns the answer, if one came.
async fn send_slowly(address: String, id: String, pause: Duration) -> Option<RawAnswer> {
    let mut stream = TcpStream::connect(&address).await.ok()?;
    let head = request_head("POST", "/orders/1", &id, PIECE_COUNT * PIECE_BYTES);
    stream.write_all(head.as_bytes()).await.ok()?;
    for _ in 0..PIECE_COUNT {
        tokio::time::sleep(pause).await;
        stream.write_all(&[b'x'; PIECE_BYTES]).await.ok()?;
    }
    let mut bytes = Vec::new();
    let reading = stream.read_to_end(&mut bytes);
    tokio::time::timeout(ANSWER_MAX, reading).await.ok()?.ok()?;
    RawAnswer::parse(&bytes)
}

#[ntex::test]
async fn a_request_whose_last_byte_comes_late_in_a_planned_stop_is_answered() {
    let site = Site::start("slow-sender", 4).await.unwrap();
    wait_site_ready(&site).await;
    for host in &site.hosts {
        host.backend.slow_ms.set(200);
    }
    let node = site.hosts[0].node.as_ref().unwrap();
    node.signal(Signal::Terminate).unwrap();
    let stopped_at = Instant::now();
    let mut sending = Vec::new();
    for number in 0..24 {
        // The last bytes come from 1.9 s to 4.2 s after the stop request.
        let start_after = Duration::from_millis(400 + 100 * number);
        let address = site.hosts[0].caller_address.clone();
        let id = format!("slow-{number}");
        sending.push(tokio::task::spawn_local(async move {
            tokio::time::sleep_until((stopped_at + start_after).into()).await;
            let answer = send_slowly(address, id.clone(), Duration::from_millis(150)).await;
            (id, start_after, answer)
        }));
    }
    for result in sending {
        let (id, start_after, answer) = result.await.unwrap();
        let mut run_count = 0;
        for host in &site.hosts {
            let runs = host.backend.runs();
            run_count += runs.iter().filter(|run| run.id == id).count();
        }
        let Some(answer) = answer else {
            panic!("{id}, begun {start_after:?} after the stop request, ran {run_count} times, no answer");
        };
        assert!(answer.is_whole(), "{id}: {answer:?}");
        match answer.status {
            200 => assert_eq!(run_count, 1, "{id}: {answer:?}"),
            503 => assert_eq!(run_count, 0, "{id}: {answer:?}"),
            _ => panic!("{id}, begun {start_after:?} after the stop request: {answer:?}"),
        }
    }
}

#[ntex::test]
async fn a_large_answer_that_is_read_slowly_is_sent_whole_before_a_planned_stop_ends() {
    const ANSWER_BYTES: usize = 12_000_000;
    const CHUNK_BYTES: usize = 100_000;
    let site = Site::start("slow-reader", 4).await.unwrap();
    wait_site_ready(&site).await;
    for host in &site.hosts {
        host.backend.filler_bytes.set(ANSWER_BYTES);
    }
    let node = site.hosts[0].node.as_ref().unwrap();
    node.signal(Signal::Terminate).unwrap();
    tokio::time::sleep(Duration::from_millis(2_000)).await;
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(64 * 1_024).unwrap();
    let address = site.hosts[0].caller_address.parse().unwrap();
    let mut stream = socket.connect(address).await.unwrap();
    let head = request_head("GET", "/reads/1", "slow-reader", 0);
    stream.write_all(head.as_bytes()).await.unwrap();
    let mut bytes = Vec::new();
    let mut chunk = vec![0; CHUNK_BYTES];
    // About 5 MB a second: the last byte comes about 2.4 s after the first.
    while let Ok(count) = stream.read(&mut chunk).await {
        if count == 0 {
            break;
        }
        bytes.extend_from_slice(&chunk[..count]);
        let pause_us = 20_000 * count as u64 / CHUNK_BYTES as u64;
        tokio::time::sleep(Duration::from_micros(pause_us)).await;
    }
    let answer = RawAnswer::parse(&bytes).unwrap();
    assert!(
        answer.status == 200 && answer.is_whole(),
        "{} of {:?} bytes: {}",
        answer.body_bytes,
        answer.length(),
        answer.head
    );
}
