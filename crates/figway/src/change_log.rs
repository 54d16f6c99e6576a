//! Appends changes to the log without duplicates, even if a response is lost.

use std::time::{
    Duration,
    Instant, //
};

use anyhow::{
    bail,
    Context as _, //
};
use figway_control::read_fold;
use figway_log_client::{
    AppendError,
    HttpLog,
    LogService,
    CHANGE_STREAM, //
};
use figway_profile::{
    Change,
    ChangeRecord,
    Fold,
    Verdict, //
};
use figway_types::{
    Backoff,
    ChangeId,
    LogRecord,
    Offset, //
};

use crate::node_client::flag_or_env;

/// Longest duration of one append attempt.
const APPEND_TIMEOUT: Duration = Duration::from_secs(3);

/// Time for which appending a change is attempted. After it, the command fails and reports whether
/// the change may have been written.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(15);

/// Client of the change stream, with the state folded from it.
pub(crate) struct ChangeLog {
    log: HttpLog,
    author: String,
    /// State folded from all records that were read so far.
    pub(crate) fold: Fold,
}

/// Offset and verdict of an appended change.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct AppendedChange {
    pub(crate) offset: Offset,
    pub(crate) verdict: Verdict,
}

impl ChangeLog {
    /// Opens the log at `url`, or at the URL in `FIGWAY_LOG` if absent, and folds the change stream
    /// up to its head. The author is taken from `USER` if absent.
    pub(crate) async fn open(url: Option<&str>, author: Option<&str>) -> anyhow::Result<Self> {
        let url = flag_or_env(url, "FIGWAY_LOG")
            .context("no log URL given; pass --log URL or set FIGWAY_LOG")?;
        let log = HttpLog::new(url.trim_end_matches('/')).await?;
        let fold = read_fold(&log).await.with_context(|| {
            format!("could not read {url}; nothing was changed, try again when the log is back")
        })?;
        Ok(Self {
            log,
            author: flag_or_env(author, "USER").unwrap_or_else(|| "unnamed".to_owned()),
            fold,
        })
    }

    /// Appends `change`, with retries for `CHANGE_TIMEOUT`, and returns its verdict, which is the
    /// same on every node.
    pub(crate) async fn append(&mut self, change: Change) -> anyhow::Result<AppendedChange> {
        let record = ChangeRecord {
            change_id: ChangeId(figway_types::entropy()),
            restores: None,
            author: self.author.clone(),
            change,
        };
        let body = record.to_body();
        let deadline = Instant::now() + CHANGE_TIMEOUT;
        let mut backoff = Backoff::new(100, 1_000, figway_types::entropy());
        let mut maybe_written = false;
        loop {
            let found = if maybe_written {
                // Appends again only after the log shows that the earlier attempt was not written.
                self.find_change(record.change_id).await
            } else {
                Ok(None)
            };
            let failure = match found {
                Ok(Some(change)) => return Ok(change),
                Ok(None) => match self.append_once(&record, &body).await? {
                    Ok(change) => return Ok(change),
                    Err(failure) => {
                        maybe_written |= matches!(failure, AppendError::Unknown(_));
                        failure.to_string()
                    }
                },
                Err(error) => format!("{error:#}"),
            };
            if Instant::now() >= deadline {
                let advice = if maybe_written {
                    "the change may still come into force, check `figway watch` before you \
                     try again"
                } else {
                    "nothing was changed, try again when the log is back"
                };
                bail!("{failure}; {advice}");
            }
            let next_attempt_at = backoff.next_attempt_at(Instant::now());
            tokio::time::sleep_until(next_attempt_at.into()).await;
        }
    }

    async fn append_once(
        &mut self,
        record: &ChangeRecord,
        body: &str,
    ) -> anyhow::Result<Result<AppendedChange, AppendError>> {
        let deadline = Instant::now() + APPEND_TIMEOUT;
        let appended = match self.log.append(CHANGE_STREAM, body, deadline).await {
            Ok(appended) => appended,
            Err(failure) => return Ok(Err(failure)),
        };
        let found = self.find_change(record.change_id).await?;
        let change = found.with_context(|| {
            format!(
                "could not find the change at offset {}; check `figway watch`",
                appended.offset
            )
        })?;
        Ok(Ok(change))
    }

    /// Folds further records until one of them is the change with `id` and returns its verdict, or
    /// returns `None` at the head of the stream.
    async fn find_change(&mut self, id: ChangeId) -> anyhow::Result<Option<AppendedChange>> {
        loop {
            let from_offset = self.fold.as_of_offset().next();
            let page = self
                .log
                .read(CHANGE_STREAM, from_offset, Instant::now())
                .await
                .context("could not read the verdict; check `figway status`")?;
            for record in &page.records {
                let Some(verdict) = self.fold.apply(record) else {
                    continue;
                };
                if has_change_id(record, id) {
                    return Ok(Some(AppendedChange {
                        offset: record.offset,
                        verdict,
                    }));
                }
            }
            let at_head = self.fold.as_of_offset().next() >= page.next_offset;
            if page.records.is_empty() || at_head {
                return Ok(None);
            }
        }
    }
}

fn has_change_id(record: &LogRecord, id: ChangeId) -> bool {
    serde_json::from_str::<ChangeRecord>(&record.body).is_ok_and(|change| change.change_id == id)
}
