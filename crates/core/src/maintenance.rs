//! Operators' calls and bricks taken out of rotation by hand: a pure filter between the list and the exchange.
//!
//! Discovery's news passes through [`Bans`] on its way to the decisions. A banned brick is told as draining,
//! whatever the list says, until it is called back; then its last entry is told again as just started, so that
//! the decisions warm it as a cold brick. No I/O, no clock: the time comes in with each call.

use sedgerun_decide::api::{Listed, Micros, NodeId, Readiness, Scope};
use std::collections::{BTreeMap, BTreeSet};

/// The longest line that a caller may send, in bytes, its end of line left out.
pub const MOST_LINE: usize = 256;

/// A call on the operators' address, as one line says it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Whether this process can serve.
    Ready,
    /// The figures.
    ShowStat,
    /// Nothing more to this brick.
    Disable(String),
    /// This brick back.
    Enable(String),
    /// Nothing more to this brick from any head of the fleet.
    FleetDisable(String),
    /// This brick back at all heads of the fleet.
    FleetEnable(String),
    /// Send clients away.
    Drain,
    /// Back to work.
    Resume,
}

impl Call {
    /// Reads one line, its end of line left out; an error says why in a few words.
    pub fn parse(line: &[u8]) -> Result<Call, String> {
        if line.len() > MOST_LINE {
            return Err(format!("line over {MOST_LINE} bytes"));
        }
        let line = std::str::from_utf8(line).map_err(|_| "line is not UTF-8".to_owned())?;
        let mut words = line.split_ascii_whitespace();
        let verb = words.next().ok_or("empty line")?;
        let id = |words: &mut std::str::SplitAsciiWhitespace<'_>| {
            let id = words.next().ok_or(format!("{verb} wants a brick's id"))?;
            if id.chars().any(char::is_control) {
                return Err(format!("{verb}: malformed id"));
            }
            Ok(id.to_owned())
        };
        let call = match verb {
            "ready" => Call::Ready,
            "show-stat" => Call::ShowStat,
            "drain" => Call::Drain,
            "resume" => Call::Resume,
            "disable-server" => Call::Disable(id(&mut words)?),
            "enable-server" => Call::Enable(id(&mut words)?),
            "fleet-disable-server" => Call::FleetDisable(id(&mut words)?),
            "fleet-enable-server" => Call::FleetEnable(id(&mut words)?),
            other => return Err(format!("unknown call {:?}", other.chars().take(32).collect::<String>())),
        };
        match words.next() {
            Some(_) => Err(format!("{verb}: too many words")),
            None => Ok(call),
        }
    }
}

/// What became of a call that changes the bans.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// Done: these entries go to the decisions as changes.
    Yes(Vec<Listed>),
    /// Not done, and why.
    No(&'static str),
}

/// The bricks that operators have taken out, and the last entry of each listed brick.
#[derive(Debug, Default)]
pub struct Bans {
    /// By this head's own operators' address.
    banned: BTreeSet<NodeId>,
    /// By the fleet, at all its heads.
    for_all: BTreeSet<NodeId>,
    listed: BTreeMap<NodeId, Listed>,
}

