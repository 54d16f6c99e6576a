//! Findings about invalid input, collected with their locations and reported together.

use serde::{
    Deserialize,
    Serialize, //
};

/// Location of a finding in its input.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Location {
    /// Name of the file or record.
    pub source: String,
    /// Line number, starting at 1; 0 if the input has no lines.
    pub line: u64,
    /// Dotted path of the key; empty for the whole input.
    pub key: String,
}

/// One error in an input.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// Location of the error.
    #[serde(rename = "place")]
    pub location: Location,
    /// Description of the error and of the expected value.
    pub message: String,
}

impl std::fmt::Display for Finding {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", self.location.source)?;
        if self.location.line > 0 {
            write!(f, ":{}", self.location.line)?;
        }
        if !self.location.key.is_empty() {
            write!(f, ": {}", self.location.key)?;
        }
        write!(f, ": {}", self.message)
    }
}

/// All findings about one input.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Findings {
    /// Findings in the order in which they were added, unless the owner sorts them.
    pub list: Vec<Finding>,
}

impl Findings {
    /// Adds one finding.
    pub fn add(&mut self, source: &str, line: u64, key: &str, message: impl Into<String>) {
        self.list.push(Finding {
            location: Location {
                source: source.to_owned(),
                line,
                key: key.to_owned(),
            },
            message: message.into(),
        });
    }

    /// Returns whether there are no findings.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// Returns `value` if there are no findings.
    ///
    /// # Errors
    ///
    /// Returns the findings if there are any.
    pub fn into_result<T>(self, value: T) -> Result<T, Findings> {
        if self.is_empty() {
            Ok(value)
        } else {
            Err(self)
        }
    }
}

impl std::fmt::Display for Findings {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for (index, finding) in self.list.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            write!(f, "{finding}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Findings {}
