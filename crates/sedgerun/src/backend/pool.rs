//! A pool of backend clients in least-recently-used order.
//!
//! The pool does no I/O: a client closes its idle connections when the caller drops it after its removal.

use std::collections::BTreeMap;
use std::net::SocketAddr;

/// One client for each address, in the order of last use.
#[derive(Debug)]
pub struct ClientPool<C> {
    clients: BTreeMap<SocketAddr, Entry<C>>,
    /// Addresses by the sequence number of their last use.
    by_last_use: BTreeMap<u64, SocketAddr>,
    /// Sequence number of the most recent use of any client.
    uses: u64,
}

#[derive(Debug)]
struct Entry<C> {
    client: C,
    last_use: u64,
}

impl<C> Default for ClientPool<C> {
    fn default() -> Self {
        ClientPool { clients: BTreeMap::new(), by_last_use: BTreeMap::new(), uses: 0 }
    }
}

impl<C: Clone> ClientPool<C> {
    /// The number of clients.
    pub fn len(&self) -> usize {
        self.clients.len()
    }

    /// Whether the pool has no clients.
    pub fn is_empty(&self) -> bool {
        self.clients.is_empty()
    }

    /// The client of an address, which becomes the most recently used.
    pub fn get(&mut self, address: SocketAddr) -> Option<C> {
        let entry = self.clients.get_mut(&address)?;
        self.by_last_use.remove(&entry.last_use);
        self.uses += 1;
        entry.last_use = self.uses;
        self.by_last_use.insert(self.uses, address);
        Some(entry.client.clone())
    }

    /// Adds a client, which replaces any other of the address and becomes the most recently used.
    pub fn insert(&mut self, address: SocketAddr, client: C) {
        self.remove(address);
        self.uses += 1;
        self.clients.insert(address, Entry { client, last_use: self.uses });
        self.by_last_use.insert(self.uses, address);
    }

    /// Removes and returns the client of an address.
    pub fn remove(&mut self, address: SocketAddr) -> Option<C> {
        let Entry { client, last_use } = self.clients.remove(&address)?;
        self.by_last_use.remove(&last_use);
        Some(client)
    }

    /// Removes and returns the least recently used client.
    pub fn remove_least_recent(&mut self) -> Option<C> {
        let (_, address) = self.by_last_use.pop_first()?;
        self.clients.remove(&address).map(|entry| entry.client)
    }

    /// All clients, by address.
    pub fn iter(&self) -> impl Iterator<Item = &C> {
        self.clients.values().map(|entry| &entry.client)
    }

    /// Removes all clients except the one of an address.
    pub fn retain_only(&mut self, address: SocketAddr) {
        let kept = self.remove(address);
        self.clear();
        if let Some(client) = kept {
            self.insert(address, client);
        }
    }

    /// Removes all clients.
    pub fn clear(&mut self) {
        self.clients.clear();
        self.by_last_use.clear();
    }
}