impl Bans {
    /// The bricks that are banned at this head alone.
    pub fn banned(&self) -> impl Iterator<Item = NodeId> + '_ {
        self.banned.iter().copied()
    }

    /// Whether a brick is banned, here or by the fleet.
    pub fn is_banned(&self, node: NodeId) -> bool {
        self.banned.contains(&node) || self.for_all.contains(&node)
    }

    /// Bricks on the list.
    pub fn listed(&self) -> usize {
        self.listed.len()
    }

    /// Listed bricks that are banned.
    pub fn out_of_rotation(&self) -> usize {
        self.banned.union(&self.for_all).filter(|node| self.listed.contains_key(node)).count()
    }

    /// News of the list on its way to the decisions: noted, and banned bricks turned into draining ones.
    pub fn filter(&mut self, scope: Scope, mut nodes: Vec<Listed>) -> Vec<Listed> {
        if matches!(scope, Scope::Full | Scope::Cached) {
            self.listed.clear();
        }
        for entry in &mut nodes {
            if entry.readiness == Readiness::Gone {
                self.listed.remove(&entry.node);
            } else {
                self.listed.insert(entry.node, entry.clone());
            }
            if self.is_banned(entry.node) {
                *entry = drained(entry);
            }
        }
        nodes
    }

    /// Takes a brick out. A second call for one that is out is answered yes and changes nothing.
    pub fn disable(&mut self, node: NodeId) -> Verdict {
        let Some(entry) = self.listed.get(&node) else { return Verdict::No("no such brick on the list") };
        self.banned.insert(node);
        Verdict::Yes(vec![drained(entry)])
    }

    /// Puts a brick back, as one that has just started.
    pub fn enable(&mut self, node: NodeId, now: Micros) -> Verdict {
        if !self.banned.remove(&node) {
            return Verdict::No("that brick is not disabled");
        }
        Verdict::Yes(self.back(node, now).into_iter().collect())
    }

    /// A brick that was banned is back, unless another ban holds it: operators restart a brick while it is out,
    /// so that it comes back cold.
    fn back(&mut self, node: NodeId, now: Micros) -> Option<Listed> {
        if self.is_banned(node) {
            return None;
        }
        let entry = self.listed.get_mut(&node)?;
        entry.came_up = entry.came_up.max(now);
        Some(entry.clone())
    }

    /// From now on these are the bricks that the fleet has banned: the changes to tell.
    pub fn ban_for_all(&mut self, banned: BTreeSet<NodeId>, now: Micros) -> Vec<Listed> {
        let before = std::mem::replace(&mut self.for_all, banned);
        let added = self.for_all.difference(&before).filter_map(|node| self.listed.get(node));
        let mut told: Vec<Listed> = added.map(drained).collect();
        let lifted: Vec<NodeId> = before.difference(&self.for_all).copied().collect();
        told.extend(lifted.into_iter().filter_map(|node| self.back(node, now)));
        told
    }

    /// Takes over bans that another process of this head has made or lifted: the changes to tell.
    pub fn adopt(&mut self, banned: &BTreeSet<NodeId>, now: Micros) -> Vec<Listed> {
        let lifted: Vec<NodeId> = self.banned.difference(banned).copied().collect();
        let added: Vec<NodeId> = banned.difference(&self.banned).copied().collect();
        let mut told = Vec::new();
        for node in added {
            match self.disable(node) {
                Verdict::Yes(entries) => told.extend(entries),
                Verdict::No(_) => {
                    self.banned.insert(node);
                }
            }
        }
        for node in lifted {
            if let Verdict::Yes(entries) = self.enable(node, now) {
                told.extend(entries);
            }
        }
        told
    }
}

