//! What heads read of the state: tenants, bans and rules, each with the version at which it last changed; and how
//! it goes from head to head, in pieces that can be resumed.
//!
//! Every change has a version of its own and touches one thing, so a head that holds version `s` needs the things
//! whose last version is past `s`, in the order of their versions. What was removed stays as a gap with its
//! version; the oldest gaps go first, and a head that is behind the [floor](View::floor) begins anew.

use crate::greeting::StoreId;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Gaps that are kept for heads that are behind.
pub const MOST_GAPS: usize = 4096;

/// What an export is set up with, in the operator's file's own terms: key and value, `tenant` and `name` left out.
/// Each head checks them against its own settings.
pub type Fields = BTreeMap<String, String>;

/// A tenant: the version at which it was last changed, and its exports by name.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tenant {
    /// Version of the state at its last change; what compare-and-set compares.
    pub version: u64,
    /// Its exports.
    pub exports: BTreeMap<String, Fields>,
}

/// What the operators ask of the fleet itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rules {
    /// How many heads keep; 0 for as many as there are.
    pub keepers: u8,
    /// A keeper that is silent for so long, in milliseconds, is lost and replaced; 0 for the default.
    pub lost_after: u64,
    /// Heads that are not to keep, by name.
    pub unwanted: BTreeSet<String>,
    /// Stores that operators have given up.
    pub given_up: BTreeSet<StoreId>,
}

/// The name of a thing.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Name {
    /// A tenant.
    Tenant(String),
    /// A brick that is banned at all heads.
    Brick(String),
    /// The rules; there is one such thing.
    Rules,
}

/// A thing as it is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Thing {
    /// A tenant with its exports.
    Tenant(BTreeMap<String, Fields>),
    /// A ban.
    Ban,
    /// The rules.
    Rules(Rules),
}

/// A thing, or its gap, with the version of its last change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// The version.
    pub version: u64,
    /// Its name.
    pub name: Name,
    /// What it is; `None` where it was removed.
    pub thing: Option<Thing>,
}

impl Item {
    /// About how many bytes it takes.
    fn size(&self) -> usize {
        let name = match &self.name {
            Name::Tenant(name) | Name::Brick(name) => name.len(),
            Name::Rules => 0,
        };
        let pairs =
            |fields: &Fields| fields.iter().map(|(key, value)| key.len() + value.len() + 4).sum::<usize>();
        let thing: usize = match &self.thing {
            Some(Thing::Tenant(exports)) => {
                exports.iter().map(|(name, fields)| name.len() + 4 + pairs(fields)).sum()
            }
            Some(Thing::Rules(rules)) => 16 * (rules.unwanted.len() + rules.given_up.len()),
            _ => 0,
        };
        16 + name + thing
    }
}

/// Some of what a head that is behind lacks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Piece {
    /// The things, in the order of their versions.
    pub items: Vec<Item>,
    /// With these it lacks nothing up to this version.
    pub upto: u64,
    /// The version of the head that tells; reached when `upto` is.
    pub version: u64,
    /// Begin anew: this piece is the first of all there is.
    pub anew: bool,
}

/// What heads read of the state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// Counts changes that were done.
    pub version: u64,
    /// The tenants by name.
    pub tenants: BTreeMap<String, Tenant>,
    /// Bricks that are banned at all heads, each with the version since when.
    pub bans: BTreeMap<String, u64>,
    /// The rules.
    pub rules: Rules,
    /// Every thing and gap by the version of its last change.
    order: BTreeMap<u64, Name>,
    /// Of every thing and gap, the version of its last change.
    last: BTreeMap<Name, u64>,
    gaps: usize,
    /// Gaps up to this version are forgotten.
    floor: u64,
}

