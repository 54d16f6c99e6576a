//! Randomized soak test. It runs real nodes as processes, injects faults from outside the
//! processes, and checks the system's guarantees from what callers and back ends observe. The seed
//! determines the sequence of faults of each injector task.

mod checks;
mod crashing;
mod customers;
mod departures;
mod fault;
mod large_bodies;
mod nodes;
mod notices;
mod rollouts;
mod surge;

use std::cell::{
    Cell,
    RefCell, //
};
use std::rc::Rc;
use std::time::{
    Duration,
    Instant, //
};

use figway_types::mix;

use self::crashing::CrashingRequest;
use self::customers::Customers;
use self::departures::Killed;
use self::fault::{
    Fault,
    FAULTS, //
};
use self::notices::{
    BackendNotice,
    NoticeKind, //
};
use self::rollouts::Rollout;
use crate::process::Signal;
use crate::site::caller::{
    CallResult,
    Caller, //
};
use crate::site::store::StoreFaults;
use crate::site::wire::WireFault;
use crate::site::Site;

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

/// Rate limit that a back end names, in requests per second.
const RATE_LIMIT_PER_S: f64 = 12.0;

/// Time for which a back end names its rate limit. It is longer than the span over which the platform
/// sums the requests.
const RATE_LIMIT_DURATION: Duration = Duration::from_millis(7_000);

/// Time within which a node must end after SIGTERM.
const SHUTDOWN_GRACE: Duration = Duration::from_secs(6);

/// Optional parts of a soak besides its faults. They don't change the sequences of faults of a seed.
#[derive(Clone, Copy, Debug, Default)]
pub struct Scenarios {
    /// Callers have API keys, some of which the operator removes, and one customer sends several times
    /// its limit.
    pub customers: bool,
    /// A new version of a service is rolled out.
    pub rollouts: bool,
    /// All nodes are killed at once, some times, shortly after a back end has left.
    pub kills_all: bool,
}

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
    /// Limits and leaving states that back ends stated in their answers.
    notices: RefCell<Vec<BackendNotice>>,
    /// Host index of each fault under way that limits a back end.
    limited_hosts: RefCell<Vec<usize>>,
    /// Host index and time of each kill, stop, pause and end of a pause.
    disturbances: RefCell<Vec<(usize, Instant)>>,
    /// Requests that crashed back ends.
    crashing_requests: RefCell<Vec<CrashingRequest>>,
    /// Customers of the configuration, if it has any.
    customers: Option<Customers>,
    /// Begin and end of each time for which the store was down.
    store_outages: RefCell<Vec<(Instant, Instant)>>,
    /// When each copy of the store was taken, and when the store went back to it.
    store_restores: RefCell<Vec<(Instant, Instant)>>,
    /// Rollout that was ordered.
    rollout: RefCell<Option<Rollout>>,
    config_version: Cell<u32>,
    ends_at: Instant,
    report: RefCell<SoakReport>,
}

