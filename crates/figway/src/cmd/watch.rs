//! `figway watch`: prints each change and its verdict.

use std::process::ExitCode;
use std::time::{
    Duration,
    Instant, //
};

use anyhow::Context as _;
use figway_control::read_fold;
use figway_log_client::{
    HttpLog,
    LogService,
    CHANGE_STREAM, //
};
use figway_profile::{
    Change,
    ChangeRecord,
    Verdict, //
};
use figway_types::LogRecord;
use serde_json::json;

use crate::cmd::Run;
use crate::flags::Watch;
use crate::node_client::flag_or_env;

/// Longest wait for a change in one read.
const READ_WAIT: Duration = Duration::from_secs(10);

/// Pause after a failed read.
const RETRY_DELAY: Duration = Duration::from_secs(1);

impl Run for Watch {
    async fn run(&self) -> anyhow::Result<ExitCode> {
        let url = flag_or_env(self.log.as_deref(), "FIGWAY_LOG")
            .context("no log URL given; pass --log URL or set FIGWAY_LOG")?;
        let log = HttpLog::new(url.trim_end_matches('/')).await?;
        let mut fold = read_fold(&log)
            .await
            .with_context(|| format!("could not read {url}"))?;
        eprintln!("watching from offset {}", fold.as_of_offset());
        loop {
            let from_offset = fold.as_of_offset().next();
            let wait_until = Instant::now() + READ_WAIT;
            match log.read(CHANGE_STREAM, from_offset, wait_until).await {
                Ok(page) => {
                    for record in &page.records {
                        if let Some(verdict) = fold.apply(record) {
                            print_change(record, &verdict, self.json);
                        }
                    }
                }
                Err(error) => {
                    eprintln!("{error}");
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
        }
    }
}

fn print_change(record: &LogRecord, verdict: &Verdict, json: bool) {
    let (author, description) = match serde_json::from_str::<ChangeRecord>(&record.body) {
        Ok(change) => (change.author, describe(&change.change)),
        Err(_) => (String::new(), "unreadable".to_owned()),
    };
    if json {
        let line = json!({
            "offset": record.offset,
            "author": author,
            "change": description,
            "verdict": verdict,
        });
        println!("{line}");
        return;
    }
    println!("{} {author}: {description}: {verdict:?}", record.offset);
}

fn describe(change: &Change) -> String {
    match change {
        Change::Publish { profile, .. } => format!("publish {profile}"),
        Change::Switch {
            service, profile, ..
        } => format!("switch {service} to {profile}"),
        Change::Snapshot { state } => format!("snapshot as of {}", state.as_of_offset),
    }
}
