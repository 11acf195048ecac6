//! The HTTP listener on which the local backend server announces itself.

use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http1::BodyError;
use http1::server::{RequestBody, ResponseBody};
use mesh::{HolderId, Purpose};

use crate::backend::{Announcement, BackendChange};
use crate::context::Cx;
use crate::listener::plain_response;
use crate::owner;

/// The maximum size of an announcement, in bytes.
const MAX_ANNOUNCEMENT_BYTES: usize = 4_096;

/// Handles a request of the backend server.
pub async fn handle(
    cx: &Cx,
    holder: HolderId,
    req: Request<RequestBody>,
) -> Response<ResponseBody> {
    let (head, body) = req.into_parts();
    match (head.uri.path(), head.method) {
        ("/announce", Method::POST) => {}
        ("/announce", _) => return plain_response(StatusCode::METHOD_NOT_ALLOWED, ""),
        _ => return plain_response(StatusCode::NOT_FOUND, ""),
    }
    // Announcements matter more than new requests.
    let mut room = cx.memory.request(holder, Purpose::Control, Duration::ZERO);
    match http1::read_body_with_room(body, MAX_ANNOUNCEMENT_BYTES, &mut room).await {
        Ok(body) => announce(cx, &body),
        Err(BodyError::TooLong { .. }) => plain_response(StatusCode::PAYLOAD_TOO_LARGE, ""),
        Err(BodyError::NoRoom) => plain_response(StatusCode::SERVICE_UNAVAILABLE, "no memory"),
        Err(e @ BodyError::Incomplete { .. }) => {
            plain_response(StatusCode::BAD_REQUEST, e.to_string())
        }
    }
}

fn announce(cx: &Cx, body: &Bytes) -> Response<ResponseBody> {
    let announcement: Announcement = match serde_json::from_slice(body) {
        Ok(announcement) => announcement,
        Err(e) => return plain_response(StatusCode::BAD_REQUEST, e.to_string()),
    };
    let service = &cx.settings.cell.service;
    if announcement.service != service.as_str() {
        let reason = format!("found the service {:?}, expected {service}", announcement.service);
        return plain_response(StatusCode::UNPROCESSABLE_ENTITY, reason);
    }
    let change = cx.backend.record_announcement(&announcement, cx.now());
    owner::apply_announcement(cx, change);
    plain_response(StatusCode::NO_CONTENT, "")
}

/// Marks the backend server as down if its announcements have stopped.
pub fn check_backend_timeout(cx: &Cx) {
    if cx.backend.expire(cx.now()) == BackendChange::Down {
        let cx = cx.clone();
        actix_rt::spawn(async move { owner::handle_backend_loss(&cx).await });
    }
}
