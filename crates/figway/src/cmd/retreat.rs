//! `figway retreat`: switches a service back to its previous profile.

use std::process::ExitCode;

use anyhow::{
    bail,
    Context as _, //
};
use figway_profile::{
    Change,
    Verdict, //
};

use crate::change_log::{
    AppendedChange, //
    ChangeLog,
};
use crate::cmd::Run;
use crate::flags::Retreat;
use crate::node_client::NodeClient;
use crate::report::{
    ChangeReport,
    DEFAULT_WAIT_S, //
};

/// Largest number of attempts while other operators switch the same service at the same time.
const ATTEMPT_MAX_COUNT: usize = 5;

impl Run for Retreat {
    async fn run(&self) -> anyhow::Result<ExitCode> {
        let node = NodeClient::new(self.node.as_deref()).await?;
        let mut changes = ChangeLog::open(self.log.as_deref(), self.author.as_deref()).await?;
        let profile = self.profile_to_pick(&changes)?;
        let appended = self.append_switch(&mut changes, &profile).await?;
        let action = format!("retreat {} to {profile}", self.service);
        let report = ChangeReport {
            action: &action,
            json: self.json,
        };
        if let Some(code) = report.print_refusal(&appended) {
            return Ok(code);
        }
        let wait_s = self.wait_s.unwrap_or(DEFAULT_WAIT_S);
        Ok(report
            .wait_until_in_force(&node, &self.service, appended.offset, wait_s)
            .await)
    }
}

impl Retreat {
    fn profile_to_pick(&self, changes: &ChangeLog) -> anyhow::Result<String> {
        if let Some(profile) = &self.to {
            return Ok(profile.clone());
        }
        let pick = changes.fold.state().picks.get(&self.service);
        let pick = pick.with_context(|| {
            format!(
                "service {} picks no profile; pick one with `figway switch`",
                self.service
            )
        })?;
        match pick.earlier.first() {
            Some(earlier) => Ok(earlier.profile.clone()),
            None => bail!(
                "service {} has never picked a profile other than {}; name one with --to",
                self.service,
                pick.profile
            ),
        }
    }

    /// Switches the service to `profile`. Tries again if another operator's switch was first,
    /// because a retreat takes precedence over concurrent switches.
    async fn append_switch(
        &self,
        changes: &mut ChangeLog,
        profile: &str,
    ) -> anyhow::Result<AppendedChange> {
        for _ in 0..ATTEMPT_MAX_COUNT {
            let picks = &changes.fold.state().picks;
            let current_pick_offset = picks.get(&self.service).map(|pick| pick.pick_offset);
            let change = Change::Switch {
                service: self.service.clone(),
                expected_pick_offset: current_pick_offset.unwrap_or_default(),
                profile: profile.to_owned(),
            };
            let appended = changes.append(change).await?;
            if !matches!(appended.verdict, Verdict::Lost { .. }) {
                return Ok(appended);
            }
        }
        bail!(
            "other operators keep switching service {}; agree with them first",
            self.service
        )
    }
}
