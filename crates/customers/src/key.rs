//! Digests of API keys. Tables, messages between nodes and logs hold no key itself.

use serde::{
    Deserialize,
    Serialize, //
};
use sha2::{
    Digest as _,
    Sha256, //
};

/// Longest key that is looked up, in bytes. Longer ones are refused without being hashed, which would
/// cost time in proportion to their length.
const KEY_MAX_BYTES: usize = 1_024;

/// SHA-256 digest of an API key. Keys are compared by their digests, so that the time of a comparison
/// does not reveal how much of a guessed key is right.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Returns the digest of `key`, or `None` if no key can be that text.
    pub fn of_key(key: &str) -> Option<Self> {
        if key.is_empty() || key.len() > KEY_MAX_BYTES {
            return None;
        }
        Some(Self(Sha256::digest(key.as_bytes()).into()))
    }

    /// Returns the beginning of the digest.
    pub fn tag(&self) -> KeyTag {
        let mut first = [0; 8];
        first.copy_from_slice(&self.0[..8]);
        KeyTag(u64::from_be_bytes(first))
    }
}

/// Beginning of the digest of a key, by which a node that already knows the customer recognizes the key.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct KeyTag(pub u64);

impl std::fmt::Debug for KeyTag {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("KeyTag(..)")
    }
}

impl std::fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}
