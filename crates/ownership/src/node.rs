//! The node: one host process in its cell, as a member and, if chosen, as grantor and coordinator.
//!
//! This is the interface of the crate for the host process. It dispatches events to the state
//! machines of these roles and collects their commands.

mod drive;
mod receive;

use std::sync::Arc;

use model::{ConfigVersion, Epoch, Fence, HostAddr, Millis, Partition, Session, WriterTag};

use crate::claims::Claims;
use crate::coordinator::{Coordinator, empty_report};
use crate::cx::Cx;
use crate::grantor::{GrantorRole, grantor_entry};
use crate::lease::Lease;
use crate::quorum_recovery::QuorumRecovery;
use crate::routes::{self, Takeover};
use crate::row_store::RowStore;
use crate::seal::Seals;
use crate::{
    CellRow, Command, Event, MemberEntry, Message, NodeSettings, Report, RouteTable, SafetyRules,
    VersionedRow, row_diff,
};

/// The most rounds in which a node handles messages to itself after one event.
const MAX_SELF_DELIVERY_ROUNDS: usize = 16;

/// The protocol state of one host process in its cell.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Node {
    settings: Arc<NodeSettings>,
    rules: SafetyRules,
    row: Option<VersionedRow>,
    /// When this process first saw a row of the current epoch.
    epoch_entered_at: Millis,
    lease: Lease,
    claims: Claims,
    grantor: GrantorRole,
    seals: Seals,
    coordinator: Option<Coordinator>,
    recovery: QuorumRecovery,
    store: RowStore,
    report: Report,
    draining: bool,
    drained: bool,
    last_join_at: Option<Millis>,
    takeovers: Vec<Takeover>,
    routes: RouteTable,
    config: ConfigVersion,
    /// When `config` was last known to be the newest version, on this host's clock.
    config_as_of: Option<Millis>,
}

/// Commands.
impl Node {
    /// Creates a node that is not a member yet.
    pub fn new(settings: NodeSettings) -> Self {
        Self::with_rules(settings, SafetyRules::default())
    }

    /// Creates a node that does not enforce all safety rules, for the model checker.
    pub fn with_rules(settings: NodeSettings, rules: SafetyRules) -> Self {
        Self {
            lease: Lease::new(settings.incarnation),
            settings: Arc::new(settings),
            rules,
            row: None,
            epoch_entered_at: Millis::ZERO,
            claims: Claims::default(),
            grantor: GrantorRole::default(),
            seals: Seals::default(),
            coordinator: None,
            recovery: QuorumRecovery::default(),
            store: RowStore::default(),
            report: empty_report(),
            draining: false,
            drained: false,
            last_join_at: None,
            takeovers: Vec::new(),
            routes: RouteTable::default(),
            config: ConfigVersion::default(),
            config_as_of: None,
        }
    }

    /// Handles one event and returns the commands to carry out, in order.
    pub fn handle(&mut self, event: Event, now: Millis) -> Vec<Command> {
        let settings = self.settings.clone();
        let rules = self.rules;
        let mut cx = Cx { settings: &settings, rules: &rules, now, out: Vec::new() };
        self.check_lease(&mut cx);
        let can_wait_for_tick = can_wait_for_tick(&event);
        self.dispatch(event, &mut cx);
        if !can_wait_for_tick {
            self.drive(&mut cx);
        }
        for _ in 0..MAX_SELF_DELIVERY_ROUNDS {
            if !self.deliver_to_self(&mut cx) {
                break;
            }
            self.drive(&mut cx);
        }
        cx.out
    }

    /// Ends the session if its lease has expired. This precedes the handling of every event.
    fn check_lease(&mut self, cx: &mut Cx<'_>) {
        if cx.rules.own_lease_expiry.is_enforced() && self.lease.has_expired(cx.now) {
            self.lose_lease("its lease expired", cx);
        }
    }

    fn lose_lease(&mut self, reason: &str, cx: &mut Cx<'_>) {
        self.lease.end_session(reason, cx);
        self.claims.clear();
        self.last_join_at = None;
    }

