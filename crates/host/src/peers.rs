//! Handles calls and forwarded requests from other host processes.

use std::rc::Rc;

use actix::Addr;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use model::{CellId, HostAddr};
use ownership::Message;
use wire::{Call, Handlers, Reply};

use crate::context::Cx;
use crate::membership::{IncomingMessage, Membership};
use crate::{config_watch, owner, routes};

/// Returns the handlers for the server for other host processes.
pub fn handlers(cx: &Cx, membership: &Addr<Membership>) -> Handlers {
    let call_cx = cx.clone();
    let membership = membership.clone();
    let forward_cx = cx.clone();
    Handlers {
        on_call: Rc::new(move |call| handle_call(call_cx.clone(), membership.clone(), call)),
        on_forward: Rc::new(move |head, body| {
            let cx = forward_cx.clone();
            async move { owner::run(&cx, head, body).await }.boxed_local()
        }),
    }
}

fn handle_call(cx: Cx, membership: Addr<Membership>, call: Call) -> LocalBoxFuture<'static, Reply> {
    match call {
        Call::Ownership { from, cell, message } => {
            handle_ownership_message(cx, membership, from, cell, message).boxed_local()
        }
        Call::Routes { cell, have } => {
            async move { Reply::Routes(routes::table_newer_than(&cx, &cell, have).await) }
                .boxed_local()
        }
        Call::Config { at_least } => {
            let known = config_watch::document_at_least(&cx, at_least);
            async move { Reply::Config(known) }.boxed_local()
        }
        Call::Handover(handover) => {
            owner::receive_handover(&cx, handover);
            async { Reply::Done }.boxed_local()
        }
        Call::Quarantine { service, digest, time_left } => {
            if service == cx.settings.cell.service {
                owner::apply_peer_quarantine(&cx, digest, time_left);
            }
            async { Reply::Done }.boxed_local()
        }
        Call::Suspects { service, digests } => {
            if service == cx.settings.cell.service {
                owner::add_suspects(&cx, &digests);
            }
            async { Reply::Done }.boxed_local()
        }
    }
}

async fn handle_ownership_message(
    cx: Cx,
    membership: Addr<Membership>,
    from: HostAddr,
    cell: CellId,
    message: Message,
) -> Reply {
    if cell != cx.settings.cell {
        return Reply::Refused(format!("this host is in the cell {}", cx.settings.cell));
    }
    match membership.send(IncomingMessage { from, message }).await {
        Ok(replies) => Reply::Messages(replies.0),
        Err(_) => Reply::Refused("this host is stopping".to_owned()),
    }
}
