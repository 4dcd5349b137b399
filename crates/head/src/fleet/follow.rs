//! Following: a head that does not keep hears the state from another, and tells those that hang on it.

use super::keeper::Keeper;
use super::outside::now;
use super::types::{Call, Lack, Reply};
use sedgerun_fleet::follow::{Asked, Hanging, Next, Teller, Told};
use sedgerun_fleet::greeting::Greeting;
use sedgerun_fleet::record::Kind;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::Instant;

/// Bytes of one piece of news, about.
pub const PIECE: usize = 256 << 10;
/// How long a follower waits for news at its teller; and then asks again, so that both know of each other.
const WAIT: Duration = Duration::from_secs(1);
/// Time that the answer may take on top.
const ANSWER: Duration = Duration::from_secs(1);
/// A keeper that has heard no leader for so long, in milliseconds, asks others whether it is one still.
const ALONE: u64 = 2000;
/// Between looks at whether to follow, and between the times at which a follower tells who hangs on it.
const LOOK: Duration = Duration::from_millis(200);
const BELOW: Duration = Duration::from_secs(1);
/// Between writes of what is held, and so many times the length of the last one.
const KEEP: Duration = Duration::from_secs(1);
const KEEP_PART: u32 = 20;

impl Keeper {
    /// Answers a follower: news as soon as there is some.
    pub async fn tell(&self, lack: Lack, from: &Greeting) -> Reply {
        if from.store != Some(lack.follower.store) {
            return Reply::Refused("a follower asks for another store than its own".into());
        }
        let held = lack.follower.version;
        let asked = self.followers().ask(now(), lack.follower, lack.below);
        match asked {
            Asked::Welcome => {}
            Asked::Full => return Reply::Told(None, Told::Full(self.followers().tellers())),
            Asked::Twice => return Reply::Refused("two heads have this name".into()),
        }
        let mut versions = self.machine.version();
        let wait = Duration::from_millis(lack.wait).min(WAIT);
        // One that is ahead of this head goes elsewhere at once.
        if *versions.borrow_and_update() == lack.since && lack.begun == 0 && held == lack.since {
            let _ = tokio::time::timeout(wait, versions.wait_for(|version| *version > lack.since)).await;
        }
        let (lineage, age) = self.hears();
        let (Some(age), Some(origin)) = (age, self.links.own().origin) else {
            return Reply::Refused("has heard nothing of the fleet yet".into());
        };
        let own = self.links.own();
        let leads = self.leads().then_some(Teller { head: own.head, address: own.address });
        let leader = leads.or_else(|| self.leader());
        let piece = self.machine.look(|view| view.piece(lack.since, lack.begun, PIECE));
        Reply::Told(Some(origin), Told::Piece { piece, lineage, age, leader, keepers: self.keepers() })
    }

    /// Follows for as long as this head does not keep.
    pub async fn follow(&self) {
        let mut below: Option<Instant> = None;
        loop {
            let alone = self.election().silent(now()) > ALONE && !self.leads();
            if self.votes() && !alone {
                tokio::time::sleep(LOOK).await;
                continue;
            }
            let next = self.machine.look(|view| self.follower().next(now(), view));
            let (teller, since, begun) = match next {
                Next::Wait(until) => {
                    let wait = Duration::from_millis(until.saturating_sub(now()));
                    tokio::time::sleep(wait.clamp(Duration::from_millis(5), LOOK)).await;
                    continue;
                }
                Next::Ask(teller, since, begun) => (teller, since, begun),
            };
            let telling = below.is_none_or(|told| told.elapsed() >= BELOW);
            if telling {
                below = Some(Instant::now());
            }
            if let Err(why) = self.hear(&teller, (since, begun), telling).await {
                tracing::debug!("fleet: not following {}: {why}", teller.head);
            }
        }
    }

    async fn hear(&self, teller: &Teller, (since, begun): (u64, u64), below: bool) -> Result<(), String> {
        let told = self.lack(teller, since, begun, below).await;
        let told = match told {
            Ok(told) => told,
            Err(why) => {
                self.follower().failed(now());
                return Err(why);
            }
        };
        self.machine.hear(|view| self.follower().told(now(), view, told))?;
        let (own, at) = (self.raft_id(), self.machine.membership().log_id().map_or(0, |at| at.index));
        if self.votes() && self.follower().keepers.is_out(own, at) {
            tracing::warn!("fleet: others have taken this keeper's place; it follows");
            self.out.store(true, Ordering::SeqCst);
        }
        Ok(())
    }

    async fn lack(&self, teller: &Teller, since: u64, begun: u64, below: bool) -> Result<Told, String> {
        let own = self.links.own();
        let follower = Hanging {
            at: Teller { head: own.head, address: own.address },
            store: self.raft_id(),
            zone: own.zone,
            version: self.machine.look(|view| view.version),
            life: own.life.count,
        };
        let below = below.then(|| self.followers().all(now()));
        let wait = WAIT.as_millis() as u64;
        let to = self.links.route(&teller.head, &teller.address).ok_or("it has no address")?;
        let call = Call::Follow(Box::new(Lack { follower, below, since, begun, wait }));
        match self.links.call(to, &call, WAIT + ANSWER).await {
            Ok(Reply::Told(origin, told)) => {
                // From its first news on a head is of that fleet and of no other.
                if origin.is_some() {
                    self.adopt(origin).await?;
                }
                Ok(told)
            }
            Ok(Reply::Refused(why)) => Err(why),
            Ok(_) => Err("an answer to something else".into()),
            Err(error) => Err(error.to_string()),
        }
    }

    /// Writes down what this head holds as a follower, so that it serves at its next start whoever is there.
    pub async fn keep_followed(&self) {
        let mut written = self.machine.followed_version();
        let mut pause = KEEP;
        loop {
            tokio::time::sleep(pause).await;
            if self.machine.followed_version() == written {
                continue;
            }
            let Some(followed) = self.machine.followed() else { continue };
            let begun = Instant::now();
            if let Err(what) = self.disk.put(Kind::View, "view", &followed).await {
                tracing::error!("fleet: what this head holds is not written down: {what}");
            }
            written = followed.version;
            pause = KEEP.max(begun.elapsed() * KEEP_PART);
        }
    }
}
