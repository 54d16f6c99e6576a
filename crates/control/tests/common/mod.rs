//! Log in memory and a view of the members, shared by the tests of control planes.

#![allow(dead_code)]

use std::cell::{
    Cell,
    RefCell, //
};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Instant;

use figway_control::ControlPlane;
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
    MemberState,
    Offset, //
};
use futures::future::LocalBoxFuture;

/// Returns how many nodes the node sees as live.
pub(crate) fn live_count(node: &ControlPlane) -> usize {
    let members = node.mesh.members();
    let live = members
        .members()
        .filter(|member| member.state == MemberState::Live);
    live.count()
}

pub(crate) type Streams = BTreeMap<String, Vec<(LogEra, String)>>;

#[derive(Default)]
struct Inner {
    era: u32,
    streams: Streams,
}

/// Log in memory that names its era.
#[derive(Clone, Default)]
pub(crate) struct MemoryLog {
    inner: Rc<RefCell<Inner>>,
}

impl MemoryLog {
    pub(crate) fn copy(&self) -> Streams {
        self.inner.borrow().streams.clone()
    }

    pub(crate) fn restore(&self, copy: Streams) {
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

/// Link of one node to a log, which can be cut.
#[derive(Clone)]
pub(crate) struct GatedLog {
    pub(crate) log: MemoryLog,
    pub(crate) reachable: Rc<Cell<bool>>,
}

impl GatedLog {
    pub(crate) fn new(log: &MemoryLog) -> Self {
        Self {
            log: log.clone(),
            reachable: Rc::new(Cell::new(true)),
        }
    }
}

impl LogService for GatedLog {
    fn append<'a>(
        &'a self,
        stream: &'a str,
        body: &'a str,
        deadline: Instant,
    ) -> LocalBoxFuture<'a, Result<Appended, AppendError>> {
        if !self.reachable.get() {
            let refused = AppendError::Refused("cut off".to_owned());
            return Box::pin(std::future::ready(Err(refused)));
        }
        self.log.append(stream, body, deadline)
    }

    fn read<'a>(
        &'a self,
        stream: &'a str,
        from_offset: Offset,
        wait_until: Instant,
    ) -> LocalBoxFuture<'a, Result<Page, ReadError>> {
        Box::pin(async move {
            let page = self.log.read(stream, from_offset, wait_until).await;
            if !self.reachable.get() {
                return Err(ReadError::Unavailable("cut off".to_owned()));
            }
            page
        })
    }
}
