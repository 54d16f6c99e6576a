//! Appending a change to the log, so that it is there once even when an answer is lost.

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

use crate::node_client::or_env;

/// How long one append may take.
const APPEND_WAIT: Duration = Duration::from_secs(3);

/// How long a change is tried before the operator is told that its fate is open.
const CHANGE_WAIT: Duration = Duration::from_secs(15);

/// The change stream as an operator sees it.
pub(crate) struct ChangeLog {
    log: HttpLog,
    author: String,
    /// State at the head when the command started.
    pub(crate) fold: Fold,
}

/// A change and what became of it.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Judged {
    pub(crate) offset: Offset,
    pub(crate) verdict: Verdict,
}

impl ChangeLog {
    /// Reads the log at `url`, or at `FIGWAY_LOG`.
    pub(crate) async fn open(url: Option<&str>, author: Option<&str>) -> anyhow::Result<Self> {
        let url = or_env(url, "FIGWAY_LOG")
            .context("no log is named; give --log URL or set FIGWAY_LOG")?;
        let log = HttpLog::new(url.trim_end_matches('/')).await?;
        let fold = read_fold(&log).await.with_context(|| {
            format!("could not read {url}; nothing was changed, try again when the log is back")
        })?;
        Ok(Self {
            log,
            author: or_env(author, "USER").unwrap_or_else(|| "unnamed".to_owned()),
            fold,
        })
    }

    /// Appends `change` and returns its verdict, which is the same on every node.
    pub(crate) async fn append(&mut self, change: Change) -> anyhow::Result<Judged> {
        let record = ChangeRecord {
            change_id: ChangeId(figway_types::entropy()),
            author: self.author.clone(),
            change,
        };
        let body = record.to_body();
        let give_up_at = Instant::now() + CHANGE_WAIT;
        let mut backoff = Backoff::new(100, 1_000, figway_types::entropy());
        let mut maybe_written = false;
        loop {
            let looked = if maybe_written {
                // Appended again only once the log shows that the earlier try is not there.
                self.find(record.change_id).await
            } else {
                Ok(None)
            };
            let failure = match looked {
                Ok(Some(judged)) => return Ok(judged),
                Ok(None) => match self.append_once(&record, &body).await? {
                    Ok(judged) => return Ok(judged),
                    Err(failure) => {
                        maybe_written |= matches!(failure, AppendError::Unknown(_));
                        failure.to_string()
                    }
                },
                Err(error) => format!("{error:#}"),
            };
            if Instant::now() >= give_up_at {
                let advice = if maybe_written {
                    "the change may still come into force, look at `figway watch` before you \
                     try again"
                } else {
                    "nothing was changed, try again when the log is back"
                };
                bail!("{failure}; {advice}");
            }
            let next_try_at = backoff.next_attempt_at(Instant::now());
            tokio::time::sleep_until(next_try_at.into()).await;
        }
    }

    async fn append_once(
        &mut self,
        record: &ChangeRecord,
        body: &str,
    ) -> anyhow::Result<Result<Judged, AppendError>> {
        let deadline = Instant::now() + APPEND_WAIT;
        let appended = match self.log.append(CHANGE_STREAM, body, deadline).await {
            Ok(appended) => appended,
            Err(failure) => return Ok(Err(failure)),
        };
        let judged = self.find(record.change_id).await?;
        let judged = judged.with_context(|| {
            format!(
                "could not find the change at offset {}; look at `figway watch`",
                appended.offset
            )
        })?;
        Ok(Ok(judged))
    }

    /// Folds on to the head and returns the verdict of the change if it is there.
    async fn find(&mut self, id: ChangeId) -> anyhow::Result<Option<Judged>> {
        loop {
            let from_offset = self.fold.as_of_offset().next();
            let page = self
                .log
                .read(CHANGE_STREAM, from_offset, Instant::now())
                .await
                .context("could not read the verdict; look at `figway status`")?;
            for record in &page.records {
                let Some(verdict) = self.fold.apply(record) else {
                    continue;
                };
                if is_change(record, id) {
                    return Ok(Some(Judged {
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

fn is_change(record: &LogRecord, id: ChangeId) -> bool {
    serde_json::from_str::<ChangeRecord>(&record.body).is_ok_and(|change| change.change_id == id)
}
