//! The HTTP/1.1 listener for callers, who may pipeline their requests.

use std::rc::Rc;

use http1::server::{self, Policy};
use mesh::RetrySafety;
use tokio::net::{TcpListener, TcpStream};

use crate::ingress;
use crate::listeners::{MAX_HEAD_BYTES, TCP_USER_TIMEOUT, accept};
use crate::state::{Cx, WritingGuard};

/// Serves callers until the process ends. Once the process stops, each connection closes after the
/// responses to the requests that it has read.
pub async fn listen(cx: Rc<Cx>, listener: TcpListener) {
    loop {
        let stream = accept(&listener, "callers", TCP_USER_TIMEOUT).await;
        actix_rt::spawn(serve(cx.clone(), stream));
    }
}

async fn serve(cx: Rc<Cx>, stream: TcpStream) {
    // The head of the next request must arrive before the idle timeout.
    let limits = cx.state.borrow().config.as_ref().map(|c| c.config.limits).unwrap_or_default();
    let settings = server::Settings {
        max_head_bytes: MAX_HEAD_BYTES,
        head_timeout: limits.idle_timeout,
        ..server::Settings::default()
    };
    let shared = cx.clone();
    let handler = move |req| {
        let cx = shared.clone();
        async move {
            // Callers that repeat refused requests don't keep a stopping process from its end.
            let accepted = !cx.rejecting.get();
            let response = ingress::handle(cx.clone(), req).await;
            (response, accepted.then(|| WritingGuard::new(&cx.writing)))
        }
    };
    let policy = RoutePolicy(cx.clone());
    server::serve(stream, settings, handler, policy, cx.close_connections.notified()).await;
}

/// Decides by the routes of the configuration in force.
struct RoutePolicy(Rc<Cx>);

impl Policy for RoutePolicy {
    fn may_start_early(&self, head: &http::request::Parts) -> bool {
        let state = self.0.state.borrow();
        let Some(active) = &state.config else { return false };
        let Some(host) = adapter::request_host(head) else { return false };
        let route = active.config.find_route(host, head.uri.path());
        route.is_some_and(|r| r.retry_safety == RetrySafety::Idempotent)
    }

    fn is_stopping(&self) -> bool {
        self.0.stopping.get()
    }
}
