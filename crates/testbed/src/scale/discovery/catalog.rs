//! The list of backends in versions: the whole list rendered once a generation, and a bounded history of changes.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, HashSet, VecDeque};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Changes that are kept by default; a watch that asks for older ones gets the whole list.
pub const HISTORY: usize = 16_384;
/// Zones that the backends are spread over.
pub const ZONES: [&str; 8] = ["a", "b", "c", "d", "e", "f", "g", "h"];
/// Time that a backend which is being replaced drains for, and then that it is removed for.
const STEP: Duration = Duration::from_millis(500);
/// Port of the addresses at which nobody listens: `discard`.
const UNUSED_PORT: u16 = 9;

/// What is said of a backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Lifecycle {
    /// It takes requests.
    Ready,
    /// It finishes what it has.
    Draining,
    /// It is off the list; only among changes.
    Gone,
}

/// An entry of the list, as the platform's discovery writes it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Instance {
    /// Its name, the same at every head.
    pub instance_id: String,
    /// Where it listens.
    pub host_port: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Its kind of machine.
    pub machine_type: String,
    /// The shard that it holds.
    pub cell: u32,
    /// What is said of it.
    pub lifecycle: Lifecycle,
    /// Its weight.
    pub weight: f64,
    /// When it last started, Unix time in ms; 0 for long ago.
    pub started_at_ms: u64,
}

/// An answer of discovery: the whole list, or the changes since a generation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Document {
    /// The generation that the answer brings its reader to.
    pub generation: u64,
    /// The entries are the whole list.
    pub reset: bool,
    /// The entries.
    pub instances: Vec<Instance>,
}

/// An answer as it is written to a socket.
#[derive(Clone, Debug)]
pub struct RenderedAnswer {
    /// The JSON text.
    pub body: Bytes,
    /// It holds the whole list.
    pub whole: bool,
}

/// What is due next for a backend that is being replaced.
#[derive(Clone, Copy, Debug)]
enum Step {
    Remove,
    Restore,
}

/// The backends, their generations and what is rendered of them.
#[derive(Debug)]
pub struct Catalog {
    generation: u64,
    /// One for each cell; none while its backend is being replaced and removed.
    instances: Vec<Option<Instance>>,
    /// Addresses of backends that listen, by cell; the others get addresses at which nobody does.
    addresses: Vec<SocketAddr>,
    /// Changes in the order of their generations.
    history: VecDeque<(u64, Instance)>,
    most_history: usize,
    /// The oldest generation whose followers the history can serve.
    oldest: u64,
    /// Number of the next instance.
    serial: u32,
    steps: VecDeque<(Instant, usize, Step)>,
    /// The cell that is replaced next.
    cursor: usize,
    whole: Option<Bytes>,
    /// Changes as rendered in this generation, by the generation that they start from.
    deltas: HashMap<u64, Bytes>,
}

/// An address on loopback at which nobody listens.
fn unused_address(serial: u32) -> SocketAddr {
    let [_, high, middle, low] = serial.to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(127, 128 + (high & 0x7f), middle, low), UNUSED_PORT))
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

fn render(generation: u64, reset: bool, instances: Vec<Instance>) -> Bytes {
    // An entry holds nothing that JSON cannot express.
    serde_json::to_vec(&Document { generation, reset, instances }).unwrap_or_default().into()
}

impl Catalog {
    /// An empty list that keeps so many changes.
    pub fn new(most_history: usize) -> Catalog {
        Catalog {
            generation: 1,
            instances: Vec::new(),
            addresses: Vec::new(),
            history: VecDeque::new(),
            most_history,
            oldest: 1,
            serial: 1,
            steps: VecDeque::new(),
            cursor: 0,
            whole: None,
            deltas: HashMap::new(),
        }
    }

    /// The newest generation.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Backends on the list.
    pub fn len(&self) -> usize {
        self.instances.iter().flatten().count()
    }

    /// Whether the list is empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Changes that are kept.
    pub fn history_len(&self) -> usize {
        self.history.len()
    }

    /// From now on the list has one backend for each address, in the order of their cells.
    pub fn set_addresses(&mut self, addresses: Vec<SocketAddr>) {
        let count = addresses.len();
        self.addresses = addresses;
        self.replace_all(count);
    }

    /// From now on the list has so many backends, at addresses at which nobody listens.
    pub fn set_count(&mut self, count: usize) {
        if self.addresses.is_empty() {
            self.resize(count);
        } else {
            self.addresses.clear();
            self.replace_all(count);
        }
    }

