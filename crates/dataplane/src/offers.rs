//! Offers of large request bodies between nodes. The node beside the target says when a body may come,
//! or refuses the call before its body has used the link.

use std::sync::Mutex;
use std::time::{
    Duration,
    Instant, //
};

use figway_admission::{
    checked_pace,
    ArrivalBounds,
    BodyPacer,
    TooSlow, //
};
use figway_http::{
    Answer,
    Bytes,
    Headers,
    OutboundRequest,
    Request,
    SendFailure, //
};
use figway_types::{
    deadline_after_ms,
    NotRunReason, //
};

use crate::admit::AttemptResult;
use crate::attempt::parse_peer_answer;
use crate::call::Call;
use crate::candidates::TargetEntry;
use crate::headers;
use crate::peers::encode_result;
use crate::worker::Worker;

/// Size from which on a body is offered before it is sent, in bytes. The offer costs a round trip.
pub(crate) const OFFERED_MIN_BYTES: usize = 16 * 1_024;

/// Path of an offer. Nodes of earlier builds answer it with 404.
const OFFER_PATH: &str = "/offer";

/// Outcome of an offer that was accepted.
const ACCEPTED: &str = "accepted";

/// Fraction of the time to a prompt answer, or to the deadline for a body that need not wait for others,
/// that may pass until a body has arrived.
const ARRIVAL_RATIO: f64 = 0.6;

/// Longest time for which the link is reserved ahead, whatever a peer states.
const RESERVED_MAX: Duration = Duration::from_secs(10);

/// Pace of the large bodies that peers send to this node.
pub(crate) struct BodyOffers {
    pacer: Mutex<BodyPacer>,
}

impl BodyOffers {
    /// Creates the pace for a host whose link carries `link_mbps` megabits per second, 0 if unknown.
    pub(crate) fn new(link_mbps: u32) -> Self {
        Self {
            pacer: Mutex::new(BodyPacer::new(link_mbps, Instant::now())),
        }
    }

    fn bytes_per_s(&self) -> Option<f64> {
        let pacer = self.pacer.lock().expect("no holder panics");
        Some(pacer.bytes_per_s()).filter(|bytes_per_s| *bytes_per_s > 0.0)
    }

    /// Reserves the link for a body, if it would arrive in time.
    fn reserve(&self, len_bytes: usize, by: ArrivalBounds) -> Option<Reservation<'_>> {
        let mut pacer = self.pacer.lock().expect("no holder panics");
        let start_at = pacer.reserve(len_bytes, by, Instant::now())?;
        Some(Reservation {
            offers: self,
            len_bytes,
            start_at,
            accepted: false,
        })
    }
}

/// Outcome of an offer.
pub(crate) enum Offered {
    /// The body may be sent, at this pace in bytes per second if one is given.
    Accepted(Option<f64>),
    /// The node refused the call.
    Refused(AttemptResult),
}

/// Reserved time of the link, which is given back if the peer leaves before its body may start.
struct Reservation<'a> {
    offers: &'a BodyOffers,
    len_bytes: usize,
    start_at: Instant,
    accepted: bool,
}

impl Drop for Reservation<'_> {
    fn drop(&mut self) {
        if !self.accepted {
            let mut pacer = self.offers.pacer.lock().expect("no holder panics");
            pacer.give_back(self.len_bytes, Instant::now());
        }
    }
}

/// Offers the body of the call to the target's node, if it is large.
pub(crate) async fn offer_body(worker: &Worker, call: &Call<'_>, entry: &TargetEntry) -> Offered {
    if !call.has_large_body() || !call.rule.overload_control {
        return Offered::Accepted(None);
    }
    let left_ms = |until: Instant| until.saturating_duration_since(Instant::now()).as_millis();
    let mut offer = Headers::default();
    offer.push(headers::OFFER_BYTES, call.body.len().to_string());
    offer.push(headers::ADMIT_SERVICE, call.rule.service);
    offer.push(headers::ADMIT_RANK, call.rule.rank.to_string());
    offer.push(headers::BUDGET_MS, left_ms(call.deadline).to_string());
    let prompt_by = call.prompt_by.unwrap_or(call.deadline);
    offer.push(headers::ADMIT_PROMPT_MS, left_ms(prompt_by).to_string());
    let outbound = OutboundRequest {
        address: &entry.member.call_address,
        method: "POST",
        path: OFFER_PATH,
        headers: &offer,
        body: &Bytes::new(),
        body_bytes_per_s: None,
        deadline: call.deadline,
        echo_header: None,
        idempotent: true,
    };
    let node_id = &entry.member.node_id;
    let answer = match worker.peers.send(&outbound).await {
        Ok(answer) => answer,
        Err(SendFailure::Refused(why)) => {
            worker.plane.mesh.suspect(node_id, &why);
            return Offered::Refused(AttemptResult::not_sent(NotRunReason::Unreachable));
        }
        Err(SendFailure::Late) => {
            return Offered::Refused(AttemptResult::not_sent(NotRunReason::Expired));
        }
        // An idle connection may have been closed just now. If the node has ended, the call finds out.
        Err(SendFailure::Broken(_) | SendFailure::TooLarge) => return Offered::Accepted(None),
    };
    match answer.header(headers::OUTCOME) {
        Some(ACCEPTED) | None => take_pace(worker, call, entry, &answer),
        Some(_) => Offered::Refused(parse_peer_answer(&worker.plane, call, node_id, answer)),
    }
}

