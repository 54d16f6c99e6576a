//! `figway explain`: shows what happened to one request, from the collected logs of the nodes.

use std::path::Path;
use std::process::ExitCode;

use anyhow::Context as _;
use serde_json::Value;

use crate::cmd::explain_node::ask_node;
use crate::cmd::{
    Run,
    EXIT_REFUSED, //
};
use crate::flags::Explain;

/// Keys that are omitted from the printed fields. Some of them are printed before the fields.
const OMITTED_KEYS: [&str; 5] = ["at_ms", "level", "from", "event", "request"];

/// How long before the request's first line and after its last line events of the node itself are
/// shown, in milliseconds.
const CONTEXT_MS: u64 = 1_000;

/// Events that affect a node as a whole, and so may explain what happened to a request there.
const CONTEXT_EVENTS: [&str; 19] = [
    "node started",
    "node stopped",
    "stop requested by SIGTERM",
    "drain started",
    "drain ended",
    "settings taken over",
    "routes in force",
    "limit coordinator changed",
    "customer above its limit",
    "customer within its limit",
    "keys held by several customers",
    "customer skipped",
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
        if let Some(host) = &self.host {
            return ask_node(self, host).await;
        }
        let mut lines = Vec::new();
        for path in &self.logs {
            read_log(path, &mut lines)?;
        }
        lines.sort_by_key(|line| line.at_ms);
        let request_lines: Vec<&Line> = lines
            .iter()
            .filter(|line| is_about(line, &self.request))
            .collect();
        let (Some(first), Some(last)) = (request_lines.first(), request_lines.last()) else {
            eprintln!(
                "no line of {} files names request {}; lines of served calls are sampled",
                self.logs.len(),
                self.request
            );
            return Ok(ExitCode::from(EXIT_REFUSED));
        };
        let context_start_ms = first.at_ms.saturating_sub(CONTEXT_MS);
        let context_end_ms = last.at_ms + CONTEXT_MS;
        println!("request {}:", self.request);
        for line in &lines {
            let event = line.value["event"].as_str().unwrap_or("");
            let is_context = CONTEXT_EVENTS.contains(&event)
                && line.at_ms >= context_start_ms
                && line.at_ms <= context_end_ms
                && request_lines
                    .iter()
                    .any(|request_line| request_line.node == line.node);
            if is_about(line, &self.request) {
                println!("  {}", format_line(line, &self.request));
            } else if is_context {
                println!("    ({})", format_line(line, &self.request));
            }
        }
        Ok(ExitCode::SUCCESS)
    }
}

/// Returns whether the line is about `request` or about a call that a target made to serve it and whose
/// id is the id of the request, a dot and a suffix. Nested calls with other ids can't be told.
fn is_about(line: &Line, request: &str) -> bool {
    let Some(line_request) = line.value["request"].as_str() else {
        return false;
    };
    line_request == request
        || line_request
            .strip_prefix(request)
            .is_some_and(|rest| rest.starts_with('.'))
}

fn read_log(path: &Path, lines: &mut Vec<Line>) -> anyhow::Result<()> {
    let text = std::fs::read_to_string(path)
        .with_context(|| format!("could not read {}", path.display()))?;
    let node_name = path
        .file_stem()
        .map_or_else(String::new, |stem| stem.to_string_lossy().into_owned());
    for text in text.lines() {
        // A log collector may prefix each line with a time and the node's name.
        let Some(start) = text.find('{') else {
            continue;
        };
        let Ok(value) = serde_json::from_str::<Value>(&text[start..]) else {
            continue;
        };
        let collected_name = text[..start].split_whitespace().last();
        lines.push(Line {
            at_ms: value["at_ms"].as_u64().unwrap_or(0),
            node: collected_name.unwrap_or(&node_name).to_owned(),
            value,
        });
    }
    Ok(())
}

/// Returns the line as text. It names its request if that is another than `shown`.
fn format_line(line: &Line, shown: &str) -> String {
    let event = line.value["event"].as_str().unwrap_or("?");
    let mut text = format!("{} {} {event}", line.at_ms, line.node);
    if let Some(request) = line.value["request"].as_str() {
        if request != shown {
            text.push_str(&format!(" request={request}"));
        }
    }
    let Some(fields) = line.value.as_object() else {
        return text;
    };
    for (key, value) in fields {
        if OMITTED_KEYS.contains(&key.as_str()) || value == "" {
            continue;
        }
        match value.as_str() {
            Some(value) => text.push_str(&format!(" {key}={value}")),
            None => text.push_str(&format!(" {key}={value}")),
        }
    }
    text
}
