//! Waiting until a change is in force on every node, and saying what became of it.

use std::process::ExitCode;
use std::time::{
    Duration,
    Instant, //
};

use figway_control::SurveyReport;
use figway_profile::Verdict;
use figway_types::{
    Backoff,
    Offset, //
};
use serde_json::json;

use crate::change::Judged;
use crate::cmd::{
    NOT_IN_FORCE,
    REFUSED, //
};
use crate::node_client::NodeClient;

/// Longest wait unless a flag says otherwise, in seconds.
pub(crate) const DEFAULT_WAIT_S: u64 = 30;

/// Pause after the first survey; it doubles up to the longest.
const FIRST_PAUSE_MS: u64 = 10;

/// Longest pause between two surveys.
const MAX_PAUSE_MS: u64 = 1_000;

/// How a command tells its result.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Report<'a> {
    /// What was done, like `switch stockdesk to trial`.
    pub(crate) action: &'a str,
    /// Whether the result is printed as JSON.
    pub(crate) json: bool,
}

impl Report<'_> {
    /// Tells a change that was not accepted and returns the exit code; `None` if it was accepted.
    pub(crate) fn refused(&self, judged: &Judged) -> Option<ExitCode> {
        let why = match &judged.verdict {
            Verdict::Accepted => return None,
            Verdict::Lost {
                winner_offset,
                winner,
            } => format!(
                "{winner} was first with the change at offset {winner_offset}; \
                 look at `figway status`, then decide again"
            ),
            Verdict::UnknownProfile => {
                "the profile has no published version; publish it first".to_owned()
            }
            Verdict::Bad(findings) => format!("the profile is bad:\n{findings}"),
            other => format!("unexpected verdict {other:?}"),
        };
        if self.json {
            let result = json!({
                "action": self.action,
                "outcome": "refused",
                "offset": judged.offset,
                "why": why,
            });
            println!("{result}");
        } else {
            eprintln!("could not {}: {why}", self.action);
        }
        Some(ExitCode::from(REFUSED))
    }

    /// Tells a change that was accepted.
    pub(crate) fn accepted(&self, judged: &Judged) -> ExitCode {
        if self.json {
            let result = json!({
                "action": self.action,
                "outcome": "accepted",
                "offset": judged.offset,
            });
            println!("{result}");
        } else {
            println!("{}: accepted as offset {}", self.action, judged.offset);
        }
        ExitCode::SUCCESS
    }

    /// Waits until `version` of `service` is in force on every live node, showing progress.
    pub(crate) async fn in_force(
        &self,
        node: &NodeClient,
        service: &str,
        version: Offset,
        wait_s: u64,
    ) -> ExitCode {
        let started_at = Instant::now();
        let give_up_at = started_at + Duration::from_secs(wait_s);
        let path = format!("/figway/in-force?service={service}&version={version}");
        let mut last = None;
        let mut backoff = Backoff::new(FIRST_PAUSE_MS, MAX_PAUSE_MS, figway_types::entropy());
        while Instant::now() < give_up_at {
            match node.get::<SurveyReport>(&path).await {
                Ok(survey) => {
                    self.progress(&survey, started_at);
                    let all = survey.lagging_count + survey.silent_count == 0;
                    last = Some(survey);
                    if all {
                        break;
                    }
                }
                Err(error) => eprintln!("{error:#}"),
            }
            let next_survey_at = backoff.next_attempt_at(Instant::now());
            tokio::time::sleep_until(next_survey_at.into()).await;
        }
        self.end(last.as_ref(), version, started_at)
    }

    fn progress(&self, survey: &SurveyReport, started_at: Instant) {
        if self.json {
            return;
        }
        eprintln!(
            "in force on {}, behind {}, silent {} after {} ms",
            survey.in_force_count,
            survey.lagging_count,
            survey.silent_count,
            started_at.elapsed().as_millis()
        );
    }

    fn end(&self, last: Option<&SurveyReport>, version: Offset, started_at: Instant) -> ExitCode {
        let took_ms = started_at.elapsed().as_millis() as u64;
        let all = last.is_some_and(|survey| survey.lagging_count + survey.silent_count == 0);
        if self.json {
            let result = json!({
                "action": self.action,
                "outcome": if all { "in-force" } else { "not-in-force" },
                "offset": version,
                "took_ms": took_ms,
                "survey": last,
            });
            println!("{result}");
        } else if all {
            println!("{}: in force everywhere after {took_ms} ms", self.action);
        } else {
            self.name_the_rest(last);
        }
        if all {
            return ExitCode::SUCCESS;
        }
        ExitCode::from(NOT_IN_FORCE)
    }

    fn name_the_rest(&self, last: Option<&SurveyReport>) {
        eprintln!(
            "{}: accepted, but not yet in force everywhere; it still comes into force there",
            self.action
        );
        let Some(survey) = last else {
            eprintln!("no node answered; ask another one with --node");
            return;
        };
        for line in nodes_behind(survey) {
            eprintln!("{line}");
        }
    }
}

/// Names the nodes on which a version is not in force, and why.
pub(crate) fn nodes_behind(survey: &SurveyReport) -> Vec<String> {
    let mut lines = Vec::new();
    for laggard in &survey.lagging {
        let line = format!(
            "behind: {} at offset {} {}",
            laggard.node_id, laggard.applied_offset, laggard.findings
        );
        lines.push(line);
    }
    for node_id in &survey.silent {
        lines.push(format!("silent: {node_id}"));
    }
    lines
}
