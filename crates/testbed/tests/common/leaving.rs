//! Back ends that leave, heartbeats that arrive late, and what must hold afterwards.

use std::time::{
    Duration,
    Instant, //
};

use figway_testbed::site::backend::Backend;
use figway_testbed::site::Site;

use super::{
    results_of,
    run_count_since,
    start_readers, //
};

/// Longest time from an acknowledged leaving to the start of the last request at the back end.
pub(crate) const DRAIN_MAX: Duration = Duration::from_secs(2);

/// Longest time from the first heartbeat of a new run to its first request.
pub(crate) const RETURN_MAX: Duration = Duration::from_secs(2);

/// Longest time until a leaving is acknowledged while nothing is out of order.
pub(crate) const ACK_MAX: Duration = Duration::from_secs(4);

/// How a back end leaves.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Leaving {
    /// It reports that it is draining.
    Drains,
    /// It deregisters at once.
    Deregisters,
}

/// Lets the back end leave. Returns the sequence number of the first of three heartbeats that it sent
/// before, which have not arrived yet.
pub(crate) async fn leave(backend: &Backend, how: Leaving) -> u64 {
    backend.heartbeat_paused.set(true);
    let late_sequence = backend.next_sequence();
    backend.next_sequence();
    backend.next_sequence();
    let acknowledged = match how {
        Leaving::Drains => backend.set_draining(true).await,
        Leaving::Deregisters => backend.deregister().await,
    };
    assert!(acknowledged, "{how:?} was not acknowledged");
    late_sequence
}

/// Sends the deregistration until it is acknowledged, at most for `ACK_MAX`.
pub(crate) async fn deregister_until_acknowledged(backend: &Backend) {
    let deadline = Instant::now() + ACK_MAX;
    while !backend.deregister().await {
        assert!(Instant::now() < deadline, "it was not acknowledged");
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
}

/// Sends a heartbeat that says ready until the node acknowledges it, at most for 2 s.
pub(crate) async fn deliver_late_heartbeat(backend: &Backend, sequence: u64) {
    let deadline = Instant::now() + Duration::from_secs(2);
    while !backend.send_heartbeat_of(sequence, false).await {
        assert!(Instant::now() < deadline, "the late heartbeat finds nobody");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Asserts that requests from all hosts are served and none of them runs at `backend`.
pub(crate) async fn assert_unused(site: &Site, backend: &Backend) {
    let since = Instant::now();
    let readers = start_readers(site, site.hosts.len(), Duration::from_secs(1));
    let results = results_of(readers).await;
    assert_eq!(run_count_since(backend, since), 0, "requests reached it");
    let served_count = results.iter().filter(|call| call.status == 200).count();
    assert!(
        served_count * 100 >= results.len() * 95,
        "{served_count} of {} were served",
        results.len()
    );
}

/// Asserts that the back end gets requests soon after the first heartbeat of its new run.
pub(crate) async fn assert_returns(site: &Site, backend: &Backend) {
    assert!(backend.send_heartbeat().await);
    let since = Instant::now();
    while run_count_since(backend, since) == 0 {
        assert!(since.elapsed() < RETURN_MAX, "it gets no request");
        results_of(start_readers(site, 4, Duration::from_millis(100))).await;
    }
}
