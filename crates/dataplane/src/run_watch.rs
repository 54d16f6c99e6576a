//! Run of the local target: the calls that it has at work, and the evidence that it has ended.
//!
//! The book of a run is closed once, by whoever learns first that the run has ended. All requests in
//! it are then reported, whichever attempt made them and whether it still waits.

use std::fmt::Write as _;
use std::sync::{
    Mutex,
    MutexGuard, //
};
use std::time::Instant;

use figway_admission::{
    run_id,
    CallEnding,
    RunBook,
    Suspect, //
};
use figway_types::{
    Fingerprint,
    Target, //
};
use tokio::sync::Notify;

/// Largest number of requests in the log line of an ended run.
const LOGGED_MAX_COUNT: usize = 24;

/// Evidence that a run of the target has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunEndEvidence {
    /// It closed a connection, and accepts no other.
    Broken,
    /// It refuses connections.
    Refused,
    /// Its announcements have stopped, and it accepts no connection.
    Silent,
    /// Another run answers at its address.
    Misdirected,
    /// Another run has announced itself.
    Replaced,
}

impl RunEndEvidence {
    /// Returns the name in logs.
    pub(crate) fn name(self) -> &'static str {
        match self {
            RunEndEvidence::Broken => "broken",
            RunEndEvidence::Refused => "refused",
            RunEndEvidence::Silent => "silent",
            RunEndEvidence::Misdirected => "misdirected",
            RunEndEvidence::Replaced => "replaced",
        }
    }
}

/// Sign that a run may have ended, which calls for a look.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DoubtCause {
    /// A connection could not be opened.
    Refused,
    /// Announcements are missing.
    Missing,
}

/// Identity of a run in the ids of its crashes and survivals.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RunKey {
    /// Instance of the target, or the name of its node if it has none.
    pub(crate) instance: String,
    /// Start of the target in Unix milliseconds, or how often it was announced anew.
    pub(crate) started_at_ms: u64,
}

/// A run that has ended, and what was at work then.
#[derive(Clone, Debug)]
pub(crate) struct EndedRun {
    pub(crate) target: Target,
    pub(crate) suspects: Vec<Suspect>,
    key: RunKey,
    /// How often the same run was taken for ended before.
    earlier_end_count: u64,
}

impl EndedRun {
    /// Returns the id of the crash of a request in this run.
    pub(crate) fn crash_id(&self, fingerprint: Fingerprint) -> u64 {
        let id = run_id(fingerprint, &self.key.instance, self.key.started_at_ms);
        match self.earlier_end_count {
            0 => id,
            count => figway_types::mix(id ^ count),
        }
    }

    /// Returns whether nothing was at work, and the run had been taken for ended before.
    pub(crate) fn adds_nothing(&self) -> bool {
        self.suspects.is_empty() && self.earlier_end_count > 0
    }

    /// Returns the ids and fingerprints of some requests that were at work, for the log.
    pub(crate) fn format_requests(&self) -> String {
        let mut text = String::new();
        for suspect in self.suspects.iter().take(LOGGED_MAX_COUNT) {
            if !text.is_empty() {
                text.push(',');
            }
            let Suspect {
                request_id,
                fingerprint,
            } = suspect;
            write!(text, "{request_id}:{:016x}", fingerprint.0)
                .expect("writing to a String never fails");
        }
        text
    }
}

/// Doubt whether the present run still lives.
#[derive(Clone, Debug)]
pub(crate) struct Doubt {
    pub(crate) run_number: u64,
    pub(crate) address: String,
    pub(crate) cause: Option<DoubtCause>,
}

struct OpenRun {
    target: Target,
    key: RunKey,
    book: RunBook,
    end_count: u64,
    cause: Option<DoubtCause>,
}

#[derive(Default)]
struct State {
    open: Option<OpenRun>,
    /// Counts the books that were opened.
    run_number: u64,
    /// The last run that crashed, with its number.
    last_crash: Option<(u64, EndedRun)>,
}

/// Run of the local target, with its book of calls.
#[derive(Default)]
pub(crate) struct RunWatch {
    state: Mutex<State>,
    doubted: Notify,
}

