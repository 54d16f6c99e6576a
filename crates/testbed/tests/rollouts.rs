//! Rollouts on the users' platform: nodes run as real processes, and the store and the back ends are
//! emulated.
//!
//! The tests guard against orders that are not read, evidence and phases that do not pass between
//! nodes, and an end that is not recorded in the store.

mod common;

use std::time::{
    Duration,
    Instant, //
};

use figway_testbed::process::Signal;
use figway_testbed::site::store::StoreFaults;
use figway_testbed::site::{
    Site,
    READS, //
};

use crate::common::{
    results_of,
    run_count_since,
    start_readers,
    wait_site_joined,
    wait_site_ready, //
};

/// Hosts whose back ends run the old version of the reads service.
const OLD_HOSTS: [usize; 2] = [0, 2];

/// Hosts whose back ends run the new version.
const NEW_HOSTS: [usize; 2] = [4, 6];

/// Hosts with a caller.
const CALLER_COUNT: usize = 4;

/// Duration of a rollout in its order.
const DURATION: Duration = Duration::from_secs(7);

/// Starts a site and then, beside the old back ends, those of the new version, which fail if
/// `new_fails` is set.
async fn start_site(name: &str, new_fails: bool) -> Site {
    let mut site = Site::start(name, 4).await.unwrap();
    wait_site_ready(&site).await;
    for version in ["v2", "v1", "v2"] {
        site.add_host_of(version).await.unwrap();
        let host = site.hosts.last().unwrap();
        host.backend.fails.set(version == "v2" && new_fails);
    }
    wait_site_joined(&site).await;
    site
}

fn run_count(site: &Site, hosts: &[usize], since: Instant) -> usize {
    let mut count = 0;
    for index in hosts {
        count += run_count_since(&site.hosts[*index].backend, since);
    }
    count
}

/// Waits until the newest state of the rollout is `state`, and returns the time until then.
async fn wait_for_state(site: &Site, state: &str, since: Instant) -> Duration {
    loop {
        let states = site.store.rollout_states(READS);
        if states.last().is_some_and(|last| last == state) {
            return since.elapsed();
        }
        assert!(since.elapsed() < DURATION, "states in time: {states:?}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against a good version that does not get all requests before it is completed in time.
#[ntex::test]
async fn a_good_version_takes_over_before_its_rollout_is_completed() {
    let site = start_site("rollout-good", false).await;
    let ordered_at = Instant::now();
    site.store.order_rollout("unknown", "v2", "7s");
    site.store.order_rollout(READS, "v2", "-1s");
    site.store.order_rollout(READS, "v2", "7s");
    let readers = start_readers(&site, CALLER_COUNT, DURATION);
    tokio::time::sleep(Duration::from_secs(2)).await;
    let early_new = run_count(&site, &NEW_HOSTS, ordered_at);
    let early_old = run_count(&site, &OLD_HOSTS, ordered_at);
    assert!(early_new > 0, "the new version gets a share");
    assert!(
        early_new * 7 < early_old,
        "{early_new} new, {early_old} old"
    );
    wait_for_state(&site, "v2 completed", ordered_at).await;
    let completed_at = Instant::now();
    let results = results_of(readers).await;
    let old_count = run_count(&site, &OLD_HOSTS, completed_at - Duration::from_millis(200));
    assert_eq!(old_count, 0, "the old version got requests at its end");
    assert_eq!(
        site.store.rollout_states(READS),
        ["v2 running", "v2 completed"]
    );
    let failed: Vec<_> = results
        .iter()
        .filter(|result| result.status != 200)
        .collect();
    assert!(failed.is_empty(), "{failed:?}");
}

/// Guards against a bad version that gets more than its share, or requests after it was rolled back.
#[ntex::test]
async fn a_bad_version_is_rolled_back() {
    let site = start_site("rollout-bad", true).await;
    let ordered_at = Instant::now();
    site.store.order_rollout(READS, "v2", "7s");
    let readers = start_readers(&site, CALLER_COUNT, DURATION);
    wait_for_state(&site, "v2 rolled_back", ordered_at).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    let later = Instant::now();
    results_of(readers).await;
    assert_eq!(run_count(&site, &NEW_HOSTS, later), 0);
    let new_count = run_count(&site, &NEW_HOSTS, ordered_at);
    let all_count = new_count + run_count(&site, &OLD_HOSTS, ordered_at);
    assert!(
        new_count as f64 <= 0.1 * all_count as f64 + 50.0,
        "{new_count} of {all_count}"
    );
    assert_eq!(
        site.store.rollout_states(READS),
        ["v2 running", "v2 rolled_back"]
    );
}

/// Guards against a rollout that stays open once the node that decides is killed.
#[ntex::test]
async fn a_rollout_ends_in_time_though_the_deciding_node_is_killed() {
    let mut site = start_site("rollout-kill", false).await;
    let ordered_at = Instant::now();
    site.store.order_rollout(READS, "v2", "7s");
    wait_for_state(&site, "v2 running", ordered_at).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let decided = |log: String| log.contains("\"rollout status\"");
    let mut hosts = site.hosts.iter_mut();
    let decider = hosts.find(|host| decided(host.log().unwrap()));
    let node = decider.unwrap().node.take().unwrap();
    node.signal(Signal::Kill).unwrap();
    drop(node);
    wait_for_state(&site, "v2 completed", ordered_at).await;
    assert_eq!(
        site.store.rollout_states(READS),
        ["v2 running", "v2 completed"]
    );
}

/// Guards against an end that is recorded twice, or not noticed, since the store's answer was lost.
#[ntex::test]
async fn a_rollout_has_one_end_though_the_answers_of_the_store_are_lost() {
    let site = start_site("rollout-lost", false).await;
    let ordered_at = Instant::now();
    site.store.order_rollout(READS, "v2", "7s");
    wait_for_state(&site, "v2 running", ordered_at).await;
    site.store.set_faults(StoreFaults {
        drops_answers: true,
        ..StoreFaults::default()
    });
    wait_for_state(&site, "v2 completed", ordered_at).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert_eq!(
        site.store.rollout_states(READS),
        ["v2 running", "v2 completed"]
    );
    for host in &site.hosts {
        let log = host.log().unwrap();
        assert!(log.contains("\"phase\":\"completed\""), "{}", host.name);
    }
}
