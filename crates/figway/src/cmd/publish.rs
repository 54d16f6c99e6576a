//! `figway publish`: publishes a new version of a profile.

use std::process::ExitCode;

use anyhow::Context as _;
use figway_profile::{
    parse_profile,
    Change, //
};
use figway_types::Offset;

use crate::change_log::ChangeLog;
use crate::cmd::{
    Run,
    EXIT_REFUSED, //
};
use crate::flags::Publish;
use crate::node_client::NodeClient;
use crate::report::{
    ChangeReport,
    DEFAULT_WAIT_S, //
};

impl Run for Publish {
    async fn run(&self) -> anyhow::Result<ExitCode> {
        let path = self.file.display().to_string();
        let body = std::fs::read_to_string(&self.file)
            .with_context(|| format!("could not read {path}"))?;
        if let Err(findings) = parse_profile(&path, &body) {
            eprintln!("{findings}");
            return Ok(ExitCode::from(EXIT_REFUSED));
        }
        let mut changes = ChangeLog::open(self.log.as_deref(), self.author.as_deref()).await?;
        let current = changes.fold.state().profiles.get(&self.profile);
        let change = Change::Publish {
            profile: self.profile.clone(),
            expected_version_offset: current.map_or(Offset(0), |version| version.version_offset),
            body,
        };
        let appended = changes.append(change).await?;
        let action = format!("publish {}", self.profile);
        let report = ChangeReport {
            action: &action,
            json: self.json,
        };
        if let Some(code) = report.print_refusal(&appended) {
            return Ok(code);
        }
        let exit_code = report.print_accepted(&appended);
        if !self.wait {
            return Ok(exit_code);
        }
        let node = NodeClient::new(self.node.as_deref()).await?;
        for (service, pick) in &changes.fold.state().picks {
            if pick.profile != self.profile {
                continue;
            }
            let wait_s = self.wait_s.unwrap_or(DEFAULT_WAIT_S);
            let code = report
                .wait_until_in_force(&node, service, appended.offset, wait_s)
                .await;
            if code != ExitCode::SUCCESS {
                return Ok(code);
            }
        }
        Ok(ExitCode::SUCCESS)
    }
}
