//! Replication to heads without a vote: from which upstream a follower gets the state, and which followers a head
//! serves.
//!
//! A follower asks one other head, its upstream, for what it lacks, and waits there for the next change. A head has
//! so many followers and no more, and sends others on to its own, so that no voter's work grows with the fleet.
//! Each answer says over which heads it came, by which a follower never follows itself, and how old it may be, by
//! which one that follows a head which has lost its own upstream looks for another.

use crate::election::Millis;
use crate::greeting::StoreId;
use crate::view::{Chunk, Transfer, UpstreamBehind, View};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// An update older than this, in milliseconds, sends a follower to another upstream.
pub const MAX_UPDATE_AGE_MS: Millis = 5000;
/// Followers that one head serves directly.
pub const MAX_FOLLOWERS: usize = 16;
/// A follower that has not polled for so long, in milliseconds, is forgotten.
pub const FOLLOWER_TIMEOUT_MS: Millis = 5000;
/// Heads between a voter and the last follower.
const MAX_DEPTH: usize = 12;
/// Possible upstreams that a follower knows.
const MAX_KNOWN_PEERS: usize = 64;
/// Followers that one head reports at the most, direct and indirect.
const MAX_SUBTREE: usize = 512;
/// Back-off after a failure, in milliseconds: doubled from the least to the most, and half of it by chance.
const MIN_BACKOFF_MS: Millis = 50;
/// See [`MIN_BACKOFF_MS`].
const MAX_BACKOFF_MS: Millis = 2000;

/// Name and address of a head.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// Its name.
    pub head: String,
    /// Where it is called.
    pub address: String,
}

/// A follower, as reported by itself or by its upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Downstream {
    /// Its name and address.
    pub at: Peer,
    /// Its store.
    pub store: StoreId,
    /// Its zone, where there is one.
    pub zone: Option<String>,
    /// The version that it holds.
    pub version: u64,
    /// Its incarnation.
    #[serde(rename = "life")]
    pub incarnation: u64,
}

/// The voters, as settled at a position of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Voters {
    /// Index of the log entry that settled it.
    pub log_index: u64,
    /// The stores with their heads.
    pub by_store: BTreeMap<StoreId, Peer>,
}

impl Voters {
    /// Whether a store that knows of voters as of its own log index is no longer one.
    pub fn excludes(&self, own: StoreId, log_index: u64) -> bool {
        // Guards against an old update: a store that was let in since is not in it either.
        self.log_index > log_index && !self.by_store.contains_key(&own)
    }
}

/// An answer to a follower.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum UpdateReply {
    /// What the follower lacks, or nothing where nothing has changed for as long as it wanted to wait.
    Chunk {
        /// What it lacks.
        chunk: Chunk,
        /// The heads over which it came, a voter first.
        path: Vec<String>,
        /// How long ago, in milliseconds, the voter that it came from was sure that nothing was newer.
        age: Millis,
        /// The leader, as far as known.
        leader: Option<Peer>,
        /// The voters, as far as the upstream knows.
        voters: Voters,
    },
    /// The head serves as many followers as it can; these may have room.
    Full {
        /// Its direct followers.
        redirect: Vec<Peer>,
    },
}

/// What a follower does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Next {
    /// Nothing before this time.
    Wait(Millis),
    /// Poll this head: `since` and `first_version` of [`View::chunk`].
    Poll(Peer, u64, u64),
}

/// State of one follower.
#[derive(Debug)]
pub struct Follower {
    own: String,
    rng: ChaCha8Rng,
    /// Those of the settings, which are never forgotten.
    seeds: Vec<Peer>,
    /// Those yet to be tried in this round.
    untried: Vec<Peer>,
    upstream: Option<Peer>,
    transfer: Transfer,
    due: Millis,
    failures: u32,
    path: Vec<String>,
    /// When what is held was last known to be the newest.
    fresh_at: Option<Millis>,
    /// The leader, as in the last update.
    pub leader: Option<Peer>,
    /// The voters, as in the last update.
    pub voters: Voters,
}