    /// Begins to replace so many backends: each drains, is removed, and comes back under a new name.
    pub fn begin_replacing(&mut self, count: usize, now: Instant) {
        let mut changes = Vec::new();
        for _ in 0..count.min(self.instances.len()) {
            let cell = self.cursor % self.instances.len();
            self.cursor = cell + 1;
            let ready = self.instances[cell].as_mut().filter(|one| one.lifecycle == Lifecycle::Ready);
            let Some(instance) = ready else { continue };
            instance.lifecycle = Lifecycle::Draining;
            changes.push(instance.clone());
            self.steps.push_back((now + STEP, cell, Step::Remove));
        }
        self.publish(changes);
    }

    /// Takes the steps of replacements that are due.
    pub fn advance(&mut self, now: Instant) {
        let mut changes = Vec::new();
        while let Some((_, cell, step)) = self.steps.front().copied().filter(|(due, ..)| *due <= now) {
            self.steps.pop_front();
            match step {
                Step::Remove => {
                    changes.extend(self.remove(cell));
                    self.steps.push_back((now + STEP, cell, Step::Restore));
                }
                Step::Restore => changes.push(self.create(cell, unix_ms())),
            }
        }
        self.publish(changes);
    }

    /// The answer to a call that follows the list since a generation, or asks for the whole of it.
    pub fn answer(&mut self, since: Option<u64>) -> RenderedAnswer {
        match since.filter(|since| (self.oldest..=self.generation).contains(since)) {
            Some(since) => RenderedAnswer { body: self.delta(since), whole: false },
            None => RenderedAnswer { body: self.whole(), whole: true },
        }
    }

    fn whole(&mut self) -> Bytes {
        let (generation, instances) = (self.generation, &self.instances);
        let rendered = || render(generation, true, instances.iter().flatten().cloned().collect());
        self.whole.get_or_insert_with(rendered).clone()
    }

    fn delta(&mut self, since: u64) -> Bytes {
        if let Some(body) = self.deltas.get(&since) {
            return body.clone();
        }
        let mut seen = HashSet::new();
        let newer = self.history.iter().rev().take_while(|(generation, _)| *generation > since);
        let newest = newer.filter(|(_, instance)| seen.insert(&instance.instance_id));
        let mut changes: Vec<Instance> = newest.map(|(_, instance)| instance.clone()).collect();
        changes.reverse();
        let body = render(self.generation, false, changes);
        self.deltas.insert(since, body.clone());
        body
    }

    fn resize(&mut self, count: usize) {
        let mut changes = Vec::new();
        for cell in count..self.instances.len() {
            changes.extend(self.remove(cell));
        }
        self.instances.truncate(count);
        self.steps.retain(|(_, cell, _)| *cell < count);
        for cell in self.instances.len()..count {
            self.instances.push(None);
            changes.push(self.create(cell, 0));
        }
        self.publish(changes);
    }

    fn replace_all(&mut self, count: usize) {
        self.steps.clear();
        let mut changes: Vec<Instance> =
            (0..self.instances.len()).filter_map(|cell| self.remove(cell)).collect();
        self.instances = vec![None; count];
        changes.extend((0..count).map(|cell| self.create(cell, 0)));
        self.publish(changes);
    }

    fn create(&mut self, cell: usize, started_at_ms: u64) -> Instance {
        let serial = self.serial;
        self.serial = self.serial.wrapping_add(1);
        let instance = Instance {
            instance_id: format!("s-{serial:08x}"),
            host_port: self.addresses.get(cell).copied().unwrap_or_else(|| unused_address(serial)),
            zone: ZONES[cell % ZONES.len()].to_owned(),
            machine_type: "m1".to_owned(),
            cell: cell as u32,
            lifecycle: Lifecycle::Ready,
            weight: 1.0,
            started_at_ms,
        };
        self.instances[cell] = Some(instance.clone());
        instance
    }

    fn remove(&mut self, cell: usize) -> Option<Instance> {
        let instance = self.instances[cell].take()?;
        Some(Instance { lifecycle: Lifecycle::Gone, ..instance })
    }

    /// Makes changes the next generation.
    fn publish(&mut self, changes: Vec<Instance>) {
        if changes.is_empty() {
            return;
        }
        self.generation += 1;
        (self.whole, self.deltas) = (None, HashMap::new());
        self.history.extend(changes.into_iter().map(|instance| (self.generation, instance)));
        let surplus = self.history.len().saturating_sub(self.most_history);
        for (generation, _) in self.history.drain(..surplus) {
            self.oldest = generation;
        }
    }
}
