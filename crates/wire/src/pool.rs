//! The connections that a client uses for one purpose: at most one in use per peer, and not more
//! than a bound.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use bytes::Bytes;
use h2::client::SendRequest;
use model::HostAddr;

use crate::link::{Link, Slot};
use crate::meter::Traffic;
use crate::settings::{BlockedPeers, ClientSettings};

/// How often a connection is asked for a stream before the peer counts as unreachable. One that
/// worked and turns out to be over is replaced; one that could not be opened is not.
const OPEN_ATTEMPTS: usize = 2;

/// Why there is no connection to a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NoLink {
    /// The peer cannot be reached.
    Unreachable,
    /// All connections are in use.
    PoolFull,
}

/// The connections of one client for one purpose.
pub(crate) struct Pool {
    settings: Rc<ClientSettings>,
    traffic: Rc<Cell<Traffic>>,
    links: RefCell<Vec<(HostAddr, Rc<Link>)>>,
    blocked: RefCell<BlockedPeers>,
}

impl Drop for Pool {
    fn drop(&mut self) {
        for (_, link) in self.links.borrow().iter() {
            link.retire();
        }
    }
}

impl Pool {
    /// Makes a pool without connections that adds its bytes to `traffic`.
    pub(crate) fn new(settings: Rc<ClientSettings>, traffic: Rc<Cell<Traffic>>) -> Self {
        Self { settings, traffic, links: RefCell::default(), blocked: RefCell::default() }
    }

    /// Returns how many connections are open or being opened.
    pub(crate) fn size(&self) -> usize {
        self.links.borrow().iter().filter(|(_, link)| link.is_usable()).count()
    }

    /// Waits for a stream to `to`. Nothing is sent.
    pub(crate) async fn ready(&self, to: HostAddr) -> Result<(Slot, SendRequest<Bytes>), NoLink> {
        for _ in 0..OPEN_ATTEMPTS {
            let link = self.link(to)?;
            if let Some(ready) = link.clone().ready(self.settings.clone()).await {
                return Ok(ready);
            }
            if !link.was_up() {
                break;
            }
        }
        Err(NoLink::Unreachable)
    }

    /// Returns the connection to `to`, which may still be opening.
    fn link(&self, to: HostAddr) -> Result<Rc<Link>, NoLink> {
        if self.blocked.borrow().contains(to) {
            return Err(NoLink::Unreachable);
        }
        let links = &mut *self.links.borrow_mut();
        let found = links.binary_search_by_key(&to, |(addr, _)| *addr);
        if let Ok(index) = found
            && links[index].1.is_usable()
        {
            return Ok(links[index].1.clone());
        }
        if found.is_err() && links.len() >= self.settings.max_connections {
            make_room(links)?;
        }
        let link = Link::open(to, self.settings.clone(), self.traffic.clone());
        match links.binary_search_by_key(&to, |(addr, _)| *addr) {
            Ok(index) => links[index].1 = link.clone(),
            Err(index) => links.insert(index, (to, link.clone())),
        }
        Ok(link)
    }

    /// Changes which peers can be reached and breaks the connections to those that cannot.
    pub(crate) fn block_peers(&self, blocked: BlockedPeers) {
        for (addr, link) in self.links.borrow().iter() {
            if blocked.contains(*addr) {
                link.close();
            }
        }
        self.blocked.replace(blocked);
    }
}

/// Drops the connections that are over, or else the idle one that was used least recently.
fn make_room(links: &mut Vec<(HostAddr, Rc<Link>)>) -> Result<(), NoLink> {
    let before = links.len();
    links.retain(|(_, link)| link.is_usable());
    if links.len() < before {
        return Ok(());
    }
    let idle = links.iter().enumerate().filter(|(_, (_, link))| link.is_idle());
    let oldest = idle.min_by_key(|(_, (_, link))| link.used_at()).map(|(index, _)| index);
    let (_, link) = links.remove(oldest.ok_or(NoLink::PoolFull)?);
    link.close();
    Ok(())
}
