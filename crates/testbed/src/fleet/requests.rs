//! Requests to the processes of a fleet, and waits for an expected status.

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

/// Timeout of a request to a stand-in or a node.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

impl Fleet {
    /// Sets the faults of the log; they replace all earlier ones.
    ///
    /// # Errors
    ///
    /// The log stand-in does not answer in time.
    pub async fn set_log_faults(&self, faults: LogFaults) -> anyhow::Result<()> {
        let url = format!("http://{}/testbed/faults", self.log.address("log"));
        let body = serde_json::to_string(&faults)?;
        let headers = [("content-type", "application/json")];
        self.post(&url, &headers, &body).await?;
        Ok(())
    }

    /// Sends a POST request to a stand-in or a node.
    ///
    /// # Errors
    ///
    /// There is no answer within 10 s.
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
        send(&self.http, request, REQUEST_TIMEOUT).await
    }

    /// Sends a GET request to a stand-in or a node.
    ///
    /// # Errors
    ///
    /// There is no answer within 10 s.
    pub async fn get(&self, url: &str, headers: &[(&str, &str)]) -> anyhow::Result<Reply> {
        let request = Request {
            method: "GET",
            url,
            headers,
            body: "",
        };
        send(&self.http, request, REQUEST_TIMEOUT).await
    }

    /// Returns the status of a host's node.
    ///
    /// # Errors
    ///
    /// The node does not answer in time, or the answer is not JSON.
    pub async fn status(&self, index: usize) -> anyhow::Result<Value> {
        let url = format!("http://{}/figway/status", self.hosts[index].call_address());
        self.get(&url, &[]).await?.json()
    }

    /// Returns the journal of a host's target: one entry for each request that it received.
    ///
    /// # Errors
    ///
    /// The target does not answer in time, or the answer is not a JSON array.
    pub async fn journal(&self, index: usize) -> anyhow::Result<Vec<Value>> {
        let address = self.hosts[index].target.address("target");
        let journal = self
            .get(&format!("http://{address}/testbed/journal"), &[])
            .await?;
        Ok(serde_json::from_slice(&journal.body)?)
    }

    /// Waits until `profile` is in force for `service` on every host, for at most `wait` per host,
    /// and returns how long that took in all.
    ///
    /// # Errors
    ///
    /// The profile is not in force on a host in time; the error names the host.
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
            .with_context(|| format!("profile {profile} is not in force for {service}"))?;
        }
        Ok(started_at.elapsed())
    }

    /// Waits until every node sees `live_count` live nodes, for at most `wait` per node.
    ///
    /// # Errors
    ///
    /// A node does not see them in time; the error names its host.
    pub async fn wait_live(&self, live_count: u64, wait: Duration) -> anyhow::Result<()> {
        for index in 0..self.hosts.len() {
            self.wait_status(index, wait, &|status| status["live_count"] == live_count)
                .await?;
        }
        Ok(())
    }

    /// Waits until the status of a host's node satisfies `is_expected`, and returns that status.
    ///
    /// # Errors
    ///
    /// The status does not satisfy `is_expected` within `wait`; the error contains the last status.
    pub async fn wait_status(
        &self,
        index: usize,
        wait: Duration,
        is_expected: &dyn Fn(&Value) -> bool,
    ) -> anyhow::Result<Value> {
        let deadline = Instant::now() + wait;
        loop {
            let status = self.status(index).await;
            if let Ok(status) = &status {
                if is_expected(status) {
                    return Ok(status.clone());
                }
            }
            if Instant::now() >= deadline {
                bail!(
                    "status of {} is not as expected: {status:?}",
                    self.hosts[index].name
                );
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}
