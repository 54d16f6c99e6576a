//! Border to the HTTP client that reaches peers and targets.

use std::time::Instant;

use futures::future::LocalBoxFuture;
use ntex::client::error::{
    ClientError,
    ConnectError, //
};
use ntex::client::{
    Client,
    Connector, //
};
use ntex::http::error::PayloadError;
use ntex::http::header::CONTENT_TYPE;
use ntex::time::Seconds;
use ntex::util::Bytes;
use ntex::SharedCfg;

/// A whole answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Headers that go on to the caller, and figway's own.
    pub headers: Vec<(String, String)>,
    /// Whole body.
    pub body: Bytes,
}

impl Answer {
    /// Returns the value of a header, by its name in small letters.
    pub fn header(&self, name: &str) -> Option<&str> {
        for (known, value) in &self.headers {
            if known == name {
                return Some(value);
            }
        }
        None
    }

    /// Returns the content type, empty if none.
    pub fn content_type(&self) -> &str {
        self.header(CONTENT_TYPE.as_str()).unwrap_or("")
    }
}

/// A request on its way out.
#[derive(Clone, Copy, Debug)]
pub struct Outbound<'a> {
    /// `ip:port` of the server.
    pub address: &'a str,
    /// HTTP method.
    pub method: &'a str,
    /// Path with its query.
    pub path: &'a str,
    /// Headers by their names in small letters.
    pub headers: &'a [(String, String)],
    /// Whole body.
    pub body: &'a Bytes,
    /// When the answer is no longer wanted.
    pub deadline: Instant,
}

/// Why there is no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SendFailure {
    /// No connection; nothing was sent.
    Refused(String),
    /// The connection ended before a whole answer.
    Broken(String),
    /// The answer is larger than the limit; the connection is closed.
    TooLarge,
    /// The deadline passed; the connection is closed.
    Late,
}

/// Sends requests and returns whole answers. Dropping the future closes its connection.
pub trait Transport {
    /// Sends one request, once.
    fn send<'a>(
        &'a self,
        outbound: &'a Outbound<'a>,
    ) -> LocalBoxFuture<'a, Result<Answer, SendFailure>>;
}

/// Settings of an HTTP transport.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HttpLimits {
    /// Connections that are kept, in all.
    pub(crate) connection_max_count: usize,
    /// Idle time after which a connection is closed, in seconds; shorter than the server's.
    pub(crate) keep_alive_s: u16,
    /// Largest answer body.
    pub(crate) body_max_bytes: usize,
}

/// Pooled HTTP/1.1 connections, one exchange at a time on each.
pub(crate) struct HttpTransport {
    client: Client,
    body_max_bytes: usize,
}

impl HttpTransport {
    pub(crate) async fn new(limits: HttpLimits) -> anyhow::Result<Self> {
        let connector = Connector::default()
            .limit(limits.connection_max_count)
            .keep_alive(Seconds(limits.keep_alive_s));
        let client = Client::builder()
            .connector::<&str>(connector)
            .disable_redirects()
            .disable_timeout()
            .no_default_headers()
            .response_payload_limit(limits.body_max_bytes)
            .build(SharedCfg::default())
            .await
            .map_err(|error| anyhow::anyhow!("could not build the HTTP client: {error}"))?;
        Ok(Self {
            client,
            body_max_bytes: limits.body_max_bytes,
        })
    }

    async fn exchange(&self, outbound: &Outbound<'_>) -> Result<Answer, SendFailure> {
        let method = outbound
            .method
            .parse::<ntex::http::Method>()
            .map_err(|error| SendFailure::Refused(error.to_string()))?;
        let url = format!("http://{}{}", outbound.address, outbound.path);
        let mut request = self.client.request(method, url).no_decompress();
        for (name, value) in outbound.headers {
            request = request.header(name.as_str(), value.as_str());
        }
        let sent = request.send_body(outbound.body.clone()).await;
        let response = sent.map_err(send_failure)?;
        let mut headers = Vec::new();
        for (name, value) in response.headers().iter() {
            let Ok(value) = value.to_str() else {
                continue;
            };
            headers.push((name.as_str().to_owned(), value.to_owned()));
        }
        let body =
            response
                .body()
                .limit(self.body_max_bytes)
                .await
                .map_err(|error| match error {
                    PayloadError::Overflow => SendFailure::TooLarge,
                    other => SendFailure::Broken(other.to_string()),
                })?;
        Ok(Answer {
            status: response.status().as_u16(),
            headers,
            body,
        })
    }
}

impl Transport for HttpTransport {
    fn send<'a>(
        &'a self,
        outbound: &'a Outbound<'a>,
    ) -> LocalBoxFuture<'a, Result<Answer, SendFailure>> {
        Box::pin(async move {
            let exchange = self.exchange(outbound);
            match tokio::time::timeout_at(outbound.deadline.into(), exchange).await {
                Ok(result) => result,
                Err(_) => Err(SendFailure::Late),
            }
        })
    }
}

/// Tells failures before the first byte from those after it. The client reports a connection that
/// ended before the answer as a `ConnectError` too, the one without a cause.
fn send_failure(error: ClientError) -> SendFailure {
    match error {
        ClientError::Connect(ConnectError::Disconnected(None)) => {
            SendFailure::Broken("the connection ended before the answer".to_owned())
        }
        ClientError::Connect(error) => SendFailure::Refused(error.to_string()),
        ClientError::Url(error) => SendFailure::Refused(error.to_string()),
        other => SendFailure::Broken(other.to_string()),
    }
}
