//! `figway status`: shows what is in force. It queries one node, which surveys all nodes.

use std::process::ExitCode;

use figway_control::SurveyReport;
use serde_json::{
    json,
    Value, //
};

use crate::cmd::Run;
use crate::flags::Status;
use crate::node_client::NodeClient;
use crate::report::lagging_node_lines;

impl Run for Status {
    async fn run(&self) -> anyhow::Result<ExitCode> {
        let node = NodeClient::new(self.node.as_deref()).await?;
        let status: Value = node.get("/figway/status").await?;
        let mut services = serde_json::Map::new();
        for (service, entry) in status["services"].as_object().into_iter().flatten() {
            let path = format!(
                "/figway/in-force?service={service}&version={}",
                entry["version"]
            );
            let survey: SurveyReport = node.get(&path).await?;
            if !self.json {
                print_service(service, entry, &survey);
            }
            services.insert(service.clone(), json!({"entry": entry, "survey": survey}));
        }
        if self.json {
            println!("{}", json!({"status": status, "services": services}));
        } else {
            print_node(&status);
        }
        Ok(ExitCode::SUCCESS)
    }
}

fn print_service(service: &str, entry: &Value, survey: &SurveyReport) {
    println!(
        "{service}: profile {} version {} in force on {}, behind {}, silent {}",
        entry["profile"].as_str().unwrap_or(""),
        entry["version"],
        survey.in_force_count,
        survey.lagging_count,
        survey.silent_count
    );
    for line in lagging_node_lines(survey) {
        println!("  {line}");
    }
}

fn print_node(status: &Value) {
    for (service, held) in status["held"].as_object().into_iter().flatten() {
        println!(
            "{service}: held back here: profile {} version {}: {}",
            held["profile"].as_str().unwrap_or(""),
            held["version"],
            held["findings"].as_str().unwrap_or("")
        );
    }
    println!(
        "node {}: applied offset {}, sees {} live and {} suspect nodes",
        status["node"]["node_id"].as_str().unwrap_or(""),
        status["applied"],
        status["live_count"],
        status["suspect_count"]
    );
}
