//! The HTTP listener on which the local backend server announces itself.

use actix_web::{App, HttpResponse, HttpServer, web};
use model::ServiceName;
use tokio::sync::mpsc;

use crate::backend::{Announcement, BackendChange};
use crate::context::Cx;
use crate::owner;

/// The maximum size of an announcement, in bytes.
const MAX_ANNOUNCEMENT_BYTES: usize = 4_096;

/// How many announcements the channel to the host thread buffers.
const ANNOUNCEMENT_QUEUE_CAPACITY: usize = 16;

#[derive(Clone)]
struct AnnounceState {
    service: ServiceName,
    tx: mpsc::Sender<Announcement>,
}

/// Starts the listener and a task that processes the announcements.
pub fn listen(listener: std::net::TcpListener, cx: &Cx) -> std::io::Result<actix_web::dev::Server> {
    let (tx, rx) = mpsc::channel(ANNOUNCEMENT_QUEUE_CAPACITY);
    actix_rt::spawn(process_announcements(cx.clone(), rx));
    let state = AnnounceState { service: cx.settings.cell.service.clone(), tx };
    let server = HttpServer::new(move || {
        App::new()
            .app_data(web::Data::new(state.clone()))
            .app_data(web::JsonConfig::default().limit(MAX_ANNOUNCEMENT_BYTES))
            .route("/announce", web::post().to(announce))
    });
    Ok(server.workers(1).disable_signals().listen(listener)?.run())
}

async fn announce(body: web::Json<Announcement>, state: web::Data<AnnounceState>) -> HttpResponse {
    let announcement = body.into_inner();
    if announcement.service != state.service.as_str() {
        let reason =
            format!("found the service {:?}, expected {}", announcement.service, state.service);
        return HttpResponse::UnprocessableEntity().body(reason);
    }
    match state.tx.send(announcement).await {
        Ok(()) => HttpResponse::NoContent().finish(),
        Err(_) => HttpResponse::ServiceUnavailable().body("the host process is stopping"),
    }
}

async fn process_announcements(cx: Cx, mut rx: mpsc::Receiver<Announcement>) {
    while let Some(announcement) = rx.recv().await {
        let change = cx.backend.record_announcement(&announcement, cx.now());
        owner::apply_announcement(&cx, change);
    }
}

/// Marks the backend server as down if its announcements have stopped.
pub fn check_backend_timeout(cx: &Cx) {
    if cx.backend.expire(cx.now()) == BackendChange::Down {
        let cx = cx.clone();
        actix_rt::spawn(async move { owner::handle_backend_loss(&cx).await });
    }
}
