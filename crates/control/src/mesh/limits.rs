//! Limits of customers: this node's usage, and its accounts as a coordinator.

use std::sync::{
    Mutex,
    MutexGuard, //
};
use std::time::{
    Duration,
    Instant, //
};

use figway_customers::CustomerLimit;
use figway_rate_limit::{
    customer_code,
    Admission,
    LimitBounds,
    LimitCoordinator,
    Roster,
    Standing,
    UsageAnswer,
    UsageMeter,
    UsageReport,
    COORDINATOR_COUNT, //
};
use figway_types::{
    FastMap,
    Member,
    MemberState,
    NodeId, //
};

use super::routes::log_order;
use super::Mesh;

/// Longest time between two updates of the number of nodes.
const ROSTER_EVERY: Duration = Duration::from_secs(1);

/// Time after its start from which on a node without configured peers counts as the only one.
const ALONE_AFTER: Duration = Duration::from_secs(3);

/// The same for a node with configured peers. They may be out of reach at its start.
const ALONE_AFTER_WITH_PEERS: Duration = Duration::from_secs(60);

/// Time after its start within which a node gets the current route table. A first limit that it sees later
/// has just come into force.
const CURRENT_AFTER: Duration = Duration::from_secs(5);

/// Shortest time between two log lines about one customer, so that one at its limit does not flood the
/// log.
const LINE_EVERY: Duration = Duration::from_secs(5);

/// Usage of this node's callers, and the accounts of the customers at this node as a coordinator.
pub(super) struct LimitState {
    meter: Mutex<UsageMeter>,
    accounts: Mutex<Accounts>,
}

struct Accounts {
    coordinator: LimitCoordinator,
    roster: Roster,
    members_seen: Option<(u64, Instant)>,
    /// Live members of the first ranks.
    coordinators: Vec<Member>,
    /// Route table whose limits the coordinator applies.
    routes_version: Option<u64>,
    names: FastMap<u32, String>,
    has_limits: bool,
    /// From when on a first limit is taken for one that has just come into force.
    current_at: Option<Instant>,
    logged: FastMap<u32, LoggedState>,
    logged_lead: Option<String>,
}

/// What the last line about a customer said.
struct LoggedState {
    is_limited: bool,
    logged_at: Instant,
}

impl LimitState {
    pub(super) fn new(seed: u64) -> Self {
        let bounds = LimitBounds::default();
        Self {
            meter: Mutex::new(UsageMeter::new(bounds, seed)),
            accounts: Mutex::new(Accounts {
                coordinator: LimitCoordinator::new(bounds),
                roster: Roster::default(),
                members_seen: None,
                coordinators: Vec::new(),
                routes_version: None,
                names: FastMap::default(),
                has_limits: false,
                current_at: None,
                logged: FastMap::default(),
                logged_lead: None,
            }),
        }
    }

    fn meter(&self) -> MutexGuard<'_, UsageMeter> {
        self.meter.lock().expect("no holder panics")
    }

    fn accounts(&self) -> MutexGuard<'_, Accounts> {
        self.accounts.lock().expect("no holder panics")
    }
}

impl Mesh {
    /// Sets the bounds of limits before the tasks start. `has_peers` says whether peers are
    /// configured.
    pub(crate) fn set_limit_bounds(&self, bounds: LimitBounds, has_peers: bool) {
        let now = Instant::now();
        self.limits.meter().set_bounds(bounds);
        let mut accounts = self.limits.accounts();
        accounts.coordinator.set_bounds(bounds);
        let alone_after = if has_peers {
            ALONE_AFTER_WITH_PEERS
        } else {
            ALONE_AFTER
        };
        accounts.roster = Roster::of_started_node(now + alone_after);
        accounts.current_at = Some(now + CURRENT_AFTER);
        drop(accounts);
        self.refresh_limits(now);
    }

    /// Counts a request of a customer that entered at this node and decides whether it may run.
    pub fn try_admit(&self, customer: &str, limit: &CustomerLimit, now: Instant) -> Admission {
        self.limits.meter().try_admit(customer, limit, now)
    }

    /// Returns the token of an admitted request that has not run.
    pub fn refund(&self, customer: &str) {
        self.limits.meter().refund(customer);
    }

    /// Returns what is left of a customer's limit as this node knows it, and its tokens if this node is a
    /// coordinator that decides.
    pub fn limit_standing(&self, customer: &str, limit: &CustomerLimit) -> (Standing, Option<f64>) {
        let now = Instant::now();
        let standing = self.limits.meter().standing(customer, limit, now);
        let mut accounts = self.limits.accounts();
        let balance = accounts.coordinator.balance(customer_code(customer), now);
        (standing, balance)
    }

    /// Returns the node whose answers limit this node's callers, if any are valid, and the number of
    /// customers above their limit.
    pub fn limit_status(&self) -> (Option<String>, usize) {
        let now = Instant::now();
        let meter = self.limits.meter();
        let (lead, limited_count) = (meter.lead(now), meter.limited_count(now));
        drop(meter);
        let coordinator = lead.and_then(|rank| self.limit_coordinator(rank));
        (coordinator.map(|member| member.node_id.0), limited_count)
    }

    /// Returns whether the applied route table limits any customer.
    pub(crate) fn has_limits(&self) -> bool {
        self.limits.accounts().has_limits
    }

    /// Returns the coordinator of a rank.
    pub(crate) fn limit_coordinator(&self, rank: usize) -> Option<Member> {
        self.limits.accounts().coordinators.get(rank).cloned()
    }

