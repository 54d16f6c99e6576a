//! Typed access to the values of one mapping.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::ops::RangeInclusive;

use figway_types::FastSet;

use crate::value::{
    LocatedValue,
    YamlValue, //
};
use crate::Document;

/// Returns typed values of one mapping. A value of the wrong type or out of range is recorded as a
/// finding. When the reader is dropped, each key that was never read is recorded as a finding too.
#[derive(Debug)]
pub struct MapReader<'d> {
    document: &'d Document,
    path: String,
    line: u64,
    pairs: &'d [(String, LocatedValue)],
    read_keys: RefCell<FastSet<&'static str>>,
    accepts_unknown_keys: bool,
}

impl<'d> MapReader<'d> {
    pub(crate) fn new(document: &'d Document, path: String, located: &'d LocatedValue) -> Self {
        let pairs: &'d [(String, LocatedValue)] = match &located.value {
            YamlValue::Map(pairs) => pairs,
            YamlValue::Null => &[],
            other => {
                document.add_finding(
                    located.line,
                    &path,
                    format!("expected a mapping, found {}", other.type_name()),
                );
                &[]
            }
        };
        Self {
            document,
            path,
            line: located.line,
            pairs,
            read_keys: RefCell::default(),
            accepts_unknown_keys: false,
        }
    }

    /// Returns the text at `key`, or `None` if the key is absent or of another type.
    pub fn text(&self, key: &'static str) -> Option<&'d str> {
        let located = self.read(key)?;
        match &located.value {
            YamlValue::Text(text) => Some(text),
            other => self.add_type_finding(key, located, "text", other),
        }
    }

    /// Returns the text at `key`, or an empty text if it is absent or of another type. Both are
    /// recorded as findings.
    pub fn required_text(&self, key: &'static str) -> &'d str {
        if self.read(key).is_none() {
            self.add_missing_finding(key);
            return "";
        }
        self.text(key).unwrap_or("")
    }

    /// Returns the value in `allowed` that equals the text at `key`, or the first one if the key is
    /// absent or its value is not allowed.
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

    /// Returns the boolean at `key`, or `None` if the key is absent or of another type.
    pub fn boolean(&self, key: &'static str) -> Option<bool> {
        let located = self.read(key)?;
        match &located.value {
            YamlValue::Boolean(boolean) => Some(*boolean),
            other => self.add_type_finding(key, located, "true or false", other),
        }
    }

    /// Returns the number at `key`, or `None` if it is absent, of another type or out of `range`.
    pub fn number(&self, key: &'static str, range: RangeInclusive<f64>) -> Option<f64> {
        let located = self.read(key)?;
        let number = match &located.value {
            YamlValue::Number(number) => *number,
            other => return self.add_type_finding(key, located, "a number", other),
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

    /// Returns the integer at `key`, or `None` if it is absent, not an integer or out of `range`.
    pub fn integer(&self, key: &'static str, range: RangeInclusive<u64>) -> Option<u64> {
        let number = self.number(key, *range.start() as f64..=*range.end() as f64)?;
        if number.fract() == 0.0 {
            return Some(number as u64);
        }
        self.add_finding(key, format!("expected a whole number, found {number}"));
        None
    }

    /// Returns the texts of the list at `key`, or an empty list if the key is absent.
    pub fn text_list(&self, key: &'static str) -> Vec<&'d str> {
        let mut texts = Vec::new();
        for (index, located) in self.list(key).iter().enumerate() {
            match &located.value {
                YamlValue::Text(text) => texts.push(text.as_str()),
                other => {
                    let path = format!("{}[{index}]", self.path_to(key));
                    let message = format!("expected text, found {}", other.type_name());
                    self.document.add_finding(located.line, &path, message);
                }
            }
        }
        texts
    }

    /// Returns whether the mapping contains `key`.
    pub fn contains_key(&self, key: &'static str) -> bool {
        self.read(key).is_some()
    }

    /// Returns a reader of the mapping at `key`, or of an empty mapping if the key is absent.
    pub fn map(&self, key: &'static str) -> MapReader<'d> {
        match self.read(key) {
            Some(located) => MapReader::new(self.document, self.path_to(key), located),
            None => MapReader {
                document: self.document,
                path: self.path_to(key),
                line: self.line,
                pairs: &[],
                read_keys: RefCell::default(),
                accepts_unknown_keys: false,
            },
        }
    }

    /// Returns a reader for each mapping in the list at `key`.
    pub fn map_list(&self, key: &'static str) -> Vec<MapReader<'d>> {
        let mut readers = Vec::new();
        for (index, located) in self.list(key).iter().enumerate() {
            let path = format!("{}[{index}]", self.path_to(key));
            readers.push(MapReader::new(self.document, path, located));
        }
        readers
    }

    /// Returns a reader for each mapping inside the mapping at `key`, with its own key as name. Any
    /// name is accepted.
    pub fn maps_by_name(&self, key: &'static str) -> Vec<(&'d str, MapReader<'d>)> {
        let outer = self.map(key).accepting_unknown_keys();
        let mut readers = Vec::new();
        for (name, located) in outer.pairs {
            let path = format!("{}.{name}", outer.path);
            readers.push((name.as_str(), MapReader::new(self.document, path, located)));
        }
        readers
    }

    /// Returns the texts inside the mapping at `key` by their own keys. Any name is accepted.
    /// Numbers are converted to text.
    pub fn texts_by_name(&self, key: &'static str) -> BTreeMap<String, String> {
        let outer = self.map(key).accepting_unknown_keys();
        let mut texts = BTreeMap::new();
        for (name, located) in outer.pairs {
            let text = match &located.value {
                YamlValue::Text(text) => text.clone(),
                YamlValue::Number(number) => number.to_string(),
                other => {
                    let path = format!("{}.{name}", outer.path);
                    let message = format!("expected text, found {}", other.type_name());
                    self.document.add_finding(located.line, &path, message);
                    continue;
                }
            };
            texts.insert(name.clone(), text);
        }
        texts
    }

    /// Records a finding about the value at `key`, at the line of the mapping if the key is absent.
    pub fn add_finding(&self, key: &str, message: impl Into<String>) {
        let line = self.find(key).map_or(self.line, |located| located.line);
        self.document
            .add_finding(line, &self.path_to(key), message.into());
    }

    fn list(&self, key: &'static str) -> &'d [LocatedValue] {
        let Some(located) = self.read(key) else {
            return &[];
        };
        match &located.value {
            YamlValue::List(list) => list,
            other => {
                self.add_type_finding::<()>(key, located, "a list", other);
                &[]
            }
        }
    }

    fn accepting_unknown_keys(mut self) -> Self {
        self.accepts_unknown_keys = true;
        self
    }

    fn read(&self, key: &'static str) -> Option<&'d LocatedValue> {
        self.read_keys.borrow_mut().insert(key);
        self.find(key)
    }

    fn find(&self, key: &str) -> Option<&'d LocatedValue> {
        let (_, located) = self.pairs.iter().find(|(name, _)| name == key)?;
        Some(located)
    }

    fn path_to(&self, key: &str) -> String {
        if self.path.is_empty() {
            return key.to_owned();
        }
        format!("{}.{key}", self.path)
    }

    fn add_type_finding<T>(
        &self,
        key: &str,
        located: &LocatedValue,
        wanted: &str,
        found: &YamlValue,
    ) -> Option<T> {
        let message = format!("expected {wanted}, found {}", found.type_name());
        self.document
            .add_finding(located.line, &self.path_to(key), message);
        None
    }

    fn add_missing_finding(&self, key: &str) {
        self.document.add_finding(
            self.line,
            &self.path_to(key),
            "is required but absent".to_owned(),
        );
    }
}

impl Drop for MapReader<'_> {
    fn drop(&mut self) {
        if self.accepts_unknown_keys {
            return;
        }
        let read_keys = self.read_keys.borrow();
        for (name, located) in self.pairs {
            if read_keys.contains(name.as_str()) {
                continue;
            }
            let mut known: Vec<&str> = read_keys.iter().copied().collect();
            known.sort_unstable();
            let message = format!("unknown key; known here: {}", known.join(", "));
            self.document
                .add_finding(located.line, &self.path_to(name), message);
        }
    }
}