    fn dispatch(&mut self, event: Event, cx: &mut Cx<'_>) {
        match event {
            Event::Tick => {}
            Event::Received { from, message } => self.receive(from, message, cx),
            Event::RowRead(row) => self.on_row_read(row, cx),
            Event::RowReadFailed | Event::RowWriteFailed => self.store.on_failed(cx),
            Event::RowWritten(version) => self.on_row_written(version, cx),
            Event::RowConflict => self.store.on_write_conflict(),
            Event::RowWriteUnknown => self.store.on_write_unknown(),
            Event::Reported(report) => self.on_reported(report),
            Event::Quiesced { partition, fence, handed_over } => {
                self.claims.on_quiesced(partition, fence, handed_over, cx);
            }
            Event::Drain => self.on_drain(),
            Event::ClockJumped => self.lose_lease("the clock jumped", cx),
            Event::ConfigSeen(version) => self.update_config(version, cx.now),
            Event::DeclaredDead(sessions) => self.on_declared_dead(&sessions, cx),
        }
    }

    /// Handles the messages that the node just sent to itself. Returns whether there were any.
    fn deliver_to_self(&mut self, cx: &mut Cx<'_>) -> bool {
        let own = cx.own_addr();
        let is_own = |c: &Command| matches!(c, Command::Send { to, .. } if *to == own);
        let (to_self, out) = std::mem::take(&mut cx.out).into_iter().partition(is_own);
        cx.out = out;
        let to_self: Vec<Command> = to_self;
        let any = !to_self.is_empty();
        for command in to_self {
            if let Command::Send { message, .. } = command {
                self.receive(own, message, cx);
            }
        }
        any
    }

    fn on_row_read(&mut self, row: Option<VersionedRow>, cx: &mut Cx<'_>) {
        self.store.on_answered();
        let version = row.as_ref().map(|r| r.version);
        let is_known = self.row.as_ref().map(|r| r.version) >= version;
        if is_known && version.is_some() {
            self.store.on_unchanged_read(cx);
        }
        match row {
            Some(row) => self.adopt_row(row, cx),
            None if self.row.is_none() => self.create_row(cx),
            None => {}
        }
    }

    fn on_row_written(&mut self, version: model::RowVersion, cx: &mut Cx<'_>) {
        let Some(written) = self.store.on_written(version) else {
            return;
        };
        for to in self.other_hosts(&written.row) {
            cx.send(to, Message::RowChanged(written.clone()));
        }
        self.adopt_row(written, cx);
    }

    fn create_row(&mut self, cx: &mut Cx<'_>) {
        let session = self.lease.session();
        let (addr, zone) = (cx.own_addr(), &cx.settings.zone);
        let row = CellRow {
            writer: WriterTag::default(),
            epoch: Epoch(1),
            grantors: vec![grantor_entry(session, addr, zone)],
            unsealed: Vec::new(),
            members: vec![MemberEntry { session, addr, zone: zone.clone() }],
            assignments: Vec::new(),
        };
        self.store.write(None, row, cx);
    }

    /// Adopts a row, if it is newer than the known one.
    fn adopt_row(&mut self, known: VersionedRow, cx: &mut Cx<'_>) {
        if self.row.as_ref().is_some_and(|r| r.version >= known.version) {
            return;
        }
        if !known.row.has_valid_counters() {
            cx.record(
                None,
                "bad-row",
                format!("version {} has an epoch or a fence out of range", known.version),
            );
            return;
        }
        let row = &known.row;
        if let Some(previous) = self.row.as_ref().filter(|_| self.store.wrote(row)) {
            row_diff::record_changes(&previous.row, row, cx);
        }
        let previous = self.row.as_ref().map(|r| r.row.epoch);
        if previous != Some(row.epoch) {
            self.epoch_entered_at = cx.now;
            self.grantor.enter_epoch(row);
            self.coordinator = None;
        }
        self.lease.adopt_grantors(row.epoch, &row.grantors);
        self.recovery.sync_with_row(row, cx);
        self.seals.sync_with_row(row, cx);
        self.takeovers.retain(|t| row.assignment(t.partition).is_some_and(|a| a.fence < t.fence));
        let table = routes::build(&known, &self.takeovers, 0, |_| true);
        if table.version > self.routes.version {
            self.routes = table;
        }
        self.row = Some(known);
    }

    fn on_reported(&mut self, report: Report) {
        let urgent = (report.slots > 0) != (self.report.slots > 0);
        self.report = report;
        if urgent {
            self.lease.renew_now();
        }
    }