impl View {
    /// Puts an item in its place; its version is the newest there is.
    pub fn put(&mut self, item: Item) {
        let Item { version, name, thing } = item;
        if let Some(before) = self.last.insert(name.clone(), version) {
            self.order.remove(&before);
            self.gaps -= usize::from(!self.has(&name));
        }
        self.order.insert(version, name.clone());
        self.gaps += usize::from(thing.is_none());
        match (name, thing) {
            (Name::Tenant(name), Some(Thing::Tenant(exports))) => {
                self.tenants.insert(name, Tenant { version, exports });
            }
            (Name::Brick(name), Some(_)) => drop(self.bans.insert(name, version)),
            (Name::Rules, Some(Thing::Rules(rules))) => self.rules = rules,
            (Name::Tenant(name), _) => drop(self.tenants.remove(&name)),
            (Name::Brick(name), None) => drop(self.bans.remove(&name)),
            (Name::Rules, _) => self.rules = Rules::default(),
        }
        self.version = self.version.max(version);
        self.forget();
    }

    fn has(&self, name: &Name) -> bool {
        match name {
            Name::Tenant(name) => self.tenants.contains_key(name),
            Name::Brick(name) => self.bans.contains_key(name),
            Name::Rules => true,
        }
    }

    /// Guards against gaps without end, where tenants come and go.
    fn forget(&mut self) {
        while self.gaps > MOST_GAPS {
            let oldest = self.order.iter().find(|(_, name)| !self.has(name));
            let Some((version, name)) = oldest.map(|(version, name)| (*version, name.clone())) else {
                return;
            };
            self.order.remove(&version);
            self.last.remove(&name);
            (self.floor, self.gaps) = (version, self.gaps - 1);
        }
    }

    fn item(&self, version: u64, name: &Name) -> Item {
        let thing = match name {
            Name::Tenant(tenant) => self.tenants.get(tenant).map(|t| Thing::Tenant(t.exports.clone())),
            Name::Brick(brick) => self.bans.get(brick).map(|_| Thing::Ban),
            Name::Rules => Some(Thing::Rules(self.rules.clone())),
        };
        Item { version, name: name.clone(), thing }
    }

    /// What a head lacks that holds all up to `since` and has begun its gathering at `begun`: about so many bytes
    /// of it, one thing at the least.
    pub fn piece(&self, since: u64, begun: u64, most: usize) -> Piece {
        // A gap that was forgotten before the gathering began does not concern it.
        let anew = self.floor > since.max(begun);
        let since = if anew { 0 } else { since };
        let (mut items, mut size) = (Vec::new(), 0);
        for (version, name) in self.order.range(since + 1..) {
            let item = self.item(*version, name);
            size += item.size();
            if size > most && !items.is_empty() {
                let upto = items.last().map_or(since, |item: &Item| item.version);
                return Piece { items, upto, version: self.version, anew };
            }
            items.push(item);
        }
        Piece { items, upto: self.version, version: self.version, anew }
    }

    /// All things and gaps in the order of their versions.
    pub fn items(&self) -> impl Iterator<Item = Item> + '_ {
        self.order.iter().map(|(version, name)| self.item(*version, name))
    }

    /// Whether two heads hold the same, whatever gaps they remember.
    pub fn same(&self, other: &View) -> bool {
        let things =
            |view: &View| (view.version, view.tenants.clone(), view.bans.clone(), view.rules.clone());
        things(self) == things(other)
    }
}

/// The teller is behind the one that asks, or behind another that has told before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Behind;

/// Pieces on their way to a whole: nobody sees them before, so that what is read was true at some version.
#[derive(Clone, Debug, Default)]
pub struct Gathering {
    items: Vec<Item>,
    /// All up to here is gathered.
    at: u64,
    /// The version of the head that told the first piece.
    begun: u64,
    /// The highest version that any told.
    seen: u64,
    anew: bool,
}

impl Gathering {
    /// What to ask for next: `since` and `begun` of [`View::piece`].
    pub fn ask(&self, view: &View) -> (u64, u64) {
        if self.begun > 0 { (self.at, self.begun) } else { (view.version, 0) }
    }

