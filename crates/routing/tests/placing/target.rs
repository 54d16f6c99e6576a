//! A target and the admission beside it.

use std::collections::HashMap;
use std::time::Instant;

use figway_admission::{
    Admission,
    AdmissionLimits,
    AdmitOutcome,
    CallView,
    Dequeued,
    Ticket, //
};
use figway_routing::LoadReport;
use figway_types::mix;

use super::{
    Call,
    Picking,
    Random,
    Scenario, //
};

/// Period of the disturbances, in milliseconds.
const DISTURBANCE_PERIOD_MS: f64 = 600.0;

/// Part of each period in which a target is slow.
const DISTURBED_RATIO: f64 = 0.15;

/// Multiple of the run time of a call that starts during a disturbance.
const DISTURBED_RAN_RATIO: f64 = 2.5;

pub(super) struct Target {
    pub(super) speed: f64,
    pub(super) admission: Admission,
    pub(super) waiting: HashMap<Ticket, Call>,
    pub(super) run_count: usize,
    disturbed_from_ms: f64,
}

impl Target {
    pub(super) fn new(scenario: &Scenario, picking: Picking, index: usize, speed: f64) -> Self {
        let offset = mix(index as u64) % DISTURBANCE_PERIOD_MS as u64;
        Self {
            speed,
            admission: admission(scenario, picking),
            waiting: HashMap::new(),
            run_count: 0,
            disturbed_from_ms: offset as f64,
        }
    }

    pub(super) fn admit(
        &mut self,
        kind: &str,
        prompt_by: Instant,
        deadline: Instant,
        now: Instant,
    ) -> (AdmitOutcome, Dequeued) {
        let call = CallView {
            kind,
            body_bytes: 0,
            customer: None,
            worth: 1.0,
            long: false,
            rank: 0,
            prompt_by: Some(prompt_by),
            deadline,
            may_wait: true,
        };
        self.admission.admit(&call, now)
    }

    pub(super) fn report(&self, now: Instant) -> LoadReport {
        LoadReport {
            busy_ratio: self.admission.busy_ratio(now),
            wait_ms: self.admission.expected_wait(0, now).as_secs_f64() * 1_000.0,
            failed_ratio: 0.0,
        }
    }

    /// Draws a run time: mostly 0.5 to 1.5 of the mean, 3 in 100 several times as long.
    pub(super) fn draw_ran_ms(
        &self,
        scenario: &Scenario,
        mean_ms: f64,
        now_ms: f64,
        random: &mut Random,
    ) -> f64 {
        let straggler_ratio = scenario.straggler_ratio;
        let usual_ratio = (1.0 - 0.03 * straggler_ratio) / 0.97;
        let tail = if random.below(100) < 3 {
            straggler_ratio
        } else {
            usual_ratio
        };
        let ran_ms = mean_ms * (0.5 + random.ratio()) * tail / self.speed;
        let phase_ms = (now_ms + self.disturbed_from_ms) % DISTURBANCE_PERIOD_MS;
        if scenario.disturbed && phase_ms < DISTURBED_RATIO * DISTURBANCE_PERIOD_MS {
            return ran_ms * DISTURBED_RAN_RATIO;
        }
        ran_ms
    }
}

/// Returns the runs at the target that got most for its speed, over the mean of its zone.
pub(super) fn busiest_ratio(targets: &[Target], zone_count: usize) -> f64 {
    let mut busiest_ratio: f64 = 0.0;
    for zone in 0..zone_count {
        let zone_targets = || targets.iter().skip(zone).step_by(zone_count);
        let runs: usize = zone_targets().map(|target| target.run_count).sum();
        let zone_speed: f64 = zone_targets().map(|target| target.speed).sum();
        for target in zone_targets() {
            let fair = runs as f64 * target.speed / zone_speed;
            busiest_ratio = busiest_ratio.max(target.run_count as f64 / fair);
        }
    }
    busiest_ratio
}

/// Returns an admission whose reports are computed as `picking` expects them.
fn admission(scenario: &Scenario, picking: Picking) -> Admission {
    Admission::new(AdmissionLimits {
        slot_count: scenario.slot_count as u32,
        queue_per_slot_ratio: scenario.queue_per_slot_ratio,
        short_share_ratio: 0.0,
        overload_control: picking == Picking::LeastWork,
    })
}
