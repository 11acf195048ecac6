//! The number of connections to an address, and which one is closed when it is exceeded.
//!
//! Connections that never had a request go first: clients that open connections and send nothing
//! don't displace those that wait between two requests.

use model::Millis;

use crate::memory_budget::HolderId;

#[derive(Debug)]
struct Connection {
    id: HolderId,
    /// The requests whose responses are not written.
    requests: usize,
    /// Whether it ever had a request.
    used: bool,
    idle_since: Millis,
}

/// The connections to an address.
#[derive(Debug)]
pub struct ConnectionLimit {
    limit: usize,
    connections: Vec<Connection>, // Sorted by id.
}

impl ConnectionLimit {
    /// Creates a limit without connections.
    pub fn new(limit: usize) -> Self {
        Self { limit, connections: Vec::new() }
    }

    /// Returns whether another connection may be added.
    pub fn has_room(&self) -> bool {
        self.connections.len() < self.limit
    }

    /// Returns the connection that has been without a request for longest, and since when. Those that
    /// never had one precede the others.
    pub fn longest_idle(&self) -> Option<(HolderId, Millis)> {
        let idle = self.connections.iter().filter(|c| c.requests == 0);
        idle.min_by_key(|c| (c.used, c.idle_since)).map(|c| (c.id, c.idle_since))
    }

    /// Adds a connection without requests.
    pub fn add(&mut self, id: HolderId, now: Millis) {
        if let Err(at) = self.connections.binary_search_by_key(&id, |c| c.id) {
            self.connections
                .insert(at, Connection { id, requests: 0, used: false, idle_since: now });
        }
    }

    /// Removes a connection that has ended or is being closed.
    pub fn remove(&mut self, id: HolderId) {
        self.connections.retain(|c| c.id != id);
    }

    /// Records that a request has begun. Part of a head is no request.
    pub fn request_started(&mut self, id: HolderId) {
        if let Ok(at) = self.connections.binary_search_by_key(&id, |c| c.id) {
            self.connections[at].requests += 1;
            self.connections[at].used = true;
        }
    }

    /// Records that the response to a request was written.
    pub fn request_ended(&mut self, id: HolderId, now: Millis) {
        if let Ok(at) = self.connections.binary_search_by_key(&id, |c| c.id) {
            let connection = &mut self.connections[at];
            connection.requests = connection.requests.saturating_sub(1);
            connection.idle_since = now;
        }
    }
}
