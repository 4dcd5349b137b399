//! The origin of a cluster: an identifier that is derived from its first voters. A head adopts it once, when
//! it begins or joins a cluster, and from then on belongs to that cluster only.

use super::Member;
use crate::disk::{Identity, WriteError, key};
use crate::types::VoterAddress;
use openraft::error::{Fatal, InitializeError, RaftError};
use sedgerun_replication::greeting::{Greeting, cluster_origin};
use sedgerun_replication::record::RecordType;
use sedgerun_replication::store::StoreId;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use thiserror::Error;

/// Why a head did not adopt the origin of a cluster.
#[derive(Debug, Error)]
pub enum AdoptError {
    /// The other head does not belong to this head's cluster.
    #[error("the heads do not belong to the same fleet")]
    OtherOrigin,
    /// The origin cannot be saved.
    #[error(transparent)]
    Write(#[from] WriteError),
}

/// Why a cluster cannot begin.
#[derive(Debug, Error)]
pub enum BeginError {
    /// This head is not among the voters of its settings.
    #[error("{0} is not listed in fleet.voters of its own settings")]
    NotAVoter(String),
    /// A voter cannot be reached, or rejects this head.
    #[error("voter {name} at {address}: {source}")]
    Unreachable {
        /// The voter's name.
        name: String,
        /// Its address.
        address: SocketAddr,
        /// Why the greeting failed.
        source: io::Error,
    },
    /// Another head responded at a voter's address.
    #[error("the head at {address} is {found}, not {name}")]
    WrongHead {
        /// The voter's address.
        address: SocketAddr,
        /// The name of the head that responded.
        found: String,
        /// The voter's name.
        name: String,
    },
    /// A voter has no store.
    #[error("voter {0} has no store")]
    NoStore(String),
    /// A voter already belongs to another cluster.
    #[error("voter {0} already belongs to another fleet")]
    InUse(String),
    /// This head cannot adopt the new origin.
    #[error(transparent)]
    Adopt(#[from] AdoptError),
    /// The consensus library has stopped.
    #[error(transparent)]
    Raft(#[from] Box<Fatal<StoreId>>),
    /// The consensus library rejects the first membership.
    #[error(transparent)]
    Initialize(#[from] Box<RaftError<StoreId, InitializeError<StoreId, VoterAddress>>>),
}

impl Member {
    /// Adopts the origin of a cluster and syncs it to disk, if this head has none yet.
    ///
    /// # Errors
    /// This head has another origin, `theirs` is `None`, or the origin cannot be saved.
    pub async fn adopt_origin(&self, theirs: Option<u64>) -> Result<(), AdoptError> {
        let mut identity = self.identity.lock().await;
        match (identity.origin, theirs) {
            (None, Some(theirs)) => {
                let adopted = Identity { origin: Some(theirs), ..identity.clone() };
                self.disk.put(RecordType::Identity, key::IDENTITY, &adopted).await?;
                *identity = adopted;
                self.network.set_origin(theirs);
                Ok(())
            }
            (Some(own), Some(theirs)) if own == theirs => Ok(()),
            _ => Err(AdoptError::OtherOrigin),
        }
    }

    /// Begins the cluster with the voters of the settings. Each of them must respond under its name and must
    /// not belong to another cluster. Does nothing if the cluster has already begun with the same stores.
    ///
    /// # Errors
    /// A voter is not ready, or this head cannot begin the cluster.
    pub async fn begin(&self) -> Result<(), BeginError> {
        let own = self.network.own_greeting();
        if !self.settings.voters.contains_key(&own.head) {
            return Err(BeginError::NotAVoter(own.head));
        }
        let mut members: BTreeMap<StoreId, VoterAddress> = BTreeMap::new();
        let mut origins = Vec::new();
        for (name, address) in &self.settings.voters {
            let greeting = self.greet_voter(&own, name, *address).await?;
            let store = greeting.store.ok_or_else(|| BeginError::NoStore(name.clone()))?;
            let voter =
                VoterAddress { head: name.clone(), address: address.to_string(), zone: greeting.zone };
            members.insert(store, voter);
            origins.push((name, greeting.origin));
        }
        let new_origin = cluster_origin(members.keys().copied());
        let in_use = origins.iter().find(|(_, origin)| origin.is_some_and(|origin| origin != new_origin));
        if let Some((name, _)) = in_use {
            return Err(BeginError::InUse((*name).clone()));
        }
        self.adopt_origin(Some(new_origin)).await?;
        if !self.raft.is_initialized().await.map_err(Box::new)? {
            self.raft.initialize(members).await.map_err(Box::new)?;
        }
        Ok(())
    }

    /// Connects to a voter of the settings and returns its greeting.
    async fn greet_voter(
        &self,
        own: &Greeting,
        name: &str,
        address: SocketAddr,
    ) -> Result<Greeting, BeginError> {
        if name == own.head {
            return Ok(own.clone());
        }
        let dialed = self.network.dial(address).await;
        let (_, greeting) = dialed.map_err(|source| {
            let name = name.to_owned();
            BeginError::Unreachable { name, address, source }
        })?;
        if greeting.head != name {
            let name = name.to_owned();
            return Err(BeginError::WrongHead { address, found: greeting.head, name });
        }
        Ok(greeting)
    }
}
