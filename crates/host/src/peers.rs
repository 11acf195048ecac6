//! What other host processes may ask of this one.

use std::rc::Rc;

use actix::Addr;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use model::{CellId, HostAddr};
use ownership::Message;
use wire::{Call, Handlers, Reply};

use crate::membership::{Incoming, Membership};
use crate::shared::Cx;
use crate::{config_watch, owner, routes};

/// Returns the handlers of the listener for host processes.
pub fn handlers(cx: &Cx, membership: &Addr<Membership>) -> Handlers {
    let call_cx = cx.clone();
    let membership = membership.clone();
    let forward_cx = cx.clone();
    Handlers {
        on_call: Rc::new(move |call| answer(call_cx.clone(), membership.clone(), call)),
        on_forward: Rc::new(move |head, body| {
            let cx = forward_cx.clone();
            async move { owner::run(&cx, head, body).await }.boxed_local()
        }),
    }
}

fn answer(cx: Cx, membership: Addr<Membership>, call: Call) -> LocalBoxFuture<'static, Reply> {
    match call {
        Call::Ownership { from, cell, message } => {
            ownership_message(cx, membership, from, cell, message).boxed_local()
        }
        Call::Routes { cell, have } => {
            async move { Reply::Routes(routes::answer(&cx, &cell, have).await) }.boxed_local()
        }
        Call::Config { at_least } => {
            let known = config_watch::answer(&cx, at_least);
            async move { Reply::Config(known) }.boxed_local()
        }
        Call::Handover(handover) => {
            owner::take_handover(&cx, handover);
            async { Reply::Done }.boxed_local()
        }
        Call::Quarantine { service, digest, time_left } => {
            if service == cx.settings.cell.service {
                owner::learn_quarantine(&cx, digest, time_left);
            }
            async { Reply::Done }.boxed_local()
        }
        Call::Suspects { service, digests } => {
            if service == cx.settings.cell.service {
                owner::learn_suspects(&cx, &digests);
            }
            async { Reply::Done }.boxed_local()
        }
    }
}

async fn ownership_message(
    cx: Cx,
    membership: Addr<Membership>,
    from: HostAddr,
    cell: CellId,
    message: Message,
) -> Reply {
    if cell != cx.settings.cell {
        return Reply::Refused(format!("this host is in the cell {}", cx.settings.cell));
    }
    match membership.send(Incoming { from, message }).await {
        Ok(answers) => Reply::Messages(answers.0),
        Err(_) => Reply::Refused("this host is stopping".to_owned()),
    }
}
