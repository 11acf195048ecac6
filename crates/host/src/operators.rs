//! The listener for operators: metrics, health, status, explanations and orders.

use std::rc::Rc;
use std::sync::Arc;

use actix::{Actor, Addr, Context, Handler, Message};
use actix_web::{App, HttpResponse, HttpServer, web};
use metrics_exporter_prometheus::PrometheusHandle;
use model::{Fence, HostAddr, Incarnation, Partition, Session};
use ownership::Event;
use serde::{Deserialize, Serialize};

use wire::BlockedPeers;

use crate::decisions::KeptDecision;
use crate::settings::TestSwitches;
use crate::shared::Cx;
use crate::{drain, owner, routes};

/// How many decisions an explanation shows.
const EXPLAINED_DECISIONS: usize = 20;

/// Answers operators' questions on the thread of the host process.
pub struct Operators {
    /// The parts of the host process.
    pub cx: Cx,
    /// The listener for host processes.
    pub hosts: Rc<wire::Server>,
}

impl Operators {
    fn cut(&self, cut: BlockedPeers) {
        if self.cx.settings.test_switches == TestSwitches::Off {
            log::warn!("host: Refused to be cut off; test_switches is off.");
            return;
        }
        log::warn!("host: Other host processes: {cut:?}.");
        self.cx.client.block_peers(cut.clone());
        self.hosts.block_peers(cut);
    }
}

impl Actor for Operators {
    type Context = Context<Self>;
}

/// Asks for the state of this host process.
pub struct AskStatus;

impl Message for AskStatus {
    type Result = Answer<Status>;
}

/// An answer that an actor gives.
#[derive(actix::MessageResponse)]
pub struct Answer<T: 'static>(pub T);

/// The state of one host process, as operators see it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Status {
    /// The cell of this host.
    pub cell: String,
    /// Where this host listens to other host processes.
    pub addr: HostAddr,
    /// The availability zone of this host.
    pub zone: String,
    /// The epoch that this host knows.
    pub epoch: u64,
    /// The version of the newest row that this host knows.
    pub row_version: u64,
    /// The addresses of the grantors, in order of succession.
    pub grantors: Vec<HostAddr>,
    /// Whether this host is the coordinator of its cell.
    pub coordinator: bool,
    /// The session of this host.
    pub session: Option<String>,
    /// How long the lease of this host still runs, in milliseconds.
    pub lease_left_ms: Option<u64>,
    /// The members in the row.
    pub members: Vec<MemberStatus>,
    /// The assignments in the row.
    pub partitions: Vec<PartitionStatus>,
    /// The version of the configuration in force.
    pub config_version: u64,
    /// How this host is doing.
    pub state: HostState,
    /// Whether a backend server is up.
    pub backend_server: Option<String>,
    /// Requests that run at the backend server.
    pub running: usize,
    /// Requests that wait for a slot.
    pub waiting: usize,
    /// Digests, in hexadecimal, of requests that are refused because they crash backend servers.
    pub quarantined: Vec<String>,
}

/// Whether a host takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum HostState {
    /// It does.
    Serving,
    /// It is leaving.
    Draining,
}

/// One member of the cell.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The membership.
    pub session: String,
    /// Its address.
    pub addr: HostAddr,
    /// Its availability zone.
    pub zone: String,
}

/// One partition of the cell.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PartitionStatus {
    /// The partition.
    pub partition: u32,
    /// The fence.
    pub fence: u64,
    /// The session of the owner.
    pub owner: String,
    /// The session of the standby.
    pub standby: Option<String>,
}

/// Asks who owns a key and why.
#[derive(Deserialize)]
pub struct AskWhy {
    /// The service.
    pub service: String,
    /// The key.
    pub key: String,
}

impl Message for AskWhy {
    type Result = Answer<Result<Why, String>>;
}

/// Who owns a key, and the last decisions about its partition on this host.
#[derive(Clone, Debug, Serialize)]
pub struct Why {
    /// The service.
    pub service: String,
    /// The key.
    pub key: String,
    /// The partition of the key.
    pub partition: Partition,
    /// The cell of the partition.
    pub cell: String,
    /// The owner, as far as this host knows.
    pub owner: Option<HostAddr>,
    /// The fence of the owner.
    pub fence: Option<Fence>,
    /// The last decisions of this host about the partition, oldest first.
    pub decisions: Vec<KeptDecision>,
}

