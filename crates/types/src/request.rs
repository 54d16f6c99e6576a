//! Borrowed view of a request, and its fingerprint.

/// Parts of a request that identify it.
#[derive(Clone, Copy, Debug)]
pub struct RequestView<'a> {
    /// Service on whose host the request began. Equal requests of another one may have other effects.
    pub caller: &'a str,
    /// Service or host that the caller names. A route to another service, or to several, does not make
    /// another request of it.
    pub addressee: &'a str,
    /// HTTP method in upper case.
    pub method: &'a str,
    /// Path, including the query string.
    pub path: &'a str,
    /// Complete body.
    pub body: &'a [u8],
}

/// Identity of a request across resends: hash of the caller, addressee, method, path and body. A resend
/// under another idempotency key is the same request.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(transparent)]
pub struct Fingerprint(pub u64);

impl RequestView<'_> {
    /// Returns the fingerprint.
    pub fn fingerprint(&self) -> Fingerprint {
        use std::hash::Hasher;

        let mut hasher = rustc_hash::FxHasher::default();
        for part in [self.caller, self.addressee, self.method, self.path] {
            hasher.write(part.as_bytes());
            hasher.write_u8(0);
        }
        hasher.write(self.body);
        Fingerprint(crate::mix(hasher.finish()))
    }
}
