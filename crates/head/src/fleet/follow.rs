//! Following: a head without a vote polls an upstream for updates, and serves them to its own followers.

use super::environment::now;
use super::member::Member;
use super::types::{Call, Reply, UpdateRequest};
use sedgerun_fleet::follow::{Admission, Downstream, Next, Peer, UpdateReply};
use sedgerun_fleet::greeting::Greeting;
use sedgerun_fleet::record::RecordType;
use sedgerun_fleet::view::Chunk;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::Instant;

/// Size of one chunk of an update, about, in bytes.
const CHUNK_BYTES: usize = 256 << 10;
/// How long a follower waits for an update at its upstream; and then asks again, so that both know of each other.
const LONG_POLL: Duration = Duration::from_secs(1);
/// Time that the answer may take on top.
const ANSWER: Duration = Duration::from_secs(1);
/// A voter that has heard no leader for so long, in milliseconds, asks others whether it is one still.
const LEADER_SILENCE_MS: u64 = 2000;
/// Between checks of whether to follow.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Between the polls in which a follower reports its subtree.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Between writes of what is held, at least.
const SAVE_INTERVAL: Duration = Duration::from_secs(1);
/// The pause between writes is at least so many times the length of the last one.
const SAVE_COST_FACTOR: u32 = 20;

impl Member {
    /// Answers a follower: with an update as soon as there is one.
    pub async fn serve_update(&self, request: UpdateRequest, from: &Greeting) -> Reply {
        if from.store != Some(request.follower.store) {
            return Reply::Refused("a follower asks for another store than its own".into());
        }
        let held = request.follower.version;
        let admission = self.followers().admit(now(), request.follower, request.subtree);
        match admission {
            Admission::Admitted => {}
            Admission::Full => {
                return Reply::Update(None, UpdateReply::Full { redirect: self.followers().peers() });
            }
            Admission::DuplicateName => return Reply::Refused("two heads have this name".into()),
        }
        let mut versions = self.machine.version();
        let wait = Duration::from_millis(request.wait_ms).min(LONG_POLL);
        // One that is ahead of this head goes elsewhere at once.
        if *versions.borrow_and_update() == request.since
            && request.first_version == 0
            && held == request.since
        {
            let _ = tokio::time::timeout(wait, versions.wait_for(|version| *version > request.since)).await;
        }
        let (path, age) = self.path_and_age();
        let (Some(age), Some(origin)) = (age, self.links.own().origin) else {
            return Reply::Refused("has heard nothing of the fleet yet".into());
        };
        let own = self.links.own();
        let leads = self.leads().then_some(Peer { head: own.head, address: own.address });
        let leader = leads.or_else(|| self.leader());
        let chunk = self.serve_chunk(request.since, request.first_version);
        Reply::Update(Some(origin), UpdateReply::Chunk { chunk, path, age, leader, voters: self.voters() })
    }

    /// The next chunk for a head that holds all up to `since`, in a transfer that began at `first_version`.
    pub fn serve_chunk(&self, since: u64, first_version: u64) -> Chunk {
        self.machine.read(|view| view.chunk(since, first_version, CHUNK_BYTES))
    }

    /// Follows for as long as this head does not vote.
    pub async fn follow(&self) {
        let mut reported: Option<Instant> = None;
        loop {
            let alone = self.election().leader_silence(now()) > LEADER_SILENCE_MS && !self.leads();
            if self.votes() && !alone {
                tokio::time::sleep(POLL_INTERVAL).await;
                continue;
            }
            let next = self.machine.read(|view| self.follower().next(now(), view));
            let (upstream, since, first_version) = match next {
                Next::Wait(until) => {
                    let wait = Duration::from_millis(until.saturating_sub(now()));
                    tokio::time::sleep(wait.clamp(Duration::from_millis(5), POLL_INTERVAL)).await;
                    continue;
                }
                Next::Poll(upstream, since, first_version) => (upstream, since, first_version),
            };
            let report_subtree = reported.is_none_or(|reported| reported.elapsed() >= REPORT_INTERVAL);
            if report_subtree {
                reported = Some(Instant::now());
            }
            if let Err(why) = self.poll_upstream(&upstream, (since, first_version), report_subtree).await {
                tracing::debug!("fleet: not following {}: {why}", upstream.head);
            }
        }
    }

    async fn poll_upstream(
        &self,
        upstream: &Peer,
        (since, first_version): (u64, u64),
        report_subtree: bool,
    ) -> Result<(), String> {
        let reply = self.request_update(upstream, since, first_version, report_subtree).await;
        let reply = match reply {
            Ok(reply) => reply,
            Err(why) => {
                self.follower().on_failure(now());
                return Err(why);
            }
        };
        self.machine.update_followed(|view| self.follower().on_reply(now(), view, reply))?;
        let (own, at) = (self.raft_id(), self.machine.membership().log_id().map_or(0, |at| at.index));
        if self.votes() && self.follower().voters.excludes(own, at) {
            tracing::warn!("fleet: others have taken this keeper's place; it follows");
            self.removed.store(true, Ordering::SeqCst);
        }
        Ok(())
    }

    async fn request_update(
        &self,
        upstream: &Peer,
        since: u64,
        first_version: u64,
        report_subtree: bool,
    ) -> Result<UpdateReply, String> {
        let own = self.links.own();
        let follower = Downstream {
            at: Peer { head: own.head, address: own.address },
            store: self.raft_id(),
            zone: own.zone,
            version: self.machine.read(|view| view.version),
            incarnation: own.incarnation.count,
        };
        let subtree = report_subtree.then(|| self.followers().subtree(now()));
        let wait_ms = LONG_POLL.as_millis() as u64;
        let to = self.links.route(&upstream.head, &upstream.address).ok_or("it has no address")?;
        let call = Call::Follow(Box::new(UpdateRequest { follower, subtree, since, first_version, wait_ms }));
        match self.links.call(to, &call, LONG_POLL + ANSWER).await {
            Ok(Reply::Update(origin, reply)) => {
                // From its first update on a head is of that fleet and of no other.
                if origin.is_some() {
                    self.adopt(origin).await?;
                }
                Ok(reply)
            }
            Ok(Reply::Refused(why)) => Err(why),
            Ok(_) => Err("an answer to something else".into()),
            Err(error) => Err(error.to_string()),
        }
    }

    /// Writes down what this head holds as a follower, so that it serves at its next start whoever is there.
    pub async fn save_followed(&self) {
        let mut written = self.machine.followed_version();
        let mut pause = SAVE_INTERVAL;
        loop {
            tokio::time::sleep(pause).await;
            if self.machine.followed_version() == written {
                continue;
            }
            let Some(followed) = self.machine.followed() else { continue };
            let begun = Instant::now();
            if let Err(what) = self.disk.put(RecordType::View, "view", &followed).await {
                tracing::error!("fleet: what this head holds is not written down: {what}");
            }
            written = followed.version;
            pause = SAVE_INTERVAL.max(begun.elapsed() * SAVE_COST_FACTOR);
        }
    }
}
