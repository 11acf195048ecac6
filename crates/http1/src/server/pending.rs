//! A request whose response is not encoded yet.

use std::cell::RefCell;
use std::rc::Rc;

use bytes::Bytes;
use http::header::CONNECTION;
use http::{Method, Request, Response, StatusCode, Version, request, response};

use super::body::{BodyState, RequestBody};
use super::head::{HeadError, response_head_bytes};
use super::response_body::ResponseBody;
use crate::has_token;

/// A request whose response is not encoded yet.
pub(super) struct Pending<G> {
    pub(super) is_http_10: bool,
    pub(super) is_head: bool,
    /// Whether it must wait until the responses before it are written, as far as that is known.
    pub(super) must_wait: bool,
    pub(super) body: Option<Rc<RefCell<BodyState>>>,
    pub(super) state: State<G>,
    /// What its head takes in memory, also while its handler has it.
    head_bytes: usize,
}

/// How far a request is.
pub(super) enum State<G> {
    /// Its handler is not started.
    Waiting(request::Parts, RequestBody),
    /// Its handler runs.
    Running,
    /// Its response is complete, or its body is read while it is written.
    Done(Answer<G>),
}

/// A response to be written.
pub(super) struct Answer<G> {
    pub(super) head: response::Parts,
    pub(super) body: ResponseBody,
    /// Whether the connection closes after it.
    pub(super) close: bool,
    pub(super) guard: Option<G>,
}

impl<G> Pending<G> {
    /// Creates a request whose handler is not started.
    pub(super) fn new(
        head: request::Parts,
        head_bytes: usize,
        body: RequestBody,
        body_state: Option<Rc<RefCell<BodyState>>>,
    ) -> Self {
        Self {
            is_http_10: head.version == Version::HTTP_10,
            is_head: head.method == Method::HEAD,
            must_wait: false,
            body: body_state,
            state: State::Waiting(head, body),
            head_bytes,
        }
    }

    /// Creates the refusal of a head.
    pub(super) fn refused(error: HeadError) -> Self {
        let status = match error {
            HeadError::Malformed => StatusCode::BAD_REQUEST,
            HeadError::TooLong => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
        };
        let answer = Answer { close: true, ..Answer::empty(status) };
        Self {
            is_http_10: false,
            is_head: false,
            must_wait: false,
            body: None,
            state: State::Done(answer),
            head_bytes: 0,
        }
    }

    /// Returns the number of bytes of its body that its handler has not taken.
    pub(super) fn unread_bytes(&self) -> usize {
        self.body.as_ref().map_or(0, |b| b.borrow().unread_bytes())
    }

    /// Returns what it takes in memory, without what its handler holds and the body of its response.
    pub(super) fn allocated_bytes(&self) -> usize {
        let head = match &self.state {
            State::Waiting(..) | State::Running => self.head_bytes,
            State::Done(answer) => response_head_bytes(&answer.head.headers),
        };
        let body = self.body.as_ref().map_or(0, |b| b.borrow().allocated_bytes());
        size_of::<Self>() + head + body
    }

    /// Returns the number of bytes of its response that are in memory.
    pub(super) fn unwritten_bytes(&self) -> usize {
        match &self.state {
            State::Done(answer) => answer.body.len(),
            State::Waiting(..) | State::Running => 0,
        }
    }

    /// Starts the request, unless it was started before.
    pub(super) fn start(&mut self) -> Option<Request<RequestBody>> {
        match std::mem::replace(&mut self.state, State::Running) {
            State::Waiting(head, body) => Some(Request::from_parts(head, body)),
            other => {
                self.state = other;
                None
            }
        }
    }
}

impl<G> Answer<G> {
    /// Creates the answer with the response of a handler.
    pub(super) fn new(response: Response<ResponseBody>, guard: G) -> Self {
        let (head, body) = response.into_parts();
        if head.status.is_informational() {
            // The caller would wait for another response.
            let answer = Self::empty(StatusCode::INTERNAL_SERVER_ERROR);
            return Self { close: true, guard: Some(guard), ..answer };
        }
        let close = has_token(&head.headers, CONNECTION, "close");
        Self { head, body, close, guard: Some(guard) }
    }

    fn empty(status: StatusCode) -> Self {
        let (mut head, ()) = Response::new(()).into_parts();
        head.status = status;
        Self { head, body: ResponseBody::Full(Bytes::new()), close: false, guard: None }
    }
}
