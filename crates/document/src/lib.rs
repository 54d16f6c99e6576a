//! Typed reading of YAML documents that reports all findings at once.
//!
//! A [`Document`] holds the parsed values. A [`MapReader`] returns typed values of one mapping and
//! records each wrong type, invalid value and unknown key as a finding with its line and path.

mod reader;
mod value;

use std::cell::RefCell;

use figway_types::Findings;

pub use reader::MapReader;

/// A YAML document whose root is a mapping, and the findings about it.
#[derive(Debug)]
pub struct Document {
    source: String,
    root: value::LocatedValue,
    findings: RefCell<Findings>,
}

impl Document {
    /// Parses `text`. Findings name `source` as their origin.
    ///
    /// # Errors
    ///
    /// One finding if the text is not valid YAML.
    pub fn parse(source: &str, text: &str) -> Result<Self, Findings> {
        match serde_saphyr::from_str::<serde_saphyr::Spanned<value::YamlValue>>(text) {
            Ok(root) => Ok(Self {
                source: source.to_owned(),
                root: value::LocatedValue::from(root),
                findings: RefCell::default(),
            }),
            Err(error) => {
                let line = error.location().map_or(0, |location| location.line());
                let message = error.render_with_formatter(&serde_saphyr::UserMessageFormatter);
                let first_line = message.lines().next().unwrap_or("unreadable");
                let mut findings = Findings::default();
                findings.add(source, line, "", format!("not valid YAML: {first_line}"));
                Err(findings)
            }
        }
    }

    /// Returns a reader of the root mapping. A root of any other type is recorded as a finding.
    pub fn root(&self) -> MapReader<'_> {
        MapReader::new(self, String::new(), &self.root)
    }

    /// Returns `value` if there are no findings.
    ///
    /// # Errors
    ///
    /// All findings, ordered by line.
    pub fn finish<T>(self, value: T) -> Result<T, Findings> {
        let mut findings = self.findings.into_inner();
        findings.list.sort_by_key(|finding| finding.location.line);
        findings.into_result(value)
    }

    fn add_finding(&self, line: u64, key_path: &str, message: String) {
        self.findings
            .borrow_mut()
            .add(&self.source, line, key_path, message);
    }
}
