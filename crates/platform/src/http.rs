//! Single requests to the platform, and the classification of their failures.
//!
//! For a write, what matters is whether it can have taken effect. Only a connection that was never
//! established and the statuses 412, 413 and 503 prove that it did not.

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

/// The largest response body that is read, in bytes.
const MAX_RESPONSE_BYTES: usize = 8 * 1_024 * 1_024;

/// The most concurrent connections to the platform.
const MAX_CONNECTIONS: usize = 8;

/// How long an idle connection to the platform is kept open.
const IDLE_TIMEOUT: Millis = Millis(2_000);

/// The HTTP client of the platform, with its connection pool.
#[derive(Clone)]
pub(crate) struct Http {
    base: SocketAddr,
    client: Client,
    time_limit: Millis,
}

/// A response that was read completely.
struct Response {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

/// Why a request got no complete response, and whether it may have been sent.
enum SendError {
    /// No part of the request was sent.
    NotSent(String),
    /// The request may have arrived.
    MaybeSent(String),
    /// The time limit passed; the request may have arrived, or may still do so.
    TimedOut,
}

impl Http {
    pub(crate) fn new(base: SocketAddr, time_limit: Millis) -> Self {
        let limits = ClientLimits {
            max_connections: MAX_CONNECTIONS,
            // Connecting must time out before the whole request does, so that a connect timeout
            // counts as not sent.
            connect_timeout: Millis(time_limit.0 / 2),
            idle_timeout: IDLE_TIMEOUT,
        };
        let client = http_client::client(limits);
        Self { base, client, time_limit }
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}/{path}", self.base)
    }

    /// Sends a request and reads the complete response within the time limit.
    async fn send(&self, req: ClientRequest, body: Bytes) -> Result<Response, SendError> {
        let exchange = exchange(req, body);
        let limited = tokio::time::timeout(self.time_limit.into(), exchange).await;
        limited.unwrap_or(Err(SendError::TimedOut))
    }

    /// Reads a row with its version; `None` if it does not exist.
    pub(crate) async fn get_row(
        &self,
        key: &str,
    ) -> Result<Option<(RowVersion, Bytes)>, ReadError> {
        let Some(response) = self.get(format!("table/{key}")).await? else {
            return Ok(None);
        };
        match parse_etag(&response.headers) {
            Some(version) => Ok(Some((version, response.body))),
            None => MalformedSnafu { key, message: "expected an etag with a number" }.fail(),
        }
    }

    /// Reads an object; `None` if it does not exist.
    pub(crate) async fn get_object(&self, key: &str) -> Result<Option<Bytes>, ReadError> {
        let response = self.get(format!("objects/{key}")).await?;
        Ok(response.map(|r| r.body))
    }

    /// Writes a row if it still has the `expected` version; `None` expects that it does not exist.
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
        let response = write_outcome(self.send(req, body).await)?;
        match parse_etag(&response.headers) {
            Some(version) => Ok(version),
            None => UnknownSnafu { message: "the response has no version in its etag" }.fail(),
        }
    }

    /// Writes an object.
    pub(crate) async fn put_object(&self, key: &str, body: Bytes) -> Result<(), WriteError> {
        let req = self.client.put(self.url(&format!("objects/{key}")));
        write_outcome(self.send(req, body).await).map(drop)
    }

    async fn get(&self, path: String) -> Result<Option<Response>, ReadError> {
        let req = self.client.get(self.url(&path));
        let response = match self.send(req, Bytes::new()).await {
            Ok(response) => response,
            Err(SendError::NotSent(message) | SendError::MaybeSent(message)) => {
                return UnreachableSnafu { message }.fail();
            }
            Err(SendError::TimedOut) => return TimeoutSnafu.fail(),
        };
        match response.status {
            StatusCode::OK => Ok(Some(response)),
            StatusCode::NOT_FOUND => Ok(None),
            StatusCode::SERVICE_UNAVAILABLE => Err(ReadError::Outage),
            status => StatusSnafu { status: status.as_u16() }.fail(),
        }
    }
}

fn exchange(req: ClientRequest, body: Bytes) -> impl Future<Output = Result<Response, SendError>> {
    let method = req.get_method().clone();
    let response = req.send_body(body);
    async move {
        let mut response = response.await.map_err(classify_send_error)?;
        let end = http_client::body_framing(method.as_str(), response.status(), response.headers());
        if end == BodyFraming::UntilClose {
            return Err(SendError::MaybeSent("the response body has no defined end".to_owned()));
        }
        let body = response.body().limit(MAX_RESPONSE_BYTES).await;
        let body = body.map_err(|e| SendError::MaybeSent(e.to_string()))?;
        Ok(Response { status: response.status(), headers: response.headers().clone(), body })
    }
}

/// Classifies a transport error by whether the request may have been sent.
fn classify_send_error(error: SendRequestError) -> SendError {
    match http_client::delivery_of(&error) {
        Delivery::NotSent => SendError::NotSent(error.to_string()),
        Delivery::MaybeSent => SendError::MaybeSent(error.to_string()),
    }
}

/// Converts the response to a write, or the lack of one, to the outcome of the write.
fn write_outcome(result: Result<Response, SendError>) -> Result<Response, WriteError> {
    let response = match result {
        Ok(response) => response,
        Err(SendError::NotSent(message)) => return FailedSnafu { message }.fail(),
        Err(SendError::MaybeSent(message)) => return UnknownSnafu { message }.fail(),
        Err(SendError::TimedOut) => {
            return UnknownSnafu { message: "no response within the time limit" }.fail();
        }
    };
    match response.status {
        StatusCode::OK => Ok(response),
        StatusCode::PRECONDITION_FAILED => Err(WriteError::Conflict),
        StatusCode::PAYLOAD_TOO_LARGE => FailedSnafu { message: "too large" }.fail(),
        StatusCode::SERVICE_UNAVAILABLE => FailedSnafu { message: "the platform is down" }.fail(),
        status => UnknownSnafu { message: format!("status {status}") }.fail(),
    }
}

fn parse_etag(headers: &HeaderMap) -> Option<RowVersion> {
    let text = headers.get(ETAG)?.to_str().ok()?;
    let number = text.strip_prefix('"')?.strip_suffix('"')?;
    number.parse().ok().map(RowVersion)
}
