//! Log lines about changes and about the versions that come into force or are held.

use figway_profile::Verdict;
use figway_types::LogRecord;

use crate::view::View;

/// Logs whether a change was accepted.
pub(super) fn log_verdict(record: &LogRecord, verdict: Option<&Verdict>) {
    let offset = record.offset;
    match verdict {
        Some(Verdict::Accepted) => log::info!("change accepted offset={offset}"),
        Some(Verdict::Snapshot) | None => {}
        Some(other) => log::warn!("change not accepted offset={offset} verdict={other:?}"),
    }
}

/// Logs the versions that a new view puts in force and those that it holds.
pub(super) fn log_installed(current: &View, next: &View) {
    for (service, in_force) in &next.services {
        if current.version_in_force(service) == in_force.version_offset {
            continue;
        }
        log::info!(
            "profile in force service={service} profile={} version={}",
            in_force.profile_name,
            in_force.version_offset,
        );
    }
    for (service, held) in &next.held {
        if current.held.get(service) == Some(held) {
            continue;
        }
        log::warn!(
            "version held service={service} profile={} version={} why={}",
            held.profile_name,
            held.version_offset,
            held.findings,
        );
    }
}
