//! The lease of a member: one session, renewed by a majority of the grantors.

use model::{Epoch, HostAddr, Incarnation, Millis, Session};

use crate::cx::Cx;
use crate::{Command, Grantor, Message, RefusalReason, Renew, Report};

/// How many times per renew interval an unanswered renewal is retried.
const RETRIES_PER_INTERVAL: u64 = 3;

/// Returns how many of `count` grantors must grant a lease.
pub(crate) fn majority(count: usize) -> usize {
    count / 2 + 1
}

/// Returns how many of `count` grantors suffice to prevent a majority among the others.
pub(crate) fn blocking_quorum(count: usize) -> usize {
    count.saturating_sub(majority(count)) + 1
}

/// The latest renewal that a grantor acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Ack {
    grantor: HostAddr,
    sent_at: Millis,
}

/// The lease of this host process.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Lease {
    session: Session,
    epoch: Epoch,
    /// The highest epoch of any order so far; orders from lower epochs are refused.
    min_order_epoch: Epoch,
    grantors: Vec<Grantor>,
    /// The latest acknowledged renewal in this epoch per grantor, sorted by grantor.
    acks: Vec<Ack>,
    end: Option<Millis>,
    /// When the latest renewal was sent; `None` makes the next one due at once.
    sent_at: Option<Millis>,
}

/// Commands.
impl Lease {
    pub(crate) fn new(incarnation: Incarnation) -> Self {
        Self {
            session: Session { incarnation, number: 1 },
            epoch: Epoch::default(),
            min_order_epoch: Epoch::default(),
            grantors: Vec::new(),
            acks: Vec::new(),
            end: None,
            sent_at: None,
        }
    }

    /// Switches to the grantors of a higher epoch. The lease from the previous ones stays valid.
    pub(crate) fn adopt_grantors(&mut self, epoch: Epoch, grantors: &[Grantor]) {
        if epoch <= self.epoch {
            return;
        }
        self.epoch = epoch;
        self.raise_min_order_epoch(epoch);
        self.grantors = grantors.to_vec();
        self.acks.clear();
        self.sent_at = None;
    }

    /// Refuses orders from epochs below `epoch` from now on.
    pub(crate) fn raise_min_order_epoch(&mut self, epoch: Epoch) {
        self.min_order_epoch = self.min_order_epoch.max(epoch);
    }

    /// Makes the next call of `renew` send a renewal.
    pub(crate) fn renew_now(&mut self) {
        self.sent_at = None;
    }

    /// Sends a renewal if one is due.
    pub(crate) fn renew(&mut self, report: &Report, cx: &mut Cx<'_>) {
        let answered = self.preferred_grantors_acked(cx);
        let interval = cx.timing().renew_interval;
        let pause = if answered { interval } else { Millis(interval.0 / RETRIES_PER_INTERVAL) };
        if !cx.is_due(self.sent_at, pause) {
            return;
        }
        let renew = Renew {
            epoch: self.epoch,
            session: self.session,
            sent_at: cx.now,
            report: report.clone(),
        };
        let targets = if answered { self.preferred_grantors(cx) } else { self.grantor_addrs() };
        for to in targets {
            cx.send(to, Message::Renew(renew.clone()));
        }
        self.sent_at = Some(cx.now);
    }

    /// Notes a grant. Returns whether it was for this session and epoch.
    pub(crate) fn on_renewed(
        &mut self,
        from: HostAddr,
        epoch: Epoch,
        session: Session,
        sent_at: Millis,
        cx: &Cx<'_>,
    ) -> bool {
        let is_from_grantor = self.grantors.iter().any(|g| g.addr == from);
        if epoch != self.epoch || session != self.session || !is_from_grantor || sent_at > cx.now {
            return false;
        }
        self.record_ack(from, sent_at);
        if let Some(start) = self.majority_sent_at() {
            let end = (start + cx.timing().term) - cx.timing().drift_margin;
            self.end = self.end.max(Some(end));
        }
        true
    }

