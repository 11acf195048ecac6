//! The HTTP API of the platform stand-in.

use std::any::Any;
use std::io;
use std::net::{Shutdown, TcpListener, TcpStream};
use std::os::fd::AsFd;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use actix_web::dev::{Extensions, ServerHandle};
use actix_web::http::header::{ETAG, HeaderName, IF_MATCH, IF_NONE_MATCH};
use actix_web::{App, HttpRequest, HttpResponse, HttpServer, web};
use bytes::Bytes;
use serde::Deserialize;

use super::store::{Condition, ConditionalPut, Faults, MAX_OBJECT_BYTES, Store, WriteError};

/// The largest body that is read. It exceeds the largest object, so that a body that is too large
/// for the store is read and answered with 413.
const MAX_BODY_BYTES: usize = 2 * MAX_OBJECT_BYTES;

/// The store, shared by all connections.
type SharedStore = web::Data<Mutex<Store>>;

/// The socket of a connection, stored so that a fault can close it without a response.
struct Socket(Arc<TcpStream>);

/// Starts the stand-in on `listener`, inside the running actix system.
///
/// The server runs until the returned handle stops it or the system ends.
pub fn start(listener: TcpListener) -> io::Result<ServerHandle> {
    listener.set_nonblocking(true)?;
    let store = SharedStore::new(Mutex::new(Store::default()));
    let server = HttpServer::new(move || App::new().app_data(store.clone()).configure(routes))
        .on_connect(store_socket)
        .workers(1)
        .disable_signals()
        .listen(listener)?
        .run();
    let handle = server.handle();
    actix_rt::spawn(server);
    Ok(handle)
}

fn routes(cfg: &mut web::ServiceConfig) {
    cfg.app_data(web::PayloadConfig::new(MAX_BODY_BYTES))
        .app_data(web::JsonConfig::default().limit(MAX_BODY_BYTES))
        .route("/table/{key:.*}", web::get().to(get_row))
        .route("/table/{key:.*}", web::put().to(put_row))
        .route("/transact", web::post().to(transact))
        .route("/objects/{key:.*}", web::get().to(get_object))
        .route("/objects/{key:.*}", web::put().to(put_object))
        .route("/admin/faults", web::put().to(put_faults))
        .route("/admin/counters", web::get().to(get_counters));
}

fn store_socket(connection: &dyn Any, extensions: &mut Extensions) {
    let Some(stream) = connection.downcast_ref::<actix_web::rt::net::TcpStream>() else {
        return;
    };
    let Ok(fd) = stream.as_fd().try_clone_to_owned() else {
        return;
    };
    extensions.insert(Socket(Arc::new(TcpStream::from(fd))));
}

fn lock(store: &SharedStore) -> MutexGuard<'_, Store> {
    store.lock().unwrap_or_else(PoisonError::into_inner)
}

fn outage_response() -> HttpResponse {
    HttpResponse::ServiceUnavailable().body("outage")
}

/// Counts a read and returns the faults in effect for it.
fn begin_read(store: &SharedStore) -> Faults {
    let mut store = lock(store);
    store.count_read();
    store.faults()
}

/// Counts a write and returns the faults in effect for it.
fn begin_write(store: &SharedStore) -> Faults {
    let mut store = lock(store);
    store.count_write();
    store.faults()
}

async fn delay(faults: Faults) {
    if faults.delay_ms > 0 {
        actix_rt::time::sleep(Duration::from_millis(faults.delay_ms)).await;
    }
}

/// Delays the response to a write that was applied, and closes the connection first if the
/// response is to be lost.
async fn write_response(req: &HttpRequest, faults: Faults, response: HttpResponse) -> HttpResponse {
    delay(faults).await;
    if faults.lose_write_answers {
        close_connection(req);
    }
    response
}

fn close_connection(req: &HttpRequest) {
    if let Some(Socket(stream)) = req.conn_data::<Socket>() {
        // Shutting down a socket that the peer has already closed fails harmlessly.
        let _ = stream.shutdown(Shutdown::Both);
    }
}

async fn get_row(store: SharedStore, key: web::Path<String>) -> HttpResponse {
    let faults = begin_read(&store);
    if faults.outage {
        return outage_response();
    }
    let found = lock(&store).row(&key);
    delay(faults).await;
    match found {
        Some((version, value)) => {
            HttpResponse::Ok().insert_header((ETAG, format_etag(version))).body(value)
        }
        None => HttpResponse::NotFound().finish(),
    }
}

