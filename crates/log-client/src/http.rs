//! The log over HTTP: `POST /streams/S/records` and `GET /streams/S/records?from=N&wait_ms=M`.

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

/// Largest page that is read, in bytes.
const PAGE_MAX_BYTES: usize = 32 * 1_024 * 1_024;

/// Grace beyond the wait that a read asks for, for the answer's way back.
const READ_GRACE: Duration = Duration::from_secs(2);

/// Idle connections are closed after this, before the server does so after 5 s: a request on a
/// connection that is just being closed has an open fate.
const KEEP_ALIVE: Seconds = Seconds(3);

/// Client of one log service.
pub struct HttpLog {
    url: String,
    client: Client,
}

#[derive(Deserialize)]
struct Expired {
    first_offset: Offset,
}

impl HttpLog {
    /// Connects lazily to the log at `url`, like `http://127.0.0.1:7000`.
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

    async fn append_once(&self, stream: &str, body: &str) -> Result<Appended, AppendError> {
        let url = format!("{}/streams/{stream}/records", self.url);
        let sent = self.client.post(url).send_body(body.to_owned()).await;
        let response = sent.map_err(append_error)?;
        if response.status() != StatusCode::OK {
            return Err(AppendError::Refused(format!(
                "status {}",
                response.status()
            )));
        }
        let appended = response.json::<Appended>().await;
        appended.map_err(|error| AppendError::Unknown(error.to_string()))
    }

    async fn read_once(
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
            let append = self.append_once(stream, body);
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
            let read = self.read_once(stream, from_offset, wait_ms);
            let deadline = wait_until.max(now) + READ_GRACE;
            match tokio::time::timeout_at(deadline.into(), read).await {
                Ok(result) => result,
                Err(_) => Err(unavailable("the deadline passed")),
            }
        })
    }
}

/// Tells an append that was never sent from one whose answer was lost. The client reports a
/// connection that ended before the answer as a `ConnectError` too, the one without a cause.
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
