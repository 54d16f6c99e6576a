//! Requests of one connection that run at the same time, and whose answers leave in their order.

use futures::future::LocalBoxFuture;
use futures::stream::{
    FuturesOrdered,
    StreamExt as _, //
};
use ntex::http::h1::Codec;

use crate::message::{
    Answer,
    Request, //
};
use crate::server::Handler;

/// Largest number of requests of a connection that run at the same time.
const RUNNING_MAX_COUNT: usize = 16;

/// Answer to a request, with what its encoding depends on.
pub(crate) struct Finished {
    pub(crate) answer: Answer,
    /// Codec in the state in which it decoded the request.
    pub(crate) codec: Codec,
    /// Whether the client wants the connection closed after the answer.
    pub(crate) wants_close: bool,
}

/// Requests that run, in the order in which they arrived.
pub(crate) struct Pipeline<'a> {
    handler: &'a dyn Handler,
    running: FuturesOrdered<LocalBoxFuture<'a, Finished>>,
    /// Whether further requests may run beside those that run.
    may_overlap: bool,
}

impl<'a> Pipeline<'a> {
    pub(crate) fn new(handler: &'a dyn Handler) -> Self {
        Self {
            handler,
            running: FuturesOrdered::new(),
            may_overlap: true,
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.running.is_empty()
    }

    /// Returns whether another request may be read while those that run are not answered.
    pub(crate) fn accepts_more(&self) -> bool {
        self.may_overlap && self.running.len() < RUNNING_MAX_COUNT
    }

    /// Returns whether `request` may start now.
    pub(crate) fn may_start(&self, request: &Request) -> bool {
        self.is_empty() || (self.accepts_more() && self.handler.may_overlap(request))
    }

    /// Starts a request that `codec` has just decoded.
    pub(crate) fn start(&mut self, request: Request, codec: &Codec) {
        let codec = codec.clone();
        let wants_close = !codec.keepalive();
        self.may_overlap = !wants_close && self.handler.may_overlap(&request);
        let answering = self.handler.handle(request);
        self.running.push_back(Box::pin(async move {
            Finished {
                answer: answering.await,
                codec,
                wants_close,
            }
        }));
    }

    /// Waits for the answer to the first request that runs. Does not return while none runs.
    pub(crate) async fn next(&mut self) -> Finished {
        match self.running.next().await {
            Some(finished) => finished,
            None => std::future::pending().await,
        }
    }
}
