//! Randomized soak test. It runs real nodes as processes, injects faults from outside the
//! processes, and checks the system's guarantees from what callers and back ends observe. The seed
//! determines the sequence of faults of each injector task.

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

/// Number of hosts in a soak.
const HOST_COUNT: usize = 6;

/// Pause between two requests of one caller.
const CALL_PAUSE: Duration = Duration::from_millis(20);

/// Time without faults at the end of a soak, before the check that a new configuration comes into
/// force.
const QUIET_PERIOD: Duration = Duration::from_millis(3_500);

/// Longest time from the acknowledgement that a back end is draining to the start of its last
/// request.
const DRAIN_MAX: Duration = Duration::from_millis(2_000);

/// Time within which a node must end after SIGTERM.
const SHUTDOWN_GRACE: Duration = Duration::from_secs(6);

/// Fault that a soak can inject. The names of the variants appear in its report.
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

/// Result of a soak.
#[derive(Debug, Default)]
pub struct SoakReport {
    /// Number of requests that callers sent.
    pub call_count: usize,
    /// Number of requests that were answered with 200.
    pub served_count: usize,
    /// Descriptions of the injected faults, in the order in which they began.
    pub faults: Vec<String>,
    /// Descriptions of the violated guarantees.
    pub violations: Vec<String>,
}

/// Pseudorandom number generator that always returns the same sequence for a seed.
struct RandomSequence(u64);

impl RandomSequence {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = mix(self.0);
        self.0 % bound
    }
}

struct Soak {
    site: RefCell<Site>,
    /// Index of the called host, whether the request is an order, and the result.
    results: RefCell<Vec<(usize, bool, CallResult)>>,
    /// Host index and generation of each back end whose draining was acknowledged, and the time
    /// after which it must not start a request.
    drained_backends: RefCell<Vec<(usize, u64, Instant)>>,
    config_version: Cell<u32>,
    ends_at: Instant,
    report: RefCell<SoakReport>,
}

/// Runs callers and the faults of `seed` for `duration`, then checks the guarantees.
///
/// # Errors
///
/// The site can't be started or a task panics.
pub async fn soak(seed: u64, duration: Duration) -> anyhow::Result<SoakReport> {
    let site = Site::start(&format!("soak-{seed}"), HOST_COUNT).await?;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let soak = Rc::new(Soak {
        site: RefCell::new(site),
        results: RefCell::default(),
        drained_backends: RefCell::default(),
        config_version: Cell::new(1),
        ends_at: Instant::now() + duration,
        report: RefCell::default(),
    });
    let mut tasks = Vec::new();
    for index in 0..HOST_COUNT {
        for sends_orders in [false, true] {
            tasks.push(tokio::task::spawn_local(
                Rc::clone(&soak).run_caller(index, sends_orders),
            ));
        }
    }
    for injector in 0..2 {
        tasks.push(tokio::task::spawn_local(
            Rc::clone(&soak).inject_faults(mix(seed ^ (injector << 32))),
        ));
    }
    for task in tasks {
        task.await?;
    }
    soak.check_guarantees().await;
    Ok(soak.report.take())
}

impl Soak {
    async fn run_caller(self: Rc<Self>, index: usize, sends_orders: bool) {
        let caller = self.site.borrow().caller(index);
        while Instant::now() < self.ends_at {
            let result = if sends_orders {
                caller.call("POST", "/orders/1").await
            } else {
                caller.call("GET", "/reads/1").await
            };
            self.results
                .borrow_mut()
                .push((index, sends_orders, result));
            tokio::time::sleep(CALL_PAUSE).await;
        }
    }

    /// Injects random faults one after the other, and stops early enough for the quiet period at
    /// the end.
    async fn inject_faults(self: Rc<Self>, seed: u64) {
        let mut random = RandomSequence(seed);
        let last_fault_at = self.ends_at - QUIET_PERIOD - SHUTDOWN_GRACE;
        while Instant::now() < last_fault_at {
            let fault = FAULTS[random.below(FAULTS.len() as u64) as usize];
            let index = random.below(HOST_COUNT as u64) as usize;
            let duration = Duration::from_millis(200 + random.below(1_500));
            let description = format!("{fault:?} host {index} for {} ms", duration.as_millis());
            self.report.borrow_mut().faults.push(description);
            self.inject_fault(fault, index, duration).await;
            tokio::time::sleep(Duration::from_millis(random.below(800))).await;
        }
    }

