//! Prints the result of a change, and waits until it is in force on every node.

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

use crate::change_log::AppendedChange;
use crate::cmd::{
    EXIT_NOT_IN_FORCE,
    EXIT_REFUSED, //
};
use crate::node_client::NodeClient;

/// Longest wait if the `--wait-s` flag is absent, in seconds.
pub(crate) const DEFAULT_WAIT_S: u64 = 30;

/// Pause after the first survey, in milliseconds. It doubles up to `MAX_PAUSE_MS`.
const FIRST_PAUSE_MS: u64 = 10;

/// Longest pause between two surveys, in milliseconds.
const MAX_PAUSE_MS: u64 = 1_000;

/// Prints the result of a command that appends a change.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ChangeReport<'a> {
    /// Description of the change, such as `switch stockdesk to trial`.
    pub(crate) action: &'a str,
    /// Whether the result is printed as JSON.
    pub(crate) json: bool,
}

impl ChangeReport<'_> {
    /// Prints why the change was refused and returns the exit code, or `None` if it was accepted.
    pub(crate) fn print_refusal(&self, appended: &AppendedChange) -> Option<ExitCode> {
        let why = match &appended.verdict {
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
                "offset": appended.offset,
                "why": why,
            });
            println!("{result}");
        } else {
            eprintln!("could not {}: {why}", self.action);
        }
        Some(ExitCode::from(EXIT_REFUSED))
    }

    /// Prints that the change was accepted and returns the exit code.
    pub(crate) fn print_accepted(&self, appended: &AppendedChange) -> ExitCode {
        if self.json {
            let result = json!({
                "action": self.action,
                "outcome": "accepted",
                "offset": appended.offset,
            });
            println!("{result}");
        } else {
            println!("{}: accepted as offset {}", self.action, appended.offset);
        }
        ExitCode::SUCCESS
    }

    /// Waits until `version` of `service` is in force on every live node, at most `wait_s` seconds.
    /// Prints the progress and the result, and returns the exit code.
    pub(crate) async fn wait_until_in_force(
        &self,
        node: &NodeClient,
        service: &str,
        version: Offset,
        wait_s: u64,
    ) -> ExitCode {
        let started_at = Instant::now();
        let deadline = started_at + Duration::from_secs(wait_s);
        let path = format!("/figway/in-force?service={service}&version={version}");
        let mut last_survey = None;
        let mut backoff = Backoff::new(FIRST_PAUSE_MS, MAX_PAUSE_MS, figway_types::entropy());
        while Instant::now() < deadline {
            match node.get::<SurveyReport>(&path).await {
                Ok(survey) => {
                    self.print_progress(&survey, started_at);
                    let is_everywhere = survey.lagging_count + survey.silent_count == 0;
                    last_survey = Some(survey);
                    if is_everywhere {
                        break;
                    }
                }
                Err(error) => eprintln!("{error:#}"),
            }
            let next_survey_at = backoff.next_attempt_at(Instant::now());
            tokio::time::sleep_until(next_survey_at.into()).await;
        }
        self.print_result(last_survey.as_ref(), version, started_at)
    }

    fn print_progress(&self, survey: &SurveyReport, started_at: Instant) {
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

    fn print_result(
        &self,
        last_survey: Option<&SurveyReport>,
        version: Offset,
        started_at: Instant,
    ) -> ExitCode {
        let took_ms = started_at.elapsed().as_millis() as u64;
        let is_everywhere =
            last_survey.is_some_and(|survey| survey.lagging_count + survey.silent_count == 0);
        if self.json {
            let result = json!({
                "action": self.action,
                "outcome": if is_everywhere { "in-force" } else { "not-in-force" },
                "offset": version,
                "took_ms": took_ms,
                "survey": last_survey,
            });
            println!("{result}");
        } else if is_everywhere {
            println!("{}: in force everywhere after {took_ms} ms", self.action);
        } else {
            self.print_not_in_force(last_survey);
        }
        if is_everywhere {
            return ExitCode::SUCCESS;
        }
        ExitCode::from(EXIT_NOT_IN_FORCE)
    }

    fn print_not_in_force(&self, last_survey: Option<&SurveyReport>) {
        eprintln!(
            "{}: accepted, but not yet in force everywhere; the other nodes will still apply it",
            self.action
        );
        let Some(survey) = last_survey else {
            eprintln!("no node returned a survey; try another node with --node");
            return;
        };
        for line in lagging_node_lines(survey) {
            eprintln!("{line}");
        }
    }
}

/// Returns a line for each listed node on which a version is not in force, with the reason.
pub(crate) fn lagging_node_lines(survey: &SurveyReport) -> Vec<String> {
    let mut lines = Vec::new();
    for node in &survey.lagging {
        let line = format!(
            "behind: {} at offset {} {}",
            node.node_id, node.applied_offset, node.findings
        );
        lines.push(line);
    }
    for node_id in &survey.silent {
        lines.push(format!("silent: {node_id}"));
    }
    lines
}