    /// Ends the session for good and starts the next one.
    pub(crate) fn end_session(&mut self, reason: &str, cx: &mut Cx<'_>) {
        let text = format!("session {} ended: {reason}", self.session);
        cx.record(None, "lease-lost", text);
        cx.push(Command::StopAll);
        self.session.number += 1;
        self.acks.clear();
        self.end = None;
        self.sent_at = None;
    }

    fn record_ack(&mut self, grantor: HostAddr, sent_at: Millis) {
        match self.acks.binary_search_by_key(&grantor, |a| a.grantor) {
            Ok(i) => self.acks[i].sent_at = self.acks[i].sent_at.max(sent_at),
            Err(i) => self.acks.insert(i, Ack { grantor, sent_at }),
        }
    }
}

/// Queries.
impl Lease {
    pub(crate) fn session(&self) -> Session {
        self.session
    }

    pub(crate) fn epoch(&self) -> Epoch {
        self.epoch
    }

    pub(crate) fn min_order_epoch(&self) -> Epoch {
        self.min_order_epoch
    }

    pub(crate) fn grantors(&self) -> &[Grantor] {
        &self.grantors
    }

    pub(crate) fn end(&self) -> Option<Millis> {
        self.end
    }

    pub(crate) fn is_valid(&self, now: Millis) -> bool {
        self.end.is_some_and(|end| now < end)
    }

    /// Returns whether the lease was held and has expired.
    pub(crate) fn has_expired(&self, now: Millis) -> bool {
        self.end.is_some_and(|end| now >= end)
    }

    /// Returns whether a refused renewal means that this session was expired.
    pub(crate) fn is_session_expired(&self, session: Session, reason: &RefusalReason) -> bool {
        session == self.session && *reason == RefusalReason::SessionExpired
    }

    fn grantor_addrs(&self) -> Vec<HostAddr> {
        self.grantors.iter().map(|g| g.addr).collect()
    }

    /// Returns a majority of the grantors: the first one, which normally coordinates, then those in
    /// the host's own availability zone, then others.
    ///
    /// A grantor renews with all grantors, so that they notice when it falls silent.
    fn preferred_grantors(&self, cx: &Cx<'_>) -> Vec<HostAddr> {
        let incarnation = cx.settings.incarnation;
        let count = self.grantors.len();
        let is_grantor = self.grantors.iter().any(|g| g.incarnation == incarnation);
        if is_grantor || count < 3 {
            return self.grantor_addrs();
        }
        let mut rest: Vec<&Grantor> = self.grantors[1..].iter().collect();
        let rotation = incarnation.0 % rest.len() as u64;
        rest.rotate_left(usize::try_from(rotation).unwrap_or(0));
        rest.sort_by_key(|g| g.zone != cx.settings.zone);
        let others = rest.into_iter().map(|g| g.addr);
        [self.grantors[0].addr].into_iter().chain(others).take(majority(count)).collect()
    }

    fn preferred_grantors_acked(&self, cx: &Cx<'_>) -> bool {
        let Some(sent_at) = self.sent_at else {
            return false;
        };
        self.preferred_grantors(cx).iter().all(|g| self.last_acked(*g) == Some(sent_at))
    }

    fn last_acked(&self, grantor: HostAddr) -> Option<Millis> {
        let index = self.acks.binary_search_by_key(&grantor, |a| a.grantor).ok()?;
        Some(self.acks[index].sent_at)
    }

    /// Returns the latest send time that a majority of the grantors has acknowledged.
    fn majority_sent_at(&self) -> Option<Millis> {
        let mut times: Vec<Millis> = self.acks.iter().map(|a| a.sent_at).collect();
        times.sort_unstable_by(|a, b| b.cmp(a));
        times.get(majority(self.grantors.len()) - 1).copied()
    }
}
