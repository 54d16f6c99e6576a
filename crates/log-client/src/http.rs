//! HTTP client of the log. It appends with `POST /streams/S/records` and reads with
//! `GET /streams/S/records?from=N&wait_ms=M`.

use std::time::{
    Duration,
    Instant, //
};

use figway_types::Offset;
use futures::future::LocalBoxFuture;
use ntex::client::error::{
    ClientError,
    ConnectError, //
};
use ntex::client::{
    Client,
    Connector, //
};
use ntex::http::StatusCode;
use ntex::time::Seconds;
use ntex::SharedCfg;
use serde::Deserialize;

use crate::{
    AppendError,
    Appended,
    LogService,
    Page,
    ReadError, //
};

/// Largest page that a read accepts, in bytes.
const PAGE_MAX_BYTES: usize = 32 * 1_024 * 1_024;

/// Time beyond the requested long-poll wait after which a read times out. It covers the transfer of
/// the answer.
const READ_GRACE: Duration = Duration::from_secs(2);

/// Idle time after which the client closes a connection. The server does so after 5 s, and it is
/// unknown whether a request that is sent while the server closes the connection was executed.
const KEEP_ALIVE: Seconds = Seconds(3);

/// HTTP client of one log service.
pub struct HttpLog {
    url: String,
    client: Client,
}

/// Body of an answer with status 410.
#[derive(Deserialize)]
struct Expired {
    first_offset: Offset,
}

impl HttpLog {
    /// Returns a client of the log at `url`, such as `http://127.0.0.1:7000`. It connects on the
    /// first request.
    ///
    /// # Errors
    ///
    /// The HTTP client could not be built.
    pub async fn new(url: &str) -> anyhow::Result<Self> {
        let connector = Connector::default().limit(64).keep_alive(KEEP_ALIVE);
        let client = Client::builder()
            .connector::<&str>(connector)
            .disable_redirects()
            .response_payload_limit(PAGE_MAX_BYTES)
            .disable_timeout()
            .build(SharedCfg::default())
            .await
            .map_err(|error| anyhow::anyhow!("could not build the log's client: {error}"))?;
        Ok(Self {
            url: url.to_owned(),
            client,
        })
    }

    async fn post_record(&self, stream: &str, body: &str) -> Result<Appended, AppendError> {
        let url = format!("{}/streams/{stream}/records", self.url);
        let sent = self.client.post(url).send_body(body.to_owned()).await;
        let response = sent.map_err(append_error)?;
        let status = response.status();
        if status.is_client_error() || status.is_server_error() {
            return Err(AppendError::Refused(format!("status {status}")));
        }
        if status != StatusCode::OK {
            // The record may have been appended.
            return Err(AppendError::Unknown(format!("status {status}")));
        }
        let appended = response.json::<Appended>().await;
        appended.map_err(|error| AppendError::Unknown(error.to_string()))
    }

    async fn get_page(
        &self,
        stream: &str,
        from_offset: Offset,
        wait_ms: u128,
    ) -> Result<Page, ReadError> {
        let url = format!(
            "{}/streams/{stream}/records?from={from_offset}&wait_ms={wait_ms}",
            self.url
        );
        let sent = self.client.get(url).send().await;
        let response = sent.map_err(unavailable)?;
        if response.status() == StatusCode::GONE {
            let expired = response.json::<Expired>().await.map_err(unavailable)?;
            return Err(ReadError::Expired(expired.first_offset));
        }
        if response.status() != StatusCode::OK {
            return Err(unavailable(format!("status {}", response.status())));
        }
        response
            .json::<Page>()
            .limit(PAGE_MAX_BYTES)
            .await
            .map_err(unavailable)
    }
}

impl LogService for HttpLog {
    fn append<'a>(
        &'a self,
        stream: &'a str,
        body: &'a str,
        deadline: Instant,
    ) -> LocalBoxFuture<'a, Result<Appended, AppendError>> {
        Box::pin(async move {
            let append = self.post_record(stream, body);
            match tokio::time::timeout_at(deadline.into(), append).await {
                Ok(result) => result,
                Err(_) => Err(AppendError::Unknown("the deadline passed".to_owned())),
            }
        })
    }

    fn read<'a>(
        &'a self,
        stream: &'a str,
        from_offset: Offset,
        wait_until: Instant,
    ) -> LocalBoxFuture<'a, Result<Page, ReadError>> {
        Box::pin(async move {
            let now = Instant::now();
            let wait_ms = wait_until.saturating_duration_since(now).as_millis();
            let read = self.get_page(stream, from_offset, wait_ms);
            let deadline = wait_until.max(now) + READ_GRACE;
            match tokio::time::timeout_at(deadline.into(), read).await {
                Ok(result) => result,
                Err(_) => Err(unavailable("the deadline passed")),
            }
        })
    }
}

/// Distinguishes an append that was never sent from one whose answer was lost. Not every
/// `ConnectError` means that nothing was sent: the client reports a connection that ended before
/// the answer as `ConnectError::Disconnected` without a cause.
fn append_error(error: ClientError) -> AppendError {
    match error {
        ClientError::Connect(ConnectError::Disconnected(None)) => {
            AppendError::Unknown("the connection ended before the answer".to_owned())
        }
        ClientError::Connect(error) => AppendError::Refused(error.to_string()),
        other => AppendError::Unknown(other.to_string()),
    }
}

fn unavailable(error: impl ToString) -> ReadError {
    ReadError::Unavailable(error.to_string())
}
