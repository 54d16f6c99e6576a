//! Parsed names of the headers that a client sends.

use figway_types::FastMap;
use hyper::header::{
    HeaderName,
    InvalidHeaderName, //
};

/// Largest number of names that are kept.
const NAME_MAX_COUNT: usize = 128;

/// Names of headers that were parsed before. Most requests have the same ones.
#[derive(Default)]
pub(crate) struct HeaderNames {
    parsed: FastMap<String, HeaderName>,
}

impl HeaderNames {
    /// Parses a name.
    ///
    /// # Errors
    ///
    /// The name is not valid.
    pub(crate) fn parse(&mut self, name: &str) -> Result<HeaderName, InvalidHeaderName> {
        if let Some(parsed) = self.parsed.get(name) {
            return Ok(parsed.clone());
        }
        let parsed = HeaderName::try_from(name)?;
        if self.parsed.len() < NAME_MAX_COUNT {
            self.parsed.insert(name.to_owned(), parsed.clone());
        }
        Ok(parsed)
    }
}
