//! Names of the headers that nodes read and write.
//!
//! Headers of callers and targets whose names could be taken for those that nodes write to each other
//! are renamed between nodes, and get their own names back at the next node. Many headers travel packed
//! in one, as a message with all of them and those of the node would have too many.

use figway_http::Headers;

/// Service that the caller requests. Without it the `Host` header names the service.
pub(crate) const SERVICE: &str = "x-figway-service";

/// Time budget of a call, in milliseconds. Between nodes it is the remaining budget.
pub(crate) const BUDGET_MS: &str = "x-figway-budget-ms";

/// Outcome of a call: `answered`, `not-run` or `unknown`.
pub(crate) const OUTCOME: &str = "x-figway-outcome";

/// Reason why a call was not answered.
pub(crate) const REASON: &str = "x-figway-reason";

/// Id of a call, the same on every node that processes it.
pub(crate) const REQUEST_ID: &str = "x-figway-request-id";

/// Request kind of a call that a peer forwards for admission. Its presence marks such a call.
pub(crate) const ADMIT_KIND: &str = "x-figway-admit-kind";

/// Worth of a forwarded call.
pub(crate) const ADMIT_WORTH: &str = "x-figway-admit-worth";

/// Whether a forwarded call is long work.
pub(crate) const ADMIT_LONG: &str = "x-figway-admit-long";

/// Fingerprint of a forwarded call, in hexadecimal digits.
pub(crate) const ADMIT_FINGERPRINT: &str = "x-figway-admit-fingerprint";

/// Running and waiting calls per slot of the answering target.
pub(crate) const BUSY_RATIO: &str = "x-figway-busy";

/// Id of the crash of the target that ended a call, in hexadecimal digits.
pub(crate) const CRASH_ID: &str = "x-figway-crash-id";

/// Common prefix of all header names in this module.
pub(crate) const PREFIX: &str = "x-figway-";

/// Service whose target should run a forwarded call.
pub(crate) const ADMIT_SERVICE: &str = "x-figway-admit-service";

/// Whether a forwarded call may run more than once.
pub(crate) const ADMIT_IDEMPOTENT: &str = "x-figway-admit-idempotent";

/// Service of the host at which a forwarded call originated.
pub(crate) const ADMIT_ORIGIN: &str = "x-figway-admit-origin";

/// Customer to whom a forwarded call belongs, absent if it belongs to none.
pub(crate) const ADMIT_CUSTOMER: &str = "x-figway-admit-customer";

/// Key that identifies the customer of a forwarded call: version of the routes by which it was accepted and
/// the beginning of its digest, separated by a comma. The nodes' route tables hold the digest too.
pub(crate) const ADMIT_KEY: &str = "x-figway-admit-key";

/// Original `Host` header of a forwarded call.
pub(crate) const ADMIT_HOST: &str = "x-figway-admit-host";

/// `false` if the attempt did not reach a target; absent otherwise.
pub(crate) const SENT: &str = "x-figway-sent";

/// Headers that a node adds to the target's answer when it answers a peer.
const PEER_HEADERS: [&str; 13] = [
    PACKED,
    OUTCOME,
    REASON,
    REQUEST_ID,
    BUSY_RATIO,
    CRASH_ID,
    SENT,
    WAIT_MS,
    QUEUE_AND_RUN_MS,
    FAILED_RATIO,
    MEAN_RAN_MS,
    TARGET_STATE,
    ROUTES,
];

/// Expected wait for a slot of the answering target, in milliseconds.
pub(crate) const WAIT_MS: &str = "x-figway-wait-ms";

/// Queue time and run time of an answered call, in milliseconds, separated by a comma.
pub(crate) const QUEUE_AND_RUN_MS: &str = "x-figway-spent-ms";

/// Kind of the attempt: `first`, `retry` or `hedge`.
pub(crate) const ADMIT_ATTEMPT_KIND: &str = "x-figway-admit-turn";

