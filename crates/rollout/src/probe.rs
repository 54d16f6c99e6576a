//! What the node that decides asks of the canary to get more evidence: a trial under load, and a
//! larger share of the new version on a route that few runs made suspect.

use std::time::{
    Duration,
    Instant, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use crate::order::ExposureLimits;
use crate::tally::Tally;

/// Share of the new version during the trial under load. A fault under load shows as soon as answers
/// arrive, after some 0.5 s, while fewer calls are exposed to it than by a share that rises further.
const TRIAL_SHARE: f64 = 0.3;

/// Part of the canary's share that is kept after the trial, which has exposed more calls.
const AFTER_TRIAL_PART: f64 = 0.5;

/// Share of the new version on a route in focus. With 50 calls a second of the route it shows 30 runs a
/// second, which clear or confirm a failure within 2 s.
const FOCUS_SHARE: f64 = 0.6;

/// Score, as a part of the limit, from which a route is suspect. One failure gives about 0.3.
const SUSPECT_LEVEL: f64 = 0.2;

/// Score below which a suspect route is cleared, some 40 answers after a failure.
const CLEARED_LEVEL: f64 = 0.1;

/// Part of [`ExposureLimits::slack_count`] that the focus may take. The rest is for runs that are not
/// reported yet.
const SLACK_PART: f64 = 0.9;

/// Shortest duration of a trial. Runs that end later count as well.
const TRIAL_MIN: Duration = Duration::from_millis(500);

/// Duration of a trial in which few runs end.
pub(crate) const TRIAL_USUAL: Duration = Duration::from_millis(1_400);

/// Longest duration of a trial, if its runs make the version suspect.
const TRIAL_MAX: Duration = Duration::from_millis(2_000);

/// Number of runs of the new version after which the trial need not last longer.
const TRIAL_RUN_COUNT: u64 = 60;

/// Score from which the trial lasts longer.
const LONG_TRIAL_LEVEL: f64 = 0.15;

/// Progress of the trial under load, which gives the new version a larger share for a short time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Trial {
    /// It has not begun.
    #[default]
    Pending,
    /// It is under way.
    Running,
    /// It has ended.
    Ended,
}

/// What the node that decides asks of the canary.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Probe {
    /// Number of the probe; a later one outweighs an earlier one.
    pub number: u64,
    /// Trial under load.
    pub trial: Trial,
    /// Route that gets a larger share of the new version, if there is one.
    pub focus: Option<String>,
}

/// Start of a trial as the node that decides knows it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TrialStart {
    pub(crate) at: Instant,
    /// Runs of the new version that the node knew at the start.
    pub(crate) run_count: u64,
}

impl Probe {
    /// Returns the share of the new version on `route` beside the canary's `share`.
    pub(crate) fn share(&self, route: &str, share: f64) -> f64 {
        if self.focus.as_deref() == Some(route) {
            return share.max(FOCUS_SHARE);
        }
        match self.trial {
            Trial::Running => share.max(TRIAL_SHARE),
            Trial::Pending => share,
            Trial::Ended => share * AFTER_TRIAL_PART,
        }
    }

    /// Returns the next probe by the evidence, if it differs. `trial` is the next state of the trial.
    pub(crate) fn next(
        &self,
        tally: &Tally,
        limits: &ExposureLimits,
        trial: Trial,
    ) -> Option<Probe> {
        let focus = match trial {
            Trial::Running => None,
            _ => self.next_focus(tally, limits),
        };
        let differs = trial != self.trial || focus != self.focus.as_deref();
        differs.then(|| Probe {
            number: self.number + 1,
            trial,
            focus: focus.map(str::to_owned),
        })
    }

    fn next_focus<'a>(&'a self, tally: &'a Tally, limits: &ExposureLimits) -> Option<&'a str> {
        let new_count = tally
            .new_run_count()
            .saturating_sub(tally.trial_run_count()) as f64;
        let all_count = new_count + tally.old_run_count() as f64;
        let slack = limits.slack_count as f64 * SLACK_PART;
        if new_count > limits.canary_share() * all_count + slack {
            return None;
        }
        let known = self.focus.as_deref();
        if known.is_some_and(|route| tally.route_level(route) >= CLEARED_LEVEL) {
            return known;
        }
        let (route, level) = tally.most_suspect_route()?;
        (level >= SUSPECT_LEVEL).then_some(route)
    }
}

impl TrialStart {
    /// Returns whether the trial is over and showed few runs.
    pub(crate) fn has_ended_with_few_runs(&self, tally: &Tally, now: Instant) -> bool {
        now >= self.at + TRIAL_USUAL && self.has_ended(tally, now)
    }

    /// Returns whether the trial showed enough.
    pub(crate) fn has_ended(&self, tally: &Tally, now: Instant) -> bool {
        let run_count = tally.new_run_count().saturating_sub(self.run_count);
        if now >= self.at + TRIAL_USUAL {
            let is_suspect = tally.verdict().level >= LONG_TRIAL_LEVEL;
            return !is_suspect || now >= self.at + TRIAL_MAX;
        }
        run_count >= TRIAL_RUN_COUNT && now >= self.at + TRIAL_MIN
    }
}
