//! The response to the poll of earlier versions of the program, which do not know subscriptions. The order of
//! its variants and fields is part of the wire format.

use crate::peer::{Peer, Voters};
use crate::subscribe::{MAX_REDIRECT_PEERS, Redirect, Route, SubscribeResponse, Update};
use crate::time::Millis;
use crate::view::Chunk;
use serde::{Deserialize, Serialize};

/// The response to the poll of earlier versions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LegacyUpdateResponse {
    /// The changes that the follower lacks, or an empty chunk if nothing has changed during its poll.
    Chunk {
        /// The changes.
        chunk: Chunk,
        /// Names of the heads that passed the chunk on, beginning with a voter.
        path: Vec<String>,
        /// Time since the voter at the beginning of the path was last sure to have the newest version, in
        /// milliseconds.
        age: Millis,
        /// The leader, if the upstream knows it.
        leader: Option<Peer>,
        /// The voters, as the upstream knows them.
        voters: Voters,
    },
    /// The head serves its maximum number of followers, which may have capacity themselves.
    Full {
        /// The direct followers of the head.
        redirect: Vec<Peer>,
    },
}

impl LegacyUpdateResponse {
    /// Converts this to the response to a subscription, with the cluster's origin as the upstream sent it.
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