/// An entry as it is told while its brick is banned.
fn drained(entry: &Listed) -> Listed {
    let readiness = if entry.readiness == Readiness::Ready { Readiness::Draining } else { entry.readiness };
    Listed { readiness, ..entry.clone() }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn entry(node: u64, readiness: Readiness) -> Listed {
        Listed { node: NodeId(node), cell: 1, zone: 0, came_up: 0, readiness }
    }

    #[test]
    fn calls_are_read_and_bad_lines_are_refused_with_a_reason() {
        assert_eq!(Call::parse(b"ready"), Ok(Call::Ready));
        assert_eq!(Call::parse(b" show-stat "), Ok(Call::ShowStat));
        assert_eq!(Call::parse(b"disable-server s-1"), Ok(Call::Disable("s-1".into())));
        assert_eq!(Call::parse(b"enable-server s-1"), Ok(Call::Enable("s-1".into())));
        assert_eq!(Call::parse(b"drain"), Ok(Call::Drain));
        assert_eq!(Call::parse(b"resume"), Ok(Call::Resume));
        for bad in [&b""[..], b"disable-server", b"ready now", b"reboot", b"\xff\xfe", &[b'a'; 300]] {
            assert!(Call::parse(bad).is_err(), "{bad:?}");
        }
    }

    #[test]
    fn a_banned_brick_is_told_as_draining_whatever_the_list_says() {
        let mut bans = Bans::default();
        bans.filter(Scope::Full, vec![entry(1, Readiness::Ready), entry(2, Readiness::Ready)]);
        assert_eq!(bans.disable(NodeId(1)), Verdict::Yes(vec![entry(1, Readiness::Draining)]));
        let told = bans.filter(Scope::Full, vec![entry(1, Readiness::Ready), entry(2, Readiness::Ready)]);
        assert_eq!(told, vec![entry(1, Readiness::Draining), entry(2, Readiness::Ready)]);
        let told = bans.filter(Scope::Delta, vec![entry(1, Readiness::Ready)]);
        assert_eq!(told, vec![entry(1, Readiness::Draining)]);
        assert_eq!(bans.out_of_rotation(), 1);
        assert_eq!(bans.listed(), 2);
    }

    #[test]
    fn two_calls_out_need_one_call_back_and_the_brick_returns_cold() {
        let mut bans = Bans::default();
        bans.filter(Scope::Full, vec![entry(1, Readiness::Ready)]);
        assert!(matches!(bans.disable(NodeId(1)), Verdict::Yes(_)));
        assert!(matches!(bans.disable(NodeId(1)), Verdict::Yes(_)));
        let back = Listed { came_up: 5_000_000, ..entry(1, Readiness::Ready) };
        assert_eq!(bans.enable(NodeId(1), 5_000_000), Verdict::Yes(vec![back]));
        assert!(matches!(bans.enable(NodeId(1), 6_000_000), Verdict::No(_)));
        assert!(matches!(bans.disable(NodeId(9)), Verdict::No(_)));
        assert!(matches!(bans.enable(NodeId(9), 0), Verdict::No(_)));
    }

    #[test]
    fn bans_of_an_earlier_process_hold_before_the_list_comes() {
        let mut bans = Bans::default();
        assert!(bans.adopt(&[NodeId(1)].into_iter().collect(), 6).is_empty());
        let told = bans.filter(Scope::Cached, vec![entry(1, Readiness::Ready)]);
        assert_eq!(told, vec![entry(1, Readiness::Draining)]);
        let lifted = bans.adopt(&BTreeSet::new(), 7);
        assert_eq!(lifted, vec![Listed { came_up: 7, ..entry(1, Readiness::Ready) }]);
        let banned = bans.adopt(&[NodeId(1)].into_iter().collect(), 8);
        assert_eq!(banned[0].readiness, Readiness::Draining);
    }

    #[test]
    fn a_ban_by_the_fleet_and_one_of_this_head_each_hold_a_brick_out() {
        let mut bans = Bans::default();
        bans.filter(Scope::Full, vec![entry(1, Readiness::Ready), entry(2, Readiness::Ready)]);
        let both = BTreeSet::from([NodeId(1), NodeId(2)]);
        let told = bans.ban_for_all(both.clone(), 1);
        assert_eq!(told, vec![entry(1, Readiness::Draining), entry(2, Readiness::Draining)]);
        assert!(bans.ban_for_all(both, 1).is_empty(), "told twice");
        assert!(matches!(bans.disable(NodeId(1)), Verdict::Yes(_)));
        assert_eq!(bans.out_of_rotation(), 2);
        let back = Listed { came_up: 7, ..entry(2, Readiness::Ready) };
        assert_eq!(
            bans.ban_for_all(BTreeSet::new(), 7),
            vec![back],
            "this head's own ban still holds the first"
        );
        assert_eq!(
            bans.filter(Scope::Delta, vec![entry(1, Readiness::Ready)]),
            vec![entry(1, Readiness::Draining)]
        );
        bans.ban_for_all(BTreeSet::from([NodeId(1)]), 8);
        assert_eq!(bans.enable(NodeId(1), 9), Verdict::Yes(vec![]), "the fleet's ban still holds it");
        assert!(bans.is_banned(NodeId(1)));
    }
}
