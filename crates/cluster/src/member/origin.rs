//! The origin of a cluster: how it begins, and how a head comes to belong to it for good.

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

/// Why a head does not adopt the origin of a cluster.
#[derive(Debug, Error)]
pub enum AdoptError {
    /// It belongs to another cluster.
    #[error("of another origin")]
    OtherOrigin,
    /// The origin cannot be saved.
    #[error(transparent)]
    Write(#[from] WriteError),
}

/// Why a cluster cannot begin.
#[derive(Debug, Error)]
pub enum BeginError {
    /// This head is not among the voters of its settings.
    #[error("{0} is not among the keepers of its own settings")]
    NotAVoter(String),
    /// A voter cannot be reached, or rejects this head.
    #[error("keeper {name} at {address}: {source}")]
    Unreachable {
        /// The voter's name.
        name: String,
        /// Its address.
        address: SocketAddr,
        /// Why.
        source: io::Error,
    },
    /// Another head answers at a voter's address.
    #[error("at {address} answers {found}, not {name}")]
    WrongHead {
        /// The voter's address.
        address: SocketAddr,
        /// The name of the head that answers.
        found: String,
        /// The voter's name.
        name: String,
    },
    /// A voter has no store.
    #[error("keeper {0} has no store")]
    NoStore(String),
    /// A voter belongs to a cluster already.
    #[error("keeper {0} holds the state of a fleet already")]
    InUse(String),
    /// This head cannot adopt the new origin.
    #[error(transparent)]
    Adopt(#[from] AdoptError),
    /// The consensus library has ended.
    #[error(transparent)]
    Raft(#[from] Box<Fatal<StoreId>>),
    /// The consensus library rejects the first membership.
    #[error(transparent)]
    Initialize(#[from] Box<RaftError<StoreId, InitializeError<StoreId, VoterAddress>>>),
}

impl Member {
    /// Adopts the origin of a cluster, once, and syncs it. From then on this head belongs to that cluster.
    ///
    /// # Errors
    /// It belongs to another one, or the origin cannot be saved.
    pub async fn adopt(&self, theirs: Option<u64>) -> Result<(), AdoptError> {
        let mut identity = self.identity.lock().await;
        match (identity.origin, theirs) {
            (None, Some(theirs)) => {
                let adopted = Identity { origin: Some(theirs), ..identity.clone() };
                self.disk.put(RecordType::Identity, key::IDENTITY, &adopted).await?;
                *identity = adopted;
                self.links.set_origin(theirs);
                Ok(())
            }
            (Some(own), Some(theirs)) if own == theirs => Ok(()),
            _ => Err(AdoptError::OtherOrigin),
        }
    }

    /// Begins the cluster with the voters of the settings: each must answer under its name, and have no state yet. If it
    /// has begun with the same stores already, this does nothing.
    ///
    /// # Errors
    /// Which voter is not ready, or why this head cannot begin.
    pub async fn begin(&self) -> Result<(), BeginError> {
        let own = self.links.own();
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
        self.adopt(Some(new_origin)).await?;
        if !self.raft.is_initialized().await.map_err(Box::new)? {
            self.raft.initialize(members).await.map_err(Box::new)?;
        }
        Ok(())
    }

    /// What a voter of the settings says about itself.
    async fn greet_voter(
        &self,
        own: &Greeting,
        name: &str,
        address: SocketAddr,
    ) -> Result<Greeting, BeginError> {
        if name == own.head {
            return Ok(own.clone());
        }
        let dialed = self.links.dial(address).await;
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
