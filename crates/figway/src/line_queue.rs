//! Bounded queue of log lines and the thread that writes them to the standard output. Whoever logs
//! never waits; lines that find the queue full are dropped, counted and told.

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

/// Lines that wait to be written, in bytes.
const QUEUE_MAX_BYTES: usize = 1_024 * 1_024;

/// Time for which lines are gathered before they are written in one go.
const GATHER: Duration = Duration::from_millis(150);

#[derive(Default)]
struct Waiting {
    bytes: Vec<u8>,
    dropped_count: u64,
    writing: bool,
}

#[derive(Default)]
struct Shared {
    waiting: Mutex<Waiting>,
    has_lines: Condvar,
    is_empty: Condvar,
}

/// Handle to the queue.
#[derive(Clone, Default)]
pub(crate) struct LineQueue {
    shared: Arc<Shared>,
}

impl LineQueue {
    /// Starts the thread that writes.
    pub(crate) fn start() -> std::io::Result<Self> {
        let queue = Self::default();
        let shared = Arc::clone(&queue.shared);
        std::thread::Builder::new()
            .name("log-writer".to_owned())
            .stack_size(128 * 1_024)
            .spawn(move || shared.write_lines())?;
        Ok(queue)
    }

    /// Adds a line, without its end.
    pub(crate) fn push(&self, line: &str) {
        let mut waiting = self.shared.lock();
        if waiting.bytes.len() + line.len() >= QUEUE_MAX_BYTES {
            waiting.dropped_count += 1;
            return;
        }
        let was_empty = waiting.bytes.is_empty();
        waiting.bytes.extend_from_slice(line.as_bytes());
        waiting.bytes.push(b'\n');
        drop(waiting);
        if was_empty {
            self.shared.has_lines.notify_one();
        }
    }

    /// Waits until all lines are written, or until `deadline`.
    pub(crate) fn drain(&self, deadline: Instant) {
        let mut waiting = self.shared.lock();
        while !waiting.bytes.is_empty() || waiting.writing {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return;
            }
            let woken = self.shared.is_empty.wait_timeout(waiting, left);
            waiting = woken.expect("no holder panics").0;
        }
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Waiting> {
        self.waiting.lock().expect("no holder panics")
    }

    fn write_lines(&self) {
        loop {
            let mut waiting = self.lock();
            while waiting.bytes.is_empty() {
                waiting = self.has_lines.wait(waiting).expect("no holder panics");
            }
            drop(waiting);
            std::thread::sleep(GATHER);
            let mut waiting = self.lock();
            let mut lines = std::mem::take(&mut waiting.bytes);
            let dropped_count = std::mem::take(&mut waiting.dropped_count);
            waiting.writing = true;
            drop(waiting);
            if dropped_count > 0 {
                let line = format!(r#"{{"event":"log lines dropped","count":{dropped_count}}}"#);
                lines.extend_from_slice(line.as_bytes());
                lines.push(b'\n');
            }
            // Nobody is left to be told when the standard output itself fails.
            std::io::stdout().write_all(&lines).ok();
            self.lock().writing = false;
            self.is_empty.notify_all();
        }
    }
}