/// Returns the pace that the answer to an offer states. If the body would arrive too late at this pace, the
/// attempt is refused so that the call can go elsewhere: a faster one would take more of the link than
/// the peer grants.
fn take_pace(worker: &Worker, call: &Call<'_>, entry: &TargetEntry, answer: &Answer) -> Offered {
    let stated = answer
        .header(headers::OFFER_PACE)
        .and_then(|bytes_per_s| bytes_per_s.parse().ok());
    match checked_pace(stated, call.body.len(), call.deadline, Instant::now()) {
        Ok(bytes_per_s) => Offered::Accepted(bytes_per_s),
        Err(TooSlow) => {
            worker.plane.metrics.count("offers_too_slow");
            if worker.plane.log_budget.should_log(call.request_id, true) {
                log::info!(
                    "offer given up request={} node={} body_bytes={} bytes_per_s={} left_ms={}",
                    call.request_id,
                    entry.member.node_id,
                    call.body.len(),
                    stated.unwrap_or_default(),
                    call.deadline
                        .saturating_duration_since(Instant::now())
                        .as_millis(),
                );
            }
            Offered::Refused(AttemptResult::not_sent(NotRunReason::Overloaded))
        }
    }
}

/// Returns whether the request offers a body.
pub(crate) fn is_offer(request: &Request) -> bool {
    request.headers.get(headers::OFFER_BYTES).is_some()
}

/// Answers an offer when its body may come, or refuses the call at once.
pub(crate) async fn serve_offer(worker: &Worker, request: &Request) -> Answer {
    let plane = &worker.plane;
    let Some(offer) = Offer::parse(request) else {
        return Answer::of_status(400);
    };
    let report = plane.gate.load_report(offer.rank);
    let wait = Duration::try_from_secs_f64(report.wait_ms / 1_000.0).unwrap_or_default();
    let now = Instant::now();
    let by = ArrivalBounds {
        at_once: arrival_bound(offer.deadline, now),
        waiting: arrival_bound(offer.prompt_by, now),
    };
    let serves = !plane.is_draining() && plane.runs_service(offer.service);
    let reserved = (serves && now + wait < by.at_once)
        .then(|| plane.offers.reserve(offer.len_bytes, by))
        .flatten();
    match reserved {
        Some(mut reservation) => {
            plane.metrics.count("offers_accepted");
            tokio::time::sleep_until(reservation.start_at.into()).await;
            reservation.accepted = true;
            let mut answer = Answer::of_status(200);
            answer.headers.push(headers::OUTCOME, ACCEPTED);
            if let Some(bytes_per_s) = plane.offers.bytes_per_s() {
                let pace = format!("{bytes_per_s:.0}");
                answer.headers.push(headers::OFFER_PACE, pace);
            }
            answer
        }
        None => {
            plane.metrics.count("offers_refused");
            let reason = if serves {
                NotRunReason::Overloaded
            } else {
                NotRunReason::Draining
            };
            encode_result(AttemptResult::not_sent(reason), report)
        }
    }
}

/// Returns until when a body must have arrived whose answer is due at `due_at`.
fn arrival_bound(due_at: Instant, now: Instant) -> Instant {
    let left = due_at.saturating_duration_since(now).min(RESERVED_MAX);
    now + left.mul_f64(ARRIVAL_RATIO)
}

/// Body that a peer offers.
struct Offer<'a> {
    len_bytes: usize,
    service: &'a str,
    rank: u32,
    prompt_by: Instant,
    deadline: Instant,
}

impl<'a> Offer<'a> {
    fn parse(request: &'a Request) -> Option<Self> {
        let header = |name| request.headers.get(name);
        let prompt_ms = header(headers::ADMIT_PROMPT_MS)?.parse().ok()?;
        let budget_ms = header(headers::BUDGET_MS)?.parse().ok()?;
        Some(Self {
            len_bytes: header(headers::OFFER_BYTES)?.parse().ok()?,
            service: header(headers::ADMIT_SERVICE)?,
            rank: header(headers::ADMIT_RANK)?.parse().ok()?,
            prompt_by: deadline_after_ms(request.arrived_at, prompt_ms),
            deadline: deadline_after_ms(request.arrived_at, budget_ms),
        })
    }
}