/// Orders from operators.
pub enum Order {
    /// Leave the cell and stop.
    Drain,
    /// These sessions are dead for good.
    DeclareDead(Vec<Session>),
    /// Let a quarantined request run again.
    LiftQuarantine(u64),
    /// Cut this host process off from all others, or end that; for tests.
    Cut(BlockedPeers),
}

impl Message for Order {
    type Result = ();
}

impl Handler<AskStatus> for Operators {
    type Result = Answer<Status>;

    fn handle(&mut self, _: AskStatus, _: &mut Self::Context) -> Answer<Status> {
        Answer(status(&self.cx))
    }
}

impl Handler<AskWhy> for Operators {
    type Result = Answer<Result<Why, String>>;

    fn handle(&mut self, ask: AskWhy, _: &mut Self::Context) -> Self::Result {
        Answer(why(&self.cx, ask))
    }
}

impl Handler<Order> for Operators {
    type Result = ();

    fn handle(&mut self, order: Order, _: &mut Self::Context) {
        match order {
            Order::Drain => drain::begin(&self.cx),
            Order::DeclareDead(sessions) => self.cx.feed(Event::DeclaredDead(sessions)),
            Order::Cut(cut) => self.cut(cut),
            Order::LiftQuarantine(digest) => owner::lift_quarantine(&self.cx, digest),
        }
    }
}

fn status(cx: &Cx) -> Status {
    let node = cx.node.borrow();
    let now = cx.now();
    let lease = node.lease(now);
    let row = node.row();
    Status {
        cell: cx.settings.cell.to_string(),
        addr: cx.addr,
        zone: cx.settings.zone.to_string(),
        epoch: node.epoch().0,
        row_version: row.map_or(0, |r| r.version.0),
        grantors: row.map_or_else(Vec::new, |r| r.row.grantors.iter().map(|g| g.addr).collect()),
        coordinator: node.is_coordinator(),
        session: lease.map(|(session, _)| session.to_string()),
        lease_left_ms: lease.map(|(_, end)| end.since(now).0),
        members: row.map_or_else(Vec::new, |r| r.row.members.iter().map(member_status).collect()),
        partitions: row
            .map_or_else(Vec::new, |r| r.row.assignments.iter().map(partition_status).collect()),
        config_version: cx.config_version().0,
        state: if cx.draining.get() { HostState::Draining } else { HostState::Serving },
        backend_server: cx.backend.view().map(|v| v.addr.to_string()),
        running: cx.owner.running(),
        waiting: cx.owner.waiting(),
        quarantined: owner::quarantined(cx).iter().map(|d| format!("{d:x}")).collect(),
    }
}

fn member_status(member: &ownership::MemberEntry) -> MemberStatus {
    MemberStatus {
        session: member.session.to_string(),
        addr: member.addr,
        zone: member.zone.to_string(),
    }
}

fn partition_status(assignment: &ownership::Assignment) -> PartitionStatus {
    PartitionStatus {
        partition: assignment.partition.0,
        fence: assignment.fence.0,
        owner: assignment.owner.to_string(),
        standby: assignment.standby.map(|s| s.to_string()),
    }
}

fn why(cx: &Cx, ask: AskWhy) -> Result<Why, String> {
    let config = cx.config.current();
    let service = config.service(&ask.service).ok_or_else(|| {
        format!("found the service {:?}, expected one of the configuration", ask.service)
    })?;
    let partition = model::partition_of(&ask.key, service.partitions);
    let cell = service.cell_of(partition);
    let route = routes::known(cx, &cell, partition);
    let own = cell == cx.settings.cell;
    Ok(Why {
        service: ask.service,
        key: ask.key,
        partition,
        owner: route.map(|r| r.owner),
        fence: route.map(|r| r.fence),
        decisions: if own {
            cx.decisions.about(partition, EXPLAINED_DECISIONS)
        } else {
            Vec::new()
        },
        cell: cell.to_string(),
    })
}

#[derive(Clone)]
struct OperatorsState {
    operators: Addr<Operators>,
    metrics: Arc<PrometheusHandle>,
}

