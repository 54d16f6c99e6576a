//! Order of the announcements of the target beside a node, which come late, from earlier runs of the target,
//! and from other writers.
//!
//! The run with the latest start is the target. Another writer may name a later start too, and nothing in
//! its announcement tells. But it has no target that answers, so that its run is lost sooner or later,
//! while the target that is there goes on announcing itself.

use figway_types::{
    Announcement,
    Target, //
};

/// Run of a target.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RunId {
    /// Instance of the target, empty if it names none.
    pub instance: String,
    /// Start of the target in Unix milliseconds, 0 if unknown.
    pub started_at_ms: u64,
}

impl RunId {
    fn of(target: &Target) -> Self {
        Self {
            instance: target.instance.clone(),
            started_at_ms: target.started_at_ms,
        }
    }

    fn is_of(&self, target: &Target) -> bool {
        target.is_run(&self.instance, self.started_at_ms)
    }
}

/// Latest accepted announcement.
#[derive(Clone, Debug, Default)]
pub struct LatestAnnouncement {
    /// Run that announced itself.
    pub run: RunId,
    /// Sequence number of the announcement.
    pub sequence: u64,
    left: bool,
}

/// Run of which the last announcement was ignored.
#[derive(Clone, Debug)]
struct IgnoredRun {
    run: RunId,
    sequence: u64,
    /// Number of its announcements that were ignored in a row.
    count: u64,
}

/// What becomes of an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnnouncementVerdict {
    /// It is the latest.
    Latest,
    /// It is that of an earlier run than the one taken for the latest, which is lost. It takes its place.
    Overruling,
    /// It changes nothing.
    Ignored {
        /// Number of announcements of its run that were ignored in a row.
        count: u64,
    },
}

/// Order of the announcements of one target.
#[derive(Clone, Debug, Default)]
pub struct AnnouncementOrder {
    latest: LatestAnnouncement,
    ignored: Option<IgnoredRun>,
    /// Run that was taken for the latest until it was lost and an earlier one went on. Its announcements
    /// are ignored while that one is there.
    overruled: Option<RunId>,
}

impl AnnouncementOrder {
    /// Returns the latest accepted announcement.
    pub fn latest(&self) -> &LatestAnnouncement {
        &self.latest
    }

    /// Places an announcement in the order. `is_lost` tells whether the latest run is not there, or no run
    /// is known.
    pub fn place(&mut self, announcement: &Announcement, is_lost: bool) -> AnnouncementVerdict {
        let verdict = if self.latest.is_older_than(announcement) {
            let overruled = self.overruled.as_ref();
            if !is_lost && overruled.is_some_and(|run| run.is_of(&announcement.target)) {
                return self.ignore(announcement);
            }
            AnnouncementVerdict::Latest
        } else {
            if !is_lost || !self.goes_on(announcement) {
                return self.ignore(announcement);
            }
            if !self.latest.run.is_of(&announcement.target) {
                self.overruled = Some(std::mem::take(&mut self.latest.run));
            }
            AnnouncementVerdict::Overruling
        };
        self.ignored
            .take_if(|ignored| ignored.run.is_of(&announcement.target));
        self.latest = LatestAnnouncement {
            run: RunId::of(&announcement.target),
            sequence: announcement.sequence,
            left: false,
        };
        verdict
    }

    /// Ignores an announcement whatever its place in the order, such as that of a run which has left.
    pub fn ignore(&mut self, announcement: &Announcement) -> AnnouncementVerdict {
        let earlier = self.ignored.take();
        let earlier = earlier.filter(|earlier| earlier.run.is_of(&announcement.target));
        let count = earlier.map_or(0, |earlier| earlier.count) + 1;
        self.ignored = Some(IgnoredRun {
            run: RunId::of(&announcement.target),
            sequence: announcement.sequence,
            count,
        });
        AnnouncementVerdict::Ignored { count }
    }

    /// Records that an instance has left, with its start if that is known. Returns the start of the run
    /// that has left, or `None` if another instance or a later start is known.
    pub fn leave(&mut self, instance: &str, started_at_ms: u64) -> Option<u64> {
        let latest = &mut self.latest;
        let is_other = latest.run.instance != instance && !latest.run.instance.is_empty();
        let is_earlier = started_at_ms != 0 && started_at_ms < latest.run.started_at_ms;
        if is_other || is_earlier {
            return None;
        }
        latest.run.instance = instance.to_owned();
        // The node may have started after the target, so the target can leave before it has announced
        // itself here.
        latest.run.started_at_ms = latest.run.started_at_ms.max(started_at_ms);
        latest.left = true;
        Some(latest.run.started_at_ms)
    }

    /// Returns whether the run goes on announcing itself although its last announcement was ignored.
    fn goes_on(&self, announcement: &Announcement) -> bool {
        let target = &announcement.target;
        let has_left = self.latest.left && self.latest.run.instance == target.instance;
        let is_next = |ignored: &IgnoredRun| {
            ignored.run.is_of(target) && announcement.sequence > ignored.sequence
        };
        !has_left && self.ignored.as_ref().is_some_and(is_next)
    }
}

impl LatestAnnouncement {
    /// Returns whether the announcement is newer than this one. An instance that has left is
    /// rejected unless its start time is later than the known one.
    fn is_older_than(&self, announcement: &Announcement) -> bool {
        let is_same = announcement.target.instance == self.run.instance;
        if is_same && self.left && self.run.started_at_ms == 0 {
            return false;
        }
        if announcement.target.started_at_ms != self.run.started_at_ms {
            return announcement.target.started_at_ms > self.run.started_at_ms;
        }
        if announcement.target.started_at_ms == 0 {
            return true;
        }
        if is_same && self.left {
            return false;
        }
        announcement.sequence > self.sequence
    }
}
