//! The context of one step: settings, safety rules, the current time and the commands to emit.

use model::{HostAddr, Millis, Partition};

use crate::{Command, Decision, Message, NodeSettings, SafetyRules, Timing};

/// The context in which one event is handled.
pub(crate) struct Cx<'a> {
    pub(crate) settings: &'a NodeSettings,
    pub(crate) rules: &'a SafetyRules,
    pub(crate) now: Millis,
    /// The commands emitted so far, in order.
    pub(crate) out: Vec<Command>,
}

impl Cx<'_> {
    pub(crate) fn timing(&self) -> &Timing {
        &self.settings.timing
    }

    pub(crate) fn own_addr(&self) -> HostAddr {
        self.settings.addr
    }

    /// Returns whether `interval` has passed since `last`, or there was no `last`.
    pub(crate) fn is_due(&self, last: Option<Millis>, interval: Millis) -> bool {
        last.is_none_or(|last| self.now >= last + interval)
    }

    pub(crate) fn push(&mut self, command: Command) {
        self.out.push(command);
    }

    pub(crate) fn send(&mut self, to: HostAddr, message: Message) {
        self.out.push(Command::Send { to, message });
    }

    pub(crate) fn record(
        &mut self,
        partition: Option<Partition>,
        kind: &'static str,
        reason: String,
    ) {
        self.out.push(Command::Record(Decision { partition, kind, reason }));
    }
}