    async fn inject_fault(&self, fault: Fault, index: usize, duration: Duration) {
        let store = Rc::clone(&self.site.borrow().store);
        let backend = Rc::clone(&self.site.borrow().hosts[index].backend);
        match fault {
            Fault::KillNode => {
                self.signal_node(index, Signal::Kill);
                self.restart_node(index, duration).await;
            }
            Fault::StopNode => {
                self.signal_node(index, Signal::Terminate);
                self.restart_node(index, SHUTDOWN_GRACE).await;
            }
            Fault::PauseNode => {
                self.signal_node(index, Signal::Stop);
                tokio::time::sleep(duration).await;
                self.signal_node(index, Signal::Continue);
            }
            Fault::CutStore => {
                self.set_store_link(
                    index,
                    LinkState {
                        blocked: true,
                        ..LinkState::default()
                    },
                );
                tokio::time::sleep(duration).await;
                self.set_store_link(index, LinkState::default());
            }
            Fault::SlowStore | Fault::StoreDown | Fault::StoreLosesAnswers => {
                store.set_faults(StoreFaults {
                    down: fault == Fault::StoreDown,
                    drops_answers: fault == Fault::StoreLosesAnswers,
                    slow_ms: if fault == Fault::SlowStore { 300 } else { 0 },
                });
                tokio::time::sleep(duration).await;
                store.set_faults(StoreFaults::default());
            }
            Fault::ForgetHistory => store.truncate_history(),
            Fault::DamagedConfig => {
                store.append_operator_record("config", b"{\"version\":\"000000ff\",\"routes\":");
            }
            Fault::ConfigStorm => {
                for _ in 0..8 {
                    self.publish();
                    tokio::time::sleep(duration / 8).await;
                }
            }
            Fault::LoseAnswers => {
                backend.drop_answer_one_in.set(4);
                tokio::time::sleep(duration).await;
                backend.drop_answer_one_in.set(0);
            }
            Fault::SlowBackend => {
                backend.slow_ms.set(250);
                tokio::time::sleep(duration).await;
                backend.slow_ms.set(0);
            }
            Fault::RestartBackend => backend.restart(),
            Fault::DrainBackend => {
                let generation = backend.generation();
                let acknowledged = backend.set_draining(true).await;
                if acknowledged && backend.generation() == generation {
                    let deadline = Instant::now() + DRAIN_MAX;
                    self.drained_backends
                        .borrow_mut()
                        .push((index, generation, deadline));
                }
                tokio::time::sleep(DRAIN_MAX + duration).await;
                backend.set_draining(false).await;
            }
        }
    }

    fn publish(&self) {
        self.config_version.set(self.config_version.get() + 1);
        let store = Rc::clone(&self.site.borrow().store);
        store.publish(&config(self.config_version.get(), "/reads/"));
    }

    fn signal_node(&self, index: usize, signal: Signal) {
        let site = self.site.borrow();
        if let Some(node) = &site.hosts[index].node {
            // The signal fails if another injector has just ended the process, which is not an
            // error.
            node.signal(signal).ok();
        }
    }

    fn set_store_link(&self, index: usize, state: LinkState) {
        self.site.borrow().hosts[index]
            .store_link
            .set_link_state(state);
    }

    /// Waits for the node's process to end and starts it again. Records a violation if the process
    /// has not ended after `timeout`, and kills it.
    async fn restart_node(&self, index: usize, timeout: Duration) {
        let Some(mut node) = self.site.borrow_mut().hosts[index].node.take() else {
            return;
        };
        node.signal(Signal::Continue).ok();
        let deadline = Instant::now() + timeout;
        while !node.has_ended() && Instant::now() < deadline {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        if !node.has_ended() {
            self.record_violation(format!(
                "node {index} did not end within {} ms",
                timeout.as_millis()
            ));
        }
        drop(node);
        if let Err(error) = self.site.borrow_mut().hosts[index].start_node() {
            self.record_violation(format!("could not start node {index}: {error:#}"));
        }
    }

    fn record_violation(&self, violation: String) {
        self.report.borrow_mut().violations.push(violation);
    }

    async fn check_guarantees(&self) {
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
                    self.record_violation(format!(
                        "back end of {service} on host {index} ran {}",
                        run.request_line
                    ));
                }
                if run.origin != READS && run.origin != ORDERS {
                    self.record_violation(format!(
                        "request {} has the unknown origin {}",
                        run.id, run.origin
                    ));
                }
                *run_counts.entry(run.id).or_default() += 1;
            }
        }
        let mut report = self.report.borrow_mut();
        for (index, is_order, result) in self.results.borrow().iter() {
            report.call_count += 1;
            let run_count = run_counts.remove(&result.id).unwrap_or(0);
            let at = format!("request {} at host {index}", result.id);
            if *is_order && run_count > 1 {
                report
                    .violations
                    .push(format!("{at} ran {run_count} times"));
            }
            if matches!(result.status, 408 | 421 | 429 | 503) && *is_order && run_count > 0 {
                report.violations.push(format!(
                    "{at} ran although it was refused with {}",
                    result.status
                ));
            }
            if result.status == 200 {
                report.served_count += 1;
                if !result.sealed || run_count == 0 {
                    report.violations.push(format!(
                        "{at} was answered with 200, but without a run or a valid seal"
                    ));
                }
            }
            if (400..500).contains(&result.status) && !matches!(result.status, 408 | 421 | 429) {
                report
                    .violations
                    .push(format!("{at} was rejected with {}", result.status));
            }
        }
        for id in run_counts.into_keys() {
            report
                .violations
                .push(format!("request {id} ran, but no caller sent it"));
        }
    }

    fn check_drains(&self) {
        let site = self.site.borrow();
        for (index, generation, deadline) in self.drained_backends.borrow().iter() {
            for run in site.hosts[*index].backend.runs() {
                if run.generation == *generation && run.started_at > *deadline {
                    self.record_violation(format!(
                        "request {} reached the drained back end of host {index}",
                        run.id
                    ));
                }
            }
        }
    }

    /// Publishes one more configuration, and checks that it is in force on every node after 2 s.
    async fn check_configuration(&self) {
        self.config_version.set(self.config_version.get() + 1);
        let store = Rc::clone(&self.site.borrow().store);
        store.publish(&config(self.config_version.get(), "/moved/"));
        tokio::time::sleep(Duration::from_millis(2_000)).await;
        for index in 0..HOST_COUNT {
            let caller = self.site.borrow().caller(index);
            let (moved, old) = (
                caller.call("GET", "/moved/1").await,
                caller.call("GET", "/reads/1").await,
            );
            if moved.status != 200 || old.status != 404 {
                self.record_violation(format!(
                    "host {index} does not apply the newest configuration: \
                     status {} for the new path and {} for the old path",
                    moved.status, old.status
                ));
            }
        }
    }
}