    /// Takes a piece that was told in answer to [`ask`](Gathering::ask); whether the view has moved. An error says
    /// that the teller is behind and cannot be followed.
    pub fn take(&mut self, view: &mut View, piece: Piece) -> Result<bool, Behind> {
        if piece.version < view.version {
            // Guards against a reader whose version goes back.
            return Err(Behind);
        }
        if piece.version < self.seen {
            // Guards against a mixture: what an older head tells does not know what later ones moved.
            *self = Gathering::default();
            return Err(Behind);
        }
        if piece.anew {
            *self = Gathering { anew: true, ..Gathering::default() };
        }
        if self.begun == 0 {
            (self.begun, self.at) = (piece.version.max(1), view.version);
        }
        (self.at, self.seen) = (piece.upto, piece.version);
        self.items.extend(piece.items);
        if self.at < piece.version {
            return Ok(false);
        }
        let Gathering { items, anew, begun, .. } = std::mem::take(self);
        if anew {
            *view = View { floor: begun, ..View::default() };
        }
        let moved = anew || view.version != piece.version;
        // One that was told again later stands where it stood last.
        items.into_iter().for_each(|item| view.put(item));
        view.version = piece.version;
        Ok(moved)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn tenant(version: u64, name: u8, there: bool) -> Item {
        let exports =
            BTreeMap::from([(format!("e{name}"), Fields::from([("shard".into(), version.to_string())]))]);
        let thing = there.then_some(Thing::Tenant(exports));
        Item { version, name: Name::Tenant(format!("t{name}")), thing }
    }

    proptest! {
        /// Two tellers, one of them behind, change while a head gathers in small pieces: what the head shows is
        /// always what a teller held at that version.
        #[test]
        fn what_is_gathered_was_true_at_its_version(
            steps in prop::collection::vec((0u8..6, any::<bool>(), 0u8..4, any::<bool>()), 1..80)
        ) {
            let (mut first, mut history) = (View::default(), vec![View::default()]);
            let mut second = View::default();
            let (mut held, mut gathering) = (View::default(), Gathering::default());
            for (name, there, polls, other) in steps {
                let version = first.version + 1;
                if there || first.tenants.contains_key(&format!("t{name}")) {
                    first.put(tenant(version, name, there));
                    history.push(first.clone());
                }
                if other {
                    second = first.clone();
                }
                for poll in 0..polls {
                    let teller = if poll % 2 == 0 { &first } else { &second };
                    let (since, begun) = gathering.ask(&held);
                    let before = held.version;
                    let _ = gathering.take(&mut held, teller.piece(since, begun, 40));
                    prop_assert!(held.version >= before);
                    prop_assert!(held.same(&history[held.version as usize]), "{:?}", held);
                }
            }
        }
    }

    #[test]
    fn a_head_behind_the_forgotten_gaps_begins_anew() {
        let (mut teller, mut held, mut gathering) = (View::default(), View::default(), Gathering::default());
        teller.put(tenant(1, 1, true));
        teller.put(tenant(2, 2, true));
        let (since, begun) = gathering.ask(&held);
        assert_eq!(gathering.take(&mut held, teller.piece(since, begun, 1 << 20)), Ok(true));
        teller.put(tenant(3, 1, false));
        for round in 0..=MOST_GAPS as u64 {
            let name = Name::Brick(format!("b{round}"));
            teller.put(Item { version: 4 + 2 * round, name: name.clone(), thing: Some(Thing::Ban) });
            teller.put(Item { version: 5 + 2 * round, name, thing: None });
        }
        assert_eq!(teller.gaps, MOST_GAPS);
        assert!(teller.floor >= 3, "the tenant's gap is forgotten");
        let mut pieces = 0;
        while held.version < teller.version {
            let (since, begun) = gathering.ask(&held);
            gathering.take(&mut held, teller.piece(since, begun, 4096)).expect("a piece");
            pieces += 1;
        }
        assert!(pieces > 10 && held.same(&teller), "a removed tenant is still there");
    }

    #[test]
    fn a_piece_lost_in_the_middle_is_asked_for_again() {
        let (mut teller, mut held, mut gathering) = (View::default(), View::default(), Gathering::default());
        (1..=50).for_each(|version| teller.put(tenant(version, version as u8, true)));
        let mut asked = Vec::new();
        while held.version < 50 {
            let (since, begun) = gathering.ask(&held);
            // Each answer is lost once.
            asked.push(since);
            gathering.take(&mut held, teller.piece(since, begun, 200)).expect("a piece");
            assert!(held.version == 0 || held.same(&teller), "half of it was shown");
        }
        assert!(asked.len() > 5 && asked.is_sorted(), "{asked:?}");
    }
}
