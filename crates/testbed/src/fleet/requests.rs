//! Questions to the processes of a fleet, and waiting for what they are to answer.

use std::time::{
    Duration,
    Instant, //
};

use anyhow::{
    bail,
    Context as _, //
};
use serde_json::Value;

use super::Fleet;
use crate::http::{
    send,
    Reply,
    Request, //
};
use crate::log_server::LogFaults;

/// Longest wait for an answer of a stand-in or a node.
const ANSWER_WAIT: Duration = Duration::from_secs(10);

impl Fleet {
    /// Switches faults of the log on or off.
    ///
    /// # Errors
    ///
    /// The stand-in does not answer.
    pub async fn set_log_faults(&self, faults: LogFaults) -> anyhow::Result<()> {
        let url = format!("http://{}/testbed/faults", self.log.address("log"));
        let body = serde_json::to_string(&faults)?;
        let headers = [("content-type", "application/json")];
        self.post(&url, &headers, &body).await?;
        Ok(())
    }

    /// Posts to a stand-in or a node.
    ///
    /// # Errors
    ///
    /// There is no answer in time.
    pub async fn post(
        &self,
        url: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> anyhow::Result<Reply> {
        let request = Request {
            method: "POST",
            url,
            headers,
            body,
        };
        send(&self.http, request, ANSWER_WAIT).await
    }

    /// Gets from a stand-in or a node.
    ///
    /// # Errors
    ///
    /// There is no answer in time.
    pub async fn get(&self, url: &str, headers: &[(&str, &str)]) -> anyhow::Result<Reply> {
        let request = Request {
            method: "GET",
            url,
            headers,
            body: "",
        };
        send(&self.http, request, ANSWER_WAIT).await
    }

    /// Returns the status of a host's node.
    ///
    /// # Errors
    ///
    /// The node does not answer.
    pub async fn status(&self, index: usize) -> anyhow::Result<Value> {
        let url = format!("http://{}/figway/status", self.hosts[index].call_address());
        self.get(&url, &[]).await?.json()
    }

    /// Returns the journal of a host's target.
    ///
    /// # Errors
    ///
    /// The target does not answer.
    pub async fn journal(&self, index: usize) -> anyhow::Result<Vec<Value>> {
        let address = self.hosts[index].target.address("target");
        let journal = self
            .get(&format!("http://{address}/testbed/journal"), &[])
            .await?;
        Ok(serde_json::from_slice(&journal.body)?)
    }

    /// Waits until `service` follows `profile` on every host, or `wait` has passed.
    ///
    /// # Errors
    ///
    /// It does not in time; says which host.
    pub async fn wait_in_force(
        &self,
        service: &str,
        profile: &str,
        wait: Duration,
    ) -> anyhow::Result<Duration> {
        let started_at = Instant::now();
        for index in 0..self.hosts.len() {
            self.wait_status(index, wait, &|status| {
                status["services"][service]["profile"] == profile
            })
            .await
            .with_context(|| format!("{profile} is not in force for {service}"))?;
        }
        Ok(started_at.elapsed())
    }

    /// Waits until every node sees `live_count` live nodes.
    ///
    /// # Errors
    ///
    /// It does not in time; says which host.
    pub async fn wait_live(&self, live_count: u64, wait: Duration) -> anyhow::Result<()> {
        for index in 0..self.hosts.len() {
            self.wait_status(index, wait, &|status| status["live_count"] == live_count)
                .await?;
        }
        Ok(())
    }

    /// Waits until the status of a host's node is as wanted.
    ///
    /// # Errors
    ///
    /// It is not in time.
    pub async fn wait_status(
        &self,
        index: usize,
        wait: Duration,
        wanted: &dyn Fn(&Value) -> bool,
    ) -> anyhow::Result<Value> {
        let deadline = Instant::now() + wait;
        loop {
            let status = self.status(index).await;
            if let Ok(status) = &status {
                if wanted(status) {
                    return Ok(status.clone());
                }
            }
            if Instant::now() >= deadline {
                bail!("{} is not as wanted: {status:?}", self.hosts[index].name);
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}