impl RunWatch {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }

    /// Records an announcement of the target. Returns the run that it replaces, if that was not
    /// known to have ended.
    pub(crate) fn announce(&self, target: &Target, key: RunKey, now: Instant) -> Option<EndedRun> {
        let mut state = self.lock();
        if let Some(open) = state.open.as_mut().filter(|open| open.key == key) {
            open.target.clone_from(target);
            open.book.record_alive(now);
            open.cause = None;
            return None;
        }
        let replaced = state.close();
        state.run_number += 1;
        state.open = Some(OpenRun {
            target: target.clone(),
            key,
            book: RunBook::new(now),
            end_count: 0,
            cause: None,
        });
        replaced
    }

    /// Records that a call is sent to the target, until the guard drops.
    pub(crate) fn begin_call(&self, fingerprint: Fingerprint, request_id: &str) -> CallGuard<'_> {
        let mut state = self.lock();
        let run_number = state.run_number;
        if let Some(open) = &mut state.open {
            open.book.begin(fingerprint, request_id);
        }
        CallGuard {
            watch: self,
            fingerprint,
            run_number,
            ending: CallEnding::GivenUp,
        }
    }

    /// Closes the book of the run with this number. Returns `None` if it was closed before.
    pub(crate) fn end(&self, run_number: u64, now: Instant) -> Option<EndedRun> {
        let mut state = self.lock();
        if state.run_number != run_number {
            return None;
        }
        let ended = state.close()?;
        // A late announcement may bring the target back, so that calls are sent to it again.
        state.run_number += 1;
        state.open = Some(OpenRun {
            target: ended.target.clone(),
            key: ended.key.clone(),
            book: RunBook::new(now),
            end_count: ended.earlier_end_count + 1,
            cause: None,
        });
        Some(ended)
    }

    /// Returns the end that was recorded of the run that is present again, if a call sent to the run
    /// with this number since then was answered. It is returned once.
    pub(crate) fn take_revived(&self, run_number: u64) -> Option<EndedRun> {
        let mut state = self.lock();
        let open = state.open.as_ref()?;
        let is_answer_since = state.run_number == run_number && open.end_count > 0;
        let (_, ended) = state.last_crash.as_ref()?;
        if !is_answer_since || ended.key != open.key {
            return None;
        }
        state.last_crash.take().map(|(_, ended)| ended)
    }

    /// Forgets the last end, which was planned and so no crash.
    pub(crate) fn forget_crash(&self) {
        self.lock().last_crash = None;
    }

    /// Returns the id of the crash that ended the call, if the run is known to have crashed.
    pub(crate) fn crash_id(&self, run_number: u64, fingerprint: Fingerprint) -> Option<u64> {
        let state = self.lock();
        let (ended_number, ended) = state.last_crash.as_ref()?;
        (*ended_number == run_number).then(|| ended.crash_id(fingerprint))
    }

    /// Returns the id of an answer to the request by the present run.
    pub(crate) fn answer_id(&self, fingerprint: Fingerprint) -> Option<u64> {
        let state = self.lock();
        let key = &state.open.as_ref()?.key;
        Some(run_id(fingerprint, &key.instance, key.started_at_ms))
    }

    /// Records a sign that the present run may have ended.
    pub(crate) fn suspect(&self, cause: DoubtCause) {
        if let Some(open) = &mut self.lock().open {
            open.cause = Some(cause);
        }
        self.doubted.notify_one();
    }

    /// Waits until there may be a doubt.
    pub(crate) async fn wait_for_doubt(&self) {
        self.doubted.notified().await;
    }

    /// Returns the present doubt, if there is one. Its cause is returned once.
    pub(crate) fn take_doubt(&self, now: Instant) -> Option<Doubt> {
        let mut state = self.lock();
        let run_number = state.run_number;
        let open = state.open.as_mut()?;
        let cause = open.cause.take();
        if cause.is_none() && !open.book.has_doubtful_calls(now) {
            return None;
        }
        Some(Doubt {
            run_number,
            address: open.target.address.clone(),
            cause,
        })
    }

    /// Returns when the present run was last known to be alive.
    pub(crate) fn alive_at(&self) -> Option<Instant> {
        let state = self.lock();
        Some(state.open.as_ref()?.book.alive_at())
    }

    /// Returns how many given-up calls of the present run were dropped.
    pub(crate) fn dropped_count(&self) -> u64 {
        let state = self.lock();
        state
            .open
            .as_ref()
            .map_or(0, |open| open.book.dropped_count())
    }
}

impl State {
    fn close(&mut self) -> Option<EndedRun> {
        let open = self.open.take()?;
        let ended = EndedRun {
            suspects: open.book.suspects(),
            target: open.target,
            key: open.key,
            earlier_end_count: open.end_count,
        };
        self.last_crash = Some((self.run_number, ended.clone()));
        Some(ended)
    }
}

/// Call that is at work at the target. Without another word it counts as given up when the guard
/// drops.
pub(crate) struct CallGuard<'a> {
    watch: &'a RunWatch,
    fingerprint: Fingerprint,
    run_number: u64,
    ending: CallEnding,
}

impl CallGuard<'_> {
    /// Returns the number of the run to which the call was sent.
    pub(crate) fn run_number(&self) -> u64 {
        self.run_number
    }

    /// Ends the call in a way that was seen.
    pub(crate) fn finish(mut self, ending: CallEnding) {
        self.ending = ending;
    }
}

impl Drop for CallGuard<'_> {
    fn drop(&mut self) {
        let mut state = self.watch.lock();
        if state.run_number != self.run_number {
            return;
        }
        if let Some(open) = &mut state.open {
            open.book.end(self.fingerprint, self.ending, Instant::now());
        }
        drop(state);
        if self.ending == CallEnding::GivenUp {
            self.watch.doubted.notify_one();
        }
    }
}
