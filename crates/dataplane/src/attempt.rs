//! One attempt of a call at one target: at the own host, or handed over to the node beside it.

use std::time::{
    Duration,
    Instant, //
};

use figway_http::{
    Answer,
    Headers,
    OutboundRequest,
    SendFailure, //
};
use figway_routing::{
    CallTimings,
    Distance,
    LoadReport, //
};
use figway_types::{
    NodeId,
    NotRunReason, //
};

use crate::admit::{
    admit,
    AttemptResult, //
};
use crate::call::{
    Admitted,
    Call,
    Fate,
    Turn,
    LATE, //
};
use crate::candidates::ShareEntry;
use crate::headers;
use crate::plane::DataPlane;
use crate::story::Step;
use crate::worker::Worker;

/// Makes one attempt. Dropping the future gives the attempt up and frees all that it holds.
pub(crate) async fn attempt(
    worker: &Worker,
    call: &Call<'_>,
    entry: &ShareEntry,
    turn: Turn,
) -> AttemptResult {
    let plane = &worker.plane;
    let node_id = &entry.member.node_id;
    let mut tracked = Tracked::begin(plane, node_id);
    let ended = if entry.distance == Distance::Host {
        admit(worker, &Admitted::of(call, turn)).await
    } else {
        hand_over(worker, call, entry, turn).await
    };
    let took = tracked.finish();
    note_end(plane, call, entry, &ended, took);
    call.story.borrow_mut().push(Step::Ended {
        outcome: ended.outcome.name(),
        reason: ended.outcome.reason(),
        status: ended.outcome.status(),
        took_ms: took.as_millis(),
        waited_ms: ended.queue_time.as_millis(),
    });
    if let Some(crash_id) = ended.crash_id {
        let now = Instant::now();
        plane
            .mesh
            .quarantine()
            .record_crash(call.fingerprint, crash_id, now);
    }
    ended
}

fn note_end(
    plane: &DataPlane,
    call: &Call<'_>,
    entry: &ShareEntry,
    ended: &AttemptResult,
    took: Duration,
) {
    let now = Instant::now();
    let rule = &call.rule;
    let node_id = &entry.member.node_id;
    match &ended.outcome {
        Fate::Answered(answer) if ended.outcome.is_good() => {
            let spent = CallTimings {
                took_ms: as_ms(took),
                waited_ms: as_ms(ended.queue_time),
                ran_ms: as_ms(ended.run_time),
                mean_ran_ms: ended.average_run_ms,
                round_trip_ms: entry.round_trip_us / 1_000.0,
            };
            let mut loads = plane.loads();
            loads.record_latency(node_id, took, now);
            let body_bytes = call.body.len() + answer.body.len();
            loads.record_timings(node_id, rule.name, spent, body_bytes, now);
            drop(loads);
            let limits = &rule.profile.limits;
            plane
                .retries
                .note_latency(rule.service, rule.name, limits, took);
        }
        // How fast a target fails says nothing of how fast it answers.
        Fate::Answered(_) => {}
        Fate::Unknown(_) => plane.loads().record_latency(node_id, took, now),
        Fate::NotRun(NotRunReason::Overloaded) => {
            plane.loads().record_overload(node_id, rule.name, now);
            plane.retries.note_overload(rule.service);
        }
        Fate::NotRun(
            NotRunReason::Unreachable
            | NotRunReason::Draining
            | NotRunReason::NoTarget
            | NotRunReason::Misdirected,
        ) => plane.loads().record_refusal(node_id, now),
        Fate::NotRun(_) => {}
    }
}

fn as_ms(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}

async fn hand_over(
    worker: &Worker,
    call: &Call<'_>,
    entry: &ShareEntry,
    turn: Turn,
) -> AttemptResult {
    let left = call.deadline.saturating_duration_since(Instant::now());
    // The rest of a millisecond stays here, so that the peer gives up first.
    if left.as_millis() == 0 {
        return AttemptResult::not_sent(NotRunReason::Expired);
    }
    let headers = admit_headers(call, left, turn);
    let outbound = OutboundRequest {
        address: &entry.member.call_address,
        method: call.method,
        path: call.path,
        headers: &headers,
        body: call.body,
        deadline: call.deadline,
        echo_header: None,
        idempotent: call.rule.idempotent,
    };
    let node_id = &entry.member.node_id;
    match worker.peers.send(&outbound).await {
        Ok(answer) => read_answer(&worker.plane, node_id, answer),
        Err(SendFailure::Refused(why)) => {
            worker.plane.mesh.suspect(node_id, &why);
            AttemptResult::not_sent(NotRunReason::Unreachable)
        }
        Err(SendFailure::Broken(why)) => {
            if worker.plane.log_budget.should_log(call.request_id, true) {
                log::warn!(
                    "peer broke off request={} node={node_id} why={why}",
                    call.request_id
                );
            }
            worker.plane.loads().record_refusal(node_id, Instant::now());
            AttemptResult::sent(Fate::Unknown("peer-broken"))
        }
        Err(SendFailure::TooLarge) => AttemptResult::sent(Fate::Unknown("answer-too-large")),
        Err(SendFailure::Late) => AttemptResult::sent(Fate::Unknown(LATE)),
    }
}

