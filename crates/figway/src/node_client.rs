//! Questions to a node over HTTP.

use anyhow::{
    anyhow,
    Context as _, //
};
use ntex::client::Client;
use ntex::time::Millis;
use ntex::SharedCfg;
use serde::de::DeserializeOwned;

/// Longest wait for a node's answer.
const ANSWER_WAIT: Millis = Millis(5_000);

/// Client of one node.
pub(crate) struct NodeClient {
    address: String,
    client: Client,
}

impl NodeClient {
    /// Asks the node at `address`, or at `FIGWAY_NODE`.
    pub(crate) async fn new(address: Option<&str>) -> anyhow::Result<Self> {
        let address = or_env(address, "FIGWAY_NODE")
            .context("no node is named; give --node IP:PORT or set FIGWAY_NODE")?;
        let client = Client::builder()
            .disable_redirects()
            .response_timeout(ANSWER_WAIT)
            .build(SharedCfg::default())
            .await
            .map_err(|error| anyhow!("could not build the HTTP client: {error}"))?;
        Ok(Self { address, client })
    }

    /// Returns the JSON at `path`.
    pub(crate) async fn get<T: DeserializeOwned>(&self, path: &str) -> anyhow::Result<T> {
        let url = format!("http://{}{path}", self.address);
        let response = self.client.get(url).send().await.map_err(|error| {
            anyhow!(
                "could not ask node {}: {error}; any other node can be asked with --node",
                self.address
            )
        })?;
        if !response.status().is_success() {
            return Err(anyhow!(
                "node {} answered {}",
                self.address,
                response.status()
            ));
        }
        response
            .json::<T>()
            .limit(8 * 1_024 * 1_024)
            .await
            .map_err(|error| anyhow!("could not read the answer of {}: {error}", self.address))
    }
}

/// Returns the flag's value, or that of the variable `name`.
pub(crate) fn or_env(flag: Option<&str>, name: &str) -> Option<String> {
    match flag {
        Some(value) => Some(value.to_owned()),
        None => std::env::var(name).ok(),
    }
}
