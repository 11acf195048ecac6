//! The HTTP listener for operators: metrics, health, status, explanations and commands.

use std::rc::Rc;
use std::sync::Arc;

use actix::{Actor, Addr, Context, Handler, Message};
use actix_web::{App, HttpResponse, HttpServer, web};
use metrics_exporter_prometheus::PrometheusHandle;
use model::{Fence, HostAddr, Incarnation, Partition, Session};
use ownership::Event;
use serde::{Deserialize, Serialize};

use wire::BlockedPeers;

use crate::context::Cx;
use crate::decisions::RecordedDecision;
use crate::settings::TestSwitches;
use crate::{drain, owner, routes};

/// The maximum number of decisions in an explanation.
const MAX_EXPLAINED_DECISIONS: usize = 20;

/// The actor that handles operators' queries and commands on the host thread.
pub struct Operators {
    /// The context of the host process.
    pub cx: Cx,
    /// The server for other host processes.
    pub hosts: Rc<wire::Server>,
}

impl Operators {
    fn cut(&self, cut: BlockedPeers) {
        if self.cx.settings.test_switches == TestSwitches::Off {
            log::warn!("host: Rejected a request to cut connections; test_switches is off.");
            return;
        }
        log::warn!("host: Connections cut to other host processes: {cut:?}.");
        self.cx.client.block_peers(cut.clone());
        self.hosts.block_peers(cut);
    }
}

impl Actor for Operators {
    type Context = Context<Self>;
}

/// Requests the state of this host process.
pub struct GetStatus;

impl Message for GetStatus {
    type Result = OperatorReply<Status>;
}

/// The reply of the [`Operators`] actor to a message.
#[derive(actix::MessageResponse)]
pub struct OperatorReply<T: 'static>(pub T);

/// The state of one host process, as `/status` returns it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Status {
    /// The cell of this host.
    pub cell: String,
    /// The address on which this host listens for other host processes.
    pub addr: HostAddr,
    /// The availability zone of this host.
    pub zone: String,
    /// The newest epoch known to this host.
    pub epoch: u64,
    /// The newest version of the cell's row known to this host.
    pub row_version: u64,
    /// The addresses of the grantors, in order of succession.
    pub grantors: Vec<HostAddr>,
    /// Whether this host is the coordinator of its cell.
    pub coordinator: bool,
    /// The session of this host, if it holds a lease.
    pub session: Option<String>,
    /// The time left until the lease of this host expires, in milliseconds.
    pub lease_left_ms: Option<u64>,
    /// The members in the row.
    pub members: Vec<MemberStatus>,
    /// The assignments in the row.
    pub partitions: Vec<PartitionStatus>,
    /// The version of the configuration in force.
    pub config_version: u64,
    /// Whether this host accepts new requests.
    pub state: HostState,
    /// The address of the backend server, if it is up.
    pub backend_server: Option<String>,
    /// The number of requests that run at the backend server.
    pub running: usize,
    /// The number of requests that wait for a slot.
    pub waiting: usize,
    /// The digests, in hexadecimal, of requests that are rejected because they crash backend
    /// servers.
    pub quarantined: Vec<String>,
}

/// Whether a host accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum HostState {
    /// The host accepts new requests.
    Serving,
    /// The host is draining before it stops.
    Draining,
}

/// One member of the cell.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The session of the member.
    pub session: String,
    /// The address of its host process.
    pub addr: HostAddr,
    /// Its availability zone.
    pub zone: String,
}

/// One partition of the cell.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PartitionStatus {
    /// The partition.
    pub partition: u32,
    /// The fencing token of the assignment.
    pub fence: u64,
    /// The session of the owner.
    pub owner: String,
    /// The session of the standby.
    pub standby: Option<String>,
}

/// Requests the owner of a key and the decisions that led to it.
#[derive(Deserialize)]
pub struct ExplainQuery {
    /// The service.
    pub service: String,
    /// The key.
    pub key: String,
}

impl Message for ExplainQuery {
    type Result = OperatorReply<Result<Explanation, String>>;
}

/// The owner of a key, and this host's last decisions about its partition.
#[derive(Clone, Debug, Serialize)]
pub struct Explanation {
    /// The service.
    pub service: String,
    /// The key.
    pub key: String,
    /// The partition of the key.
    pub partition: Partition,
    /// The cell of the partition.
    pub cell: String,
    /// The owner, if this host knows one.
    pub owner: Option<HostAddr>,
    /// The fencing token of the owner.
    pub fence: Option<Fence>,
    /// This host's last decisions about the partition, oldest first. Empty if the partition is in
    /// another cell.
    pub decisions: Vec<RecordedDecision>,
}

