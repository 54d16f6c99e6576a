//! Claims of idempotency keys on a log that goes back to an older copy of itself.

mod common;

use std::rc::Rc;
use std::time::{
    Duration,
    Instant, //
};

use figway_control::{
    Claim,
    ClaimVerdict,
    ControlBuilder,
    ControlPlane, //
};
use figway_test_support::live_member;
use figway_types::NodeId;
use tokio::net::TcpListener;
use tokio::task::LocalSet;

use crate::common::MemoryLog;

async fn start_node(log: &MemoryLog) -> ControlPlane {
    let own = live_member("muscat-a-1", "muscat", "muscat-a");
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    ControlBuilder::new("claims", own, Rc::new(log.clone()))
        .log_region("muscat")
        .claims(1, 600_000)
        .seed(5)
        .start(listener)
        .unwrap()
}

async fn claim(node: &ControlPlane, key: &str, attempt_id: u64) -> ClaimVerdict {
    let claim = Claim {
        key: key.to_owned(),
        attempt_id,
        owner: NodeId("muscat-a-1".to_owned()),
        owner_address: "127.0.0.1:1".to_owned(),
        after_attempt_id: None,
    };
    let deadline = Instant::now() + Duration::from_secs(2);
    node.agent.claim(&claim, deadline).await
}

#[tokio::test(flavor = "current_thread")]
async fn a_key_whose_claim_the_log_lost_is_not_claimed_a_second_time() {
    let run = async {
        let log = MemoryLog::default();
        let node = start_node(&log).await;
        assert_eq!(claim(&node, "kept", 1).await, ClaimVerdict::Won);
        let copy = log.copy();
        assert_eq!(claim(&node, "lost", 2).await, ClaimVerdict::Won);
        assert_eq!(claim(&node, "other", 3).await, ClaimVerdict::Won);
        log.restore(copy);
        // The log has grown again to where it was, with a claim that the node has not read.
        assert_eq!(claim(&node, "new", 4).await, ClaimVerdict::Won);
        for (key, attempt_id) in [("kept", 11), ("lost", 12), ("other", 13), ("new", 14)] {
            let verdict = claim(&node, key, attempt_id).await;
            assert!(
                matches!(verdict, ClaimVerdict::Lost(_)),
                "{key}: {verdict:?}"
            );
        }
        // A batcher that starts now finds all claims in the log.
        let next = start_node(&log).await;
        for (key, attempt_id) in [("kept", 21), ("lost", 22), ("other", 23), ("new", 24)] {
            let verdict = claim(&next, key, attempt_id).await;
            assert!(
                matches!(verdict, ClaimVerdict::Lost(_)),
                "{key}: {verdict:?}"
            );
        }
    };
    LocalSet::new().run_until(run).await;
}