    /// Applies changes of the routes and the members.
    pub(crate) fn refresh_limits(&self, now: Instant) {
        let mut accounts = self.limits.accounts();
        let routes = self.view().routes.clone();
        if accounts.routes_version != Some(routes.version) {
            let had_table = accounts.routes_version.is_some_and(|version| version > 0);
            let had_limits = accounts.has_limits;
            accounts.routes_version = Some(routes.version);
            let mut limits = Vec::new();
            accounts.names.clear();
            if let Some(customers) = &routes.customers {
                for (name, customer) in customers.customers() {
                    let Some(limit) = customer.limit else {
                        continue;
                    };
                    let code = customer_code(name);
                    limits.push((code, limit));
                    accounts.names.insert(code, name.clone());
                }
            }
            accounts.has_limits = !limits.is_empty();
            accounts.coordinator.set_limits(limits.into_iter(), now);
            let names = &accounts.names;
            let is_current = accounts.current_at.is_some_and(|at| at <= now);
            let mut meter = self.limits.meter();
            meter.retain(|customer| names.contains_key(&customer_code(customer)));
            if accounts.has_limits && !had_limits && had_table && is_current {
                meter.begin(now);
            }
            drop(meter);
        }
        if accounts.has_limits {
            self.refresh_members(&mut accounts, now);
        }
    }

    fn refresh_members(&self, accounts: &mut Accounts, now: Instant) {
        let members = self.members();
        let change_count = members.change_count();
        let is_known = accounts.members_seen.is_some_and(|(seen_count, seen_at)| {
            seen_count == change_count && seen_at + ROSTER_EVERY > now
        });
        if is_known {
            return;
        }
        accounts.members_seen = Some((change_count, now));
        accounts.roster.update(members.members(), now);
        let mut first: Vec<&Member> = Vec::new();
        for member in members.members() {
            if member.state != MemberState::Live {
                continue;
            }
            let place = first.partition_point(|other| log_order(other) < log_order(member));
            if place < COORDINATOR_COUNT {
                first.insert(place, member);
                first.truncate(COORDINATOR_COUNT);
            }
        }
        accounts.coordinators = first.into_iter().cloned().collect();
        drop(members);
        let member_count = accounts.roster.count(now);
        accounts.coordinator.set_member_count(member_count);
        self.limits.meter().set_member_count(member_count);
    }

    /// Returns when the next report to the coordinator of a rank is due, after one at `sent_at`.
    pub(crate) fn next_report_at(&self, rank: usize, sent_at: Instant) -> Instant {
        let meter = self.limits.meter();
        sent_at + meter.report_period(rank, Instant::now())
    }

    /// Returns the next report to the coordinator of a rank.
    pub(crate) fn usage_report(&self, rank: usize, coordinator: &Member) -> UsageReport {
        let now = Instant::now();
        self.limits
            .meter()
            .report(rank, &coordinator.node_id.0, now)
    }

    /// Applies a coordinator's answer to a report that was sent at `sent_at`, or that there was none.
    pub(crate) fn apply_usage_answer(
        &self,
        rank: usize,
        coordinator: &Member,
        report: &UsageReport,
        answer: Option<&UsageAnswer>,
        sent_at: Instant,
    ) {
        let now = Instant::now();
        let mut meter = self.limits.meter();
        match answer {
            Some(answer) => meter.apply(rank, &coordinator.node_id.0, report, answer, sent_at, now),
            None => meter.record_failure(rank),
        }
        drop(meter);
        self.log_lead_changes();
    }

    /// Records that the coordinator of a rank can't be reached.
    pub(crate) fn record_report_failure(&self, rank: usize) {
        self.limits.meter().record_failure(rank);
        self.log_lead_changes();
    }

    /// Merges the report of `node` and returns the customers above their limit.
    pub(crate) fn merge_usage(&self, node: &NodeId, report: &UsageReport) -> UsageAnswer {
        let now = Instant::now();
        self.refresh_limits(now);
        let mut accounts = self.limits.accounts();
        if !accounts.has_limits {
            return UsageAnswer::default();
        }
        accounts.coordinator.merge(&node.0, report, now);
        let answer = accounts.coordinator.answer(now);
        let leads = accounts
            .coordinators
            .first()
            .is_some_and(|first| first.node_id == self.members().own().node_id);
        if leads && answer.ready {
            accounts.log_changes(&answer, now);
        }
        answer
    }

    fn log_lead_changes(&self) {
        let (lead, _) = self.limit_status();
        let mut accounts = self.limits.accounts();
        if accounts.logged_lead != lead {
            log::info!(
                "limit coordinator changed coordinator={} before={}",
                lead.as_deref().unwrap_or("none"),
                accounts.logged_lead.as_deref().unwrap_or("none"),
            );
            accounts.logged_lead = lead;
        }
    }
}

impl Accounts {
    /// Logs the customers that came above their limit or below it again.
    fn log_changes(&mut self, answer: &UsageAnswer, now: Instant) {
        for (code, name) in &self.names {
            let limited = answer.limited.iter().find(|limited| limited.0 == *code);
            let known = self.logged.get(code);
            let is_logged = known.is_some_and(|known| {
                known.is_limited == limited.is_some() || known.logged_at + LINE_EVERY > now
            });
            if is_logged || known.is_none() && limited.is_none() {
                continue;
            }
            match limited {
                Some(limited) => log::info!(
                    "customer above its limit customer={name} ratio={:.3} retry_after_ms={}",
                    f64::from(limited.1) / 1_000.0,
                    limited.2
                ),
                None => log::info!("customer within its limit customer={name}"),
            }
            let state = LoggedState {
                is_limited: limited.is_some(),
                logged_at: now,
            };
            self.logged.insert(*code, state);
        }
    }
}
