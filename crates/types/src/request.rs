//! Borrowed view of a call, as the decisions see it.

/// What the decisions need to know of a request.
#[derive(Clone, Copy, Debug)]
pub struct RequestView<'a> {
    /// Service that the caller names.
    pub service: &'a str,
    /// HTTP method in capitals.
    pub method: &'a str,
    /// Path with its query.
    pub path: &'a str,
    /// Key under which the caller may send the request again.
    pub idempotency_key: Option<&'a str>,
    /// Whole body.
    pub body: &'a [u8],
}

/// Identity of a request across its resends: method, path, and key or body.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(transparent)]
pub struct Fingerprint(pub u64);

impl RequestView<'_> {
    /// Computes the fingerprint.
    pub fn fingerprint(&self) -> Fingerprint {
        use std::hash::Hasher;

        let mut hasher = rustc_hash::FxHasher::default();
        for part in [self.service, self.method, self.path] {
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
