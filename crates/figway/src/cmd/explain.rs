//! `figway explain`: the story of one request out of the collected logs of all nodes.

use std::path::Path;
use std::process::ExitCode;

use anyhow::Context as _;
use serde_json::Value;

use crate::cmd::{
    Run,
    REFUSED, //
};
use crate::flags::Explain;

/// Keys that are written first or not at all.
const HEAD_KEYS: [&str; 5] = ["at_ms", "level", "from", "event", "request"];

/// Lines without a request are shown if they lie this close to the request's own, in milliseconds.
const AROUND_MS: u64 = 1_000;

/// Events that touch a node as a whole, and so may explain what happened to a request there.
const AROUND_EVENTS: [&str; 14] = [
    "node started",
    "node stopped",
    "stop requested by SIGTERM",
    "drain started",
    "drain ended",
    "settings taken over",
    "routes in force",
    "could not read the route table",
    "target announced",
    "target lost",
    "member suspected",
    "lost member found",
    "log lines dropped",
    "call lines passed over",
];

struct Line {
    at_ms: u64,
    node: String,
    value: Value,
}

impl Run for Explain {
    async fn run(&self) -> anyhow::Result<ExitCode> {
        let mut lines = Vec::new();
        for path in &self.logs {
            read_log(path, &mut lines)?;
        }
        lines.sort_by_key(|line| line.at_ms);
        let own: Vec<&Line> = lines
            .iter()
            .filter(|line| names(line, &self.request))
            .collect();
        let (Some(first), Some(last)) = (own.first(), own.last()) else {
            eprintln!(
                "no line of {} files names request {}; lines of calls that were served are sampled",
                self.logs.len(),
                self.request
            );
            return Ok(ExitCode::from(REFUSED));
        };
        let from_ms = first.at_ms.saturating_sub(AROUND_MS);
        let until_ms = last.at_ms + AROUND_MS;
        println!("request {}:", self.request);
        for line in &lines {
            let event = line.value["event"].as_str().unwrap_or("");
            let around = AROUND_EVENTS.contains(&event)
                && line.at_ms >= from_ms
                && line.at_ms <= until_ms
                && own.iter().any(|own| own.node == line.node);
            if names(line, &self.request) {
                println!("  {}", told(line));
            } else if around {
                println!("    ({})", told(line));
            }
        }
        Ok(ExitCode::SUCCESS)
    }
}

/// Returns whether the line is about the request or a call that a target made for it.
fn names(line: &Line, request: &str) -> bool {
    let Some(named) = line.value["request"].as_str() else {
        return false;
    };
    named == request
        || named
            .strip_prefix(request)
            .is_some_and(|rest| rest.starts_with('.'))
}

fn read_log(path: &Path, lines: &mut Vec<Line>) -> anyhow::Result<()> {
    let text = std::fs::read_to_string(path)
        .with_context(|| format!("could not read {}", path.display()))?;
    let node = path
        .file_stem()
        .map_or_else(String::new, |stem| stem.to_string_lossy().into_owned());
    for text in text.lines() {
        // Collectors may put a time and a name before the line.
        let Some(start) = text.find('{') else {
            continue;
        };
        let Ok(value) = serde_json::from_str::<Value>(&text[start..]) else {
            continue;
        };
        let collected = text[..start].split_whitespace().last();
        lines.push(Line {
            at_ms: value["at_ms"].as_u64().unwrap_or(0),
            node: collected.unwrap_or(&node).to_owned(),
            value,
        });
    }
    Ok(())
}

fn told(line: &Line) -> String {
    let event = line.value["event"].as_str().unwrap_or("?");
    let mut text = format!("{} {} {event}", line.at_ms, line.node);
    if let Some(request) = line.value["request"].as_str() {
        if request.contains('.') {
            text.push_str(&format!(" request={request}"));
        }
    }
    let Some(fields) = line.value.as_object() else {
        return text;
    };
    for (key, value) in fields {
        if HEAD_KEYS.contains(&key.as_str()) || value == "" {
            continue;
        }
        match value.as_str() {
            Some(value) => text.push_str(&format!(" {key}={value}")),
            None => text.push_str(&format!(" {key}={value}")),
        }
    }
    text
}