impl Follower {
    /// A follower that knows these heads from its settings.
    pub fn new(own: &str, seeds: Vec<Peer>, seed: u64) -> Follower {
        Follower {
            own: own.to_owned(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            seeds: seeds.into_iter().filter(|upstream| upstream.head != own).collect(),
            untried: Vec::new(),
            upstream: None,
            transfer: Transfer::default(),
            due: 0,
            failures: 0,
            path: Vec::new(),
            fresh_at: None,
            leader: None,
            voters: Voters::default(),
        }
    }

    fn random_below(&mut self, most: usize) -> usize {
        if most == 0 { 0 } else { self.rng.next_u32() as usize % most }
    }

    /// What to do now.
    pub fn next(&mut self, now: Millis, view: &View) -> Next {
        if now < self.due {
            return Next::Wait(self.due);
        }
        if self.upstream.is_none() {
            if self.untried.is_empty() {
                self.untried = self.seeds.clone();
                let unknown = |voter: &&Peer| {
                    voter.head != self.own && self.seeds.iter().all(|seed| seed.head != voter.head)
                };
                self.untried.extend(self.voters.by_store.values().filter(unknown).cloned());
            }
            if self.untried.is_empty() {
                return Next::Wait(now + MAX_BACKOFF_MS);
            }
            // By chance, so that a fleet that starts together does not call one voter together.
            let turn = self.random_below(self.untried.len());
            self.upstream = Some(self.untried.swap_remove(turn));
        }
        let (since, first_version) = self.transfer.next_request(view);
        self.upstream.clone().map_or(Next::Wait(now), |upstream| Next::Poll(upstream, since, first_version))
    }

    /// The upstream did not answer, or cannot be followed.
    pub fn on_failure(&mut self, now: Millis) {
        self.upstream = None;
        let wait = (MIN_BACKOFF_MS << self.failures.min(6)).min(MAX_BACKOFF_MS);
        self.failures += 1;
        self.due = now + wait / 2 + self.random_below(wait as usize / 2 + 1) as Millis;
    }

    /// The upstream answered; whether the view has moved. An error says why it is left.
    pub fn on_reply(
        &mut self,
        now: Millis,
        view: &mut View,
        reply: UpdateReply,
    ) -> Result<bool, &'static str> {
        let taken = self.apply_reply(now, view, reply);
        if taken.is_err() {
            self.on_failure(now);
        }
        taken
    }

    fn apply_reply(
        &mut self,
        now: Millis,
        view: &mut View,
        reply: UpdateReply,
    ) -> Result<bool, &'static str> {
        let (chunk, path, age, leader, voters) = match reply {
            UpdateReply::Full { redirect } => {
                for other in redirect {
                    let known =
                        other.head == self.own || self.untried.iter().any(|known| known.head == other.head);
                    if !known && self.untried.len() < MAX_KNOWN_PEERS {
                        self.untried.push(other);
                    }
                }
                return Err("others hang on it already");
            }
            UpdateReply::Chunk { chunk, path, age, leader, voters } => (chunk, path, age, leader, voters),
        };
        // Guards against heads that follow each other in a ring, and serve each other what they knew.
        if path.contains(&self.own) {
            return Err("it follows this head");
        }
        if path.len() >= MAX_DEPTH {
            return Err("too many heads are between it and a keeper");
        }
        if age > MAX_UPDATE_AGE_MS
            && self.age(now).is_none_or(|own| own <= age)
            && view.version >= chunk.version
        {
            return Err("what it tells is old");
        }
        let moved = self.transfer.accept(view, chunk).map_err(|UpstreamBehind| "it is behind this head")?;
        self.fresh_at = self.fresh_at.max(now.checked_sub(age));
        (self.path, self.leader) = (path, leader);
        // Voters of an older position would send this head to those that are gone.
        if voters.log_index >= self.voters.log_index {
            self.voters = voters;
        }
        if age > MAX_UPDATE_AGE_MS {
            return Err("what it tells is old");
        }
        (self.failures, self.untried) = (0, Vec::new());
        Ok(moved)
    }

    /// The heads over which the state came here, this one last.
    pub fn path(&self) -> Vec<String> {
        self.path.iter().chain([&self.own]).cloned().collect()
    }

    /// How old what is held may be; `None` before the first update.
    pub fn age(&self, now: Millis) -> Option<Millis> {
        self.fresh_at.map(|fresh_at| now.saturating_sub(fresh_at))
    }
}

/// Whether a follower is served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is served.
    Admitted,
    /// This head serves enough followers already; the follower is redirected.
    Full,
    /// Another store follows this head under the same name.
    DuplicateName,
}

/// The followers of this head.
#[derive(Debug, Default)]
pub struct Followers {
    by_store: BTreeMap<StoreId, (Millis, Downstream, Vec<Downstream>)>,
}

impl Followers {
    /// A follower polls, and reports its own subtree at times.
    pub fn admit(
        &mut self,
        now: Millis,
        follower: Downstream,
        subtree: Option<Vec<Downstream>>,
    ) -> Admission {
        self.by_store.retain(|_, (seen, ..)| now < *seen + FOLLOWER_TIMEOUT_MS);
        if !self.by_store.contains_key(&follower.store) {
            if self.by_store.len() >= MAX_FOLLOWERS {
                return Admission::Full;
            }
            if self.by_store.values().any(|(_, known, _)| known.at.head == follower.at.head) {
                return Admission::DuplicateName;
            }
        }
        let known = self.by_store.remove(&follower.store);
        let subtree = subtree.or(known.map(|(_, _, subtree)| subtree)).unwrap_or_default();
        self.by_store.insert(follower.store, (now, follower, subtree));
        Admission::Admitted
    }

