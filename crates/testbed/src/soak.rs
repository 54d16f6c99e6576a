//! Randomized soak: real nodes as processes, faults injected from outside them, and the promises
//! checked from what callers and back ends see. One seed always draws the same faults.

use std::cell::{
    Cell,
    RefCell, //
};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{
    Duration,
    Instant, //
};

use figway_types::mix;

use crate::process::Signal;
use crate::relay::LinkState;
use crate::site::caller::CallResult;
use crate::site::store::StoreFaults;
use crate::site::{
    config,
    Site,
    ORDERS,
    READS, //
};

/// Hosts of a soak.
const HOST_COUNT: usize = 6;

/// Pause between two requests of one caller.
const CALL_PAUSE: Duration = Duration::from_millis(20);

/// Time without faults after which configurations must be in force.
const CALM: Duration = Duration::from_millis(3_500);

/// Time from the acknowledgement of a leaving back end to its last request.
const DRAIN_MAX: Duration = Duration::from_millis(2_000);

/// Time that a process has to end after SIGTERM.
const GRACE: Duration = Duration::from_secs(6);

/// Faults that a soak draws from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    KillNode,
    StopNode,
    PauseNode,
    CutStore,
    SlowStore,
    StoreDown,
    StoreLosesAnswers,
    ForgetHistory,
    DamagedConfig,
    ConfigStorm,
    LoseAnswers,
    SlowBackend,
    RestartBackend,
    DrainBackend,
}

const FAULTS: [Fault; 14] = [
    Fault::KillNode,
    Fault::StopNode,
    Fault::PauseNode,
    Fault::CutStore,
    Fault::SlowStore,
    Fault::StoreDown,
    Fault::StoreLosesAnswers,
    Fault::ForgetHistory,
    Fault::DamagedConfig,
    Fault::ConfigStorm,
    Fault::LoseAnswers,
    Fault::SlowBackend,
    Fault::RestartBackend,
    Fault::DrainBackend,
];

/// What a soak saw.
#[derive(Debug, Default)]
pub struct SoakReport {
    /// Requests that callers sent.
    pub call_count: usize,
    /// Requests that were answered by their back end.
    pub served_count: usize,
    /// Faults in the order in which they began.
    pub faults: Vec<String>,
    /// Promises that were broken.
    pub violations: Vec<String>,
}

struct Draw(u64);

impl Draw {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = mix(self.0);
        self.0 % bound
    }
}

struct Soak {
    site: RefCell<Site>,
    seen: RefCell<Vec<(usize, bool, CallResult)>>,
    /// Host and start of back ends whose leaving was acknowledged, and when they may run no more.
    drained: RefCell<Vec<(usize, u64, Instant)>>,
    version: Cell<u32>,
    ends_at: Instant,
    report: RefCell<SoakReport>,
}

/// Plays one seed for `span` and checks what was promised.
///
/// # Errors
///
/// The site does not start.
pub async fn soak(seed: u64, span: Duration) -> anyhow::Result<SoakReport> {
    let site = Site::start(&format!("soak-{seed}"), HOST_COUNT).await?;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let soak = Rc::new(Soak {
        site: RefCell::new(site),
        seen: RefCell::default(),
        drained: RefCell::default(),
        version: Cell::new(1),
        ends_at: Instant::now() + span,
        report: RefCell::default(),
    });
    let mut tasks = Vec::new();
    for index in 0..HOST_COUNT {
        for orders in [false, true] {
            tasks.push(tokio::task::spawn_local(
                Rc::clone(&soak).call(index, orders),
            ));
        }
    }
    for series in 0..2 {
        tasks.push(tokio::task::spawn_local(
            Rc::clone(&soak).trouble(mix(seed ^ (series << 32))),
        ));
    }
    for task in tasks {
        task.await?;
    }
    soak.check().await;
    Ok(soak.report.take())
}

