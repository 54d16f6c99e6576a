//! Crashes of back ends under the requests that they run.

use std::cell::{
    Cell,
    RefCell, //
};
use std::rc::Rc;
use std::time::{
    Duration,
    Instant, //
};

use tokio::task::JoinHandle;

use super::backend::{
    Backend,
    Run, //
};
use super::wire::{
    AnswerWire,
    WireState, //
};
use super::Site;

/// Pause between two looks for requests that have started.
const POLL_PERIOD: Duration = Duration::from_millis(1);

/// Requests that crash the back ends that run them, and how these end.
#[derive(Clone, Debug)]
pub struct CrashRule {
    /// Beginning of the paths of the requests.
    pub path_prefix: String,
    /// Service at whose hosts the requests enter the mesh; any if absent.
    pub origin: Option<&'static str>,
    /// Time from the start of the request to the end of the back end.
    pub after: Duration,
    /// What the address does until the back end is back.
    pub ends_as: WireState,
    /// Time until the back end is back as a new instance.
    pub down_for: Duration,
}

impl CrashRule {
    fn matches(&self, run: &Run) -> bool {
        let path = run.request_line.split(' ').nth(1).unwrap_or("");
        path.starts_with(&self.path_prefix) && self.origin.is_none_or(|origin| origin == run.origin)
    }
}

/// Back ends of a site that crash under some requests, until this is stopped.
pub struct Crashes {
    times: Rc<RefCell<Vec<Instant>>>,
    stopped: Rc<Cell<bool>>,
    tasks: Vec<JoinHandle<()>>,
}

impl Crashes {
    /// Lets all back ends of the site crash under the requests of `rule` from now on.
    pub fn start(site: &Site, rule: &CrashRule) -> Self {
        let mut crashes = Self {
            times: Rc::default(),
            stopped: Rc::default(),
            tasks: Vec::new(),
        };
        for host in &site.hosts {
            let crashing = CrashingBackend {
                backend: Rc::clone(&host.backend),
                wire: Rc::clone(&host.wire),
                rule: rule.clone(),
                times: Rc::clone(&crashes.times),
                stopped: Rc::clone(&crashes.stopped),
            };
            crashes
                .tasks
                .push(tokio::task::spawn_local(crashing.crash_repeatedly()));
        }
        crashes
    }

    /// Returns the times at which back ends crashed.
    pub fn times(&self) -> Vec<Instant> {
        self.times.borrow().clone()
    }

    /// Lets no further back end crash, and waits until all are back. Returns the times of the crashes.
    pub async fn stop(self) -> Vec<Instant> {
        self.stopped.set(true);
        for task in self.tasks {
            // A task ends without a result; if it panicked, its back end stays down.
            task.await.ok();
        }
        self.times.take()
    }
}

struct CrashingBackend {
    backend: Rc<Backend>,
    wire: Rc<AnswerWire>,
    rule: CrashRule,
    times: Rc<RefCell<Vec<Instant>>>,
    stopped: Rc<Cell<bool>>,
}

impl CrashingBackend {
    async fn crash_repeatedly(self) {
        let mut next_index = self.backend.run_count();
        while !self.stopped.get() {
            tokio::time::sleep(POLL_PERIOD).await;
            while let Some(run) = self.backend.run_at(next_index) {
                next_index += 1;
                if !self.rule.matches(&run) {
                    continue;
                }
                tokio::time::sleep_until((run.started_at + self.rule.after).into()).await;
                if run.generation != self.backend.generation() {
                    // The back end was restarted meanwhile, for another reason.
                    continue;
                }
                self.times.borrow_mut().push(Instant::now());
                self.crash().await;
                // The requests that had started meanwhile ended with the back end.
                next_index = self.backend.run_count();
            }
        }
    }

    async fn crash(&self) {
        self.backend.heartbeat_paused.set(true);
        self.backend.restart();
        self.wire.set_state(self.rule.ends_as);
        tokio::time::sleep(self.rule.down_for).await;
        self.wire.set_state(WireState::Up);
        self.backend.heartbeat_paused.set(false);
        self.backend.send_heartbeat().await;
    }
}
