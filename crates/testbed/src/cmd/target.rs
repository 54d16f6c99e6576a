//! `testbed target`: runs the stand-in for a target.

use std::collections::BTreeMap;
use std::net::TcpListener;

use anyhow::Context as _;
use figway_testbed::target_server::TargetServer;

use crate::cmd::{
    Run,
    Target, //
};

impl Run for Target {
    async fn run(&self) -> anyhow::Result<()> {
        let server = TargetServer::new(&self.name, &self.service, self.slots);
        let mut labels = BTreeMap::new();
        for label in &self.label {
            let (name, value) = label
                .split_once('=')
                .with_context(|| format!("label {label} is not of the form NAME=VALUE"))?;
            labels.insert(name.to_owned(), value.to_owned());
        }
        server.set_labels(labels);
        let listener = TcpListener::bind(self.listen.as_deref().unwrap_or("127.0.0.1:0"))?;
        let address = listener.local_addr()?;
        let running = server.serve(listener)?;
        println!(r#"{{"target":"{address}"}}"#);
        tokio::select! {
            result = server.announce(&self.node) => result,
            result = running => Ok(result?),
        }
    }
}
