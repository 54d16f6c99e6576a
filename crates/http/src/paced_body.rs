//! Body of an outbound request, sent at once or at a pace.

use std::future::Future as _;
use std::pin::Pin;
use std::task::{
    ready,
    Context,
    Poll, //
};
use std::time::Duration;

use hyper::body::{
    Body,
    Bytes,
    Frame,
    SizeHint, //
};
use tokio::time::{
    sleep_until,
    Instant,
    Sleep, //
};

/// Size of the parts in which a paced body is sent, in bytes. Small messages on the link of the
/// receiver wait behind one part.
const PART_BYTES: usize = 8 * 1_024;

/// Body of a request.
pub(crate) struct PacedBody {
    rest: Bytes,
    pace: Option<Pace>,
}

struct Pace {
    bytes_per_s: f64,
    next_part: Pin<Box<Sleep>>,
}

impl PacedBody {
    /// Creates a body that is sent at `bytes_per_s`, or at once.
    pub(crate) fn new(body: Bytes, bytes_per_s: Option<f64>) -> Self {
        let is_large = body.len() > PART_BYTES;
        let pace = bytes_per_s
            .filter(|bytes_per_s| is_large && *bytes_per_s >= 1.0)
            .map(|bytes_per_s| Pace {
                bytes_per_s,
                next_part: Box::pin(sleep_until(Instant::now())),
            });
        Self { rest: body, pace }
    }
}

impl Body for PacedBody {
    type Data = Bytes;
    type Error = std::convert::Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        let this = &mut *self;
        if this.rest.is_empty() {
            return Poll::Ready(None);
        }
        let mut part_len = this.rest.len();
        if let Some(pace) = &mut this.pace {
            ready!(pace.next_part.as_mut().poll(cx));
            part_len = part_len.min(PART_BYTES);
            let part_time = Duration::from_secs_f64(part_len as f64 / pace.bytes_per_s);
            let next_at = pace.next_part.deadline() + part_time;
            pace.next_part.as_mut().reset(next_at);
        }
        let part = this.rest.split_to(part_len);
        Poll::Ready(Some(Ok(Frame::data(part))))
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.rest.len() as u64)
    }
}
