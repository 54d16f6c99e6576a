//! Encoding of requests for hyper.

use hyper::header::{
    HeaderValue,
    HOST, //
};

use crate::header_names::HeaderNames;
use crate::message::{
    OutboundRequest,
    SendFailure, //
};
use crate::paced_body::PacedBody;

/// Returns the request as hyper sends it.
pub(crate) fn build_request(
    outbound: &OutboundRequest<'_>,
    names: &mut HeaderNames,
) -> Result<hyper::Request<PacedBody>, SendFailure> {
    let mut request = hyper::Request::builder()
        .method(outbound.method)
        .uri(outbound.path)
        .body(PacedBody::new(
            outbound.body.clone(),
            outbound.body_bytes_per_s,
        ))
        .map_err(|error| SendFailure::Refused(error.to_string()))?;
    let headers = request.headers_mut();
    headers.reserve(outbound.headers.len());
    for (name, value) in outbound.headers.iter_shared() {
        let (Ok(name), Ok(value)) = (names.parse(name), HeaderValue::from_maybe_shared(value))
        else {
            return Err(SendFailure::Refused(format!("header {name} can't be sent")));
        };
        headers.append(name, value);
    }
    if !headers.contains_key(HOST) {
        let host = HeaderValue::try_from(outbound.address)
            .map_err(|error| SendFailure::Refused(error.to_string()))?;
        headers.insert(HOST, host);
    }
    Ok(request)
}
