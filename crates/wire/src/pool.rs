//! Connection pool of a client, with at most one usable connection per peer and a limit on the
//! total.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use bytes::Bytes;
use h2::client::SendRequest;
use model::HostAddr;

use crate::connection::{PeerConnection, StreamPermit};
use crate::meter::Traffic;
use crate::settings::{BlockedPeers, ClientSettings};

/// Attempts to acquire a stream before the peer counts as unreachable. A connection that used to
/// work and turns out to be closed is replaced; one that could not be opened is not.
const MAX_ACQUIRE_ATTEMPTS: usize = 2;

/// Why no stream to a peer is available.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AcquireError {
    /// The peer is unreachable.
    Unreachable,
    /// All connections are in use.
    PoolFull,
}

/// The connections of one client for either calls or forwarded requests.
pub(crate) struct Pool {
    settings: Rc<ClientSettings>,
    traffic: Rc<Cell<Traffic>>,
    /// Sorted by address.
    connections: RefCell<Vec<(HostAddr, Rc<PeerConnection>)>>,
    blocked: RefCell<BlockedPeers>,
}

impl Drop for Pool {
    fn drop(&mut self) {
        for (_, conn) in self.connections.borrow().iter() {
            conn.retire();
        }
    }
}

impl Pool {
    /// Creates an empty pool whose connections add their bytes to `traffic`.
    pub(crate) fn new(settings: Rc<ClientSettings>, traffic: Rc<Cell<Traffic>>) -> Self {
        Self { settings, traffic, connections: RefCell::default(), blocked: RefCell::default() }
    }

    /// Returns the number of connections that are open or opening.
    pub(crate) fn size(&self) -> usize {
        self.connections.borrow().iter().filter(|(_, conn)| conn.is_usable()).count()
    }

    /// Waits until a stream to `to` can be opened. Sends nothing.
    pub(crate) async fn acquire(
        &self,
        to: HostAddr,
    ) -> Result<(StreamPermit, SendRequest<Bytes>), AcquireError> {
        for _ in 0..MAX_ACQUIRE_ATTEMPTS {
            let conn = self.connection(to)?;
            if let Some(ready) = conn.clone().acquire(self.settings.clone()).await {
                return Ok(ready);
            }
            if !conn.was_up() {
                break;
            }
        }
        Err(AcquireError::Unreachable)
    }

    /// Returns the usable connection to `to`, or starts to open one.
    fn connection(&self, to: HostAddr) -> Result<Rc<PeerConnection>, AcquireError> {
        if self.blocked.borrow().contains(to) {
            return Err(AcquireError::Unreachable);
        }
        let connections = &mut *self.connections.borrow_mut();
        let found = connections.binary_search_by_key(&to, |(addr, _)| *addr);
        if let Ok(index) = found
            && connections[index].1.is_usable()
        {
            return Ok(connections[index].1.clone());
        }
        if found.is_err() && connections.len() >= self.settings.max_connections {
            make_room(connections)?;
        }
        let conn = PeerConnection::open(to, self.settings.clone(), self.traffic.clone());
        match connections.binary_search_by_key(&to, |(addr, _)| *addr) {
            Ok(index) => connections[index].1 = conn.clone(),
            Err(index) => connections.insert(index, (to, conn.clone())),
        }
        Ok(conn)
    }

    /// Replaces the set of blocked peers, and closes the connections to them.
    pub(crate) fn block_peers(&self, blocked: BlockedPeers) {
        for (addr, conn) in self.connections.borrow().iter() {
            if blocked.contains(*addr) {
                conn.close();
            }
        }
        self.blocked.replace(blocked);
    }
}

/// Removes the unusable connections, or else evicts the least recently used idle one.
fn make_room(connections: &mut Vec<(HostAddr, Rc<PeerConnection>)>) -> Result<(), AcquireError> {
    let before = connections.len();
    connections.retain(|(_, conn)| conn.is_usable());
    if connections.len() < before {
        return Ok(());
    }
    let idle = connections.iter().enumerate().filter(|(_, (_, conn))| conn.is_idle());
    let oldest = idle.min_by_key(|(_, (_, conn))| conn.last_used()).map(|(index, _)| index);
    let (_, conn) = connections.remove(oldest.ok_or(AcquireError::PoolFull)?);
    conn.close();
    Ok(())
}
