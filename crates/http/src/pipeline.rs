//! Requests of one connection that run at the same time, and whose answers leave in their order.

use std::collections::VecDeque;

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

/// Largest number of requests of a connection that run or whose answers are not sent yet.
const UNANSWERED_MAX_COUNT: usize = 16;

/// Size of the answers that are not sent yet above which no further request is read, in bytes.
const UNSENT_MAX_BYTES: usize = 256 * 1_024;

/// Answer to a request, with what its encoding depends on.
pub(crate) struct Finished {
    pub(crate) answer: Answer,
    /// Codec in the state in which it decoded the request.
    pub(crate) codec: Codec,
    /// Whether the client wants the connection closed after the answer.
    pub(crate) wants_close: bool,
}

/// Requests that run, and answers that are not sent yet, in the order in which the requests arrived.
pub(crate) struct Pipeline<'a> {
    handler: &'a dyn Handler,
    running: FuturesOrdered<LocalBoxFuture<'a, Finished>>,
    finished: VecDeque<Finished>,
    /// Whether further requests may run beside those that run.
    may_overlap: bool,
}

impl<'a> Pipeline<'a> {
    pub(crate) fn new(handler: &'a dyn Handler) -> Self {
        Self {
            handler,
            running: FuturesOrdered::new(),
            finished: VecDeque::new(),
            may_overlap: true,
        }
    }

    /// Returns whether no request runs and no answer is left to send.
    pub(crate) fn is_empty(&self) -> bool {
        self.running.is_empty() && self.finished.is_empty()
    }

    /// Returns whether a request runs.
    pub(crate) fn runs(&self) -> bool {
        !self.running.is_empty()
    }

    /// Returns whether another request may be read while those before it are not answered.
    pub(crate) fn accepts_more(&self) -> bool {
        let unanswered_count = self.running.len() + self.finished.len();
        self.may_overlap
            && unanswered_count < UNANSWERED_MAX_COUNT
            && self.unsent_bytes() <= UNSENT_MAX_BYTES
    }

    /// Returns whether `request` may start beside those that run.
    pub(crate) fn may_start(&self, request: &Request) -> bool {
        self.accepts_more() && self.handler.may_overlap(request)
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

    /// Runs the requests until the answer to the first of them is there. Does not return while none
    /// runs.
    pub(crate) async fn run(&mut self) {
        match self.running.next().await {
            Some(finished) => self.finished.push_back(finished),
            None => std::future::pending().await,
        }
    }

    /// Takes the next answer to send, if it is there.
    pub(crate) fn take_finished(&mut self) -> Option<Finished> {
        self.finished.pop_front()
    }

    fn unsent_bytes(&self) -> usize {
        self.finished
            .iter()
            .map(|finished| finished.answer.body.len())
            .sum()
    }
}
