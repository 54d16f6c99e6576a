//! `figway publish`: a new version of a profile.

use std::process::ExitCode;

use anyhow::Context as _;
use figway_profile::{
    parse_profile,
    Change, //
};
use figway_types::Offset;

use crate::change::ChangeLog;
use crate::cmd::{
    Run,
    REFUSED, //
};
use crate::flags::Publish;
use crate::node_client::NodeClient;
use crate::waiting::{
    Report,
    DEFAULT_WAIT_S, //
};

impl Run for Publish {
    async fn run(&self) -> anyhow::Result<ExitCode> {
        let path = self.file.display().to_string();
        let body = std::fs::read_to_string(&self.file)
            .with_context(|| format!("could not read {path}"))?;
        if let Err(findings) = parse_profile(&path, &body) {
            eprintln!("{findings}");
            return Ok(ExitCode::from(REFUSED));
        }
        let mut changes = ChangeLog::open(self.log.as_deref(), self.author.as_deref()).await?;
        let current = changes.fold.state().profiles.get(&self.profile);
        let change = Change::Publish {
            profile: self.profile.clone(),
            expected_version_offset: current.map_or(Offset(0), |version| version.version_offset),
            body,
        };
        let judged = changes.append(change).await?;
        let action = format!("publish {}", self.profile);
        let report = Report {
            action: &action,
            json: self.json,
        };
        if let Some(code) = report.refused(&judged) {
            return Ok(code);
        }
        let accepted = report.accepted(&judged);
        if !self.wait {
            return Ok(accepted);
        }
        let node = NodeClient::new(self.node.as_deref()).await?;
        for (service, pick) in &changes.fold.state().picks {
            if pick.profile != self.profile {
                continue;
            }
            let wait_s = self.wait_s.unwrap_or(DEFAULT_WAIT_S);
            let code = report.in_force(&node, service, judged.offset, wait_s).await;
            if code != ExitCode::SUCCESS {
                return Ok(code);
            }
        }
        Ok(ExitCode::SUCCESS)
    }
}
