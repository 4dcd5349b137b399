//! Clients of backends in the order of their use, so that the least recently used one can give its connections up.
//!
//! It does no I/O: a client closes its idle connections when it is dropped by who removed it here.

use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A client for each address, with the order in which they were last used.
#[derive(Debug)]
pub struct ClientPool<C> {
    clients: BTreeMap<SocketAddr, Entry<C>>,
    /// The addresses by the number of their clients' last use.
    by_last_use: BTreeMap<u64, SocketAddr>,
    /// The number of the last use of any client.
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

    /// Whether there is no client.
    pub fn is_empty(&self) -> bool {
        self.clients.is_empty()
    }

    /// The client of an address, which is the last used from now on.
    pub fn get(&mut self, address: SocketAddr) -> Option<C> {
        let entry = self.clients.get_mut(&address)?;
        self.by_last_use.remove(&entry.last_use);
        self.uses += 1;
        entry.last_use = self.uses;
        self.by_last_use.insert(self.uses, address);
        Some(entry.client.clone())
    }

    /// Sets the client of an address in place of any that it had; it is the last used.
    pub fn insert(&mut self, address: SocketAddr, client: C) {
        self.remove(address);
        self.uses += 1;
        self.clients.insert(address, Entry { client, last_use: self.uses });
        self.by_last_use.insert(self.uses, address);
    }

    /// Removes an address's client.
    pub fn remove(&mut self, address: SocketAddr) -> Option<C> {
        let Entry { client, last_use } = self.clients.remove(&address)?;
        self.by_last_use.remove(&last_use);
        Some(client)
    }

    /// Removes the least recently used client.
    pub fn remove_least_recent(&mut self) -> Option<C> {
        let (_, address) = self.by_last_use.pop_first()?;
        self.clients.remove(&address).map(|entry| entry.client)
    }

    /// Removes all clients but that of one address.
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
