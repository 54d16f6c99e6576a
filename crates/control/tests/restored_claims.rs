//! Claims of idempotency keys on a log that goes back to an older copy of itself.

use std::cell::RefCell;
use std::collections::BTreeMap;
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
use figway_log_client::{
    AppendError,
    Appended,
    LogService,
    Page,
    ReadError, //
};
use figway_types::{
    LogEra,
    LogRecord,
    Member,
    MemberState,
    NodeId,
    Offset, //
};
use futures::future::LocalBoxFuture;
use tokio::net::TcpListener;
use tokio::task::LocalSet;

type Streams = BTreeMap<String, Vec<(LogEra, String)>>;

#[derive(Default)]
struct Inner {
    era: u32,
    streams: Streams,
}

/// Log in memory that names its era.
#[derive(Clone, Default)]
struct MemoryLog {
    inner: Rc<RefCell<Inner>>,
}

impl MemoryLog {
    fn copy(&self) -> Streams {
        self.inner.borrow().streams.clone()
    }

    fn restore(&self, copy: Streams) {
        let mut inner = self.inner.borrow_mut();
        inner.streams = copy;
        inner.era += 1;
    }
}

impl LogService for MemoryLog {
    fn append<'a>(
        &'a self,
        stream: &'a str,
        body: &'a str,
        _: Instant,
    ) -> LocalBoxFuture<'a, Result<Appended, AppendError>> {
        let mut inner = self.inner.borrow_mut();
        let era = LogEra(inner.era);
        let records = inner.streams.entry(stream.to_owned()).or_default();
        records.push((era, body.to_owned()));
        let appended = Appended {
            offset: Offset::in_era(era, records.len() as u64),
            appended_at_ms: 1,
        };
        Box::pin(std::future::ready(Ok(appended)))
    }

    fn read<'a>(
        &'a self,
        stream: &'a str,
        from_offset: Offset,
        wait_until: Instant,
    ) -> LocalBoxFuture<'a, Result<Page, ReadError>> {
        Box::pin(async move {
            let page = {
                let inner = self.inner.borrow();
                let era = LogEra(inner.era);
                let none = Vec::new();
                let records = inner.streams.get(stream).unwrap_or(&none);
                let from_index = from_offset.index().max(1);
                let next_offset = Offset::in_era(era, records.len() as u64 + 1);
                if from_index > next_offset.index() {
                    return Err(ReadError::Expired(Offset::in_era(era, 1)));
                }
                let mut page = Page {
                    first_offset: Offset::in_era(era, 1),
                    next_offset,
                    now_ms: 1,
                    records: Vec::new(),
                };
                for (index, (written_era, body)) in records.iter().enumerate() {
                    let index = index as u64 + 1;
                    if index < from_index {
                        continue;
                    }
                    page.records.push(LogRecord {
                        offset: Offset::in_era(era, index),
                        written_era: *written_era,
                        appended_at_ms: 1,
                        body: body.clone(),
                    });
                }
                page
            };
            if page.records.is_empty() {
                tokio::time::sleep_until(wait_until.into()).await;
            }
            Ok(page)
        })
    }
}

async fn start_node(log: &MemoryLog) -> ControlPlane {
    let own = Member {
        node_id: NodeId("muscat-a-1".to_owned()),
        generation_ms: 1,
        incarnation: 0,
        state: MemberState::Live,
        region: "muscat".to_owned(),
        zone: "muscat-a".to_owned(),
        control_address: String::new(),
        call_address: "127.0.0.1:1".to_owned(),
        log_round_trip_ms: 0,
        link_mbps: 0,
        target: None,
    };
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
