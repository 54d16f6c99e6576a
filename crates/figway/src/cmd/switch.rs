//! `figway switch`: switches a service to another profile.

use std::process::ExitCode;

use figway_profile::Change;
use figway_types::Offset;

use crate::change_log::ChangeLog;
use crate::cmd::Run;
use crate::flags::Switch;
use crate::node_client::NodeClient;
use crate::report::{
    ChangeReport,
    DEFAULT_WAIT_S, //
};

impl Run for Switch {
    async fn run(&self) -> anyhow::Result<ExitCode> {
        let mut changes = ChangeLog::open(self.log.as_deref(), self.author.as_deref()).await?;
        let current = changes.fold.state().picks.get(&self.service);
        let current_pick_offset = current.map_or(Offset(0), |pick| pick.pick_offset);
        let change = Change::Switch {
            service: self.service.clone(),
            expected_pick_offset: self.expect.map_or(current_pick_offset, Offset),
            profile: self.profile.clone(),
        };
        let appended = changes.append(change).await?;
        let action = format!("switch {} to {}", self.service, self.profile);
        let report = ChangeReport {
            action: &action,
            json: self.json,
        };
        if let Some(code) = report.print_refusal(&appended) {
            return Ok(code);
        }
        if !self.wait {
            return Ok(report.print_accepted(&appended));
        }
        let node = NodeClient::new(self.node.as_deref()).await?;
        let wait_s = self.wait_s.unwrap_or(DEFAULT_WAIT_S);
        Ok(report
            .wait_until_in_force(&node, &self.service, appended.offset, wait_s)
            .await)
    }
}
