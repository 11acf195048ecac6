//! The HTTP listener for operators: metrics, health, status, explanations and commands.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Method, Request, Response, StatusCode};
use http1::BodyError;
use http1::server::{RequestBody, ResponseBody};
use mesh::{HolderId, Purpose};
use metrics_exporter_prometheus::PrometheusHandle;
use model::{Fence, HostAddr, Incarnation, Partition, Session};
use ownership::Event;
use serde::{Deserialize, Serialize};

use wire::BlockedPeers;

use crate::context::Cx;
use crate::decisions::RecordedDecision;
use crate::listener::plain_response;
use crate::settings::TestSwitches;
use crate::{drain, owner, routes};

/// The maximum number of decisions in an explanation.
const MAX_EXPLAINED_DECISIONS: usize = 20;

/// The maximum size of the body of a command, in bytes.
const MAX_COMMAND_BYTES: usize = 1 << 20;

/// Handles operators' queries and commands.
pub struct Operators {
    /// The context of the host process.
    pub cx: Cx,
    /// The server for other host processes.
    pub hosts: Rc<wire::Server>,
    /// The metrics of this OS process.
    pub metrics: Arc<PrometheusHandle>,
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

impl Operators {
    /// Handles a request of an operator.
    pub async fn handle(
        &self,
        holder: HolderId,
        req: Request<RequestBody>,
    ) -> Response<ResponseBody> {
        let (head, body) = req.into_parts();
        match (head.uri.path(), &head.method) {
            ("/metrics", &Method::GET) => self.metrics(holder),
            ("/healthz", &Method::GET) => self.health(),
            ("/status", &Method::GET) => json_response(&status(&self.cx)),
            ("/explain", &Method::GET) => self.explanation(head.uri.query().unwrap_or("")),
            ("/drain", &Method::POST) => {
                drain::begin(&self.cx);
                accepted()
            }
            ("/cut", &Method::POST) => {
                self.cut(BlockedPeers::All);
                accepted()
            }
            ("/cut", &Method::DELETE) => {
                self.cut(BlockedPeers::None);
                accepted()
            }
            ("/declare-dead", &Method::POST) => self.declare_dead(holder, body).await,
            (path, method) => match path.strip_prefix("/quarantine/") {
                Some(digest) if method == Method::DELETE => self.lift_quarantine(digest),
                None if !PATHS.contains(&path) => plain_response(StatusCode::NOT_FOUND, ""),
                _ => plain_response(StatusCode::METHOD_NOT_ALLOWED, ""),
            },
        }
    }

    fn metrics(&self, holder: HolderId) -> Response<ResponseBody> {
        let text = self.cx.memory.hold(holder, Bytes::from(self.metrics.render()));
        let mut res = plain_response(StatusCode::OK, text);
        let content_type = HeaderValue::from_static("text/plain; version=0.0.4");
        res.headers_mut().insert(CONTENT_TYPE, content_type);
        res
    }

    fn health(&self) -> Response<ResponseBody> {
        match status(&self.cx).lease_left_ms {
            Some(_) => plain_response(StatusCode::OK, "ok"),
            None => plain_response(StatusCode::SERVICE_UNAVAILABLE, "no lease"),
        }
    }

    fn explanation(&self, query: &str) -> Response<ResponseBody> {
        match serde_urlencoded::from_str(query).map(|query| explain(&self.cx, query)) {
            Ok(Ok(explanation)) => json_response(&explanation),
            Ok(Err(reason)) => plain_response(StatusCode::NOT_FOUND, reason),
            Err(e) => plain_response(StatusCode::BAD_REQUEST, e.to_string()),
        }
    }

    async fn declare_dead(&self, holder: HolderId, body: RequestBody) -> Response<ResponseBody> {
        let mut room = self.cx.memory.request(holder, Purpose::Control, Duration::ZERO);
        let read = http1::read_body_with_room(body, MAX_COMMAND_BYTES, &mut room).await;
        let body = match read {
            Ok(body) => body,
            Err(e) => {
                let status = match e {
                    BodyError::TooLong { .. } => StatusCode::PAYLOAD_TOO_LARGE,
                    BodyError::NoRoom => StatusCode::SERVICE_UNAVAILABLE,
                    BodyError::Incomplete { .. } => StatusCode::BAD_REQUEST,
                };
                return plain_response(status, e.to_string());
            }
        };
        let dead: DeadSessions = match serde_json::from_slice(&body) {
            Ok(dead) => dead,
            Err(e) => return plain_response(StatusCode::BAD_REQUEST, e.to_string()),
        };
        let parsed: Option<Vec<Session>> = dead.sessions.iter().map(|s| parse_session(s)).collect();
        let Some(sessions) = parsed else {
            let reason = "expected sessions such as 1f00c0de.1";
            return plain_response(StatusCode::BAD_REQUEST, reason);
        };
        self.cx.feed(Event::DeclaredDead(sessions));
        accepted()
    }

    fn lift_quarantine(&self, digest: &str) -> Response<ResponseBody> {
        let Ok(digest) = u64::from_str_radix(digest, 16) else {
            let reason = "expected a digest in hexadecimal";
            return plain_response(StatusCode::BAD_REQUEST, reason);
        };
        owner::lift_quarantine(&self.cx, digest);
        accepted()
    }
}

/// The paths of all requests but those to lift a quarantine.
const PATHS: [&str; 7] =
    ["/metrics", "/healthz", "/status", "/explain", "/drain", "/cut", "/declare-dead"];

/// Sessions in the text form that `status` prints.
#[derive(Deserialize)]
struct DeadSessions {
    sessions: Vec<String>,
}

fn parse_session(text: &str) -> Option<Session> {
    let (incarnation, number) = text.split_once('.')?;
    let incarnation = Incarnation(u64::from_str_radix(incarnation, 16).ok()?);
    Some(Session { incarnation, number: number.parse().ok()? })
}

fn accepted() -> Response<ResponseBody> {
    plain_response(StatusCode::ACCEPTED, "")
}

fn json_response(value: &impl Serialize) -> Response<ResponseBody> {
    match serde_json::to_vec(value) {
        Ok(json) => {
            let mut res = plain_response(StatusCode::OK, json);
            let content_type = HeaderValue::from_static("application/json");
            res.headers_mut().insert(CONTENT_TYPE, content_type);
            res
        }
        Err(e) => plain_response(StatusCode::INTERNAL_SERVER_ERROR, e.to_string()),
    }
}
