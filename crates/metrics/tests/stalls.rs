//! Stalls of the processor share: what counts as one, and how often they are reported.

use std::time::{
    Duration,
    Instant, //
};

use figway_metrics::{
    StallWatch,
    Stalls, //
};

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against an idle node that reports the rounding of its timers, and against delays that are
/// lost or counted twice.
#[test]
fn only_long_delays_are_stalls() {
    let start = Instant::now();
    let mut watch = StallWatch::default();
    for (delay_ms, is_stall) in [(0, false), (2, false), (9, false), (10, true), (90, true)] {
        assert_eq!(watch.record(start, start + ms(delay_ms)), is_stall);
    }
    // A timer that fires early is no stall.
    assert!(!watch.record(start + ms(50), start));
    let expected = Stalls {
        count: 2,
        total: ms(100),
        longest: ms(90),
    };
    assert_eq!(watch.total(), expected);
    assert_eq!(watch.take_report(start), Some(expected));
    assert_eq!(watch.take_report(start + ms(60_000)), None);
}

/// Guards against a log line for each stall of a node that always stalls.
#[test]
fn reports_are_bounded_and_cover_all_stalls() {
    let start = Instant::now();
    let mut watch = StallWatch::default();
    let (mut reported, mut report_count) = (Stalls::default(), 0);
    for index in 0..600 {
        let woken_at = start + ms(100 * index);
        watch.record(woken_at - ms(20), woken_at);
        let Some(report) = watch.take_report(woken_at) else {
            continue;
        };
        report_count += 1;
        reported.count += report.count;
        reported.total += report.total;
        reported.longest = reported.longest.max(report.longest);
    }
    assert_eq!(report_count, 6);
    assert_eq!(reported.longest, ms(20));
    // Those since the last report are still to come.
    let last = watch.take_report(start + ms(120_000)).unwrap();
    assert_eq!(reported.count + last.count, 600);
    assert_eq!(reported.total + last.total, watch.total().total);
}
