//! Which announcement of a target is the latest, whatever comes late or from other writers.

use std::collections::BTreeMap;

use figway_membership::{
    AnnouncementOrder,
    AnnouncementVerdict, //
};
use figway_types::{
    Announcement,
    Target, //
};

fn announcement(instance: &str, started_at_ms: u64, sequence: u64) -> Announcement {
    Announcement {
        target: Target {
            service: "reads".to_owned(),
            instance: instance.to_owned(),
            started_at_ms,
            address: "127.0.0.1:1".to_owned(),
            slot_count: 12,
            labels: BTreeMap::new(),
            draining: false,
        },
        sequence,
        cold_start_remaining_ms: 0,
    }
}

const IGNORED: AnnouncementVerdict = AnnouncementVerdict::Ignored { count: 1 };

/// Order that knows the run `own`, started at 100, by its announcement 5.
fn known_order() -> AnnouncementOrder {
    let mut order = AnnouncementOrder::default();
    let first = announcement("own", 100, 5);
    assert_eq!(order.place(&first, true), AnnouncementVerdict::Latest);
    order
}

/// Guards against late announcements of a run, or of one before it, that undo a later one.
#[test]
fn a_late_announcement_changes_nothing_while_the_latest_run_is_there() {
    let mut order = known_order();
    for late in [announcement("own", 100, 4), announcement("earlier", 99, 9)] {
        assert_eq!(order.place(&late, false), IGNORED);
    }
    let next = announcement("own", 100, 6);
    assert_eq!(order.place(&next, false), AnnouncementVerdict::Latest);
    let restarted = announcement("own", 200, 1);
    assert_eq!(order.place(&restarted, false), AnnouncementVerdict::Latest);
}

/// Guards against one late announcement that takes the place of a run which is lost for a moment.
#[test]
fn one_late_announcement_does_not_overrule_a_lost_run() {
    let mut order = known_order();
    assert_eq!(order.place(&announcement("earlier", 99, 9), true), IGNORED);
    let again = announcement("earlier", 99, 9);
    assert_eq!(
        order.place(&again, true),
        AnnouncementVerdict::Ignored { count: 2 }
    );
    assert_eq!(order.latest().run.instance, "own");
}

/// Guards against a run that is named by another writer, with a later start or a higher sequence number, and
/// keeps the place of the target for good.
#[test]
fn a_run_that_goes_on_overrules_a_later_one_that_is_lost() {
    for foreign in [
        announcement("foreign", 900, 1),
        announcement("own", 900, 1),
        announcement("own", 100, u64::MAX),
    ] {
        let mut order = known_order();
        assert_eq!(order.place(&foreign, false), AnnouncementVerdict::Latest);
        assert_eq!(order.place(&announcement("own", 100, 6), false), IGNORED);
        let next = announcement("own", 100, 7);
        assert_eq!(order.place(&next, true), AnnouncementVerdict::Overruling);
        let later = announcement("own", 100, 8);
        assert_eq!(order.place(&later, false), AnnouncementVerdict::Latest);
    }
}

/// Guards against a run that isn't there and, announced again and again, takes the place each time; and
/// against one that stays ignored although it is the target.
#[test]
fn an_overruled_run_is_ignored_while_the_other_is_there() {
    let mut order = known_order();
    order.place(&announcement("foreign", 900, 1), false);
    order.place(&announcement("own", 100, 6), false);
    order.place(&announcement("own", 100, 7), true);
    assert_eq!(
        order.place(&announcement("foreign", 900, 2), false),
        IGNORED
    );
    let restarted = announcement("next", 300, 1);
    assert_eq!(
        order.clone().place(&restarted, false),
        AnnouncementVerdict::Latest
    );
    let back = announcement("foreign", 900, 3);
    assert_eq!(order.place(&back, true), AnnouncementVerdict::Latest);
}

/// Guards against a run that has left and is the target again because it still announces itself.
#[test]
fn a_run_that_has_left_stays_gone() {
    let mut order = known_order();
    assert_eq!(order.leave("other", 0), None);
    assert_eq!(order.leave("own", 99), None);
    assert_eq!(order.leave("own", 100), Some(100));
    for sequence in 6..9 {
        let late = announcement("own", 100, sequence);
        let count = sequence - 5;
        assert_eq!(
            order.place(&late, true),
            AnnouncementVerdict::Ignored { count }
        );
    }
    let restarted = announcement("own", 200, 1);
    assert_eq!(order.place(&restarted, true), AnnouncementVerdict::Latest);
}