async fn put_row(
    req: HttpRequest,
    store: SharedStore,
    key: web::Path<String>,
    value: Bytes,
) -> HttpResponse {
    let faults = begin_write(&store);
    if faults.outage {
        return outage_response();
    }
    let Some(condition) = parse_condition(&req) else {
        return HttpResponse::BadRequest().body("expected if-match: \"N\" or if-none-match: *");
    };
    let put = ConditionalPut { key: key.into_inner(), condition, value };
    if faults.late_write_ms > 0 {
        close_connection(&req);
        actix_rt::spawn(apply_late_write(store, put, faults.late_write_ms));
        return outage_response();
    }
    let result = lock(&store).transact(&[put]);
    let response = match result {
        Ok(versions) => {
            let version = versions.first().copied().unwrap_or_default();
            HttpResponse::Ok().insert_header((ETAG, format_etag(version))).finish()
        }
        Err(error) => write_error_response(error),
    };
    write_response(&req, faults, response).await
}

async fn apply_late_write(store: SharedStore, put: ConditionalPut, delay_ms: u64) {
    actix_rt::time::sleep(Duration::from_millis(delay_ms)).await;
    // The connection is closed, so a conflict cannot be reported.
    let _ = lock(&store).transact(&[put]);
}

/// One write of a transaction, as JSON.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct TransactionPut {
    key: String,
    /// The expected version; `null` or absent if the row must not exist.
    #[serde(default)]
    if_match: Option<u64>,
    value: String,
}

impl From<TransactionPut> for ConditionalPut {
    fn from(doc: TransactionPut) -> Self {
        let condition = doc.if_match.map_or(Condition::Absent, Condition::Version);
        Self { key: doc.key, condition, value: Bytes::from(doc.value) }
    }
}

async fn transact(
    req: HttpRequest,
    store: SharedStore,
    docs: web::Json<Vec<TransactionPut>>,
) -> HttpResponse {
    let faults = begin_write(&store);
    if faults.outage {
        return outage_response();
    }
    let puts: Vec<ConditionalPut> =
        docs.into_inner().into_iter().map(ConditionalPut::from).collect();
    let result = lock(&store).transact(&puts);
    let response = match result {
        Ok(versions) => HttpResponse::Ok().json(versions),
        Err(error) => write_error_response(error),
    };
    write_response(&req, faults, response).await
}

async fn get_object(store: SharedStore, key: web::Path<String>) -> HttpResponse {
    let faults = begin_read(&store);
    if faults.outage {
        return outage_response();
    }
    let found = lock(&store).object(&key);
    delay(faults).await;
    match found {
        Some(value) => HttpResponse::Ok().body(value),
        None => HttpResponse::NotFound().finish(),
    }
}

async fn put_object(
    req: HttpRequest,
    store: SharedStore,
    key: web::Path<String>,
    value: Bytes,
) -> HttpResponse {
    let faults = begin_write(&store);
    if faults.outage {
        return outage_response();
    }
    let result = lock(&store).put_object(&key, value);
    let response = match result {
        Ok(()) => HttpResponse::Ok().finish(),
        Err(error) => write_error_response(error),
    };
    write_response(&req, faults, response).await
}

async fn put_faults(store: SharedStore, faults: web::Json<Faults>) -> HttpResponse {
    lock(&store).set_faults(faults.into_inner());
    HttpResponse::NoContent().finish()
}

async fn get_counters(store: SharedStore) -> HttpResponse {
    HttpResponse::Ok().json(lock(&store).counters())
}

fn write_error_response(error: WriteError) -> HttpResponse {
    match error {
        WriteError::Conflict => HttpResponse::PreconditionFailed().finish(),
        WriteError::TooLarge => HttpResponse::PayloadTooLarge().finish(),
    }
}

fn format_etag(version: u64) -> String {
    format!("\"{version}\"")
}

fn parse_condition(req: &HttpRequest) -> Option<Condition> {
    let header = |name: HeaderName| req.headers().get(name)?.to_str().ok();
    if header(IF_NONE_MATCH) == Some("*") {
        return Some(Condition::Absent);
    }
    let version = header(IF_MATCH)?.strip_prefix('"')?.strip_suffix('"')?;
    version.parse().ok().map(Condition::Version)
}
