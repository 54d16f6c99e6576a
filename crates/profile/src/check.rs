//! Parsing and validation of profiles; every finding is reported with its line and key.

use std::collections::BTreeMap;

use figway_document::{
    Document,
    MapReader, //
};
use figway_types::Findings;

use crate::body::{
    Draining,
    Limits,
    Profile,
    RequestKind,
    Subset, //
};

const DEFAULT_BUDGET_MS: u64 = 1_000;
const MAX_BUDGET_MS: u64 = 600_000;
const MAX_GRACE_MS: u64 = 600_000;
const DEFAULT_KEY_HEADER: &str = "Idempotency-Key";
const METHODS: [&str; 7] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"];

/// Parses the profile in `text`; findings refer to it as `source`.
///
/// # Errors
///
/// Returns all findings if the profile is invalid.
pub fn parse_profile(source: &str, text: &str) -> Result<Profile, Findings> {
    let document = Document::parse(source, text)?;
    let root = document.root();
    let subsets = read_subsets(&root);
    let profile = Profile {
        kinds: read_kinds(&root, &subsets),
        subsets,
        draining: read_draining(&root.map("draining")),
        limits: read_limits(&root.map("limits")),
    };
    if profile.kinds.is_empty() {
        root.add_finding("kinds", "a profile needs at least one request kind");
    }
    drop(root);
    document.finish(profile)
}

fn read_subsets(root: &MapReader<'_>) -> BTreeMap<String, Subset> {
    let mut subsets = BTreeMap::new();
    for (name, reader) in root.maps_by_name("subsets") {
        let labels = reader.texts_by_name("labels");
        if name != "all" && labels.is_empty() {
            reader.add_finding("labels", "a subset needs at least one label");
        }
        subsets.insert(name.to_owned(), Subset { labels });
    }
    subsets.entry("all".to_owned()).or_default();
    subsets
}

fn read_kinds(root: &MapReader<'_>, subsets: &BTreeMap<String, Subset>) -> Vec<RequestKind> {
    let mut kinds: Vec<RequestKind> = Vec::new();
    for reader in root.map_list("kinds") {
        let kind = read_kind(&reader, subsets);
        if kinds.iter().any(|earlier| earlier.name == kind.name) {
            reader.add_finding("name", format!("kind {} is named twice", kind.name));
        }
        kinds.push(kind);
    }
    kinds
}

fn read_kind(reader: &MapReader<'_>, subsets: &BTreeMap<String, Subset>) -> RequestKind {
    let subset = reader.text("subset").unwrap_or("all");
    if !subsets.contains_key(subset) {
        let known: Vec<&str> = subsets.keys().map(String::as_str).collect();
        let message = format!("no subset {subset}; known here: {}", known.join(", "));
        reader.add_finding("subset", message);
    }
    let path_prefix = reader.required_text("path_prefix");
    if !path_prefix.starts_with('/') {
        reader.add_finding("path_prefix", "a path starts with /");
    }
    let method = reader.text("method");
    if method.is_some_and(|method| !METHODS.contains(&method)) {
        reader.add_finding("method", format!("expected one of {}", METHODS.join(", ")));
    }
    RequestKind {
        name: reader.required_text("name").to_owned(),
        method: method.map(str::to_owned),
        path_prefix: path_prefix.to_owned(),
        service: reader.text("service").map(str::to_owned),
        subset: subset.to_owned(),
        idempotent: reader.boolean("idempotent").unwrap_or(false),
        key_header: reader
            .text("key_header")
            .unwrap_or(DEFAULT_KEY_HEADER)
            .to_owned(),
        worth: reader.number("worth", 0.0..=1e9).unwrap_or(1.0),
        budget_ms: reader
            .integer("budget_ms", 1..=MAX_BUDGET_MS)
            .unwrap_or(DEFAULT_BUDGET_MS),
        long: reader.boolean("long").unwrap_or(false),
    }
}

fn read_draining(reader: &MapReader<'_>) -> Draining {
    let default = Draining::default();
    Draining {
        grace_ms: reader
            .integer("grace_ms", 0..=MAX_GRACE_MS)
            .unwrap_or(default.grace_ms),
    }
}

fn read_limits(reader: &MapReader<'_>) -> Limits {
    let default = Limits::default();
    Limits {
        queue_per_slot_ratio: reader
            .number("queue_per_slot_ratio", 0.0..=1_000.0)
            .unwrap_or(default.queue_per_slot_ratio),
        short_share_ratio: reader
            .number("short_share_ratio", 0.0..=0.9)
            .unwrap_or(default.short_share_ratio),
        retry_budget_ratio: reader
            .number("retry_budget_ratio", 0.0..=1.0)
            .unwrap_or(default.retry_budget_ratio),
        hedge_quantile_ratio: reader
            .number("hedge_quantile_ratio", 0.0..=0.9999)
            .unwrap_or(default.hedge_quantile_ratio),
        share_target_count: reader
            .integer("share_target_count", 0..=10_000)
            .map_or(default.share_target_count, |count| count as u32),
    }
}
