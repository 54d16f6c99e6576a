//! YAML documents read with their places, so that all findings are reported in one go.
//!
//! A [`Document`] holds the parsed tree; a [`MapReader`] takes typed values out of one mapping and
//! notes each wrong type, impossible value and unknown key with its line and path.

mod node;
mod reader;

use std::cell::RefCell;

use figway_types::Findings;

pub use reader::MapReader;

/// A YAML document whose root is a mapping, and the findings about it.
#[derive(Debug)]
pub struct Document {
    source: String,
    root: node::Entry,
    findings: RefCell<Findings>,
}

impl Document {
    /// Parses `text`; `source` names it in findings.
    ///
    /// # Errors
    ///
    /// A single finding when the text is not YAML.
    pub fn parse(source: &str, text: &str) -> Result<Self, Findings> {
        match serde_saphyr::from_str::<serde_saphyr::Spanned<node::Node>>(text) {
            Ok(root) => Ok(Self {
                source: source.to_owned(),
                root: node::Entry::from(root),
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

    /// Returns a reader of the root mapping; anything else at the root is a finding.
    pub fn root(&self) -> MapReader<'_> {
        MapReader::of_entry(self, String::new(), &self.root)
    }

    /// Returns `value` if nothing was found.
    ///
    /// # Errors
    ///
    /// All findings, in the order of their lines.
    pub fn finish<T>(self, value: T) -> Result<T, Findings> {
        let mut findings = self.findings.into_inner();
        findings.list.sort_by_key(|finding| finding.location.line);
        findings.into_result(value)
    }

    fn note(&self, line: u64, key: &str, message: String) {
        self.findings
            .borrow_mut()
            .add(&self.source, line, key, message);
    }
}
