//! Record of a request that a back end ran.

use std::time::Instant;

use figway_http::Headers;

/// Request that the back end started to run.
#[derive(Clone, Debug)]
pub struct Run {
    /// ID of the request, from `x-figway-attempt-id`.
    pub id: String,
    /// Service of the host where the request entered the mesh, from `x-figway-caller-service`.
    pub origin: String,
    /// Generation of the back end that ran the request.
    pub generation: u64,
    /// Method and path, separated by a space.
    pub request_line: String,
    /// Headers of the request.
    pub headers: Headers,
    /// Time at which the request started to run.
    pub started_at: Instant,
}