fn admit_headers(call: &Call<'_>, left: Duration, turn: Turn) -> Headers {
    let rule = &call.rule;
    let mut onward = call.headers.clone();
    if let Some(host) = call.headers.get("host") {
        onward.retain(|name| name != "host");
        onward.push(headers::ADMIT_HOST, host);
    }
    onward.push(headers::ADMIT_KIND, rule.name);
    onward.push(headers::ADMIT_SERVICE, rule.service);
    onward.push(headers::ADMIT_WORTH, rule.worth.to_string());
    onward.push(headers::ADMIT_RANK, rule.rank.to_string());
    let turn = call.told_turn(turn);
    if turn != Turn::First {
        onward.push(headers::ADMIT_ATTEMPT_KIND, turn.name());
    }
    if let Some(prompt_by) = call.prompt_by {
        let prompt_left = prompt_by.saturating_duration_since(Instant::now());
        onward.push(
            headers::ADMIT_PROMPT_MS,
            prompt_left.as_millis().to_string(),
        );
    }
    if rule.long {
        onward.push(headers::ADMIT_LONG, "true");
    }
    if rule.idempotent {
        onward.push(headers::ADMIT_IDEMPOTENT, "true");
    }
    onward.push(
        headers::ADMIT_FINGERPRINT,
        format!("{:016x}", call.fingerprint.0),
    );
    onward.push(headers::ADMIT_ORIGIN, call.origin);
    onward.push(headers::REQUEST_ID, call.request_id);
    onward.push(headers::BUDGET_MS, left.as_millis().to_string());
    onward
}

fn read_answer(plane: &DataPlane, node_id: &NodeId, mut answer: Answer) -> AttemptResult {
    let number = |name| answer.header(name).and_then(|value| value.parse().ok());
    if let (Some(busy_ratio), Some(wait_ms)) =
        (number(headers::BUSY_RATIO), number(headers::WAIT_MS))
    {
        let report = LoadReport {
            busy_ratio,
            wait_ms,
            failed_ratio: number(headers::FAILED_RATIO).unwrap_or(0.0),
        };
        plane.loads().record_report(node_id, report, Instant::now());
    }
    let (waited, ran) = answer
        .header(headers::QUEUE_AND_RUN_MS)
        .and_then(read_spent)
        .unwrap_or_default();
    let average_run_ms = number(headers::AVERAGE_RUN_MS);
    let crash_id = answer
        .header(headers::CRASH_ID)
        .and_then(|id| u64::from_str_radix(id, 16).ok());
    let sent = answer.header(headers::SENT) != Some("false");
    let fate = match answer.header(headers::OUTCOME) {
        Some("answered") => {
            answer
                .headers
                .retain(|name| !headers::PEER_HEADERS.contains(&name));
            Fate::Answered(answer)
        }
        Some("not-run") => Fate::NotRun(reason_of(&answer)),
        Some(_) => Fate::Unknown(if answer.header(headers::REASON) == Some(LATE) {
            LATE
        } else {
            "at-peer"
        }),
        None => Fate::Unknown("no-outcome"),
    };
    AttemptResult {
        outcome: fate,
        crash_id,
        sent,
        queue_time: waited,
        run_time: ran,
        average_run_ms,
    }
}

fn read_spent(text: &str) -> Option<(Duration, Duration)> {
    let (waited, ran) = text.split_once(',')?;
    let read = |ms: &str| Duration::try_from_secs_f64(ms.parse::<f64>().ok()? / 1_000.0).ok();
    Some((read(waited)?, read(ran)?))
}

fn reason_of(answer: &Answer) -> NotRunReason {
    let named = answer.header(headers::REASON).unwrap_or("");
    for reason in NotRunReason::ALL {
        if reason.name() == named {
            return reason;
        }
    }
    NotRunReason::Overloaded
}

/// Counts an attempt as in flight; one that is given up is a sample of a slow target.
struct Tracked<'a> {
    plane: &'a DataPlane,
    node_id: &'a NodeId,
    started_at: Instant,
    finished: bool,
}

impl<'a> Tracked<'a> {
    fn begin(plane: &'a DataPlane, node_id: &'a NodeId) -> Self {
        let started_at = Instant::now();
        plane.loads().begin(node_id, started_at);
        Self {
            plane,
            node_id,
            started_at,
            finished: false,
        }
    }

    fn finish(&mut self) -> Duration {
        self.finished = true;
        self.started_at.elapsed()
    }
}

impl Drop for Tracked<'_> {
    fn drop(&mut self) {
        let now = Instant::now();
        let mut loads = self.plane.loads();
        loads.end(self.node_id, now);
        if self.finished {
            return;
        }
        let took = now.saturating_duration_since(self.started_at);
        if took.as_secs_f64() * 1e6 > loads.latency_us(self.node_id, now) {
            loads.record_latency(self.node_id, took, now);
        }
    }
}
