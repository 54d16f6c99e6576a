//! Names of the headers that figway reads and writes.

/// Service that a caller wants; without it the `Host` header names the service.
pub(crate) const SERVICE: &str = "x-figway-service";

/// Time that the caller waits, in milliseconds; also what is left of it between nodes.
pub(crate) const BUDGET_MS: &str = "x-figway-budget-ms";

/// Outcome of a call: `answered`, `not-run` or `unknown`.
pub(crate) const OUTCOME: &str = "x-figway-outcome";

/// Why a call was not answered.
pub(crate) const REASON: &str = "x-figway-reason";

/// Id of a call, the same on all nodes that it passes.
pub(crate) const REQUEST_ID: &str = "x-figway-request-id";

/// Marks a call that a peer's node hands over for admission; holds the request kind.
pub(crate) const ADMIT_KIND: &str = "x-figway-admit-kind";

/// Worth of a call that is handed over.
pub(crate) const ADMIT_WORTH: &str = "x-figway-admit-worth";

/// Whether a call that is handed over is long work.
pub(crate) const ADMIT_LONG: &str = "x-figway-admit-long";

/// Fingerprint of a call that is handed over.
pub(crate) const ADMIT_FINGERPRINT: &str = "x-figway-admit-fingerprint";

/// Calls per slot that run and wait beside the answering target.
pub(crate) const BUSY_RATIO: &str = "x-figway-busy";

/// Id of the crash that ended a call, if its target crashed.
pub(crate) const CRASH_ID: &str = "x-figway-crash-id";

/// Start of all names above.
pub(crate) const PREFIX: &str = "x-figway-";

/// Service whose target is to run a call that is handed over.
pub(crate) const ADMIT_SERVICE: &str = "x-figway-admit-service";

/// Whether a call that is handed over may run more than once.
pub(crate) const ADMIT_IDEMPOTENT: &str = "x-figway-admit-idempotent";

/// Service on whose host a call that is handed over began.
pub(crate) const ADMIT_ORIGIN: &str = "x-figway-admit-origin";

/// Host that the caller of a call that is handed over named.
pub(crate) const ADMIT_HOST: &str = "x-figway-admit-host";

/// Whether an attempt reached a target, told to the node that made it.
pub(crate) const SENT: &str = "x-figway-sent";

/// Names that an answer between two nodes bears beside those of the target's answer.
pub(crate) const PEER_HEADERS: [&str; 10] = [
    OUTCOME,
    REASON,
    REQUEST_ID,
    BUSY_RATIO,
    CRASH_ID,
    SENT,
    WAIT_MS,
    QUEUE_AND_RUN_MS,
    FAILED_RATIO,
    AVERAGE_RUN_MS,
];

/// How long a call would wait for a slot beside the answering target, in milliseconds.
pub(crate) const WAIT_MS: &str = "x-figway-wait-ms";

/// How long an answered call waited beside the target and ran there, in milliseconds, with a comma.
pub(crate) const QUEUE_AND_RUN_MS: &str = "x-figway-spent-ms";

/// Place of the attempt among those of its call: `first`, `retry` or `hedge`.
pub(crate) const ADMIT_ATTEMPT_KIND: &str = "x-figway-admit-turn";

/// Share of the latest calls that the answering target failed.
pub(crate) const FAILED_RATIO: &str = "x-figway-failed";

/// What calls of the kind take at the answering target on average, in milliseconds.
pub(crate) const AVERAGE_RUN_MS: &str = "x-figway-usual-ms";

/// Rank of a call that is handed over.
pub(crate) const ADMIT_RANK: &str = "x-figway-admit-rank";

/// Time that is left until the answer to a call that is handed over loses part of its worth, in
/// milliseconds.
pub(crate) const ADMIT_PROMPT_MS: &str = "x-figway-admit-prompt-ms";
