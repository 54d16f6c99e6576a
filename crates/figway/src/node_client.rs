//! HTTP client for the operator interface of a node.

use anyhow::{
    anyhow,
    Context as _, //
};
use ntex::client::error::ClientError;
use ntex::client::{
    Client,
    ClientResponse, //
};
use ntex::time::Millis;
use ntex::SharedCfg;
use serde::de::DeserializeOwned;
use serde::Serialize;

/// Longest wait for a node's response.
const RESPONSE_TIMEOUT: Millis = Millis(5_000);

/// HTTP client for the operator interface of one node.
pub(crate) struct NodeClient {
    address: String,
    client: Client,
}

impl NodeClient {
    /// Creates a client for the node at `address`, or at the one in `FIGWAY_NODE` if absent.
    pub(crate) async fn new(address: Option<&str>) -> anyhow::Result<Self> {
        let address = flag_or_env(address, "FIGWAY_NODE")
            .context("no node address given; pass --node IP:PORT or set FIGWAY_NODE")?;
        let client = Client::builder()
            .disable_redirects()
            .response_timeout(RESPONSE_TIMEOUT)
            .build(SharedCfg::default())
            .await
            .map_err(|error| anyhow!("could not build the HTTP client: {error}"))?;
        Ok(Self { address, client })
    }

    /// Fetches `path` and parses the JSON of the response.
    pub(crate) async fn get<T: DeserializeOwned>(&self, path: &str) -> anyhow::Result<T> {
        let url = format!("http://{}{path}", self.address);
        self.read(self.client.get(url).send().await).await
    }

    /// Posts `body` to `path` as JSON and parses the JSON of the response.
    pub(crate) async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> anyhow::Result<T> {
        let url = format!("http://{}{path}", self.address);
        self.read(self.client.post(url).send_json(body).await).await
    }

    async fn read<T: DeserializeOwned>(
        &self,
        response: Result<ClientResponse, ClientError>,
    ) -> anyhow::Result<T> {
        let response = response.map_err(|error| {
            anyhow!(
                "could not query node {}: {error}; try another node with --node",
                self.address
            )
        })?;
        if !response.status().is_success() {
            return Err(anyhow!(
                "node {} responded with status {}",
                self.address,
                response.status()
            ));
        }
        response
            .json::<T>()
            .limit(8 * 1_024 * 1_024)
            .await
            .map_err(|error| {
                anyhow!(
                    "could not read the response of node {}: {error}",
                    self.address
                )
            })
    }
}

/// Returns the value of the flag, or of the environment variable `name` if the flag is absent.
pub(crate) fn flag_or_env(flag: Option<&str>, name: &str) -> Option<String> {
    match flag {
        Some(value) => Some(value.to_owned()),
        None => std::env::var(name).ok(),
    }
}