impl Soak {
    async fn call(self: Rc<Self>, index: usize, orders: bool) {
        let caller = self.site.borrow().caller(index);
        while Instant::now() < self.ends_at {
            let seen = if orders {
                caller.call("POST", "/orders/1").await
            } else {
                caller.call("GET", "/reads/1").await
            };
            self.seen.borrow_mut().push((index, orders, seen));
            tokio::time::sleep(CALL_PAUSE).await;
        }
    }

    /// Injects faults one after the other until a calm end.
    async fn trouble(self: Rc<Self>, seed: u64) {
        let mut draw = Draw(seed);
        let last_at = self.ends_at - CALM - GRACE;
        while Instant::now() < last_at {
            let fault = FAULTS[draw.below(FAULTS.len() as u64) as usize];
            let index = draw.below(HOST_COUNT as u64) as usize;
            let span = Duration::from_millis(200 + draw.below(1_500));
            let note = format!("{fault:?} host {index} for {} ms", span.as_millis());
            self.report.borrow_mut().faults.push(note);
            self.inject(fault, index, span).await;
            tokio::time::sleep(Duration::from_millis(draw.below(800))).await;
        }
    }

    async fn inject(&self, fault: Fault, index: usize, span: Duration) {
        let store = Rc::clone(&self.site.borrow().store);
        let backend = Rc::clone(&self.site.borrow().hosts[index].backend);
        match fault {
            Fault::KillNode => {
                self.signal(index, Signal::Kill);
                self.restart(index, span).await;
            }
            Fault::StopNode => {
                self.signal(index, Signal::Terminate);
                self.restart(index, GRACE).await;
            }
            Fault::PauseNode => {
                self.signal(index, Signal::Stop);
                tokio::time::sleep(span).await;
                self.signal(index, Signal::Continue);
            }
            Fault::CutStore => {
                self.set_way(
                    index,
                    LinkState {
                        blocked: true,
                        ..LinkState::default()
                    },
                );
                tokio::time::sleep(span).await;
                self.set_way(index, LinkState::default());
            }
            Fault::SlowStore | Fault::StoreDown | Fault::StoreLosesAnswers => {
                store.set_faults(StoreFaults {
                    down: fault == Fault::StoreDown,
                    drops_answers: fault == Fault::StoreLosesAnswers,
                    slow_ms: if fault == Fault::SlowStore { 300 } else { 0 },
                });
                tokio::time::sleep(span).await;
                store.set_faults(StoreFaults::default());
            }
            Fault::ForgetHistory => store.truncate_history(),
            Fault::DamagedConfig => {
                store.append_operator_record("config", b"{\"version\":\"000000ff\",\"routes\":");
            }
            Fault::ConfigStorm => {
                for _ in 0..8 {
                    self.publish();
                    tokio::time::sleep(span / 8).await;
                }
            }
            Fault::LoseAnswers => {
                backend.drop_answer_one_in.set(4);
                tokio::time::sleep(span).await;
                backend.drop_answer_one_in.set(0);
            }
            Fault::SlowBackend => {
                backend.slow_ms.set(250);
                tokio::time::sleep(span).await;
                backend.slow_ms.set(0);
            }
            Fault::RestartBackend => backend.restart(),
            Fault::DrainBackend => {
                let start = backend.generation();
                let acknowledged = backend.set_draining(true).await;
                if acknowledged && backend.generation() == start {
                    let until = Instant::now() + DRAIN_MAX;
                    self.drained.borrow_mut().push((index, start, until));
                }
                tokio::time::sleep(DRAIN_MAX + span).await;
                backend.set_draining(false).await;
            }
        }
    }

    fn publish(&self) {
        self.version.set(self.version.get() + 1);
        let store = Rc::clone(&self.site.borrow().store);
        store.publish(&config(self.version.get(), "/reads/"));
    }

    fn signal(&self, index: usize, signal: Signal) {
        let site = self.site.borrow();
        if let Some(node) = &site.hosts[index].node {
            // A process that another series has just ended takes no signal.
            node.signal(signal).ok();
        }
    }