/// Starts the listener.
pub fn listen(
    listener: std::net::TcpListener,
    operators: Addr<Operators>,
    metrics: Arc<PrometheusHandle>,
) -> std::io::Result<actix_web::dev::Server> {
    let state = OperatorsState { operators, metrics };
    let server = HttpServer::new(move || {
        App::new()
            .app_data(web::Data::new(state.clone()))
            .route("/metrics", web::get().to(get_metrics))
            .route("/healthz", web::get().to(get_health))
            .route("/status", web::get().to(get_status))
            .route("/explain", web::get().to(get_explanation))
            .route("/drain", web::post().to(post_drain))
            .route("/cut", web::post().to(post_cut))
            .route("/cut", web::delete().to(delete_cut))
            .route("/declare-dead", web::post().to(post_declare_dead))
            .route("/quarantine/{digest}", web::delete().to(delete_quarantine))
    });
    Ok(server.workers(1).disable_signals().listen(listener)?.run())
}

async fn get_metrics(state: web::Data<OperatorsState>) -> HttpResponse {
    HttpResponse::Ok().content_type("text/plain; version=0.0.4").body(state.metrics.render())
}

async fn get_health(state: web::Data<OperatorsState>) -> HttpResponse {
    match state.operators.send(AskStatus).await {
        Ok(Answer(status)) if status.lease_left_ms.is_some() => HttpResponse::Ok().body("ok"),
        Ok(_) => HttpResponse::ServiceUnavailable().body("no lease"),
        Err(_) => HttpResponse::ServiceUnavailable().body("stopping"),
    }
}

async fn get_status(state: web::Data<OperatorsState>) -> HttpResponse {
    match state.operators.send(AskStatus).await {
        Ok(Answer(status)) => HttpResponse::Ok().json(status),
        Err(_) => HttpResponse::ServiceUnavailable().body("stopping"),
    }
}

async fn get_explanation(
    ask: web::Query<AskWhy>,
    state: web::Data<OperatorsState>,
) -> HttpResponse {
    match state.operators.send(ask.into_inner()).await {
        Ok(Answer(Ok(why))) => HttpResponse::Ok().json(why),
        Ok(Answer(Err(reason))) => HttpResponse::NotFound().body(reason),
        Err(_) => HttpResponse::ServiceUnavailable().body("stopping"),
    }
}

async fn post_drain(state: web::Data<OperatorsState>) -> HttpResponse {
    state.operators.do_send(Order::Drain);
    HttpResponse::Accepted().finish()
}

async fn post_cut(state: web::Data<OperatorsState>) -> HttpResponse {
    state.operators.do_send(Order::Cut(BlockedPeers::All));
    HttpResponse::Accepted().finish()
}

async fn delete_cut(state: web::Data<OperatorsState>) -> HttpResponse {
    state.operators.do_send(Order::Cut(BlockedPeers::None));
    HttpResponse::Accepted().finish()
}

/// Sessions in text form, as `status` prints them.
#[derive(Deserialize)]
struct DeadSessions {
    sessions: Vec<String>,
}

async fn post_declare_dead(
    body: web::Json<DeadSessions>,
    state: web::Data<OperatorsState>,
) -> HttpResponse {
    let parsed: Option<Vec<Session>> = body.sessions.iter().map(|s| parse_session(s)).collect();
    let Some(sessions) = parsed else {
        return HttpResponse::BadRequest().body("expected sessions such as 1f00c0de.1");
    };
    state.operators.do_send(Order::DeclareDead(sessions));
    HttpResponse::Accepted().finish()
}

fn parse_session(text: &str) -> Option<Session> {
    let (incarnation, number) = text.split_once('.')?;
    let incarnation = Incarnation(u64::from_str_radix(incarnation, 16).ok()?);
    Some(Session { incarnation, number: number.parse().ok()? })
}

async fn delete_quarantine(
    digest: web::Path<String>,
    state: web::Data<OperatorsState>,
) -> HttpResponse {
    let Ok(digest) = u64::from_str_radix(&digest, 16) else {
        return HttpResponse::BadRequest().body("expected a digest in hexadecimal");
    };
    state.operators.do_send(Order::LiftQuarantine(digest));
    HttpResponse::Accepted().finish()
}
