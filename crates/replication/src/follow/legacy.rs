//! The answer to the poll of earlier versions, from before subscriptions. The order of its variants and fields is part of
//! the wire format.

use crate::peer::{Peer, Voters};
use crate::subscribe::{MAX_REDIRECT_PEERS, Redirect, Route, SubscribeResponse, Update};
use crate::time::Millis;
use crate::view::Chunk;
use serde::{Deserialize, Serialize};

/// An answer to a follower of an earlier version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LegacyUpdateResponse {
    /// What the follower lacks, or an empty chunk if nothing has changed during its wait.
    Chunk {
        /// What it lacks.
        chunk: Chunk,
        /// The heads over which it came, a voter first.
        path: Vec<String>,
        /// Milliseconds since the voter from which it came was sure to have the newest version.
        age: Millis,
        /// The leader, as far as known.
        leader: Option<Peer>,
        /// The voters, as far as the upstream knows.
        voters: Voters,
    },
    /// The head serves as many followers as it can; these may have capacity.
    Full {
        /// Its direct followers.
        redirect: Vec<Peer>,
    },
}

impl LegacyUpdateResponse {
    /// Converts it to the answer to a subscription, with the fleet's origin as the upstream gave it.
    pub fn into_subscribe_response(self, origin: Option<u64>) -> SubscribeResponse {
        match self {
            LegacyUpdateResponse::Full { redirect: mut peers } => {
                peers.truncate(MAX_REDIRECT_PEERS);
                SubscribeResponse::Redirect(Redirect { directory: None, peers })
            }
            LegacyUpdateResponse::Chunk { chunk, path, age, leader, voters } => {
                let route = Route { origin, path, leader, voters };
                let version = chunk.version;
                let (chunk, route) = (Some(chunk), Some(route));
                SubscribeResponse::Update(Update { version, age, chunk, route, directory: None })
            }
        }
    }
}
