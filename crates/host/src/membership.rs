//! The actor that runs the ownership protocol for this host.
//!
//! It makes no decisions itself: it feeds events to the [`ownership::Node`] and executes the
//! commands that the node returns.

use std::time::Duration;

use actix::{Actor, AsyncContext, Context, Handler, Message as ActorMessage, StreamHandler};
use model::{HostAddr, Millis};
use ownership::{Command, Event, Message};
use platform::WriteError;
use tokio_stream::wrappers::UnboundedReceiverStream;
use wire::{Call, Reply};

use crate::context::Cx;
use crate::{announce, owner};

/// The interval between two ticks of the protocol.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Timeout of a protocol message to another host process.
const MESSAGE_TIMEOUT: Millis = Millis(700);

/// Runs the ownership protocol for this host.
pub struct Membership {
    cx: Cx,
    /// The difference between wall clock and boot clock at the last check, in milliseconds.
    clock_offset: i128,
}

/// A protocol message from another host process. Replies are sent back on the same stream.
pub struct IncomingMessage {
    /// The sender.
    pub from: HostAddr,
    /// The message.
    pub message: Message,
}

impl ActorMessage for IncomingMessage {
    type Result = ReplyMessages;
}

/// The replies to an incoming message.
#[derive(actix::MessageResponse)]
pub struct ReplyMessages(pub Vec<Message>);

impl Membership {
    /// Creates the actor.
    pub fn new(cx: Cx) -> Self {
        let clock_offset = clock_offset(&cx);
        Self { cx, clock_offset }
    }

    /// Starts the actor on this thread.
    pub fn launch(self, events: tokio::sync::mpsc::UnboundedReceiver<Event>) -> actix::Addr<Self> {
        Self::create(|ctx| {
            ctx.add_stream(UnboundedReceiverStream::new(events));
            self
        })
    }

    fn handle_event(&self, event: Event) -> Vec<Command> {
        if !self.cx.joined.get() {
            return Vec::new();
        }
        let now = self.cx.now();
        self.cx.node.borrow_mut().handle(event, now)
    }

    fn feed(&self, event: Event) {
        for command in self.handle_event(event) {
            self.execute(command);
        }
    }

    fn execute(&self, command: Command) {
        let cx = &self.cx;
        match command {
            Command::Send { to, message } => send(cx, to, message),
            Command::ReadRow => read_row(cx),
            Command::WriteRow { expected, row } => write_row(cx, expected, row),
            Command::Serve { partition, fence, origin } => {
                owner::serve(cx, partition, fence, origin);
            }
            Command::Quiesce { partition, fence, next, time_limit } => {
                owner::quiesce(cx, partition, fence, next, time_limit);
            }
            Command::Resume { partition, fence } => owner::resume(cx, partition, fence),
            Command::StopAll => owner::stop_all(cx),
            Command::ConfigKnown { version, as_of } => {
                crate::config_watch::observe_version(cx, version, as_of);
            }
            Command::Drained => cx.drained.notify_one(),
            Command::Record(decision) => cx.decisions.record(decision, cx.now()),
        }
    }

    /// Reports a clock jump to the node if the wall clock and the boot clock diverged by more than
    /// the drift margin. Either this host was suspended or its clock was set, and its lease must
    /// not survive that.
    fn check_clock_jump(&mut self) {
        let offset = clock_offset(&self.cx);
        let jump = offset.abs_diff(self.clock_offset);
        let margin = u128::from(self.cx.settings.timing.drift_margin.0);
        self.clock_offset = offset;
        if jump > margin {
            log::warn!("membership: The wall clock jumped by {jump} ms against the boot clock.");
            self.feed(Event::ClockJumped);
        }
    }
}

fn clock_offset(cx: &Cx) -> i128 {
    i128::from(cx.wall_clock.now().0) - i128::from(cx.now().0)
}

impl Actor for Membership {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.run_interval(TICK_INTERVAL, |this, _| {
            this.check_clock_jump();
            this.feed(Event::Tick);
        });
        let interval = Duration::from(self.cx.settings.timing.renew_interval);
        ctx.run_interval(interval, |this, _| {
            announce::check_backend_timeout(&this.cx);
            this.feed(Event::Reported(owner::report(&this.cx)));
            owner::send_grants(&this.cx);
        });
    }
}

impl StreamHandler<Event> for Membership {
    fn handle(&mut self, event: Event, _ctx: &mut Self::Context) {
        self.feed(event);
    }
}

impl Handler<IncomingMessage> for Membership {
    type Result = ReplyMessages;

    fn handle(&mut self, incoming: IncomingMessage, _ctx: &mut Self::Context) -> ReplyMessages {
        let IncomingMessage { from, message } = incoming;
        let mut replies = Vec::new();
        for command in self.handle_event(Event::Received { from, message }) {
            match command {
                Command::Send { to, message } if to == from => replies.push(message),
                other => self.execute(other),
            }
        }
        ReplyMessages(replies)
    }
}

/// Sends a message and feeds the receiver's replies to the node.
fn send(cx: &Cx, to: HostAddr, message: Message) {
    if to == cx.addr {
        cx.feed(Event::Received { from: to, message });
        return;
    }
    let cx = cx.clone();
    actix_rt::spawn(async move {
        let call = Call::Ownership { from: cx.addr, cell: cx.settings.cell.clone(), message };
        match cx.client.call(to, call, MESSAGE_TIMEOUT).await {
            Ok(Reply::Messages(replies)) => {
                for message in replies {
                    cx.feed(Event::Received { from: to, message });
                }
            }
            Ok(other) => log::warn!("membership: Unexpected reply from {to}: {other:?}."),
            Err(error) => log::debug!("membership: No reply from {to}: {error}."),
        }
    });
}

fn read_row(cx: &Cx) {
    let cx = cx.clone();
    actix_rt::spawn(async move {
        metrics::counter!("papayarill_store_reads_total").increment(1);
        let event = match cx.platform.read_row(&cx.settings.cell).await {
            Ok(row) => Event::RowRead(row),
            Err(error) => {
                log::warn!("platform: Cannot read the row of this cell: {error}.");
                Event::RowReadFailed
            }
        };
        cx.feed(event);
    });
}

fn write_row(cx: &Cx, expected: Option<model::RowVersion>, row: ownership::CellRow) {
    let cx = cx.clone();
    actix_rt::spawn(async move {
        metrics::counter!("papayarill_store_writes_total").increment(1);
        let event = match cx.platform.write_row(&cx.settings.cell, expected, &row).await {
            Ok(version) => Event::RowWritten(version),
            Err(error) => {
                log::warn!("platform: Writing the row of this cell failed: {error}.");
                write_error_event(&error)
            }
        };
        cx.feed(event);
    });
}

fn write_error_event(error: &WriteError) -> Event {
    match error {
        WriteError::Conflict => Event::RowConflict,
        WriteError::Failed { .. } => Event::RowWriteFailed,
        WriteError::Unknown { .. } => Event::RowWriteUnknown,
    }
}
