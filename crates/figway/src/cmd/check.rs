//! `figway check`: reports all findings about settings and profile files.

use std::path::Path;
use std::process::ExitCode;

use anyhow::Context as _;
use figway_profile::parse_profile;
use figway_settings::parse_settings;
use figway_types::Findings;

use crate::cmd::{
    Run,
    EXIT_REFUSED, //
};
use crate::flags::Check;

impl Run for Check {
    async fn run(&self) -> anyhow::Result<ExitCode> {
        let mut findings = Findings::default();
        for path in &self.settings {
            let text = read(path)?;
            if let Err(found) = parse_settings(&path.to_string_lossy(), &text) {
                findings.list.extend(found.list);
            }
        }
        for path in &self.profile {
            let text = read(path)?;
            if let Err(found) = parse_profile(&path.to_string_lossy(), &text) {
                findings.list.extend(found.list);
            }
        }
        if findings.is_empty() {
            println!(
                "{} files are valid",
                self.settings.len() + self.profile.len()
            );
            return Ok(ExitCode::SUCCESS);
        }
        eprintln!("{findings}");
        Ok(ExitCode::from(EXIT_REFUSED))
    }
}

fn read(path: &Path) -> anyhow::Result<String> {
    std::fs::read_to_string(path).with_context(|| format!("could not read {}", path.display()))
}