    /// The direct followers, which may have room.
    pub fn peers(&self) -> Vec<Peer> {
        self.by_store.values().map(|(_, follower, _)| follower.at.clone()).collect()
    }

    /// All followers of this head, direct and indirect.
    pub fn subtree(&self, now: Millis) -> Vec<Downstream> {
        let there = self.by_store.values().filter(|(seen, ..)| now < *seen + FOLLOWER_TIMEOUT_MS);
        let all = there.flat_map(|(_, follower, subtree)| [follower].into_iter().chain(subtree));
        all.take(MAX_SUBTREE).cloned().collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::view::{Key, Object, VersionedObject};

    fn peer(head: &str) -> Peer {
        Peer { head: head.into(), address: format!("{head}:1") }
    }

    fn update(view: &View, since: u64, path: &[&str], age: Millis) -> UpdateReply {
        let path = path.iter().map(|head| (*head).to_owned()).collect();
        UpdateReply::Chunk {
            chunk: view.chunk(since, 0, 1 << 20),
            path,
            age,
            leader: None,
            voters: Voters::default(),
        }
    }

    fn banned(version: u64) -> View {
        let mut view = View::default();
        view.put(VersionedObject { version, key: Key::Backend("b".into()), object: Some(Object::Ban) });
        view
    }

    #[test]
    fn a_ring_an_old_teller_and_one_that_is_behind_are_left() {
        let mut follower = Follower::new("f1", vec![peer("k1"), peer("f1")], 1);
        let mut view = View::default();
        assert_eq!(follower.next(1000, &view), Next::Poll(peer("k1"), 0, 0));
        assert_eq!(follower.on_reply(1000, &mut view, update(&banned(3), 0, &["k1"], 10)), Ok(true));
        assert_eq!((view.version, follower.age(1050)), (3, Some(60)));
        assert_eq!(follower.path(), ["k1", "f1"]);
        assert!(follower.on_reply(1060, &mut view, update(&banned(9), 0, &["k1", "f1", "f2"], 10)).is_err());
        assert!(matches!(follower.next(1060, &view), Next::Wait(_)), "it tries again at once");
        assert!(follower.on_reply(1070, &mut view, update(&banned(2), 0, &["k2"], 10)).is_err());
        assert!(
            follower
                .on_reply(1080, &mut view, update(&View::default(), 0, &["f7"], MAX_UPDATE_AGE_MS + 1))
                .is_err()
        );
        assert_eq!(view.version, 3);
        // A newer version is applied, however old the update: and another upstream looked for.
        assert!(
            follower
                .on_reply(1090, &mut view, update(&banned(4), 3, &["f7"], MAX_UPDATE_AGE_MS + 1))
                .is_err()
        );
        assert_eq!((view.version, follower.age(1090)), (4, Some(100)));
    }

    #[test]
    fn a_full_teller_sends_on_to_its_followers() {
        let mut followers = Followers::default();
        let downstream = |i: u64| Downstream {
            at: peer(&format!("f{i}")),
            store: i,
            zone: None,
            version: 0,
            incarnation: 1,
        };
        for i in 0..MAX_FOLLOWERS as u64 {
            assert_eq!(followers.admit(0, downstream(i), None), Admission::Admitted);
        }
        assert_eq!(
            followers.admit(1, downstream(3), Some(vec![downstream(100)])),
            Admission::Admitted,
            "it asks again"
        );
        assert_eq!(followers.admit(1, downstream(99), None), Admission::Full);
        assert_eq!(followers.subtree(1).len(), MAX_FOLLOWERS + 1);
        let mut follower = Follower::new("f99", vec![peer("k1")], 1);
        let mut view = View::default();
        assert!(follower.on_reply(1, &mut view, UpdateReply::Full { redirect: followers.peers() }).is_err());
        let Next::Wait(due) = follower.next(1, &view) else { panic!("at once") };
        assert!(matches!(follower.next(due, &view), Next::Poll(at, 0, 0) if at.head.starts_with('f')));
        assert_eq!(
            followers.admit(FOLLOWER_TIMEOUT_MS + 1, downstream(99), None),
            Admission::Admitted,
            "the others are gone"
        );
        let twin = Downstream { store: 98, ..downstream(99) };
        assert_eq!(followers.admit(FOLLOWER_TIMEOUT_MS + 2, twin.clone(), None), Admission::DuplicateName);
        assert_eq!(followers.subtree(FOLLOWER_TIMEOUT_MS + 2).len(), 1);
        assert_eq!(
            followers.admit(2 * FOLLOWER_TIMEOUT_MS + 2, twin, None),
            Admission::Admitted,
            "the first is gone"
        );
    }
}
