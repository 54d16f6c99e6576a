//! Requests of a simulated run, and what happened in it.

use std::time::{
    Duration,
    Instant, //
};

use figway_rollout::{
    RunSample,
    StatusState, //
};

use super::log::SimLog;
use super::plan::{
    NEW,
    OLD, //
};

/// Longest time after the 50th bad answer for which a request may be sent to the version.
const ROLLBACK: Duration = Duration::from_secs(5);

/// Time for which the old version gets no requests before its targets stop.
const QUIET_TIME: Duration = Duration::from_millis(300);

/// Request that runs at a target.
pub(crate) struct Running {
    pub(crate) ends_at: Instant,
    pub(crate) node: usize,
    pub(crate) route: usize,
    pub(crate) sample: RunSample,
    pub(crate) is_bad: bool,
    pub(crate) is_cold: bool,
}

/// A request as it was sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sent {
    pub(crate) at: Duration,
    pub(crate) version: &'static str,
}

/// What happened in a run.
pub(crate) struct Outcome {
    pub(crate) sent: Vec<Sent>,
    /// When answers of the new version were bad beyond what any version's are.
    pub(crate) bad_at: Vec<Duration>,
    /// Ends in the log, with the version and the time of the append.
    pub(crate) ends: Vec<(String, StatusState, Duration)>,
    pub(crate) log: SimLog,
}

impl Outcome {
    /// Returns the number of requests that the new version got by the deadline, and of all of them.
    pub(crate) fn exposure(&self, deadline: Duration) -> (usize, usize) {
        let in_time = self.sent.iter().filter(|sent| sent.at < deadline);
        let all: Vec<_> = in_time.collect();
        let of_version = all.iter().filter(|sent| sent.version == NEW);
        (of_version.count(), all.len())
    }

    /// Checks what holds for a bad version: its exposure, the time of its last request, and its end.
    pub(crate) fn check_rolled_back(&self, duration: Duration) -> Result<(), String> {
        let (exposed, all) = self.exposure(duration);
        if exposed as f64 > 0.1 * all as f64 + 50.0 {
            return Err(format!("{exposed} of {all} requests"));
        }
        if let Some(fiftieth_at) = self.bad_at.get(49) {
            let last_at = self.last_sent_at(NEW);
            if last_at > *fiftieth_at + ROLLBACK {
                return Err(format!("last request at {last_at:?}"));
            }
        }
        self.check_one_end(StatusState::RolledBack, duration)?;
        Ok(())
    }

    /// Checks what holds for a good version: its end, and that the old one was left before it.
    pub(crate) fn check_completed(&self, duration: Duration) -> Result<(), String> {
        let ended_at = self.check_one_end(StatusState::Completed, duration)?;
        let last_at = self.last_sent_at(OLD);
        if last_at + QUIET_TIME > ended_at {
            return Err(format!(
                "last request of the old version at {last_at:?}, end at {ended_at:?}"
            ));
        }
        Ok(())
    }

    fn last_sent_at(&self, version: &str) -> Duration {
        let last = self.sent.iter().rev().find(|sent| sent.version == version);
        last.map_or(Duration::ZERO, |last| last.at)
    }

    fn check_one_end(&self, state: StatusState, duration: Duration) -> Result<Duration, String> {
        let [(version, ended, at)] = self.ends.as_slice() else {
            return Err(format!("ends {:?}", self.ends));
        };
        if (version.as_str(), *ended) != (NEW, state) || *at > duration {
            return Err(format!("{version} ended as {ended:?} at {at:?}"));
        }
        Ok(*at)
    }
}
