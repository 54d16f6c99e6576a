//! Writes log records as JSON lines, at the level that the settings set. Records of crates outside
//! this workspace are written only if they are also warnings or errors.
//!
//! A message consists of an event and fields, such as `call ended request=9c41 outcome=answered`.
//! Each field becomes a key of the JSON object.

use std::str::FromStr as _;
use std::sync::OnceLock;
use std::time::{
    Duration,
    Instant,
    SystemTime, //
};

use anyhow::Context as _;
use figway_settings::OutputSettings;
use log::LevelFilter;
use serde_json::{
    Map,
    Value, //
};

use crate::line_queue::LineQueue;

/// Longest wait for the last lines to be written when the process exits.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(250);

static QUEUE: OnceLock<LineQueue> = OnceLock::new();

/// Installs the logger, which writes lines to the standard output from a thread of its own.
pub(crate) fn start(settings: &OutputSettings) -> anyhow::Result<()> {
    let level = LevelFilter::from_str(&settings.level).context("could not read the log level")?;
    let queue = LineQueue::start().context("could not start the log writer thread")?;
    let queue = QUEUE.get_or_init(|| queue).clone();
    let mut dispatch = fern::Dispatch::new().level(level.min(LevelFilter::Warn));
    for crate_name in [
        "figway",
        "figway_control",
        "figway_dataplane",
        "figway_http",
        "figway_log_client",
        "figway_platform",
        "figway_profile",
    ] {
        dispatch = dispatch.level_for(crate_name, level);
    }
    dispatch
        .chain(fern::Output::call(move |record| {
            queue.push(&json_line(record).to_string());
        }))
        .apply()
        .context("could not start logging")
}

/// Waits until all queued lines are written, for at most `FLUSH_TIMEOUT`.
pub(crate) fn flush() {
    if let Some(queue) = QUEUE.get() {
        queue.flush(Instant::now() + FLUSH_TIMEOUT);
    }
}

fn json_line(record: &log::Record<'_>) -> Value {
    let since_epoch = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    let mut line = Map::new();
    line.insert("at_ms".to_owned(), (since_epoch.as_millis() as u64).into());
    line.insert("level".to_owned(), record.level().as_str().into());
    line.insert("from".to_owned(), record.target().into());
    let message = record.args().to_string();
    let (event, fields) = split_fields(&message);
    line.insert("event".to_owned(), event.into());
    for (name, value) in fields {
        let value = match name {
            // Ids stay text even if they consist of digits only.
            "request" | "instance" => value.into(),
            _ => field_value(value),
        };
        line.insert(name.to_owned(), value);
    }
    Value::Object(line)
}

fn field_value(text: &str) -> Value {
    match text.parse::<i64>() {
        Ok(number) if number.to_string() == text => number.into(),
        _ => text.into(),
    }
}

/// Splits a message into its event and its fields. A field starts with `name=` after a space, and
/// its value extends to the next field.
pub(crate) fn split_fields(message: &str) -> (&str, Vec<(&str, &str)>) {
    let mut starts = Vec::new();
    for (index, _) in message.match_indices(' ') {
        let rest = &message[index + 1..];
        let name_len = rest
            .find(|c: char| !c.is_ascii_lowercase() && !c.is_ascii_digit() && c != '_')
            .unwrap_or(rest.len());
        if name_len > 0 && rest[name_len..].starts_with('=') {
            starts.push((index, name_len));
        }
    }
    let event_end = starts.first().map_or(message.len(), |(index, _)| *index);
    let mut fields = Vec::new();
    for (field_index, (index, name_len)) in starts.iter().enumerate() {
        let end = starts
            .get(field_index + 1)
            .map_or(message.len(), |(next, _)| *next);
        let name_start = index + 1;
        let value_start = name_start + name_len + 1;
        fields.push((
            &message[name_start..name_start + name_len],
            &message[value_start..end],
        ));
    }
    (&message[..event_end], fields)
}
