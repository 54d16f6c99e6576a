//! HTTP client for test control and load generation. It is not tuned for the hot path.

use std::time::Duration;

use anyhow::anyhow;
use ntex::client::{
    Client,
    Connector, //
};
use ntex::time::Seconds;
use ntex::util::Bytes;
use ntex::SharedCfg;

/// HTTP answer with its status, figway headers and body.
#[derive(Clone, Debug)]
pub struct Reply {
    /// HTTP status code.
    pub status: u16,
    /// Value of the `x-figway-outcome` header; empty if the header is absent.
    pub outcome: String,
    /// Value of the `x-figway-reason` header; empty if the header is absent.
    pub reason: String,
    /// Complete body.
    pub body: Bytes,
}

impl Reply {
    /// Returns the body as text; invalid UTF-8 becomes replacement characters.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Parses the body as JSON.
    ///
    /// # Errors
    ///
    /// The body is not valid JSON.
    pub fn json(&self) -> anyhow::Result<serde_json::Value> {
        Ok(serde_json::from_slice(&self.body)?)
    }
}

/// HTTP request to send with [`send`].
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// HTTP method, such as `GET` or `POST`.
    pub method: &'a str,
    /// URL of the form `http://ip:port/path`.
    pub url: &'a str,
    /// Pairs of header name and value.
    pub headers: &'a [(&'a str, &'a str)],
    /// Complete body.
    pub body: &'a str,
}

/// Time after which the client closes an idle connection. It is shorter than the 5 s after which
/// servers do so, so that no request goes out on a connection that the server is closing.
const KEEP_ALIVE: Seconds = Seconds(3);

/// Builds a client whose limit of 16,384 connections is above what the test bed needs. Timeouts and
/// redirects are disabled.
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

/// Sends a request and reads the complete answer.
///
/// # Errors
///
/// The method is not valid, sending or reading failed, or the complete answer did not arrive within
/// `timeout`.
pub async fn send(
    client: &Client,
    request: Request<'_>,
    timeout: Duration,
) -> anyhow::Result<Reply> {
    match tokio::time::timeout(timeout, exchange(client, request)).await {
        Ok(reply) => reply,
        Err(_) => Err(anyhow!("no answer from {} within {timeout:?}", request.url)),
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
        .map_err(|error| anyhow!("could not read the answer from {}: {error}", request.url))?;
    Ok(Reply {
        status,
        outcome,
        reason,
        body,
    })
}
