//! Typed reading of one mapping.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::ops::RangeInclusive;

use figway_types::FastSet;

use crate::node::{
    Entry,
    Node, //
};
use crate::Document;

/// Takes typed values out of one mapping; keys that nobody asked for are findings when it drops.
#[derive(Debug)]
pub struct MapReader<'d> {
    document: &'d Document,
    path: String,
    line: u64,
    entries: &'d [(String, Entry)],
    asked: RefCell<FastSet<&'static str>>,
    open: bool,
}

impl<'d> MapReader<'d> {
    pub(crate) fn of_entry(document: &'d Document, path: String, entry: &'d Entry) -> Self {
        let entries: &'d [(String, Entry)] = match &entry.node {
            Node::Map(entries) => entries,
            Node::Null => &[],
            other => {
                document.note(
                    entry.line,
                    &path,
                    format!("expected a mapping, found {}", other.kind()),
                );
                &[]
            }
        };
        Self {
            document,
            path,
            line: entry.line,
            entries,
            asked: RefCell::default(),
            open: false,
        }
    }

    /// Returns the text at `key`, if the key is there.
    pub fn text(&self, key: &'static str) -> Option<&'d str> {
        let entry = self.entry(key)?;
        match &entry.node {
            Node::Text(text) => Some(text),
            other => self.wrong_kind(key, entry, "text", other),
        }
    }

    /// Returns the text at `key`; its absence is a finding.
    pub fn required_text(&self, key: &'static str) -> &'d str {
        if self.entry(key).is_none() {
            self.note_missing(key);
            return "";
        }
        self.text(key).unwrap_or("")
    }

    /// Returns the text at `key` as one of `allowed`, or the first of them.
    pub fn choice(&self, key: &'static str, allowed: &[&'static str]) -> &'static str {
        let Some(text) = self.text(key) else {
            return allowed[0];
        };
        for candidate in allowed {
            if *candidate == text {
                return candidate;
            }
        }
        self.add_finding(key, format!("expected one of {}", allowed.join(", ")));
        allowed[0]
    }

    /// Returns `true` or `false` at `key`, if the key is there.
    pub fn boolean(&self, key: &'static str) -> Option<bool> {
        let entry = self.entry(key)?;
        match &entry.node {
            Node::Flag(flag) => Some(*flag),
            other => self.wrong_kind(key, entry, "true or false", other),
        }
    }

    /// Returns the number at `key` if it is there and within `range`.
    pub fn number(&self, key: &'static str, range: RangeInclusive<f64>) -> Option<f64> {
        let entry = self.entry(key)?;
        let number = match &entry.node {
            Node::Number(number) => *number,
            other => return self.wrong_kind(key, entry, "a number", other),
        };
        if range.contains(&number) {
            return Some(number);
        }
        let message = format!(
            "expected a number from {} to {}, found {number}",
            range.start(),
            range.end()
        );
        self.add_finding(key, message);
        None
    }

    /// Returns the whole number at `key` if it is there and within `range`.
    pub fn integer(&self, key: &'static str, range: RangeInclusive<u64>) -> Option<u64> {
        let number = self.number(key, *range.start() as f64..=*range.end() as f64)?;
        if number.fract() == 0.0 {
            return Some(number as u64);
        }
        self.add_finding(key, format!("expected a whole number, found {number}"));
        None
    }

    /// Returns the texts of the list at `key`; empty when the key is absent.
    pub fn text_list(&self, key: &'static str) -> Vec<&'d str> {
        let mut texts = Vec::new();
        for (index, entry) in self.list(key).iter().enumerate() {
            match &entry.node {
                Node::Text(text) => texts.push(text.as_str()),
                other => {
                    let path = format!("{}[{index}]", self.path_of(key));
                    let message = format!("expected text, found {}", other.kind());
                    self.document.note(entry.line, &path, message);
                }
            }
        }
        texts
    }

    /// Returns whether the key is there.
    pub fn contains_key(&self, key: &'static str) -> bool {
        self.entry(key).is_some()
    }

    /// Returns a reader of the mapping at `key`; an empty one when the key is absent.
    pub fn map(&self, key: &'static str) -> MapReader<'d> {
        match self.entry(key) {
            Some(entry) => MapReader::of_entry(self.document, self.path_of(key), entry),
            None => MapReader {
                document: self.document,
                path: self.path_of(key),
                line: self.line,
                entries: &[],
                asked: RefCell::default(),
                open: false,
            },
        }
    }

    /// Returns readers of the mappings in the list at `key`.
    pub fn map_list(&self, key: &'static str) -> Vec<MapReader<'d>> {
        let mut readers = Vec::new();
        for (index, entry) in self.list(key).iter().enumerate() {
            let path = format!("{}[{index}]", self.path_of(key));
            readers.push(MapReader::of_entry(self.document, path, entry));
        }
        readers
    }

    /// Returns the names and readers of the mappings below `key`.
    pub fn maps_by_name(&self, key: &'static str) -> Vec<(&'d str, MapReader<'d>)> {
        let outer = self.map(key).into_open();
        let mut readers = Vec::new();
        for (name, entry) in outer.entries {
            let path = format!("{}.{name}", outer.path);
            readers.push((
                name.as_str(),
                MapReader::of_entry(self.document, path, entry),
            ));
        }
        readers
    }

    /// Returns the texts below `key` by their names.
    pub fn texts_by_name(&self, key: &'static str) -> BTreeMap<String, String> {
        let outer = self.map(key).into_open();
        let mut texts = BTreeMap::new();
        for (name, entry) in outer.entries {
            let text = match &entry.node {
                Node::Text(text) => text.clone(),
                Node::Number(number) => number.to_string(),
                other => {
                    let path = format!("{}.{name}", outer.path);
                    let message = format!("expected text, found {}", other.kind());
                    self.document.note(entry.line, &path, message);
                    continue;
                }
            };
            texts.insert(name.clone(), text);
        }
        texts
    }

    /// Notes that the value at `key` can't be; at the mapping itself when the key is absent.
    pub fn add_finding(&self, key: &str, message: impl Into<String>) {
        let line = self.find(key).map_or(self.line, |entry| entry.line);
        self.document.note(line, &self.path_of(key), message.into());
    }

    fn list(&self, key: &'static str) -> &'d [Entry] {
        let Some(entry) = self.entry(key) else {
            return &[];
        };
        match &entry.node {
            Node::List(list) => list,
            other => {
                self.wrong_kind::<()>(key, entry, "a list", other);
                &[]
            }
        }
    }

    fn into_open(mut self) -> Self {
        self.open = true;
        self
    }

    fn entry(&self, key: &'static str) -> Option<&'d Entry> {
        self.asked.borrow_mut().insert(key);
        self.find(key)
    }

    fn find(&self, key: &str) -> Option<&'d Entry> {
        let (_, entry) = self.entries.iter().find(|(name, _)| name == key)?;
        Some(entry)
    }

    fn path_of(&self, key: &str) -> String {
        if self.path.is_empty() {
            return key.to_owned();
        }
        format!("{}.{key}", self.path)
    }

    fn wrong_kind<T>(&self, key: &str, entry: &Entry, wanted: &str, found: &Node) -> Option<T> {
        let message = format!("expected {wanted}, found {}", found.kind());
        self.document.note(entry.line, &self.path_of(key), message);
        None
    }

    fn note_missing(&self, key: &str) {
        self.document.note(
            self.line,
            &self.path_of(key),
            "is required but absent".to_owned(),
        );
    }
}

impl Drop for MapReader<'_> {
    fn drop(&mut self) {
        if self.open {
            return;
        }
        let asked = self.asked.borrow();
        for (name, entry) in self.entries {
            if asked.contains(name.as_str()) {
                continue;
            }
            let mut known: Vec<&str> = asked.iter().copied().collect();
            known.sort_unstable();
            let message = format!("unknown key; known here: {}", known.join(", "));
            self.document.note(entry.line, &self.path_of(name), message);
        }
    }
}