/// Runs callers, the scenarios and the faults of `seed` for `duration`, then checks the guarantees.
///
/// # Errors
///
/// The site can't be started or a task panics.
pub async fn soak(
    seed: u64,
    duration: Duration,
    scenarios: Scenarios,
) -> anyhow::Result<SoakReport> {
    let mut site = Site::start(&format!("soak-{seed}"), HOST_COUNT).await?;
    if scenarios.rollouts {
        rollouts::add_new_hosts(&mut site).await?;
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    let customers = scenarios.customers.then(Customers::default);
    let mut config_version = 1;
    if let Some(customers) = &customers {
        config_version += 1;
        site.store
            .publish(&customers.config(config_version, "/reads/"));
        tokio::time::sleep(customers::APPLY_MAX).await;
    }
    let soak = Rc::new(Soak {
        site: RefCell::new(site),
        results: RefCell::default(),
        drained_backends: RefCell::default(),
        notices: RefCell::default(),
        limited_hosts: RefCell::default(),
        disturbances: RefCell::default(),
        crashing_requests: RefCell::default(),
        customers,
        store_outages: RefCell::default(),
        store_restores: RefCell::default(),
        rollout: RefCell::default(),
        config_version: Cell::new(config_version),
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
    if scenarios.customers {
        let seed = mix(seed ^ (2 << 32));
        tasks.push(tokio::task::spawn_local(Rc::clone(&soak).revoke_keys(seed)));
        let surge = Rc::clone(&soak).surge(mix(seed));
        tasks.push(tokio::task::spawn_local(surge));
        for index in 0..HOST_COUNT {
            let keyed_callers = Rc::clone(&soak).run_keyed_callers(index);
            tasks.push(tokio::task::spawn_local(keyed_callers));
        }
    }
    if scenarios.rollouts {
        let rollout = Rc::clone(&soak).roll_out(mix(seed ^ (3 << 32)));
        tasks.push(tokio::task::spawn_local(rollout));
    }
    if scenarios.kills_all {
        let kills = Rc::clone(&soak).kill_all_nodes(mix(seed ^ (4 << 32)));
        tasks.push(tokio::task::spawn_local(kills));
    }
    for task in tasks {
        task.await?;
    }
    soak.check_guarantees().await;
    Ok(soak.report.take())
}

impl Soak {
    /// Returns a caller of the host at `index`. It has a key if requests need one.
    fn caller(&self, index: usize) -> Caller {
        let caller = self.site.borrow().caller(index);
        if self.customers.is_none() {
            return caller;
        }
        caller.with_key(customers::KEPT_KEY)
    }

    /// Returns the configuration, with customers if the soak has them.
    fn config(&self, version: u32, reads_prefix: &str) -> serde_json::Value {
        match &self.customers {
            Some(customers) => customers.config(version, reads_prefix),
            None => crate::site::config(version, reads_prefix),
        }
    }

    /// Returns the time after which no fault of the seed's sequences begins.
    fn last_fault_at(&self) -> Instant {
        self.ends_at - QUIET_PERIOD - SHUTDOWN_GRACE
    }

    async fn run_caller(self: Rc<Self>, index: usize, sends_orders: bool) {
        let caller = self.caller(index);
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
        while Instant::now() < self.last_fault_at() {
            let fault = FAULTS[random.below(FAULTS.len() as u64) as usize];
            let index = random.below(HOST_COUNT as u64) as usize;
            let duration = Duration::from_millis(200 + random.below(1_500));
            let description = format!("{fault:?} host {index} for {} ms", duration.as_millis());
            self.report.borrow_mut().faults.push(description);
            let fault_seed = random.below(u64::MAX);
            self.inject_fault(fault, index, duration, fault_seed).await;
            tokio::time::sleep(Duration::from_millis(random.below(800))).await;
        }
    }

    async fn inject_fault(&self, fault: Fault, index: usize, duration: Duration, seed: u64) {
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
                self.cut_store(index, true);
                tokio::time::sleep(duration).await;
                self.cut_store(index, false);
            }
            Fault::SlowStore | Fault::StoreDown | Fault::StoreLosesAnswers => {
                store.set_faults(StoreFaults {
                    down: fault == Fault::StoreDown,
                    drops_answers: fault == Fault::StoreLosesAnswers,
                    slow_ms: if fault == Fault::SlowStore { 300 } else { 0 },
                    ..StoreFaults::default()
                });
                let began_at = Instant::now();
                tokio::time::sleep(duration).await;
                store.set_faults(StoreFaults::default());
                if fault == Fault::StoreDown {
                    let outage = (began_at, Instant::now());
                    self.store_outages.borrow_mut().push(outage);
                }
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
                if acknowledged {
                    self.expect_unused(index, generation);
                }
                tokio::time::sleep(DRAIN_MAX + duration).await;
                backend.set_draining(false).await;
            }
            Fault::CrashingRequest => self.send_crashing_request(seed).await,
            Fault::LargeBodies => self.send_large_bodies(index, seed).await,
            Fault::DepartBackend => self.depart(index, &backend, duration, Killed::None).await,
            Fault::DepartBackendAndKillNode => {
                self.depart(index, &backend, duration, Killed::Own).await
            }
            Fault::RestoreStore => {
                let (copy, copied_at) = (store.copy(), Instant::now());
                tokio::time::sleep(duration * 3).await;
                store.restore(&copy);
                let restore = (copied_at, Instant::now());
                self.store_restores.borrow_mut().push(restore);
                // The operator writes its newest configuration again.
                store.publish(&self.config(self.config_version.get(), "/reads/"));
            }
            Fault::LimitBackend => {
                let kind = NoticeKind::RateLimit(RATE_LIMIT_PER_S);
                let notice = BackendNotice::begin(index, &backend, kind);
                backend.set_rate_limit(&RATE_LIMIT_PER_S.to_string());
                self.limited_hosts.borrow_mut().push(index);
                tokio::time::sleep(RATE_LIMIT_DURATION).await;
                self.notices.borrow_mut().push(notice.end());
                self.end_rate_limit(index);
            }
            Fault::CutAnswers => {
                self.damage_answers(index, WireFault::CutAnywhere, duration)
                    .await;
            }
            Fault::RepeatAnswers => {
                self.damage_answers(index, WireFault::RepeatAtOnce, duration)
                    .await;
            }
            Fault::RepeatRefusals => {
                backend.refuses.set(true);
                tokio::time::sleep(duration / 2).await;
                backend.refuses.set(false);
                self.damage_answers(index, WireFault::RepeatBefore, duration)
                    .await;
            }
            Fault::LeaveBackend => {
                let notice = BackendNotice::begin(index, &backend, NoticeKind::Leaving);
                backend.leaving.set(true);
                tokio::time::sleep(DRAIN_MAX + duration).await;
                self.notices.borrow_mut().push(notice.end());
                if backend.generation() == notice.generation {
                    backend.restart();
                }
            }
        }
    }

    async fn damage_answers(&self, index: usize, fault: WireFault, duration: Duration) {
        let wire = Rc::clone(&self.site.borrow().hosts[index].wire);
        wire.fault.set(fault);
        tokio::time::sleep(duration).await;
        wire.fault.set(WireFault::None);
    }

    fn publish(&self) {
        self.config_version.set(self.config_version.get() + 1);
        let store = Rc::clone(&self.site.borrow().store);
        store.publish(&self.config(self.config_version.get(), "/reads/"));
    }

    fn record_violation(&self, violation: String) {
        self.report.borrow_mut().violations.push(violation);
    }
}
