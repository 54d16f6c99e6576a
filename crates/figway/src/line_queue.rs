//! Bounded queue of log lines and the thread that writes them to the standard output.
//!
//! Logging never waits for the output. Lines that arrive while the queue is full are dropped, and
//! their count is written as a log line of its own.

use std::io::Write as _;
use std::sync::{
    Arc,
    Condvar,
    Mutex,
    MutexGuard, //
};
use std::time::{
    Duration,
    Instant, //
};

/// Largest size of all queued lines, in bytes.
const QUEUE_MAX_BYTES: usize = 1_024 * 1_024;

/// Time for which lines are collected before they are written together.
const BATCH_DELAY: Duration = Duration::from_millis(150);

#[derive(Default)]
struct PendingLines {
    bytes: Vec<u8>,
    dropped_count: u64,
    is_writing: bool,
}

#[derive(Default)]
struct Shared {
    pending: Mutex<PendingLines>,
    line_queued: Condvar,
    all_written: Condvar,
}

/// Handle to the queue. Clones share the same queue.
#[derive(Clone, Default)]
pub(crate) struct LineQueue {
    shared: Arc<Shared>,
}

impl LineQueue {
    /// Creates the queue and starts the writer thread.
    pub(crate) fn start() -> std::io::Result<Self> {
        let queue = Self::default();
        let shared = Arc::clone(&queue.shared);
        std::thread::Builder::new()
            .name("log-writer".to_owned())
            .stack_size(128 * 1_024)
            .spawn(move || shared.write_lines())?;
        Ok(queue)
    }

    /// Queues a line, given without its line break. Drops the line if the queue is full.
    pub(crate) fn push(&self, line: &str) {
        let mut pending = self.shared.lock();
        if pending.bytes.len() + line.len() >= QUEUE_MAX_BYTES {
            pending.dropped_count += 1;
            return;
        }
        let was_empty = pending.bytes.is_empty();
        pending.bytes.extend_from_slice(line.as_bytes());
        pending.bytes.push(b'\n');
        drop(pending);
        if was_empty {
            self.shared.line_queued.notify_one();
        }
    }

    /// Waits until all queued lines are written or `deadline` has passed.
    pub(crate) fn flush(&self, deadline: Instant) {
        let mut pending = self.shared.lock();
        while !pending.bytes.is_empty() || pending.is_writing {
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return;
            }
            let wait_result = self.shared.all_written.wait_timeout(pending, remaining);
            pending = wait_result.expect("no holder panics").0;
        }
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, PendingLines> {
        self.pending.lock().expect("no holder panics")
    }

    fn write_lines(&self) {
        loop {
            let mut pending = self.lock();
            while pending.bytes.is_empty() {
                pending = self.line_queued.wait(pending).expect("no holder panics");
            }
            drop(pending);
            std::thread::sleep(BATCH_DELAY);
            let mut pending = self.lock();
            let mut lines = std::mem::take(&mut pending.bytes);
            let dropped_count = std::mem::take(&mut pending.dropped_count);
            pending.is_writing = true;
            drop(pending);
            if dropped_count > 0 {
                let line = format!(r#"{{"event":"log lines dropped","count":{dropped_count}}}"#);
                lines.extend_from_slice(line.as_bytes());
                lines.push(b'\n');
            }
            // A failure of the standard output can't be reported anywhere.
            std::io::stdout().write_all(&lines).ok();
            self.lock().is_writing = false;
            self.all_written.notify_all();
        }
    }
}