/// Moving average of the share of calls that the answering target failed.
pub(crate) const FAILED_RATIO: &str = "x-figway-failed";

/// Mean run time of calls of the kind at the answering target, in milliseconds.
pub(crate) const MEAN_RAN_MS: &str = "x-figway-usual-ms";

/// Size of a body that a peer offers, in bytes. Its presence marks an offer.
pub(crate) const OFFER_BYTES: &str = "x-figway-offer-bytes";

/// Pace at which an offered body may be sent, in bytes per second.
pub(crate) const OFFER_PACE: &str = "x-figway-offer-pace";

/// Rank of a forwarded call.
pub(crate) const ADMIT_RANK: &str = "x-figway-admit-rank";

/// Time until the answer to a forwarded call loses part of its worth, in milliseconds.
pub(crate) const ADMIT_PROMPT_MS: &str = "x-figway-admit-prompt-ms";

/// State of the answering target, absent if there is nothing to state.
pub(crate) const TARGET_STATE: &str = "x-figway-target-state";

/// What the forwarding node knows of the target, absent if that is nothing.
pub(crate) const ADMIT_TARGET_STATE: &str = "x-figway-admit-target-state";

/// Version of the answering node's route table and its confirmed age in milliseconds, separated by a
/// comma. Absent if the age is of no use to the receiver.
pub(crate) const ROUTES: &str = "x-figway-routes";

/// Prefix of a header of a caller or target that is renamed between nodes.
const END_TO_END_PREFIX: &str = "x-figway-e2e-";

/// Headers of a caller or target that travel packed, as a JSON list of names and values.
const PACKED: &str = "x-figway-packed";

/// Number of headers of a caller or target that travel one by one.
const UNPACKED_MAX_COUNT: usize = 64;

/// Prepares the headers of a caller for the way to a peer.
pub(crate) fn escape_call(headers: &mut Headers) {
    headers.rename(|name| {
        name.starts_with(PREFIX)
            .then(|| format!("{END_TO_END_PREFIX}{name}"))
    });
    pack(headers);
}

/// Keeps the headers that a peer forwards for a caller, under their own names.
pub(crate) fn unescape_call(headers: &mut Headers) {
    unpack(headers);
    headers.retain(|name| !name.starts_with(PREFIX) || name.starts_with(END_TO_END_PREFIX));
    unescape(headers);
}

/// Prepares the headers of a target's answer for the way to a peer.
pub(crate) fn escape_answer(headers: &mut Headers) {
    headers.rename(|name| {
        let is_ours = PEER_HEADERS.contains(&name) || name.starts_with(END_TO_END_PREFIX);
        is_ours.then(|| format!("{END_TO_END_PREFIX}{name}"))
    });
    pack(headers);
}

/// Keeps the headers of a target's answer that a peer forwards, under their own names.
pub(crate) fn unescape_answer(headers: &mut Headers) {
    unpack(headers);
    headers.retain(|name| !PEER_HEADERS.contains(&name));
    unescape(headers);
}

fn unescape(headers: &mut Headers) {
    headers.rename(|name| name.strip_prefix(END_TO_END_PREFIX).map(str::to_owned));
}

fn pack(headers: &mut Headers) {
    if headers.len() <= UNPACKED_MAX_COUNT {
        return;
    }
    let rest = headers.split_off(UNPACKED_MAX_COUNT);
    let list: Vec<(&str, &str)> = rest.iter().collect();
    headers.push(PACKED, serde_json::json!(list).to_string());
}

fn unpack(headers: &mut Headers) {
    let Some(packed) = headers.get(PACKED) else {
        return;
    };
    match serde_json::from_str::<Vec<(String, String)>>(packed) {
        Ok(list) => {
            for (name, value) in list {
                headers.push(&name, value);
            }
        }
        Err(error) => log::warn!("could not unpack the headers that a peer forwards: {error}"),
    }
}
