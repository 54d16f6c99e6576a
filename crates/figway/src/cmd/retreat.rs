//! `figway retreat`: back to the profile that a service picked before.

use std::process::ExitCode;

use anyhow::{
    bail,
    Context as _, //
};
use figway_profile::{
    Change,
    Verdict, //
};

use crate::change::{
    ChangeLog,
    Judged, //
};
use crate::cmd::Run;
use crate::flags::Retreat;
use crate::node_client::NodeClient;
use crate::waiting::{
    Report,
    DEFAULT_WAIT_S, //
};

/// Switches of others that a retreat overtakes before it gives up.
const RACE_MAX_COUNT: usize = 5;

impl Run for Retreat {
    async fn run(&self) -> anyhow::Result<ExitCode> {
        let node = NodeClient::new(self.node.as_deref()).await?;
        let mut changes = ChangeLog::open(self.log.as_deref(), self.author.as_deref()).await?;
        let profile = self.profile_to_take(&changes)?;
        let judged = self.take(&mut changes, &profile).await?;
        let action = format!("retreat {} to {profile}", self.service);
        let report = Report {
            action: &action,
            json: self.json,
        };
        if let Some(code) = report.refused(&judged) {
            return Ok(code);
        }
        let wait_s = self.wait_s.unwrap_or(DEFAULT_WAIT_S);
        Ok(report
            .in_force(&node, &self.service, judged.offset, wait_s)
            .await)
    }
}

impl Retreat {
    fn profile_to_take(&self, changes: &ChangeLog) -> anyhow::Result<String> {
        if let Some(profile) = &self.to {
            return Ok(profile.clone());
        }
        let pick = changes.fold.state().picks.get(&self.service);
        let pick = pick.with_context(|| {
            format!(
                "service {} follows no profile; switch it to one",
                self.service
            )
        })?;
        match pick.earlier.first() {
            Some(earlier) => Ok(earlier.profile.clone()),
            None => bail!(
                "service {} never followed another profile than {}; name one with --to",
                self.service,
                pick.profile
            ),
        }
    }

    /// Picks the profile, also when another operator switches at the same time: a retreat goes
    /// before whatever it races with.
    async fn take(&self, changes: &mut ChangeLog, profile: &str) -> anyhow::Result<Judged> {
        for _ in 0..RACE_MAX_COUNT {
            let picks = &changes.fold.state().picks;
            let expected = picks.get(&self.service).map(|pick| pick.pick_offset);
            let change = Change::Switch {
                service: self.service.clone(),
                expected_pick_offset: expected.unwrap_or_default(),
                profile: profile.to_owned(),
            };
            let judged = changes.append(change).await?;
            if !matches!(judged.verdict, Verdict::Lost { .. }) {
                return Ok(judged);
            }
        }
        bail!(
            "other operators keep switching {}; agree first",
            self.service
        )
    }
}
