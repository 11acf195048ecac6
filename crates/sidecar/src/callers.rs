//! The HTTP/1.1 listener for callers, who may pipeline their requests.

use std::rc::Rc;

use http1::server::{self, HeldBytes, Policy};
use mesh::RetrySafety;
use tokio::net::{TcpListener, TcpStream};

use crate::ingress;
use crate::listeners::{MAX_HEAD_BYTES, TCP_USER_TIMEOUT, accept};
use crate::memory::{CallerConnection, RequestGuard};
use crate::state::{Cx, WritingGuard};

/// Serves callers until the process ends. Once the process stops, each connection closes after the
/// responses to the requests that it has read.
pub async fn listen(cx: Rc<Cx>, listener: TcpListener) {
    loop {
        let stream = accept(&listener, "callers", TCP_USER_TIMEOUT).await;
        let Some(connection) = cx.response_memory.add_caller() else { continue };
        actix_rt::spawn(serve(cx.clone(), stream, connection));
    }
}

async fn serve(cx: Rc<Cx>, stream: TcpStream, connection: CallerConnection) {
    // The head of the next request must arrive before the idle timeout.
    let limits = cx.state.borrow().config.as_ref().map(|c| c.config.limits).unwrap_or_default();
    let settings = server::Settings {
        max_head_bytes: MAX_HEAD_BYTES,
        head_timeout: limits.idle_timeout,
        ..server::Settings::default()
    };
    let shared = cx.clone();
    let (holder, closed) = (connection.id(), connection.closed());
    let handler = move |req| {
        let cx = shared.clone();
        let request = RequestGuard::new(&cx.response_memory, holder);
        async move {
            // Callers that repeat refused requests don't keep a stopping process from its end.
            let accepted = !cx.rejecting.get();
            let response = ingress::handle(cx.clone(), holder, req).await;
            (response, (request, accepted.then(|| WritingGuard::new(&cx.writing))))
        }
    };
    let policy = RoutePolicy { cx: cx.clone(), connection };
    let served = server::serve(stream, settings, handler, policy, cx.close_connections.notified());
    tokio::select! {
        () = served => {}
        () = closed => {}
    }
}

/// Decides by the routes of the configuration in force.
struct RoutePolicy {
    cx: Rc<Cx>,
    connection: CallerConnection,
}

impl Policy for RoutePolicy {
    fn may_start_early(&self, head: &http::request::Parts) -> bool {
        let state = self.cx.state.borrow();
        let Some(active) = &state.config else { return false };
        let Some(host) = adapter::request_host(head) else { return false };
        let route = active.config.find_route(host, head.uri.path());
        route.is_some_and(|r| r.retry_safety == RetrySafety::Idempotent)
    }

    fn is_stopping(&self) -> bool {
        self.cx.stopping.get()
    }

    fn record_held_bytes(&self, held: HeldBytes) {
        self.connection.record_held(held);
    }
}
