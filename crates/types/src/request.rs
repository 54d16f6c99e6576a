//! Borrowed view of a request, and its fingerprint.

/// Parts of a request that identify it.
#[derive(Clone, Copy, Debug)]
pub struct RequestView<'a> {
    /// Service or host that the caller names. A route to another service, or to several, does not make
    /// another request of it.
    pub addressee: &'a str,
    /// HTTP method in upper case.
    pub method: &'a str,
    /// Path, including the query string.
    pub path: &'a str,
    /// Key under which the caller can resend the request.
    pub idempotency_key: Option<&'a str>,
    /// Complete body.
    pub body: &'a [u8],
}

/// Identity of a request across resends: hash of the addressee, method, path, and idempotency key or
/// body.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(transparent)]
pub struct Fingerprint(pub u64);

impl RequestView<'_> {
    /// Returns the fingerprint; the body counts only if there is no idempotency key.
    pub fn fingerprint(&self) -> Fingerprint {
        use std::hash::Hasher;

        let mut hasher = rustc_hash::FxHasher::default();
        for part in [self.addressee, self.method, self.path] {
            hasher.write(part.as_bytes());
            hasher.write_u8(0);
        }
        match self.idempotency_key {
            Some(key) => hasher.write(key.as_bytes()),
            None => hasher.write(self.body),
        }
        Fingerprint(crate::mix(hasher.finish()))
    }
}