/// A command from an operator.
pub enum OperatorCommand {
    /// Drain this host and stop it.
    Drain,
    /// Treat these sessions as permanently dead.
    DeclareDead(Vec<Session>),
    /// Allow the quarantined request with this digest to run again.
    LiftQuarantine(u64),
    /// Cut the connections to other host processes, or restore them; only for tests.
    Cut(BlockedPeers),
}

impl Message for OperatorCommand {
    type Result = ();
}

impl Handler<GetStatus> for Operators {
    type Result = OperatorReply<Status>;

    fn handle(&mut self, _: GetStatus, _: &mut Self::Context) -> OperatorReply<Status> {
        OperatorReply(status(&self.cx))
    }
}

impl Handler<ExplainQuery> for Operators {
    type Result = OperatorReply<Result<Explanation, String>>;

    fn handle(&mut self, query: ExplainQuery, _: &mut Self::Context) -> Self::Result {
        OperatorReply(explain(&self.cx, query))
    }
}

impl Handler<OperatorCommand> for Operators {
    type Result = ();

    fn handle(&mut self, command: OperatorCommand, _: &mut Self::Context) {
        match command {
            OperatorCommand::Drain => drain::begin(&self.cx),
            OperatorCommand::DeclareDead(sessions) => self.cx.feed(Event::DeclaredDead(sessions)),
            OperatorCommand::Cut(cut) => self.cut(cut),
            OperatorCommand::LiftQuarantine(digest) => owner::lift_quarantine(&self.cx, digest),
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

fn explain(cx: &Cx, query: ExplainQuery) -> Result<Explanation, String> {
    let config = cx.config.current();
    let service = config.service(&query.service).ok_or_else(|| {
        format!("found the service {:?}, expected one of the configuration", query.service)
    })?;
    let partition = model::partition_of(&query.key, service.partitions);
    let cell = service.cell_of(partition);
    let route = routes::known_route(cx, &cell, partition);
    let is_own_cell = cell == cx.settings.cell;
    Ok(Explanation {
        service: query.service,
        key: query.key,
        partition,
        owner: route.map(|r| r.owner),
        fence: route.map(|r| r.fence),
        decisions: if is_own_cell {
            cx.decisions.for_partition(partition, MAX_EXPLAINED_DECISIONS)
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
    match state.operators.send(GetStatus).await {
        Ok(OperatorReply(status)) if status.lease_left_ms.is_some() => {
            HttpResponse::Ok().body("ok")
        }
        Ok(_) => HttpResponse::ServiceUnavailable().body("no lease"),
        Err(_) => HttpResponse::ServiceUnavailable().body("stopping"),
    }
}

async fn get_status(state: web::Data<OperatorsState>) -> HttpResponse {
    match state.operators.send(GetStatus).await {
        Ok(OperatorReply(status)) => HttpResponse::Ok().json(status),
        Err(_) => HttpResponse::ServiceUnavailable().body("stopping"),
    }
}

async fn get_explanation(
    query: web::Query<ExplainQuery>,
    state: web::Data<OperatorsState>,
) -> HttpResponse {
    match state.operators.send(query.into_inner()).await {
        Ok(OperatorReply(Ok(explanation))) => HttpResponse::Ok().json(explanation),
        Ok(OperatorReply(Err(reason))) => HttpResponse::NotFound().body(reason),
        Err(_) => HttpResponse::ServiceUnavailable().body("stopping"),
    }
}

async fn post_drain(state: web::Data<OperatorsState>) -> HttpResponse {
    state.operators.do_send(OperatorCommand::Drain);
    HttpResponse::Accepted().finish()
}

async fn post_cut(state: web::Data<OperatorsState>) -> HttpResponse {
    state.operators.do_send(OperatorCommand::Cut(BlockedPeers::All));
    HttpResponse::Accepted().finish()
}

async fn delete_cut(state: web::Data<OperatorsState>) -> HttpResponse {
    state.operators.do_send(OperatorCommand::Cut(BlockedPeers::None));
    HttpResponse::Accepted().finish()
}

/// Sessions in the text form that `status` prints.
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
    state.operators.do_send(OperatorCommand::DeclareDead(sessions));
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
    state.operators.do_send(OperatorCommand::LiftQuarantine(digest));
    HttpResponse::Accepted().finish()
}
