//! Single requests to the platform, and what their failures mean.
//!
//! The one question here is whether a write can have taken effect. Only a refused connection and
//! the statuses 412, 413 and 503 say that it did not.

use std::future::Future;
use std::net::SocketAddr;

use awc::error::SendRequestError;
use awc::http::StatusCode;
use awc::http::header::{ETAG, HeaderMap, IF_MATCH, IF_NONE_MATCH};
use awc::{Client, ClientRequest};
use bytes::Bytes;
use http_client::{BodyFraming, ClientLimits, Delivery};
use model::{Millis, RowVersion};

use crate::error::{
    FailedSnafu, MalformedSnafu, StatusSnafu, TimeoutSnafu, UnknownSnafu, UnreachableSnafu,
};
use crate::{ReadError, WriteError};

/// The longest answer that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 8 * 1_024 * 1_024;

/// The most connections to the platform.
const MAX_CONNECTIONS: usize = 8;

/// How long a connection to the platform is kept without a request.
const MAX_IDLE: Millis = Millis(2_000);

/// The connections to the platform.
#[derive(Clone)]
pub(crate) struct Http {
    base: SocketAddr,
    client: Client,
    time_limit: Millis,
}

/// An answer that was read whole.
struct Answer {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

/// How far a request came that got no whole answer.
enum Broken {
    /// Nothing of it was sent.
    NotSent(String),
    /// It may have arrived.
    Sent(String),
    /// It may have arrived, or may still do so.
    Late,
}

impl Http {
    pub(crate) fn new(base: SocketAddr, time_limit: Millis) -> Self {
        let limits = ClientLimits {
            max_connections: MAX_CONNECTIONS,
            // A connection that takes too long must end before the whole request does, so that it
            // counts as not sent.
            connect_timeout: Millis(time_limit.0 / 2),
            idle_timeout: MAX_IDLE,
        };
        let client = http_client::client(limits);
        Self { base, client, time_limit }
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}/{path}", self.base)
    }

    /// Sends a request and reads the whole answer within the time limit.
    async fn send(&self, req: ClientRequest, body: Bytes) -> Result<Answer, Broken> {
        let exchange = exchange(req, body);
        let limited = tokio::time::timeout(self.time_limit.into(), exchange).await;
        limited.unwrap_or(Err(Broken::Late))
    }

    /// Reads a row with its version; `None` if there is none.
    pub(crate) async fn get_row(
        &self,
        key: &str,
    ) -> Result<Option<(RowVersion, Bytes)>, ReadError> {
        let Some(answer) = self.get(format!("table/{key}")).await? else {
            return Ok(None);
        };
        match version_of(&answer.headers) {
            Some(version) => Ok(Some((version, answer.body))),
            None => MalformedSnafu { key, message: "expected an etag with a number" }.fail(),
        }
    }

    /// Reads an object; `None` if there is none.
    pub(crate) async fn get_object(&self, key: &str) -> Result<Option<Bytes>, ReadError> {
        let answer = self.get(format!("objects/{key}")).await?;
        Ok(answer.map(|a| a.body))
    }

    /// Writes a row if it still has the expected version, or does not exist if that is `None`.
    pub(crate) async fn put_row(
        &self,
        key: &str,
        expected: Option<RowVersion>,
        body: Bytes,
    ) -> Result<RowVersion, WriteError> {
        let req = self.client.put(self.url(&format!("table/{key}")));
        let req = match expected {
            Some(version) => req.insert_header((IF_MATCH, format!("\"{version}\""))),
            None => req.insert_header((IF_NONE_MATCH, "*")),
        };
        let answer = written(self.send(req, body).await)?;
        match version_of(&answer.headers) {
            Some(version) => Ok(version),
            None => UnknownSnafu { message: "the answer holds no version" }.fail(),
        }
    }

    /// Writes an object.
    pub(crate) async fn put_object(&self, key: &str, body: Bytes) -> Result<(), WriteError> {
        let req = self.client.put(self.url(&format!("objects/{key}")));
        written(self.send(req, body).await).map(drop)
    }

    async fn get(&self, path: String) -> Result<Option<Answer>, ReadError> {
        let req = self.client.get(self.url(&path));
        let answer = match self.send(req, Bytes::new()).await {
            Ok(answer) => answer,
            Err(Broken::NotSent(message) | Broken::Sent(message)) => {
                return UnreachableSnafu { message }.fail();
            }
            Err(Broken::Late) => return TimeoutSnafu.fail(),
        };
        match answer.status {
            StatusCode::OK => Ok(Some(answer)),
            StatusCode::NOT_FOUND => Ok(None),
            StatusCode::SERVICE_UNAVAILABLE => Err(ReadError::Outage),
            status => StatusSnafu { status: status.as_u16() }.fail(),
        }
    }
}

fn exchange(req: ClientRequest, body: Bytes) -> impl Future<Output = Result<Answer, Broken>> {
    let method = req.get_method().clone();
    let response = req.send_body(body);
    async move {
        let mut response = response.await.map_err(broken)?;
        let end = http_client::body_framing(method.as_str(), response.status(), response.headers());
        if end == BodyFraming::UntilClose {
            return Err(Broken::Sent("the answer does not say where it ends".to_owned()));
        }
        let body = response.body().limit(MAX_ANSWER_BYTES).await;
        let body = body.map_err(|e| Broken::Sent(e.to_string()))?;
        Ok(Answer { status: response.status(), headers: response.headers().clone(), body })
    }
}

/// Tells how far a request came.
fn broken(error: SendRequestError) -> Broken {
    match http_client::delivery_of(&error) {
        Delivery::NotSent => Broken::NotSent(error.to_string()),
        Delivery::MaybeSent => Broken::Sent(error.to_string()),
    }
}

/// Tells what became of a write.
fn written(result: Result<Answer, Broken>) -> Result<Answer, WriteError> {
    let answer = match result {
        Ok(answer) => answer,
        Err(Broken::NotSent(message)) => return FailedSnafu { message }.fail(),
        Err(Broken::Sent(message)) => return UnknownSnafu { message }.fail(),
        Err(Broken::Late) => return UnknownSnafu { message: "no answer in time" }.fail(),
    };
    match answer.status {
        StatusCode::OK => Ok(answer),
        StatusCode::PRECONDITION_FAILED => Err(WriteError::Conflict),
        StatusCode::PAYLOAD_TOO_LARGE => FailedSnafu { message: "too large" }.fail(),
        StatusCode::SERVICE_UNAVAILABLE => FailedSnafu { message: "the platform is down" }.fail(),
        status => UnknownSnafu { message: format!("status {status}") }.fail(),
    }
}

fn version_of(headers: &HeaderMap) -> Option<RowVersion> {
    let text = headers.get(ETAG)?.to_str().ok()?;
    let number = text.strip_prefix('"')?.strip_suffix('"')?;
    number.parse().ok().map(RowVersion)
}
