//! Headers of a request or an answer.

use std::fmt::{
    Debug,
    Display,
    Formatter,
    Write as _, //
};

use hyper::body::Bytes;

/// Headers that apply to one connection and are never forwarded.
const HOP_BY_HOP_NAMES: [&str; 9] = [
    "connection",
    "content-length",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Room for text that is allocated with the first header, in bytes.
const FIRST_TEXT_BYTES: usize = 768;

/// Room for headers that is allocated with the first header.
const FIRST_COUNT: usize = 24;

/// Headers in the order in which they were added, with names in lower case.
///
/// All names and values lie in one text, so that headers are built and copied with two allocations.
/// The text of a removed header stays until the headers are copied one by one.
#[derive(Clone, Default)]
pub struct Headers {
    text: String,
    fields: Vec<Field>,
    /// Names of received headers that were dropped, since their values are not ASCII text.
    dropped_names: Vec<String>,
}

/// Places of a header's name and value in the text.
#[derive(Clone, Copy)]
struct Field {
    name: Span,
    value: Span,
}

/// Part of the text.
#[derive(Clone, Copy)]
struct Span {
    start: usize,
    end: usize,
}

impl Span {
    fn of(self, text: &str) -> &str {
        &text[self.start..self.end]
    }
}

impl Headers {
    /// Returns the first value of the header `name`, which must be in lower case.
    pub fn get(&self, name: &str) -> Option<&str> {
        for field in &self.fields {
            if field.name.of(&self.text) == name {
                return Some(field.value.of(&self.text));
            }
        }
        None
    }

    /// Appends a header. `name` must be in lower case.
    pub fn push(&mut self, name: &str, value: impl AsRef<str>) {
        let name = self.push_text(name);
        let value = self.push_text(value.as_ref());
        self.fields.push(Field { name, value });
    }

    /// Appends a header whose value is formatted as text. `name` must be in lower case.
    pub fn push_display(&mut self, name: &str, value: impl Display) {
        let name = self.push_text(name);
        let start = self.text.len();
        write!(self.text, "{value}").expect("writing to a String can't fail");
        let end = self.text.len();
        let value = Span { start, end };
        self.fields.push(Field { name, value });
    }

    fn push_text(&mut self, part: &str) -> Span {
        if self.text.capacity() == 0 {
            self.reserve(FIRST_COUNT, FIRST_TEXT_BYTES);
        }
        let start = self.text.len();
        self.text.push_str(part);
        let end = self.text.len();
        Span { start, end }
    }

    /// Makes room for further headers, so that they are added without more allocations.
    pub fn reserve(&mut self, count: usize, text_bytes: usize) {
        self.fields.reserve(count);
        self.text.reserve(text_bytes);
    }

    /// Records that a header was received whose value is not ASCII text, and which is dropped.
    pub(crate) fn record_dropped(&mut self, name: &str) {
        self.dropped_names.push(name.to_owned());
    }

    /// Returns whether a header `name` was received and dropped, since its value is not ASCII text.
    pub fn has_dropped(&self, name: &str) -> bool {
        self.dropped_names.iter().any(|dropped| dropped == name)
    }

    /// Keeps only the headers for whose name `keep` returns true.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        let text = &self.text;
        self.fields.retain(|field| keep(field.name.of(text)));
    }

    /// Returns the number of headers.
    pub fn len(&self) -> usize {
        self.fields.len()
    }

    /// Returns whether there are no headers.
    pub fn is_empty(&self) -> bool {
        self.fields.is_empty()
    }

    /// Removes the headers from the position `at` on and returns them.
    pub fn split_off(&mut self, at: usize) -> Headers {
        let mut rest = Headers::default();
        for field in &self.fields[at..] {
            rest.push(field.name.of(&self.text), field.value.of(&self.text));
        }
        self.fields.truncate(at);
        rest
    }

    /// Renames each header for whose name `rename` returns a new one, which must be in lower case.
    pub fn rename(&mut self, rename: impl Fn(&str) -> Option<String>) {
        for index in 0..self.fields.len() {
            if let Some(new_name) = rename(self.fields[index].name.of(&self.text)) {
                self.fields[index].name = self.push_text(&new_name);
            }
        }
    }

    /// Returns an iterator over names and values, in order.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        self.fields
            .iter()
            .map(|field| (field.name.of(&self.text), field.value.of(&self.text)))
    }

    /// Returns an iterator over names and values, in order. The values share one copy of the text.
    pub(crate) fn iter_shared(&self) -> impl Iterator<Item = (&str, Bytes)> {
        let text = Bytes::copy_from_slice(self.text.as_bytes());
        self.fields.iter().map(move |field| {
            let value = text.slice(field.value.start..field.value.end);
            (field.name.of(&self.text), value)
        })
    }

    /// Returns whether the header `name` applies to one connection only: it is one of a fixed list
    /// of hop-by-hop headers or named in the `Connection` header.
    pub fn is_hop_by_hop(&self, name: &str) -> bool {
        is_hop_by_hop(name, self.get("connection"))
    }

    /// Keeps only the headers to forward to the next hop.
    pub fn retain_end_to_end(&mut self) {
        let text = &self.text;
        let connection = self
            .fields
            .iter()
            .find(|field| field.name.of(text) == "connection")
            .map(|field| field.value.of(text));
        self.fields
            .retain(|field| !is_hop_by_hop(field.name.of(text), connection));
    }

    /// Returns the headers to forward to the next hop.
    pub fn end_to_end(&self) -> Headers {
        let mut kept = self.clone();
        kept.retain_end_to_end();
        kept
    }
}

/// Returns whether the header `name` applies to one connection only. `connection` is the value of the
/// `Connection` header, if there is one.
fn is_hop_by_hop(name: &str, connection: Option<&str>) -> bool {
    if HOP_BY_HOP_NAMES.contains(&name) {
        return true;
    }
    let Some(listed) = connection else {
        return false;
    };
    listed
        .split(',')
        .any(|other| other.trim().eq_ignore_ascii_case(name))
}

impl PartialEq for Headers {
    fn eq(&self, other: &Self) -> bool {
        self.iter().eq(other.iter())
    }
}

impl Eq for Headers {}

impl Debug for Headers {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        f.debug_list().entries(self.iter()).finish()
    }
}
