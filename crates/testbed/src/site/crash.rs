//! Crashes of back ends under the requests that they run.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{
    Duration,
    Instant, //
};

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
    pub path_prefix: &'static str,
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
        path.starts_with(self.path_prefix) && self.origin.is_none_or(|origin| origin == run.origin)
    }
}

/// Times at which back ends crashed.
pub type CrashTimes = Rc<RefCell<Vec<Instant>>>;

/// Lets all back ends of the site crash under the requests of `rule` from now on.
pub fn start_crashes(site: &Site, rule: &CrashRule) -> CrashTimes {
    let times = CrashTimes::default();
    for host in &site.hosts {
        tokio::task::spawn_local(crash_repeatedly(
            Rc::clone(&host.backend),
            Rc::clone(&host.wire),
            rule.clone(),
            Rc::clone(&times),
        ));
    }
    times
}

async fn crash_repeatedly(
    backend: Rc<Backend>,
    wire: Rc<AnswerWire>,
    rule: CrashRule,
    times: CrashTimes,
) {
    let mut next_index = backend.run_count();
    loop {
        tokio::time::sleep(POLL_PERIOD).await;
        while let Some(run) = backend.run_at(next_index) {
            next_index += 1;
            if !rule.matches(&run) {
                continue;
            }
            tokio::time::sleep_until((run.started_at + rule.after).into()).await;
            times.borrow_mut().push(Instant::now());
            crash(&backend, &wire, &rule).await;
            // The requests that had started meanwhile ended with the back end.
            next_index = backend.run_count();
        }
    }
}

async fn crash(backend: &Backend, wire: &AnswerWire, rule: &CrashRule) {
    backend.heartbeat_paused.set(true);
    backend.restart();
    wire.set_state(rule.ends_as);
    tokio::time::sleep(rule.down_for).await;
    wire.set_state(WireState::Up);
    backend.heartbeat_paused.set(false);
    backend.send_heartbeat().await;
}
