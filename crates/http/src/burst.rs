//! Requests that a client sends before the earlier ones of its connection are answered.

use std::cell::Cell;
use std::time::Instant;

use futures::future::LocalBoxFuture;
use ntex::http::h1::Codec;
use ntex::io::Io;
use tokio::sync::watch;

use crate::message::Answer;
use crate::pipeline::{
    Finished,
    Pipeline, //
};
use crate::receive::{
    receive,
    Received, //
};
use crate::server::{
    answer_closes,
    refuse,
    write_answer,
    Connection,
    ServerPhase, //
};

impl Connection {
    /// Serves the requests that arrive until none is read, runs or is unanswered. Returns whether the
    /// connection stays open.
    pub(crate) async fn serve_burst(&self, io: &Io, codec: &Codec) -> bool {
        let handler = self.handler.as_ref();
        let memory = handler.memory();
        // Whether bytes of the request that is read have arrived. Its read then continues although no
        // further request may start.
        let read_begun = Cell::new(true);
        let all_answered = watch::Sender::new(true);
        let read = |waits: bool| {
            let (memory, read_begun) = (&memory, &read_begun);
            let mut answered = all_answered.subscribe();
            async move {
                if waits && !wait_for_more(io).await {
                    return Received::Ended;
                }
                read_begun.set(true);
                receive(io, codec, handler.limits(), memory, &mut answered).await
            }
        };
        let mut pipeline = Pipeline::new(handler);
        // Request that may not start before those that run are answered.
        let mut held: Option<Received> = None;
        let mut was_held = false;
        let mut writing: Option<LocalBoxFuture<'_, bool>> = None;
        let reading = read(false);
        let disconnected = io.on_disconnect();
        tokio::pin!(reading, disconnected);
        loop {
            if writing.is_none() {
                if let Some(finished) = pipeline.take_finished() {
                    let is_last = pipeline.is_empty();
                    writing = Some(Box::pin(self.write_finished(io, finished, is_last)));
                }
            }
            let is_idle = writing.is_none() && pipeline.is_empty();
            all_answered.send_if_modified(|known| std::mem::replace(known, is_idle) != is_idle);
            match held.take() {
                Some(Received::Request(mut request)) if is_idle || pipeline.may_start(&request) => {
                    if std::mem::take(&mut was_held) {
                        // Its budget begins when it may run, as if it had been read then.
                        request.arrived_at = Instant::now();
                    }
                    pipeline.start(request, codec);
                    read_begun.set(false);
                    reading.set(read(true));
                    continue;
                }
                Some(received) if is_idle => {
                    self.refuse_received(io, codec, received).await;
                    return false;
                }
                received => {
                    was_held = received.is_some();
                    held = received;
                }
            }
            if is_idle && held.is_none() && !read_begun.get() {
                return true;
            }
            let reads = held.is_none() && (read_begun.get() || self.reads_ahead(&pipeline));
            tokio::select! {
                received = &mut reading, if reads => held = Some(received),
                () = pipeline.run(), if pipeline.runs() => {}
                stays_open = write(&mut writing), if writing.is_some() => {
                    writing = None;
                    if !stays_open {
                        return false;
                    }
                }
                () = &mut disconnected, if writing.is_none() => return false,
            }
        }
    }

    /// Returns whether the next request is read while those before it are not answered.
    fn reads_ahead(&self, pipeline: &Pipeline<'_>) -> bool {
        pipeline.accepts_more() && *self.phase.borrow() == ServerPhase::Open
    }

    /// Writes an answer. Returns whether the connection stays open. In a shutdown the connection closes
    /// with the last answer.
    async fn write_finished(&self, io: &Io, finished: Finished, is_last: bool) -> bool {
        let Finished {
            answer,
            codec,
            wants_close,
        } = finished;
        let ends = is_last && *self.phase.borrow() != ServerPhase::Open;
        let close = wants_close || ends || answer_closes(&answer);
        write_answer(io, &codec, answer, close).await && !close
    }

    async fn refuse_received(&self, io: &Io, codec: &Codec, received: Received) {
        match received {
            Received::NoMemory { request, rest } => {
                let answer = self.handler.refuse_for_memory(&request);
                refuse(io, codec, answer, Some(rest)).await;
            }
            Received::Refused { status, rest } => {
                refuse(io, codec, Answer::of_status(status), rest).await;
            }
            Received::Request(_) | Received::Ended => {}
        }
    }
}

/// Waits until the answer is written.
async fn write(writing: &mut Option<LocalBoxFuture<'_, bool>>) -> bool {
    match writing {
        Some(writing) => writing.await,
        None => std::future::pending().await,
    }
}

/// Waits for the first bytes of another request. Returns false if the connection ended.
async fn wait_for_more(io: &Io) -> bool {
    while io.with_read_buf(|buf| buf.is_empty()) {
        if !matches!(io.read_ready().await, Ok(Some(()))) {
            return false;
        }
    }
    true
}
