//! The control endpoints of a backend server, and the endpoints that tests use.

use actix_web::{HttpResponse, Responder, get, put, web};

use super::SharedState;
use super::protocol::{Cancel, FaultSettings, Grants};

type Cx = web::Data<SharedState>;

/// Registers the control and test endpoints.
pub fn configure(cfg: &mut web::ServiceConfig) {
    cfg.service(put_grants).service(put_cancel).service(put_drain);
    cfg.service(get_health).service(get_load);
    cfg.service(get_runs).service(put_fault_settings);
}

#[put("/papayarill/grants")]
async fn put_grants(cx: Cx, grants: web::Json<Grants>) -> impl Responder {
    let now = cx.clock.now();
    match cx.state().replace_grants(grants.into_inner(), now) {
        Ok(()) => HttpResponse::NoContent().finish(),
        Err(partition) => HttpResponse::Conflict()
            .body(format!("partition {partition}: found a lower fence or a second grant\n")),
    }
}

#[put("/papayarill/cancel")]
async fn put_cancel(cx: Cx, cancel: web::Json<Cancel>) -> impl Responder {
    let cancelled = cx.state().cancel(cancel.call);
    HttpResponse::Ok().json(serde_json::json!({ "cancelled": cancelled }))
}

#[put("/papayarill/drain")]
async fn put_drain(cx: Cx) -> impl Responder {
    cx.drain();
    HttpResponse::NoContent().finish()
}

#[get("/papayarill/health")]
async fn get_health(cx: Cx) -> impl Responder {
    let now = cx.clock.now();
    let state = cx.state();
    let mut response =
        if state.is_healthy() { HttpResponse::Ok() } else { HttpResponse::ServiceUnavailable() };
    response.json(serde_json::json!({ "state": state.phase(now) }))
}

#[get("/papayarill/load")]
async fn get_load(cx: Cx) -> impl Responder {
    HttpResponse::Ok().json(cx.state().load())
}

#[get("/stand-in/runs")]
async fn get_runs(cx: Cx) -> impl Responder {
    HttpResponse::Ok().json(cx.state().runs())
}

#[put("/stand-in/mode")]
async fn put_fault_settings(cx: Cx, fault_settings: web::Json<FaultSettings>) -> impl Responder {
    cx.state().set_fault_settings(fault_settings.into_inner());
    HttpResponse::NoContent().finish()
}