    fn set_way(&self, index: usize, state: LinkState) {
        self.site.borrow().hosts[index]
            .store_link
            .set_link_state(state);
    }

    /// Waits for the end of the node's process, which is due within `wait`, and starts it again.
    async fn restart(&self, index: usize, wait: Duration) {
        let Some(mut node) = self.site.borrow_mut().hosts[index].node.take() else {
            return;
        };
        node.signal(Signal::Continue).ok();
        let deadline = Instant::now() + wait;
        while !node.has_ended() && Instant::now() < deadline {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        if !node.has_ended() {
            self.note(format!(
                "node {index} still runs {} ms after its stop",
                wait.as_millis()
            ));
        }
        drop(node);
        if let Err(error) = self.site.borrow_mut().hosts[index].start_node() {
            self.note(format!("node {index} does not start: {error:#}"));
        }
    }

    fn note(&self, broken: String) {
        self.report.borrow_mut().violations.push(broken);
    }

    async fn check(&self) {
        self.check_calls();
        self.check_drains();
        self.check_configuration().await;
    }

    fn check_calls(&self) {
        let site = self.site.borrow();
        let mut run_counts: BTreeMap<String, usize> = BTreeMap::new();
        for (index, host) in site.hosts.iter().enumerate() {
            let service = if index % 2 == 0 { READS } else { ORDERS };
            for run in host.backend.runs() {
                if !run.request_line.contains(service) {
                    self.note(format!(
                        "host {index} of {service} ran {}",
                        run.request_line
                    ));
                }
                if run.origin != READS && run.origin != ORDERS {
                    self.note(format!("request {} came from {}", run.id, run.origin));
                }
                *run_counts.entry(run.id).or_default() += 1;
            }
        }
        let mut report = self.report.borrow_mut();
        for (index, orders, seen) in self.seen.borrow().iter() {
            report.call_count += 1;
            let run_count = run_counts.remove(&seen.id).unwrap_or(0);
            let at = format!("request {} at host {index}", seen.id);
            if *orders && run_count > 1 {
                report
                    .violations
                    .push(format!("{at} ran {run_count} times"));
            }
            if matches!(seen.status, 408 | 421 | 429 | 503) && *orders && run_count > 0 {
                report
                    .violations
                    .push(format!("{at} was refused with {} and ran", seen.status));
            }
            if seen.status == 200 {
                report.served_count += 1;
                if !seen.sealed || run_count == 0 {
                    report
                        .violations
                        .push(format!("{at} got an answer that is not its own"));
                }
            }
            if (400..500).contains(&seen.status) && !matches!(seen.status, 408 | 421 | 429) {
                report
                    .violations
                    .push(format!("{at} was denied with {}", seen.status));
            }
        }
        for id in run_counts.into_keys() {
            report
                .violations
                .push(format!("request {id} ran and no caller sent it"));
        }
    }

    fn check_drains(&self) {
        let site = self.site.borrow();
        for (index, start, until) in self.drained.borrow().iter() {
            for run in site.hosts[*index].backend.runs() {
                if run.generation == *start && run.started_at > *until {
                    self.note(format!("request {} reached leaving host {index}", run.id));
                }
            }
        }
    }

    /// After a calm time one more configuration must be in force on every node within its bound.
    async fn check_configuration(&self) {
        self.version.set(self.version.get() + 1);
        let store = Rc::clone(&self.site.borrow().store);
        store.publish(&config(self.version.get(), "/moved/"));
        tokio::time::sleep(Duration::from_millis(2_000)).await;
        for index in 0..HOST_COUNT {
            let caller = self.site.borrow().caller(index);
            let (moved, old) = (
                caller.call("GET", "/moved/1").await,
                caller.call("GET", "/reads/1").await,
            );
            if moved.status != 200 || old.status != 404 {
                self.note(format!(
                    "host {index} has not the newest configuration: {} and {}",
                    moved.status, old.status
                ));
            }
        }
    }
}
