//! HTTP client of the test bed, for use off the hot path.

use std::time::Duration;

use anyhow::anyhow;
use ntex::client::{
    Client,
    Connector, //
};
use ntex::time::Seconds;
use ntex::util::Bytes;
use ntex::SharedCfg;

/// Status, headers and body of an answer.
#[derive(Clone, Debug)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Value of `x-figway-outcome`, empty if none.
    pub outcome: String,
    /// Value of `x-figway-reason`, empty if none.
    pub reason: String,
    /// Whole body.
    pub body: Bytes,
}

impl Reply {
    /// Returns the body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Returns the body as JSON.
    ///
    /// # Errors
    ///
    /// It is none.
    pub fn json(&self) -> anyhow::Result<serde_json::Value> {
        Ok(serde_json::from_slice(&self.body)?)
    }
}

/// A request of the test bed.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// `GET` or `POST`.
    pub method: &'a str,
    /// `http://ip:port/path`.
    pub url: &'a str,
    /// Headers.
    pub headers: &'a [(&'a str, &'a str)],
    /// Whole body.
    pub body: &'a str,
}

/// Idle connections are closed after this, before servers do so after 5 s.
const KEEP_ALIVE: Seconds = Seconds(3);

/// Builds a client with as many connections as needed.
///
/// # Errors
///
/// The client can't be built.
pub async fn client() -> anyhow::Result<Client> {
    Client::builder()
        .connector::<&str>(Connector::default().limit(16_384).keep_alive(KEEP_ALIVE))
        .disable_redirects()
        .disable_timeout()
        .response_payload_limit(64 * 1_024 * 1_024)
        .build(SharedCfg::default())
        .await
        .map_err(|error| anyhow!("could not build the HTTP client: {error}"))
}

/// Sends a request and reads the whole answer within `wait`.
///
/// # Errors
///
/// There was no whole answer in time.
pub async fn send(client: &Client, request: Request<'_>, wait: Duration) -> anyhow::Result<Reply> {
    match tokio::time::timeout(wait, exchange(client, request)).await {
        Ok(reply) => reply,
        Err(_) => Err(anyhow!("no answer of {} within {wait:?}", request.url)),
    }
}

async fn exchange(client: &Client, request: Request<'_>) -> anyhow::Result<Reply> {
    let method = request.method.parse::<ntex::http::Method>()?;
    let mut outgoing = client.request(method, request.url).no_decompress();
    for (name, value) in request.headers {
        outgoing = outgoing.header(*name, *value);
    }
    let response = outgoing
        .send_body(request.body.to_owned())
        .await
        .map_err(|error| anyhow!("could not send to {}: {error}", request.url))?;
    let header = |name: &str| {
        let value = response.headers().get(name);
        value
            .and_then(|value| value.to_str().ok())
            .unwrap_or("")
            .to_owned()
    };
    let status = response.status().as_u16();
    let (outcome, reason) = (header("x-figway-outcome"), header("x-figway-reason"));
    let body = response
        .body()
        .limit(64 * 1_024 * 1_024)
        .await
        .map_err(|error| anyhow!("could not read the answer of {}: {error}", request.url))?;
    Ok(Reply {
        status,
        outcome,
        reason,
        body,
    })
}