    fn on_drain(&mut self) {
        self.draining = true;
        self.lease.renew_now();
    }

    fn update_config(&mut self, version: ConfigVersion, as_of: Millis) {
        if version > self.config {
            self.config = version;
            self.config_as_of = Some(as_of);
        } else if version == self.config {
            self.config_as_of = self.config_as_of.max(Some(as_of));
        }
    }

    fn on_declared_dead(&mut self, sessions: &[Session], cx: &mut Cx<'_>) {
        for session in sessions {
            cx.record(None, "declared-dead", format!("the operator declared {session} dead"));
            if session.incarnation != cx.settings.incarnation {
                self.recovery.mark_dead(session.incarnation);
            }
        }
        // The other hosts act on the declaration, so a process that was declared dead by mistake
        // must stop serving. It can rejoin only after a restart.
        if sessions.iter().any(|s| s.incarnation == cx.settings.incarnation) {
            self.lose_lease("the operator declared this process dead", cx);
        }
    }
}

/// Queries.
impl Node {
    /// Returns the fence under which this host may serve `partition` right now.
    pub fn serves(&self, partition: Partition, now: Millis) -> Option<Fence> {
        let leased = self.lease.is_valid(now) || !self.rules.own_lease_expiry.is_enforced();
        self.claims.serving(partition).filter(|_| leased)
    }

    /// Returns the session and the end of its lease, if the lease is valid.
    pub fn lease(&self, now: Millis) -> Option<(Session, Millis)> {
        let end = self.lease.end().filter(|_| self.lease.is_valid(now))?;
        Some((self.lease.session(), end))
    }

    /// Returns the newest routing table that this node knows.
    pub fn routes(&self) -> &RouteTable {
        &self.routes
    }

    /// Returns the newest epoch that this node knows.
    pub fn epoch(&self) -> Epoch {
        self.lease.epoch()
    }

    /// Returns the newest row that this node knows.
    pub fn row(&self) -> Option<&VersionedRow> {
        self.row.as_ref()
    }

    /// Returns whether this node acts as the coordinator of its cell.
    pub fn is_coordinator(&self) -> bool {
        self.coordinator.is_some()
    }

    /// Returns the settings of this node.
    pub fn settings(&self) -> &NodeSettings {
        &self.settings
    }

    /// Returns whether this process is a grantor of the newest epoch that it knows.
    fn is_grantor(&self) -> bool {
        let names_this_process = |r: &VersionedRow| {
            r.row.epoch == self.lease.epoch() && r.row.is_grantor(self.settings.incarnation)
        };
        self.row.as_ref().is_some_and(names_this_process)
    }

    /// Returns whether this process should coordinate: it is the first grantor, or all grantors
    /// before it are silent.
    fn should_coordinate(&self, now: Millis) -> bool {
        let Some(known) = self.row.as_ref().filter(|_| self.is_grantor()) else {
            return false;
        };
        let limit = self.settings.timing.silence_limit;
        let is_before = |g: &&crate::Grantor| g.incarnation != self.settings.incarnation;
        let mut before = known.row.grantors.iter().take_while(is_before);
        before.all(|g| {
            let last_seen =
                self.grantor.process_last_seen(g.incarnation).unwrap_or(self.epoch_entered_at);
            now.since(last_seen.max(self.epoch_entered_at)) > limit
        })
    }

    /// Returns the other hosts that must learn of changes of the row and the routes, sorted.
    fn other_hosts(&self, row: &CellRow) -> Vec<HostAddr> {
        let older = row.unsealed.iter().flat_map(|s| s.grantors.iter());
        let grantors = row.grantors.iter().chain(older).map(|g| g.addr);
        let members = row.members.iter().map(|m| m.addr);
        let mut addrs: Vec<HostAddr> = grantors.chain(members).collect();
        addrs.sort_unstable();
        addrs.dedup();
        addrs.retain(|a| *a != self.settings.addr);
        addrs
    }
}

/// Returns whether acting on an event can wait for the next tick. Most messages that a coordinator
/// receives are renewals.
fn can_wait_for_tick(event: &Event) -> bool {
    let Event::Received { message, .. } = event else {
        return false;
    };
    matches!(message, Message::Renew(_) | Message::GetRoutes(_) | Message::Routes(_))
}
