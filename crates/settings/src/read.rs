//! Parses and checks the settings. Every finding is reported with its line and key.

use std::net::SocketAddr;

use figway_document::{
    Document,
    MapReader, //
};
use figway_types::Findings;

use crate::{
    CallSettings,
    ClaimSettings,
    LinkSettings,
    LogSettings,
    NodeSettings,
    OutputSettings,
    PlatformSettings,
    PriceSettings, //
};

const DAY_MS: u64 = 24 * 3_600 * 1_000;
const MEBIBYTE: u64 = 1_024 * 1_024;

/// Allowed values of the memory that a node may take, in megabytes.
pub const MEMORY_RANGE_MB: std::ops::RangeInclusive<u64> = 32..=1_000_000;

/// Largest price of a kilobyte, as a fraction of one call's worth.
const PRICE_MAX: f64 = 100.0;

/// Parses the settings in `text`. Findings name `source` as their origin.
///
/// # Errors
///
/// All findings about the settings, ordered by line.
pub fn parse_settings(source: &str, text: &str) -> Result<NodeSettings, Findings> {
    let document = Document::parse(source, text)?;
    let root = document.root();
    let listen = root.map("listen");
    let log = read_log(&root.map("log"));
    let settings = NodeSettings {
        cluster: required_name(&root, "cluster"),
        node: required_name(&root, "node"),
        region: required_name(&root, "region"),
        zone: required_name(&root, "zone"),
        control_address: required_address(&listen, "control"),
        call_address: required_address(&listen, "call"),
        advertised_control_address: optional_address(&root.map("advertise"), "control")
            .map(|address| address.to_string()),
        peers: read_peers(&root),
        links: read_links(&root.map("links")),
        claims: read_claims(&root.map("claims"), log.retention_ms),
        calls: read_calls(&root.map("calls")),
        prices: read_prices(&root.map("prices")),
        output: read_output(&root.map("output")),
        metrics_address: optional_address(&root.map("metrics"), "address"),
        platform: read_platform(&root),
        log,
    };
    drop(listen);
    drop(root);
    document.finish(settings)
}

fn required_name(reader: &MapReader<'_>, key: &'static str) -> String {
    let name = reader.required_text(key);
    let allowed = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_' || c == '.';
    if !name.is_empty() && !name.chars().all(allowed) {
        reader.add_finding(key, "expected letters, digits, '-', '_' and '.' only");
    }
    name.to_owned()
}

fn required_address(reader: &MapReader<'_>, key: &'static str) -> SocketAddr {
    let text = reader.required_text(key);
    let unset = SocketAddr::from(([0, 0, 0, 0], 0));
    if text.is_empty() {
        return unset;
    }
    parse_address(reader, key, text).unwrap_or(unset)
}

fn optional_address(reader: &MapReader<'_>, key: &'static str) -> Option<SocketAddr> {
    parse_address(reader, key, reader.text(key)?)
}

fn parse_address(reader: &MapReader<'_>, key: &str, text: &str) -> Option<SocketAddr> {
    match text.parse::<SocketAddr>() {
        Ok(address) => Some(address),
        Err(_) => {
            reader.add_finding(key, format!("expected IP:PORT, found {text}"));
            None
        }
    }
}

fn read_peers(root: &MapReader<'_>) -> Vec<String> {
    let mut peers = Vec::new();
    for peer in root.text_list("peers") {
        if parse_address(root, "peers", peer).is_some() {
            peers.push(peer.to_owned());
        }
    }
    peers
}

fn read_log(reader: &MapReader<'_>) -> LogSettings {
    let url = reader.required_text("url");
    if !url.is_empty() && !url.starts_with("http://") {
        reader.add_finding("url", "expected http://IP:PORT");
    }
    LogSettings {
        region: required_name(reader, "region"),
        url: url.trim_end_matches('/').to_owned(),
        retention_ms: reader
            .integer("retention_ms", 1_000..=365 * DAY_MS)
            .unwrap_or(DAY_MS),
    }
}

fn read_links(reader: &MapReader<'_>) -> LinkSettings {
    let count = |key, default| {
        reader
            .integer(key, 0..=32)
            .map_or(default, |count| count as usize)
    };
    LinkSettings {
        zone_count: count("zone_count", 3),
        region_count: count("region_count", 2),
        other_region_count: count("other_region_count", 1),
        ping_period_ms: reader
            .integer("ping_period_ms", 50..=10_000)
            .unwrap_or(1_000),
    }
}

fn read_platform(root: &MapReader<'_>) -> Option<PlatformSettings> {
    if !root.contains_key("platform") {
        return None;
    }
    let reader = root.map("platform");
    let seeds = reader.text_list("seeds");
    Some(PlatformSettings {
        caller_address: required_address(&reader, "callers"),
        ready_address: required_address(&reader, "ready"),
        announce_address: required_address(&reader, "announcements"),
        store_address: required_address(&reader, "store"),
        service: reader.required_text("service").to_owned(),
        target_address: required_address(&reader, "target").to_string(),
        announce_every: reader.required_text("announce_every").to_owned(),
        keep: reader.required_text("keep").to_owned(),
        seeds: seeds.iter().map(|seed| (*seed).to_owned()).collect(),
        grace: reader.text("grace").map(str::to_owned),
        first_start: reader.boolean("first_start").unwrap_or(false),
        link_mbps: reader
            .number("link_mbps", 0.0..=1e6)
            .map_or(0, |mbps| mbps as u32),
        retry_ratio: reader.number("retry_ratio", 0.0..=10.0),
        retry_burst_count: reader.number("retry_burst_count", 0.0..=1e6),
        quota_window: reader.text("quota_window").map(str::to_owned),
        quota_overrun: reader.number("quota_overrun", 0.0..=10.0),
        quota_slack: reader.number("quota_slack", 0.0..=1e6),
        expose_share: reader.number("expose_share", 0.0..=1.0),
        expose_slack_count: reader
            .number("expose_slack", 0.0..=1e6)
            .map(|count| count as u64),
        rollback: reader.text("rollback").map(str::to_owned),
    })
}

fn read_claims(reader: &MapReader<'_>, retention_ms: u64) -> ClaimSettings {
    let remember_ms = reader
        .integer("remember_ms", 1_000..=DAY_MS)
        .unwrap_or(600_000.min(retention_ms));
    if remember_ms > retention_ms {
        reader.add_finding("remember_ms", "can't be longer than log.retention_ms");
    }
    ClaimSettings {
        partition_count: reader
            .integer("partition_count", 1..=64)
            .map_or(4, |count| count as u32),
        remember_ms,
    }
}

fn read_calls(reader: &MapReader<'_>) -> CallSettings {
    CallSettings {
        body_max_bytes: reader
            .integer("body_max_bytes", 1_024..=256 * MEBIBYTE)
            .unwrap_or(MEBIBYTE) as usize,
        memory_max_mb: reader
            .integer("memory_max_mb", MEMORY_RANGE_MB)
            .map(|mb| mb as usize),
        connection_max_count: reader
            .integer("connection_max_count", 1..=100_000)
            .unwrap_or(4_096) as usize,
    }
}

fn read_prices(reader: &MapReader<'_>) -> PriceSettings {
    PriceSettings {
        region_per_kb: reader.number("region_per_kb", 0.0..=PRICE_MAX),
        far_per_kb: reader.number("far_per_kb", 0.0..=PRICE_MAX),
    }
}

fn read_output(reader: &MapReader<'_>) -> OutputSettings {
    let levels = ["info", "off", "error", "warn", "debug", "trace"];
    OutputSettings {
        level: reader.choice("level", &levels).to_owned(),
    }
}
