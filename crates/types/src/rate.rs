//! Rate limit that a target states for the calls of all nodes together.

use std::fmt;
use std::str::FromStr;

/// Rate of calls that a target accepts. It is finite and not negative.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct RateLimit {
    per_s: f64,
}

impl RateLimit {
    /// Creates a limit of `per_s` calls per second.
    ///
    /// # Errors
    ///
    /// `per_s` is negative, infinite or not a number.
    pub fn new(per_s: f64) -> Result<Self, RateLimitError> {
        if !per_s.is_finite() {
            return Err(RateLimitError::NotFinite);
        }
        if per_s < 0.0 {
            return Err(RateLimitError::Negative);
        }
        // Adding zero turns negative zero into zero.
        Ok(Self { per_s: per_s + 0.0 })
    }

    /// Returns the calls per second.
    pub fn per_s(self) -> f64 {
        self.per_s
    }
}

impl fmt::Display for RateLimit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.per_s.fmt(f)
    }
}

impl FromStr for RateLimit {
    type Err = RateLimitError;

    /// Parses a decimal number of calls per second.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let per_s = text
            .trim()
            .parse()
            .map_err(|_| RateLimitError::NotANumber)?;
        Self::new(per_s)
    }
}

/// Why a text or number is not a rate limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RateLimitError {
    /// The text is not a decimal number.
    NotANumber,
    /// The number is infinite or not a number.
    NotFinite,
    /// The number is below 0.
    Negative,
}

impl fmt::Display for RateLimitError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            RateLimitError::NotANumber => "not a decimal number",
            RateLimitError::NotFinite => "not a finite number",
            RateLimitError::Negative => "a negative number",
        })
    }
}

impl std::error::Error for RateLimitError {}
